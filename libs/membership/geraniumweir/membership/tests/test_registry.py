"""The registry against a naive version, and its rules as a state machine."""

import dataclasses

import hypothesis
import pytest
from geraniumweir.common import ids
from geraniumweir.membership import errors, limits, servers
from hypothesis import stateful
from hypothesis import strategies as st

_SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
)
_READY = servers.ServerState.ready
_LEAVING = servers.ServerState.leaving


def announcement(
    server_id: str = 's',
    incarnation: int = 1,
    state: servers.ServerState = _READY,
    **other: object,
) -> servers.Announcement:
    """Build an announcement of an honest server."""
    return dataclasses.replace(
        servers.Announcement(
            ids.ServerId(server_id),
            ids.Incarnation(incarnation),
            ids.Address('127.0.0.1', 1),
            'engine',
            ids.PoolName('p'),
            ids.FailureDomain('a'),
            state=state,
        ),
        **other,
    )


class _Naive:
    """Keeps all that was ever said and reads the answer off the history."""

    def __init__(self) -> None:
        self.said: list[tuple[float, float, servers.Announcement]] = []

    def take(self, said: servers.Announcement, left: float, now: float):
        self.said.append((now, now + min(left, servers.LEASE_SECONDS), said))

    def live(self, now: float) -> list[tuple[str, int, bool]]:
        found = []
        for name in sorted({said.server_id for _, _, said in self.said}):
            of_it = [one for one in self.said if one[2].server_id == name]
            life = max(said.incarnation for _, _, said in of_it)
            of_life = [one for one in of_it if one[2].incarnation == life]
            if max(until for _, until, _ in of_life) > now:
                states = {said.state for _, _, said in of_life}
                found.append((name, life, _LEAVING in states))
        return found


class RegistryRules(stateful.RuleBasedStateMachine):
    """Announcements in any order, directly and by other hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.registry = servers.Registry(ids.FailureDomain('a'))
        self.naive = _Naive()
        self.now = float(0)
        self.events: list[servers.ServerEvent] = []
        self.registry.changes.subscribe(self.events.append)

    @stateful.rule(
        name=st.sampled_from(['s', 't']),
        life=st.integers(1, 3),
        state=st.sampled_from(servers.ServerState),
        left=st.sampled_from([0.5, 2, 3, 1000]),
    )
    def say(
        self,
        name: str,
        life: int,
        state: servers.ServerState,
        left: float,
    ) -> None:
        """Take an announcement, maybe a late one."""
        before = self.registry.lease(ids.ServerId(name))
        said = announcement(name, life, state)
        crashed = self.registry.apply(said, left, self.now)
        self.naive.take(said, left, self.now)
        newer = bool(before and life > before.announcement.incarnation)
        assert crashed is newer

    @stateful.rule(life=st.integers(1, 3), left=st.sampled_from([1, 3]))
    def renew(self, life: int, left: float) -> None:
        """Lengthen a lease by the key of a content."""
        said = announcement('s', life)
        if self.registry.renew(servers.key_of(said), left, self.now):
            self.naive.take(said, left, self.now)

    @stateful.rule(seconds=st.sampled_from([0.4, 1, 2.9, 3, 20]))
    def wait(self, seconds: float) -> None:
        """Let time go by."""
        self.now += seconds

    @stateful.invariant()
    def agrees_with_naive(self) -> None:
        """The same servers are live, in the same life, leaving or not."""
        live = [
            (said.server_id, said.incarnation, said.state is _LEAVING)
            for said in self.registry.live(self.now)
        ]
        assert live == self.naive.live(self.now)

    @stateful.invariant()
    def crashes_are_told_once(self) -> None:
        """Each newer life of a server is one crash event."""
        crashes = [
            (one.after.server_id, one.after.incarnation)
            for one in self.events
            if isinstance(one, servers.ServerCrashed)
        ]
        assert len(crashes) == len(set(crashes))


TestRegistryRules = RegistryRules.TestCase
TestRegistryRules.settings = _SETTINGS


def test_leaving_stays_for_its_life() -> None:
    """A late ``ready`` doesn't take a leaving server back; a new life does."""
    registry = servers.Registry()
    registry.announce(announcement(state=_LEAVING), 0)
    registry.announce(announcement(), 1)
    assert registry.live(1)[0].state is _LEAVING
    registry.announce(announcement(), 100)
    assert registry.live(100)[0].state is _LEAVING
    registry.announce(announcement(incarnation=2), 101)
    assert registry.live(101)[0].state is _READY


def test_expiry_is_told() -> None:
    """A lease that ran out is one event, a return another."""
    registry = servers.Registry()
    events: list[servers.ServerEvent] = []
    registry.changes.subscribe(events.append)
    registry.announce(announcement(), 0)
    registry.sweep(3)
    registry.sweep(4)
    registry.announce(announcement(), 5)
    kinds = [type(one) for one in events]
    assert kinds == [
        servers.ServerAppeared,
        servers.ServerExpired,
        servers.ServerAppeared,
    ]


def test_server_of_other_domain_is_refused() -> None:
    """The error names both domains and the server."""
    registry = servers.Registry(ids.FailureDomain('b'))
    with pytest.raises(errors.OtherDomainError, match="'s'.*'a'.*'b'"):
        registry.announce(announcement(), 0)


def test_memory_is_bounded() -> None:
    """Past the limit a live server is never dropped for a new one."""
    registry = servers.Registry(max_servers=2)
    registry.announce(announcement('s'), 0)
    registry.announce(announcement('t'), 2)
    with pytest.raises(errors.RegistryFullError):
        registry.announce(announcement('u'), 2)
    registry.announce(announcement('u'), 4)
    live = [said.server_id for said in registry.live(4)]
    assert live == ['t', 'u']


@pytest.mark.parametrize(
    ('field', 'nonsense'),
    [
        ('server_id', ''),
        ('server_id', 's' * 129),
        ('pool', 7),
        ('kind', 'teapot'),
        ('address', ids.Address('127.0.0.1', 0)),
        ('models', ('m',) * 257),
        ('adapters', ('m' * 129,)),
        ('incarnation', -1),
        ('slots', 0),
        ('kv_tokens', 1 << 41),
        ('max_context', -1),
    ],
)
def test_nonsense_is_refused(field: str, nonsense: object) -> None:
    """The error names the field."""
    said = announcement(**{field: nonsense})
    with pytest.raises(errors.AnnouncementError, match=field):
        limits.check(said)
