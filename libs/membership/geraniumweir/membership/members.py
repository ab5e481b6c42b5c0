"""The hosts of the own failure domain, as this host sees them.

A host of which only a card arrived is a candidate: it is sent heartbeats and
becomes live with its own first heartbeat. A dead host is sent a heartbeat
from time to time, so that the views join after a partition, and is removed
after a retention time. An older incarnation never replaces a newer one. A
flapping host needs more heartbeats each time before it is live again.
"""

import dataclasses
import enum
import typing

from geraniumweir.common import ids
from geraniumweir.membership import cards, hosts, suspicion
from reactivex import subject

DEAD_RETENTION_SECONDS = 600.0
CANDIDATE_RETENTION_SECONDS = 60.0
FLAP_RESET_SECONDS = 60.0
MAX_MEMBERS = 256
MAX_HEARTBEATS_REQUIRED = 16


class State(enum.Enum):
    """State of a member in the view of this host."""

    candidate = 'candidate'
    live = 'live'
    suspected = 'suspected'
    dead = 'dead'
    gone = 'gone'


@dataclasses.dataclass(slots=True)
class Member:
    """Another host of the domain with its state.

    :ivar entered_at: when it entered its state, in seconds on the clock.
    :ivar failure_count: times it left the view since it was last stable.
    :ivar heartbeats_required: heartbeats still needed before it is live.
    :ivar reachable_count: hosts it receives from, itself included.
    """

    host: hosts.Host
    state: State
    entered_at: float
    failure_count: int = 0
    heartbeats_required: int = 0
    reachable_count: int = 0

    @property
    def in_view(self) -> bool:
        """Return whether the member counts as live."""
        return self.state in {State.live, State.suspected}


