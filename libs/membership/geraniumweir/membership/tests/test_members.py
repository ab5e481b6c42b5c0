"""Members of a domain as a state machine: no older life comes back."""

import hypothesis
from geraniumweir.common import ids
from geraniumweir.membership import hosts, members, suspicion
from hypothesis import stateful
from hypothesis import strategies as st

_DOMAIN = ids.FailureDomain('a')
_NAMES = st.sampled_from(['b', 'c', 'd'])
_LIVES = st.integers(1, 4)


def _host(name: str, life: int) -> hosts.Host:
    return hosts.Host(
        ids.HostId(name),
        _DOMAIN,
        ids.Region('r'),
        ids.Address('127.0.0.1', ord(name)),
        ids.Incarnation(life),
    )


class MemberRules(stateful.RuleBasedStateMachine):
    """Cards, heartbeats and farewells of any life, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.timing = suspicion.Timing()
        self.members = members.Members(_host('a', 1), self.timing)
        self.now = float(0)
        self.told: dict[str, int] = {}
        self.last_beat: dict[tuple[str, int], float] = {}
        self.gone: set[tuple[str, int]] = set()
        self.view: set[str] = set()
        self.members.changes.subscribe(self._follow)

    @stateful.rule(name=_NAMES, life=_LIVES)
    def tell_of(self, name: str, life: int) -> None:
        """Somebody tells of a host, maybe of an old life."""
        self.members.add_candidate(_host(name, life), self.now)
        self.told[name] = max(life, self.told.get(name, 0))

    @stateful.rule(name=_NAMES, life=_LIVES)
    def beat(self, name: str, life: int) -> None:
        """A heartbeat arrives, maybe of an old life."""
        incarnation = ids.Incarnation(life)
        self.members.record_heartbeat(ids.HostId(name), incarnation, self.now)
        self.last_beat[(name, life)] = self.now

    @stateful.rule(name=_NAMES, life=_LIVES)
    def farewell(self, name: str, life: int) -> None:
        """A host says that it stops."""
        incarnation = ids.Incarnation(life)
        self.members.record_farewell(ids.HostId(name), incarnation, self.now)
        if self.told.get(name) == life:
            self.gone.add((name, life))

    @stateful.rule(seconds=st.sampled_from([0.5, 1.3, 3]))
    def wait(self, seconds: float) -> None:
        """Time goes by and the hosts are judged."""
        self.now += seconds
        self.members.evaluate(self.now)

    @stateful.invariant()
    def live_hosts_are_right(self) -> None:
        """Live is only the newest life, heard lately, not gone."""
        for host in self.members.live():
            if host.host_id == 'a':
                continue
            life = (host.host_id, host.incarnation)
            assert host.incarnation == self.told[host.host_id]
            assert self.now - self.last_beat[life] < self.timing.dead_after
            assert life not in self.gone

    @stateful.invariant()
    def events_give_the_view(self) -> None:
        """Who follows the events sees the same hosts."""
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
