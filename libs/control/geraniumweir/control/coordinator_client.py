"""The current coordinator of the pools, as an entry host sees it.

The host that leads the log is the coordinator, as long as it answers. When it
is silent, the reachable control hosts are pinged: one that leads comes first,
then the stand-in with the lowest id, so that hosts that reach the same control
hosts choose the same. When none answers, this host coordinates its own
requests.

An answer counts as missed after 0.4 s; a request that waits at a lost
coordinator then moves to the next one. Where control hosts answer and none of
them coordinates, they are about to elect a leader. Until then this host grants
what its share of slots and quotas allows, and denies nothing for lack of them:
with hundreds of hosts, each has less than one request of most customers.
"""

import asyncio
import dataclasses
import time
import typing

import reactivex
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import (
    hosts,
    logevents,
    notice_exchange,
    ping_times,
    pinging,
    relay_hosts,
    usage_codec,
)
from geraniumweir.scheduling import (
    notices,
    part_encoding,
    part_evidence,
    recent_usage,
)
from geraniumweir.wire import errors, peers
from geraniumweir.wire.gen.control import ttypes
from geraniumweir.wire.gen.scheduling import ttypes as scheduling_types
from reactivex import subject

# Longest wait for the answer: twice the first retransmission of a lost packet
# (0.2 s).
_PING_TIMEOUT_SECONDS = 0.4
# A leader that runs answers within this time after a stand-in: some ten round
# trips. Waiting for silent hosts would take as long as a missed answer, each
# time that a coordinator is lost.
_LEADER_WAIT_SECONDS = 0.05
# The longest silence before an election, a failed election, and the votes.
_ELECTION_SECONDS = 2.0
_NO_HOST = ids.HostId('')
_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Answers:
    """Control hosts that answered.

    :ivar number: of all that answered.
    """

    leaders: list[ids.HostId]
    stand_ins: list[ids.HostId]
    number: int


def _classify(
    answers: typing.Mapping[ids.HostId, ttypes.Pong | None],
) -> _Answers:
    pongs = {name: pong for name, pong in answers.items() if pong is not None}
    return _Answers(
        [name for name, pong in pongs.items() if pong.leads],
        [name for name, pong in pongs.items() if pong.stands_in],
        len(pongs),
    )


IsSettled: typing.TypeAlias = typing.Callable[[ids.HostId], bool]


def _relays_nothing() -> bool:
    return False


def _is_never_settled(_host_id: ids.HostId) -> bool:
    return False


