"""State machine test: no older incarnation of a member becomes live."""

import hypothesis
from geraniumweir.common import ids
from geraniumweir.membership import hosts, members, suspicion
from hypothesis import stateful
from hypothesis import strategies as st

_DOMAIN = ids.FailureDomain('a')
_NAMES = st.sampled_from(['b', 'c', 'd'])
_INCARNATIONS = st.integers(1, 4)


def _host(name: str, incarnation_number: int) -> hosts.Host:
    return hosts.Host(
        ids.HostId(name),
        _DOMAIN,
        ids.Region('r'),
        ids.Address('127.0.0.1', ord(name)),
        ids.Incarnation(incarnation_number),
    )


class MemberRules(stateful.RuleBasedStateMachine):
    """Cards, heartbeats and farewells of any incarnation, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.timing = suspicion.Timing()
        self.members = members.Members(_host('a', 1), self.timing)
        self.now = float(0)
        self.newest_card: dict[str, int] = {}
        self.last_beat: dict[tuple[str, int], float] = {}
        self.gone: set[tuple[str, int]] = set()
        self.view: set[str] = set()
        self.members.changes.subscribe(self._follow)

    @stateful.rule(name=_NAMES, incarnation_number=_INCARNATIONS)
    def receive_card(self, name: str, incarnation_number: int) -> None:
        """Receive a card, maybe of an old incarnation."""
        self.members.add_candidate(_host(name, incarnation_number), self.now)
        self.newest_card[name] = max(
            incarnation_number, self.newest_card.get(name, 0)
        )

    @stateful.rule(name=_NAMES, incarnation_number=_INCARNATIONS)
    def beat(self, name: str, incarnation_number: int) -> None:
        """Receive a heartbeat, maybe of an old incarnation."""
        incarnation = ids.Incarnation(incarnation_number)
        self.members.record_heartbeat(ids.HostId(name), incarnation, self.now)
        self.last_beat[(name, incarnation_number)] = self.now

    @stateful.rule(name=_NAMES, incarnation_number=_INCARNATIONS)
    def farewell(self, name: str, incarnation_number: int) -> None:
        """Receive a farewell, maybe of an old incarnation."""
        incarnation = ids.Incarnation(incarnation_number)
        self.members.record_farewell(ids.HostId(name), incarnation, self.now)
        if self.newest_card.get(name) == incarnation_number:
            self.gone.add((name, incarnation_number))

    @stateful.rule(seconds=st.sampled_from([0.5, 1.3, 3]))
    def wait(self, seconds: float) -> None:
        """Advance the clock and run the failure detector."""
        self.now += seconds
        self.members.evaluate(self.now)

    @stateful.invariant()
    def live_hosts_are_right(self) -> None:
        """Live hosts: newest incarnation, recent heartbeat, no farewell."""
        for host in self.members.live():
            if host.host_id == 'a':
                continue
            identity = (host.host_id, host.incarnation)
            assert host.incarnation == self.newest_card[host.host_id]
            assert self.now - self.last_beat[identity] < self.timing.dead_after
            assert identity not in self.gone

    @stateful.invariant()
    def events_give_the_view(self) -> None:
        """The events lead to the same set of hosts as the view."""
        live = {host.host_id for host in self.members.live()}
        assert live == self.view | {'a'}

    def _follow(self, event: hosts.HostEvent) -> None:
        match event:
            case hosts.HostJoined(host):
                assert host.host_id not in self.view
                self.view.add(host.host_id)
            case hosts.HostLeft(host, _):
                self.view.remove(host.host_id)


TestMemberRules = MemberRules.TestCase
TestMemberRules.settings = hypothesis.settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
)
