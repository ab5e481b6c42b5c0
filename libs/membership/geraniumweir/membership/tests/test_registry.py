"""State machine test of the registry against a model model; its rules."""

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
    """Return a valid announcement."""
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


class _NaiveModel:
    """Naive model that keeps all announcements and derives the live servers."""

    def __init__(self) -> None:
        self.said: list[tuple[float, float, servers.Announcement]] = []

    def take(self, said: servers.Announcement, left: float, now: float):
        self.said.append((now, now + min(left, servers.LEASE_SECONDS), said))

    def live(self, now: float) -> list[tuple[str, int, bool]]:
        found = []
        for name in sorted({said.server_id for _, _, said in self.said}):
            of_it = [one for one in self.said if one[2].server_id == name]
            incarnation_number = max(said.incarnation for _, _, said in of_it)
            of_incarnation = [
                one for one in of_it if one[2].incarnation == incarnation_number
            ]
            if max(until for _, until, _ in of_incarnation) > now:
                states = {said.state for _, _, said in of_incarnation}
                found.append((name, incarnation_number, _LEAVING in states))
        return found


class RegistryRules(stateful.RuleBasedStateMachine):
    """Announcements in any order, direct and from other hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.registry = servers.Registry(ids.FailureDomain('a'))
        self.model = _NaiveModel()
        self.now = float(0)
        self.events: list[servers.ServerEvent] = []
        self.registry.changes.subscribe(self.events.append)

    @stateful.rule(
        name=st.sampled_from(['s', 't']),
        incarnation_number=st.integers(1, 3),
        state=st.sampled_from(servers.ServerState),
        left=st.sampled_from([0.5, 2, 3, 1000]),
    )
    def take_announcement(
        self,
        name: str,
        incarnation_number: int,
        state: servers.ServerState,
        left: float,
    ) -> None:
        """Apply an announcement, maybe a late one."""
        before = self.registry.lease(ids.ServerId(name))
        said = announcement(name, incarnation_number, state)
        crashed = self.registry.apply(said, left, self.now)
        self.model.take(said, left, self.now)
        newer = bool(
            before and incarnation_number > before.announcement.incarnation
        )
        assert crashed is newer

    @stateful.rule(
        incarnation_number=st.integers(1, 3), left=st.sampled_from([1, 3])
    )
    def renew(self, incarnation_number: int, left: float) -> None:
        """Renew a lease by the key of its announcement."""
        said = announcement('s', incarnation_number)
        if self.registry.renew(servers.key_of(said), left, self.now):
            self.model.take(said, left, self.now)

    @stateful.rule(seconds=st.sampled_from([0.4, 1, 2.9, 3, 20]))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds

    @stateful.invariant()
    def agrees_with_model(self) -> None:
        """The same servers are live, with the same incarnation and state."""
        live = [
            (said.server_id, said.incarnation, said.state is _LEAVING)
            for said in self.registry.live(self.now)
        ]
        assert live == self.model.live(self.now)

    @stateful.invariant()
    def crashes_are_reported_once(self) -> None:
        """Each newer incarnation of a server is one crash event."""
        crashes = [
            (one.after.server_id, one.after.incarnation)
            for one in self.events
            if isinstance(one, servers.ServerCrashed)
        ]
        assert len(crashes) == len(set(crashes))


TestRegistryRules = RegistryRules.TestCase
TestRegistryRules.settings = _SETTINGS


def test_leaving_lasts_for_its_incarnation() -> None:
    """A late ``ready`` doesn't end ``leaving``; a new incarnation does."""
    registry = servers.Registry()
    registry.announce(announcement(state=_LEAVING), 0)
    registry.announce(announcement(), 1)
    assert registry.live(1)[0].state is _LEAVING
    registry.announce(announcement(), 100)
    assert registry.live(100)[0].state is _LEAVING
    registry.announce(announcement(incarnation=2), 101)
    assert registry.live(101)[0].state is _READY


def test_expiry_is_reported() -> None:
    """An expired lease is one event, the server's return another."""
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


def test_server_of_other_domain_is_rejected() -> None:
    """The error names both domains and the server."""
    registry = servers.Registry(ids.FailureDomain('b'))
    with pytest.raises(errors.OtherDomainError, match="'s'.*'a'.*'b'"):
        registry.announce(announcement(), 0)


def test_memory_is_bounded() -> None:
    """At the limit, no live server is evicted for a new one."""
    registry = servers.Registry(max_servers=2)
    registry.announce(announcement('s'), 0)
    registry.announce(announcement('t'), 2)
    with pytest.raises(errors.RegistryFullError):
        registry.announce(announcement('u'), 2)
    registry.announce(announcement('u'), 4)
    live = [said.server_id for said in registry.live(4)]
    assert live == ['t', 'u']


@pytest.mark.parametrize(
    ('field', 'invalid'),
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
def test_invalid_field_is_rejected(field: str, invalid: object) -> None:
    """The error names the field."""
    said = announcement(**{field: invalid})
    with pytest.raises(errors.AnnouncementError, match=field):
        limits.check(said)