class CoordinatorClient:
    """The coordinator as an entry host sees it; see :class:`views.HostView`.

    :ivar is_settled: returns whether a host coordinates for this one and knows
        all that others granted.
    """

    def __init__(
        self,
        link: peers.Peers,
        domain: ids.FailureDomain,
        known: hosts.ControlHosts,
        usage_for: typing.Callable[[ids.HostId], recent_usage.RecentUsage],
        server_notices: notices.Notices,
        relays: typing.Callable[[], bool] = _relays_nothing,
        parts: part_evidence.PartEvidence | None = None,
    ) -> None:
        """Initialize without a coordinator.

        :param domain: this host's failure domain.
        :param usage_for: returns what this host was granted, for a new
            coordinator.
        :param server_notices: notices of servers that this host has.
        :param relays: returns whether this host dispatches for others.
        :param parts: takes the prompt parts that the coordinator refuses.
        """
        self._relays = relays
        self._assigned_relays = ttypes.Relays([], [])
        self._parts = parts or part_evidence.PartEvidence()
        self._refused_digest = 0
        self._usage_for = usage_for
        self._link = link
        self._domain = domain
        self._known = known
        self._clock = timers.TimerService()
        self.is_settled: IsSettled = _is_never_settled
        self._ping_times = ping_times.PingTimes()
        self._notice_sender = notice_exchange.NoticeSender(
            link, server_notices, self._clock
        )
        # Tells the processes of a host apart.
        self._started = int(time.time() * _MS)
        self._coordinator_id = _NO_HOST
        self._lost_at: float | None = self._clock.now()
        self._awaits_election = False
        self._host_count = 1
        self._is_led = False
        # Of any control host, as none may lead after a loss of all hosts.
        self._seen_host_count = 1
        self._share: float | None = None
        self._changes: subject.Subject[None] = subject.Subject()

    @property
    def changes(self) -> reactivex.Observable[None]:
        """Emits when another host becomes the coordinator."""
        return self._changes

    def live(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return the coordinator; an empty list if this host is alone."""
        return [self._coordinator_id] if self._coordinator_id else []

    def owners(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return no other host: this host leads only for itself."""
        return []

    def is_alone(self) -> bool:
        """Return whether this host coordinates its own requests."""
        return not self._coordinator_id

    def awaits_election(self) -> bool:
        """Return whether another host is about to coordinate."""
        return self._awaits_election

    def hosts(self) -> int:
        """Return the last reported number of entry hosts."""
        return self._host_count

    def share(self) -> float:
        """Return the share of slots and quotas that this host may use alone."""
        return self._share or 1 / max(self._host_count, 1)

    def share_ratio(self) -> float:
        """Return this host's share of all requests, 1 for an equal one."""
        return self.share() * self.hosts()

    def coordinator_id(self) -> ids.HostId:
        """Return this host's coordinator: itself where it is alone."""
        return self._coordinator_id or self._link.host_id

    def assigned_relays(self) -> ttypes.Relays:
        """Return the relays that a coordinator last assigned to this host.

        They stay valid while this host is alone.
        """
        return self._assigned_relays

    async def run(self) -> None:
        """Ping and replace the coordinator until cancelled."""
        while True:
            started = self._clock.now()
            pong = (
                await self._ping(self._coordinator_id)
                if self._coordinator_id
                else None
            )
            self._is_led = pong is not None and pong.leads
            if not self._is_led:
                await self._search()
            took = self._clock.now() - started
            await asyncio.sleep(max(self._period_seconds() - took, 0))

    def _period_seconds(self) -> float:
        ping_seconds = pinging.period_seconds(self._seen_host_count)
        if self._is_led:
            return ping_seconds
        search_seconds = pinging.search_period_seconds(self._seen_host_count)
        if self._awaits_election:
            return search_seconds
        return max(search_seconds, ping_seconds)

    async def leave(self) -> None:
        """Announce the end of this host, so that others get its quota."""
        if self._coordinator_id:
            ping = ttypes.Ping(self._domain, leaving=True)
            self._link.send(self._coordinator_id, ping)

    async def _search(self) -> None:
        """Ping all control hosts at once, until one answers that it leads."""
        pending_hosts = {
            asyncio.create_task(self._ping(host.host_id)): host.host_id
            for host in self._known.known()
        }
        silent = set(pending_hosts)
        candidates: list[ids.HostId] = []
        answered = 0
        deadline = self._clock.now() + _PING_TIMEOUT_SECONDS
        while silent and self._clock.now() < deadline:
            done, silent = await asyncio.wait(
                silent,
                timeout=deadline - self._clock.now(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            found = _classify(
                {pending_hosts[task]: task.result() for task in done}
            )
            if found.leaders:
                candidates = found.leaders
                break
            candidates += found.stand_ins
            answered += found.number
            # A busy leader is waited for once; a lost leader is not waited
            # for each time.
            if candidates or (answered and self._awaits_election):
                deadline = min(
                    deadline, self._clock.now() + _LEADER_WAIT_SECONDS
                )
        for task in silent:
            task.cancel()
        if candidates:
            self._lost_at = None
            self._awaits_election = False
        else:
            self._record_no_coordinator(answered)
        self._set_coordinator(min(candidates, default=_NO_HOST))

    def _record_no_coordinator(self, answered: int) -> None:
        """Record that no host coordinates.

        :param answered: number of control hosts that are reachable.
        """
        now = self._clock.now()
        if self._lost_at is None:
            self._lost_at = now
        awaits = bool(answered) and now - self._lost_at < _ELECTION_SECONDS
        if awaits and not self._awaits_election:
            eventlog.emit(
                logevents.ELECTION_AWAITED,
                answered=answered,
                before=self._coordinator_id or 'this host',
            )
        self._awaits_election = awaits

    async def _ping(self, host_id: ids.HostId) -> ttypes.Pong | None:
        ping = ttypes.Ping(
            self._domain,
            leaving=False,
            share=self._share,
            relays=self._relays(),
            relays_digest=relay_hosts.digest(self._assigned_relays),
            refused_digest=self._refused_digest,
            started=self._started,
            settled=self.is_settled(host_id),
        )
        self._ping_times.fill(host_id, ping, self._clock.now())
        revision = self._notice_sender.fill(host_id, ping)
        try:
            pong = await self._link.call(host_id, ping, _PING_TIMEOUT_SECONDS)
        except errors.PeerError:
            return None
        self._ping_times.record(host_id, pong, self._clock.now())
        self._notice_sender.handle_pong(host_id, revision, pong)
        self._seen_host_count = pong.hosts
        if pong.relays is not None and host_id == self._coordinator_id:
            self._set_relays(pong.relays)
        if pong.refused is not None and host_id == self._coordinator_id:
            self._set_refused(pong.refused)
        if pong.leads:
            self._host_count = pong.hosts
            self._share = pong.share
        return pong

    def _set_relays(self, relays: ttypes.Relays) -> None:
        # A coordinator that has just started knows none yet.
        if relays.near or relays.far:
            self._assigned_relays = relays

    def _set_refused(
        self, structs: typing.Iterable[scheduling_types.PartTrials]
    ) -> None:
        refused = part_encoding.unpack_refused(structs, self._clock.now())
        self._parts.set_refused_elsewhere(refused)
        self._refused_digest = part_encoding.digest(refused)

    def _set_coordinator(self, host_id: ids.HostId) -> None:
        if host_id == self._coordinator_id:
            return
        eventlog.emit(
            logevents.COORDINATOR,
            host=host_id or 'this host',
            before=self._coordinator_id or 'this host',
            part=self.share(),
        )
        self._coordinator_id = host_id
        if host_id:
            # Ahead of the requests, so that it has the usage when it counts.
            self._link.send(host_id, usage_codec.pack(self._usage_for(host_id)))
        self._notice_sender.set_coordinator(host_id)
        self._changes.on_next(None)
