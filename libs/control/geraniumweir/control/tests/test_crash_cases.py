"""Control hosts know of the crashes that another coordinator saw."""

import asyncio
import typing

from geraniumweir.common import ids, timers, virtual
from geraniumweir.control import hosts, crash_cases
from geraniumweir.scheduling import settings, suspects
from geraniumweir.scheduling.ontime import leader
from geraniumweir.wire import memory

_REQUEST = ids.Fingerprint(7)
_POOL = ids.PoolName('pool')


class _Control:
    """A control host that may lead one pool."""

    def __init__(self, network: memory.MemoryNetwork, number: int) -> None:
        self.clock = timers.TimerService()
        self.host_id = ids.HostId(f'c{number}')
        self.address = ids.Address(f'10.0.0.{number}', 1)
        self.link = network.join(self.host_id, self.address)
        self.known = hosts.ControlHosts()
        self.crash_cases = crash_cases.CrashCases(
            self.link,
            self.known,
            self.clock,
        )
        self.led: list[leader.OnTimePoolLeader] = []
        self.crash_cases.leaders = lambda: self.led

    def meet(self, other: '_Control') -> None:
        """Learn of another one."""
        self.link.learn(other.host_id, other.address)
        found = hosts.seed(other.host_id, other.address)
        self.known.register(found, self.clock.now())

    def coordinate(self) -> None:
        """Lead the pool, with what is known here."""
        cfg = settings.LeaderSettings(_POOL, f'{self.host_id}/{_POOL}')
        made = leader.OnTimePoolLeader(cfg, self.clock.now, list)
        self.crash_cases.apply_to(made)
        self.led = [made]

    def crash(self) -> None:
        """See a server crash under the request, which ran alone."""
        self.led[0].suspects.record_crash([_REQUEST], self.clock.now())

    def verdict(self) -> suspects.Verdict:
        """Tell what is thought of the request."""
        return self.led[0].suspects.verdict(_REQUEST, self.clock.now())


def _run(
    work: typing.Callable[[_Control, _Control], typing.Awaitable[None]],
) -> None:
    async def on_bed() -> None:
        network = memory.MemoryNetwork()
        one, other = _Control(network, 1), _Control(network, 2)
        one.meet(other)
        other.meet(one)
        await work(one, other)

    virtual.run(on_bed())


def test_second_crash_behind_a_new_coordinator_condemns_the_request() -> None:
    """It isn't the first that is known."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        one.crash()
        await asyncio.sleep(0.5)
        one.led = []
        other.coordinate()
        assert other.verdict() is suspects.Verdict.suspect
        other.crash()
        assert other.verdict() is suspects.Verdict.quarantined

    _run(work)


def test_condemned_request_stays_so_behind_a_new_coordinator() -> None:
    """Also where the new one led the pool already."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        other.coordinate()
        one.crash()
        one.crash()
        await asyncio.sleep(0.5)
        assert other.verdict() is suspects.Verdict.quarantined

    _run(work)


def test_crash_that_is_told_again_counts_once() -> None:
    """By both, and to one that led before."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        one.crash()
        await asyncio.sleep(0.5)
        other.coordinate()
        await asyncio.sleep(0.5)
        one.coordinate()
        await asyncio.sleep(0.5)
        assert one.verdict() is suspects.Verdict.suspect
        assert other.verdict() is suspects.Verdict.suspect

    _run(work)


def test_request_that_ended_well_since_is_clear_behind_a_new_coordinator() -> (
    None
):
    """The others are told when a case is cleared."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        one.crash()
        await asyncio.sleep(0.5)
        one.led[0].suspects.record_success(_REQUEST)
        await asyncio.sleep(0.5)
        other.coordinate()
        assert other.verdict() is suspects.Verdict.clear

    _run(work)
