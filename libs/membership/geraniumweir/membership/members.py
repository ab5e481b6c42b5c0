"""The hosts of the own failure domain, as this host sees them.

A host that is only told of is a candidate: it gets heartbeats, and is live
once it was heard itself. A dead one gets a heartbeat now and then, so that a
healed partition joins, and is forgotten after a time. A host of an older
incarnation than a known one is never taken back. One that keeps dying and
returning has to be heard longer each time before it counts as live again.
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
    """What this host holds a member for."""

    candidate = 'candidate'
    live = 'live'
    suspected = 'suspected'
    dead = 'dead'
    gone = 'gone'


@dataclasses.dataclass(slots=True)
class Member:
    """A host of the domain and what is known of it.

    :ivar entered_at: when it came into its state, in seconds.
    :ivar failure_count: how often it died and returned lately.
    :ivar heartbeats_required: heartbeats it still owes before it is live again.
    :ivar reachable_count: how many hosts it hears, itself included.
    """

    host: hosts.Host
    state: State
    entered_at: float
    failure_count: int = 0
    heartbeats_required: int = 0
    reachable_count: int = 0

    @property
    def in_view(self) -> bool:
        """Tell whether it is in the view."""
        return self.state in {State.live, State.suspected}


class Members:
    """The own failure domain.

    :ivar changes: typed events of other hosts.
    """

    def __init__(self, me: hosts.Host, timing: suspicion.Timing) -> None:
        """Start alone."""
        self.me = me
        self.suspicion = suspicion.Suspicion(timing)
        self.changes: subject.Subject[hosts.HostEvent] = subject.Subject()
        self._members: dict[ids.HostId, Member] = {}
        self._roster: int | None = None

    @property
    def roster(self) -> int:
        """Give the fingerprint of the live hosts."""
        if self._roster is None:
            self._roster = cards.roster_hash(self.live())
        return self._roster

    @property
    def reachable_count(self) -> int:
        """Count the hosts that are heard directly, this one included."""
        states = [member.state for member in self._members.values()]
        return states.count(State.live) + 1

    def live(self) -> tuple[hosts.Host, ...]:
        """List the live hosts, this one among them, by id."""
        found = [
            member.host for member in self._members.values() if member.in_view
        ]
        return tuple(sorted([*found, self.me], key=host_key))

    def is_live(self, host_id: ids.HostId) -> bool:
        """Tell whether a host is this one or a live one."""
        member = self._members.get(host_id)
        return host_id == self.me.host_id or bool(member and member.in_view)

    def others(self, *states: State) -> list[hosts.Host]:
        """List the other hosts in given states, by id."""
        found = [
            member.host
            for member in self._members.values()
            if member.state in states
        ]
        return sorted(found, key=host_key)

    def member(self, host_id: ids.HostId) -> Member | None:
        """Give what is known of another host, live or not."""
        return self._members.get(host_id)

    def set_roles(self, roles: hosts.Role) -> None:
        """Change this host's own roles."""
        self.me = dataclasses.replace(self.me, roles=roles)
        self._roster = None
        self.changes.on_next(hosts.HostChanged(self.me))

    def add_candidate(self, host: hosts.Host, now: float) -> bool:
        """Take in a host that somebody told of.

        :returns: whether it is new here, or in a new incarnation.
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
        """Note that a host was heard.

        :returns: the member, or None when its card must be asked for or the
            message comes from an older life.
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
        """Take in what a heartbeat says of its sender."""
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
        """Note that a host stops; it is not taken back in this life."""
        member = self._members.get(host_id)
        if member is None or member.host.incarnation != incarnation:
            return
        self._depart(member, hosts.Departure.announced, now)
        _set_state(member, State.gone, now)

    def evaluate(self, now: float) -> None:
        """Judge every host from its silence; forget those long dead."""
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
    """List the live hosts of the own domain that may lead pools.

    A draining one may not, nor one that hears less than half of those that
    this host holds for live: it is cut off on its way in.
    """
    live = domain.live()
    return tuple(
        host
        for host in live
        if not host.draining and 2 * _reachable_count(domain, host) >= len(live)
    )


def host_key(host: hosts.Host) -> ids.HostId:
    """Give what hosts are sorted by."""
    return host.host_id


def newest_incarnations(found: typing.Iterable[hosts.Host]) -> list[hosts.Host]:
    """Keep the newest life of each host, by id."""
    kept: dict[ids.HostId, hosts.Host] = {}
    for host in found:
        known = kept.get(host.host_id)
        if known is None or host.incarnation >= known.incarnation:
            kept[host.host_id] = host
    return sorted(kept.values(), key=host_key)


def _set_state(member: Member, state: State, now: float) -> None:
    # A short suspicion doesn't restart the time that a host has lived.
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