class Members:
    """Membership table of the own failure domain.

    :ivar me: this host.
    :ivar changes: typed events of the hosts of the domain.
    """

    def __init__(self, me: hosts.Host, timing: suspicion.Timing) -> None:
        """Initialize with this host only."""
        self.me = me
        self.suspicion = suspicion.Suspicion(timing)
        self.changes: subject.Subject[hosts.HostEvent] = subject.Subject()
        self._members: dict[ids.HostId, Member] = {}
        self._roster: int | None = None

    @property
    def roster(self) -> int:
        """Return the fingerprint of the live hosts."""
        if self._roster is None:
            self._roster = cards.roster_hash(self.live())
        return self._roster

    @property
    def reachable_count(self) -> int:
        """Return the number of unsuspected hosts, this one included."""
        states = [member.state for member in self._members.values()]
        return states.count(State.live) + 1

    def live(self) -> tuple[hosts.Host, ...]:
        """Return the live hosts, this one included, sorted by id."""
        found = [
            member.host for member in self._members.values() if member.in_view
        ]
        return tuple(sorted([*found, self.me], key=host_key))

    def is_live(self, host_id: ids.HostId) -> bool:
        """Return whether a host is live; this one always is."""
        member = self._members.get(host_id)
        return host_id == self.me.host_id or bool(member and member.in_view)

    def others(self, *states: State) -> list[hosts.Host]:
        """Return the other hosts in any of the states, sorted by id."""
        found = [
            member.host
            for member in self._members.values()
            if member.state in states
        ]
        return sorted(found, key=host_key)

    def member(self, host_id: ids.HostId) -> Member | None:
        """Return the entry of another host, live or not."""
        return self._members.get(host_id)

    def set_roles(self, roles: hosts.Role) -> None:
        """Set the roles of this host."""
        self.me = dataclasses.replace(self.me, roles=roles)
        self._roster = None
        self.changes.on_next(hosts.HostChanged(self.me))

    def add_candidate(self, host: hosts.Host, now: float) -> bool:
        """Add a host from a card as a candidate.

        :returns: whether the host or its incarnation is new here.
        """
        known = self._members.get(host.host_id)
        if host.host_id == self.me.host_id:
            return False
        if known is None:
            if len(self._members) >= MAX_MEMBERS:
                return False
        elif host.incarnation <= known.host.incarnation:
            return False
        else:
            self._depart(known, hosts.Departure.restarted, now)
        self.suspicion.discard(host.host_id)
        self._members[host.host_id] = Member(host, State.candidate, now)
        return True

    def record_heartbeat(
        self,
        host_id: ids.HostId,
        incarnation: ids.Incarnation,
        now: float,
    ) -> Member | None:
        """Record a heartbeat.

        :returns: the member, or None when there is no card of this
            incarnation or the host has sent a farewell in it.
        """
        member = self._members.get(host_id)
        if member is None or member.host.incarnation != incarnation:
            return None
        if member.state is State.gone:
            return None
        self.suspicion.record_direct(host_id, now)
        match member.state:
            case State.suspected:
                _set_state(member, State.live, now)
            case State.candidate | State.dead:
                self._rejoin(member, now)
        return member

    def update(
        self, member: Member, roles: hosts.Role, reachable_count: int
    ) -> None:
        """Apply what a heartbeat reports about its sender."""
        member.reachable_count = reachable_count
        if roles == member.host.roles:
            return
        member.host = dataclasses.replace(member.host, roles=roles)
        self._roster = None
        if member.in_view:
            self.changes.on_next(hosts.HostChanged(member.host))

    def record_farewell(
        self,
        host_id: ids.HostId,
        incarnation: ids.Incarnation,
        now: float,
    ) -> None:
        """Record that a host stops; this incarnation stays out of the view."""
        member = self._members.get(host_id)
        if member is None or member.host.incarnation != incarnation:
            return
        self._depart(member, hosts.Departure.announced, now)
        _set_state(member, State.gone, now)

    def evaluate(self, now: float) -> None:
        """Detect failures; remove dead hosts and candidates after a time."""
        for member in list(self._members.values()):
            if member.in_view:
                self._evaluate(member, now)
            elif now - member.entered_at >= _retention_seconds(member):
                self._members.pop(member.host.host_id)
                self.suspicion.discard(member.host.host_id)

    def _evaluate(self, member: Member, now: float) -> None:
        verdict = self.suspicion.evaluate(member.host.host_id, now)
        match verdict:
            case suspicion.Verdict.dead:
                self._depart(member, hosts.Departure.silent, now)
            case suspicion.Verdict.suspected if member.state is State.live:
                _set_state(member, State.suspected, now)
                self.changes.on_next(hosts.HostSuspected(member.host))

    def _rejoin(self, member: Member, now: float) -> None:
        if member.heartbeats_required > 0:
            member.heartbeats_required -= 1
            return
        if now - member.entered_at >= FLAP_RESET_SECONDS:
            member.failure_count = 0
        _set_state(member, State.live, now)
        self._roster = None
        self.changes.on_next(hosts.HostJoined(member.host))

    def _depart(
        self,
        member: Member,
        reason: hosts.Departure,
        now: float,
    ) -> None:
        was_in_view = member.in_view
        if was_in_view and now - member.entered_at >= FLAP_RESET_SECONDS:
            member.failure_count = 0
        if was_in_view:
            member.failure_count += 1
            member.heartbeats_required = min(
                1 << member.failure_count, MAX_HEARTBEATS_REQUIRED
            )
        _set_state(member, State.dead, now)
        self._roster = None
        if was_in_view:
            self.changes.on_next(hosts.HostLeft(member.host, reason))


def eligible(domain: Members) -> tuple[hosts.Host, ...]:
    """Return the live hosts of the own domain that may lead pools.

    A draining host may not. Neither may one that receives heartbeats from
    less than half of the hosts that are live here: its inbound links fail.
    """
    live = domain.live()
    return tuple(
        host
        for host in live
        if not host.draining and 2 * _reachable_count(domain, host) >= len(live)
    )


def host_key(host: hosts.Host) -> ids.HostId:
    """Return the sort key of hosts."""
    return host.host_id


def newest_incarnations(found: typing.Iterable[hosts.Host]) -> list[hosts.Host]:
    """Return the newest incarnation of each host, sorted by id."""
    kept: dict[ids.HostId, hosts.Host] = {}
    for host in found:
        known = kept.get(host.host_id)
        if known is None or host.incarnation >= known.incarnation:
            kept[host.host_id] = host
    return sorted(kept.values(), key=host_key)


def _set_state(member: Member, state: State, now: float) -> None:
    # A short suspicion doesn't restart the time for which a host has been
    # stable.
    within = member.in_view and state in {State.live, State.suspected}
    if not within:
        member.entered_at = now
    member.state = state


def _reachable_count(domain: Members, host: hosts.Host) -> int:
    member = domain.member(host.host_id)
    return domain.reachable_count if member is None else member.reachable_count


def _retention_seconds(member: Member) -> float:
    if member.state is State.candidate:
        return CANDIDATE_RETENTION_SECONDS
    return DEAD_RETENTION_SECONDS
