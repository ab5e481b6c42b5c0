"""Keeps a control host's recorder running and the set of recorders complete.

A recorder whose disk failed stops; its folder is opened again after a pause, as
after a restart of the process. A recorder that is not a member of the log
requests to join from the leader, which decides.
"""

import asyncio
import contextlib

import reactivex
from geraniumweir.common import errors as common_errors
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.configuration import published, recordings, state
from geraniumweir.consensus import errors, serving
from geraniumweir.control import hosts, logevents, recorder_changes
from geraniumweir.rollout import orders
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire import peers
from geraniumweir.wire.gen.control import ttypes
from reactivex import abc, disposable, subject

# Interval for checking the recorder: half of the shortest election timeout, so
# that a change is detected before another host could act on the old state.
_POLL_SECONDS = 0.25
# A disk that was full or failed is tried again at this interval.
_REOPEN_SECONDS = 0.5
# A change of the recorders takes two rounds of the log; it is tried again later
# when it is not complete by then.
_CHANGE_SECONDS = 3.0
# A host's report that it leads is valid for this long: three of the exchanges
# that contain it.
_LEADER_REPORT_SECONDS = 1.5
# Answers between failure domains take a few milliseconds.
_JOIN_TIMEOUT_SECONDS = 0.5


class Recorders:
    """The replicated log as one control host takes part in it.

    :ivar running: the recorder, or None while it cannot run.
    """

    def __init__(
        self,
        link: peers.Peers,
        log_place: recordings.Place,
        known: hosts.ControlHosts,
        me: hosts.ControlHost,
        voter_count: int,
    ) -> None:
        """Initialize without a running recorder.

        :param voter_count: wanted number of recorders.
        """
        self.running: recordings.Recording | None = None
        self._link = link
        self._log_place = log_place
        self._known = known
        self._me = me
        self._voter_count = voter_count
        self._clock = timers.TimerService()
        self._reported_leader = ids.HostId('')
        self._reported_at = float('-inf')
        self._was_current = False
        self._joins: dict[ids.HostId, recorder_changes.Join] = {}
        self._documents: subject.Subject[published.PublishedDocument] = (
            subject.Subject()
        )
        self._rollouts: subject.Subject[orders.Rollout] = subject.Subject()
        link.handle(ttypes.JoinLog, self._on_join)

    @property
    def documents(self) -> reactivex.Observable[published.PublishedDocument]:
        """Emits each newer document."""
        return self._documents

    @property
    def rollouts(self) -> reactivex.Observable[orders.Rollout]:
        """Emits each rollout order and its progress."""
        return self._rollouts

    def leader(self) -> ids.HostId:
        """Return the host that leads the log and is reachable, or empty."""
        if self.running is not None and self.running.recorder.leader():
            return self.running.recorder.leader()
        if self._clock.now() - self._reported_at > _LEADER_REPORT_SECONDS:
            return ids.HostId('')
        return self._reported_leader

    def record_leader(self, host_id: ids.HostId) -> None:
        """Record a host's report that it leads.

        It is used where the recorder here has no leader: this recorder may be
        new and not in the log yet.
        """
        self._reported_leader = host_id
        self._reported_at = self._clock.now()

    def is_leading(self) -> bool:
        """Return whether this host leads the log."""
        return self.running is not None and self.running.recorder.is_leading()

    def leads_since(self, since: float) -> bool:
        """Return whether a majority followed this host since a time.

        :param since: in seconds.
        """
        if self.running is None:
            return False
        return serving.leads_since(self.running.recorder.core, since)

    def is_current(self) -> bool:
        """Return whether all recently committed entries are applied here."""
        return self.running is not None and self.running.is_sure()

    async def run(self) -> None:
        """Keep the recorder running until cancelled."""
        while True:
            try:
                await self._run_once()
            except common_errors.GeraniumweirError as exc:
                eventlog.emit(logevents.RECORDER_REOPENED, reason=exc.message)
            except OSError as exc:
                eventlog.emit(logevents.RECORDER_REOPENED, reason=str(exc))
            await asyncio.sleep(_REOPEN_SECONDS)

    async def _run_once(self) -> None:
        async with recordings.opened(self._log_place, self._link) as running:
            self.running = running
            subscription = self._forward_changes(running.state)
            eventlog.emit(
                logevents.RECORDER_OPENED,
                identity=running.recorder.identity,
            )
            try:
                await self._supervise(running)
            finally:
                self.running = None
                subscription.dispose()
            eventlog.emit(
                logevents.RECORDER_REOPENED,
                reason=running.recorder.failure,
            )

    def _forward_changes(self, found: state.SystemState) -> abc.DisposableBase:
        """Emit what is stored, and subscribe to later changes."""
        subscription = disposable.CompositeDisposable(
            found.published.changes.subscribe(self._documents.on_next),
            found.rollouts.changes.subscribe(self._rollouts.on_next),
        )
        newest = found.published.newest()
        if newest is not None:
            self._documents.on_next(newest)
        for rollout in found.rollouts.known():
            self._rollouts.on_next(rollout)
        return subscription

    async def _supervise(self, running: recordings.Recording) -> None:
        while not running.recorder.failure:
            await asyncio.sleep(_POLL_SECONDS)
            self._log_lag(running)
            if running.recorder.is_leading():
                await self._change_recorders(running)
            elif not running.recorder.leader():
                await self._request_join(running)

    def _log_lag(self, running: recordings.Recording) -> None:
        """Log when this host falls behind and when it has caught up."""
        if self.is_current() == self._was_current:
            return
        self._was_current = not self._was_current
        if self._was_current:
            eventlog.emit(logevents.RECORDER_CAUGHT_UP)
            return
        found = running.recorder.core
        eventlog.emit(
            logevents.RECORDER_BEHIND,
            applied=found.applied.height,
            committed=found.leader_contact.committed,
        )

    async def _change_recorders(self, running: recordings.Recording) -> None:
        now = self._clock.now()
        joins = [
            join
            for join in self._joins.values()
            if now - join.requested_at <= recorder_changes.JOIN_EXPIRY_SECONDS
        ]
        statuses = [
            self._status_of(row, now)
            for row in serving.rows(running.recorder.core)
        ]
        change = recorder_changes.decide(statuses, joins, self._voter_count)
        if change is None:
            return
        eventlog.emit(logevents.RECORDERS_CHANGE, change=str(change))
        try:
            await _carry_out(running, change)
        except errors.ConsensusError as exc:
            eventlog.emit(
                logevents.RECORDERS_UNCHANGED,
                change=str(change),
                reason=exc.message,
            )

    def _status_of(
        self, row: serving.RecorderRow, now: float
    ) -> recorder_changes.RecorderStatus:
        known = self._known.get(row.member.host_id)
        domain = ids.FailureDomain('')
        if known is not None:
            domain = known.failure_domain
        return recorder_changes.RecorderStatus(row.member, domain, row.silence)

    async def _request_join(self, running: recordings.Recording) -> None:
        """Request to join the log from all other hosts."""
        join = ttypes.JoinLog(
            self._me.host_id,
            str(self._me.address),
            running.recorder.identity,
            self._me.failure_domain,
        )
        others = [host for host in self._known.known() if host != self._me]
        await asyncio.gather(
            *(self._request_join_at(host.host_id, join) for host in others),
        )

    async def _request_join_at(
        self,
        host_id: ids.HostId,
        join: ttypes.JoinLog,
    ) -> None:
        with contextlib.suppress(wire_errors.PeerError):
            await self._link.call(host_id, join, _JOIN_TIMEOUT_SECONDS)

    async def _on_join(
        self,
        _sender: ids.HostId,
        message: ttypes.JoinLog,
    ) -> ttypes.JoinReply:
        host_id = ids.HostId(message.host_id)
        self._link.learn(host_id, ids.parse_address(message.address))
        self._joins[host_id] = recorder_changes.Join(
            host_id,
            message.address,
            message.identity,
            ids.FailureDomain(message.failure_domain),
            self._clock.now(),
        )
        return ttypes.JoinReply(self.is_leading())


async def _carry_out(
    running: recordings.Recording,
    change: recorder_changes.Change,
) -> None:
    log_recorder = running.recorder
    seconds = _CHANGE_SECONDS
    match change:
        case recorder_changes.Add(host_id, address):
            await log_recorder.add_recorder(host_id, address, seconds)
        case recorder_changes.Replace(host_id, address, lost):
            await log_recorder.replace_recorder(host_id, address, lost, seconds)
        case recorder_changes.Learn(host_id, address):
            await log_recorder.add_learner(host_id, address, seconds)
        case recorder_changes.Remove(host_id):
            await log_recorder.remove_recorder(host_id, seconds)


def newest_of(
    recorders: Recorders,
) -> published.PublishedDocument | None:
    """Return the newest document that this host has applied."""
    if recorders.running is None:
        return None
    return recorders.running.state.published.newest()
