"""Stateful test that a request is dispatched at most once under any faults."""

import asyncio
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling.tests import world as worlds
from hypothesis import settings, stateful
from hypothesis import strategies as st

_DOMAINS = {'a': (3, 1), 'b': (2, 1)}
_NAMES = ('a-0', 'a-1', 'a-2', 'b-0', 'b-1')
_DEADLINE = 20.0
_PERIOD = 6.0

_hosts = st.sampled_from(_NAMES).map(ids.HostId)


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Hosts in two failure domains with failures of all kinds."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=virtual.VirtualTimeLoop)
        self.world = self.run(self.start_world())
        self.calls: dict[str, asyncio.Task[typing.Any]] = {}

    def run(self, main: typing.Coroutine[typing.Any, typing.Any, typing.Any]):
        return self.runner.run(main)

    async def start_world(self) -> worlds.World:
        return worlds.World(_DOMAINS)

    @stateful.rule(
        host_id=_hosts,
        tier=st.sampled_from(ids.Tier),
        seconds=st.sampled_from((0.01, 0.5, 3)),
    )
    def ask(self, host_id: ids.HostId, tier: ids.Tier, seconds: float) -> None:
        host = self.world.hosts.get(host_id)
        if host is None:
            return
        name = f'r{len(self.calls)}'

        async def start() -> None:
            self.calls[name] = self.world.call(
                host,
                name,
                tier=tier,
                seconds=seconds,
                deadline=_DEADLINE,
            )

        self.run(start())

    @stateful.rule(seconds=st.sampled_from((0.0004, 0.003, 0.1, 0.9, 2.5)))
    def wait(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    @stateful.rule(
        loss=st.sampled_from((0, 0.2, 0.6)),
        repeats=st.sampled_from((0, 0.5)),
    )
    def disturb(self, loss: float, repeats: float) -> None:
        self.world.network.loss = loss
        self.world.network.repeats = repeats

    @stateful.rule(sender=_hosts, receiver=_hosts)
    def cut(self, sender: ids.HostId, receiver: ids.HostId) -> None:
        self.world.network.cut(sender, receiver)

    @stateful.rule()
    def heal(self) -> None:
        self.world.network.heal()

    @stateful.rule(host_id=_hosts, seen=st.sets(st.sampled_from(_NAMES[:3])))
    def see(self, host_id: ids.HostId, seen: set[str]) -> None:
        """Change one host's view of the live hosts."""
        host = self.world.hosts.get(host_id)
        live = [ids.HostId(name) for name in sorted(seen)]

        async def change() -> None:
            if host is not None:
                host.view.see(ids.FailureDomain('a'), live)

        self.run(change())

    @stateful.rule(number=st.integers(0, 30))
    def withdraw(self, number: int) -> None:
        async def withdraw() -> None:
            for host in self.world.hosts.values():
                host.broker.withdraw(ids.RequestId(f'r{number}'))

        if f'r{number}' in self.calls:
            self.run(withdraw())

    @stateful.rule(host_id=_hosts)
    def restart(self, host_id: ids.HostId) -> None:
        async def restart() -> None:
            await self.world.kill(host_id)
            self.world.start(host_id, ids.FailureDomain(host_id[0]))

        self.run(restart())

    @stateful.invariant()
    def at_most_once(self) -> None:
        assert set(self.world.dispatched.values()) <= {1}

    def teardown(self) -> None:
        """Check that all calls end and free their slots after recovery."""
        self.disturb(0, 0)
        self.heal()
        self.run(self.agree())
        self.run(asyncio.sleep(_DEADLINE + _PERIOD))
        assert all(call.done() for call in self.calls.values())
        for name, call in self.calls.items():
            assert call.cancelled() or name in self.world.answers
        assert self.world.entry_count() == 0
        assert self.world.running.total() == 0
        self.runner.close()

    async def agree(self) -> None:
        for domain in _DOMAINS:
            names = [name for name in _NAMES if name[0] == domain]
            self.world.see(domain, [ids.HostId(name) for name in names])


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
)
