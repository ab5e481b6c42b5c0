"""Exchange of reachability and enrolments between control hosts.

A change is sent to all others at once. Twice a second each pings each other;
where the digests of their enrolments differ, they exchange the buckets that do.
There are at most seven control hosts, whatever the number of entry hosts.
"""

import asyncio
import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import (
    enrolment_codec,
    enrolments,
    hosts,
    logevents,
    reachable_hosts,
    recorders,
)
from geraniumweir.scheduling import notices
from geraniumweir.wire import errors, peers
from geraniumweir.wire.gen.control import ttypes

# Interval of the comparison: an enrolment that was lost between control hosts
# is repaired within a second.
_EXCHANGE_SECONDS = 0.5
# Answers between failure domains take a few milliseconds.
_TIMEOUT_SECONDS = 0.5
# A control host that was not seen for this long is absent: the servers that
# report there have moved to another one by then (they report about once a
# second and give up after one more).
_ABSENT_SECONDS = 5.0


class Presence:
    """The exchange between control hosts.

    :ivar on_change: called when enrolments changed.
    """

    def __init__(
        self,
        link: peers.Peers,
        me: hosts.ControlHost,
        known: hosts.ControlHosts,
        table: enrolments.Enrolments,
        log: recorders.Recorders,
        entry_hosts: reachable_hosts.EntryHosts,
        seeds: hosts.Seeds = dict,
    ) -> None:
        """Answer the others from now on.

        :param seeds: returns some control hosts to contact while none of the
            known ones is reachable.
        """
        self._current_seeds = seeds
        self._link = link
        self._me = me
        self._known = known
        self._table = table
        self._log = log
        self._entry_hosts = entry_hosts
        self._clock = timers.TimerService()
        self._unreachable: set[ids.HostId] = set()
        self.on_change: typing.Callable[[], None] = _ignore
        link.handle(ttypes.Presence, self._on_presence)
        link.handle(ttypes.Enrolled, self._on_enrolled)
        link.handle(ttypes.AskEnrolled, self._on_ask_enrolled)

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            others = self._others()
            await asyncio.gather(
                *(self._exchange_with(host) for host in others)
            )
            now = self._clock.now()
            self._known.record_seen(self._me.host_id, now)
            self._known.evict_old(now)
            absent = self._known.unseen_for(now, _ABSENT_SECONDS)
            if absent.issuperset(self._others()):
                self._add_seeds(now)
            newly_silent = self._table.expire(now, absent)
            self.publish_changes(newly_silent)
            if newly_silent:
                self.on_change()
            await asyncio.sleep(_EXCHANGE_SECONDS)

    def handle_notice(self, notice: notices.Notice) -> None:
        """Apply a notice that a server leaves."""
        if not isinstance(notice.content, notices.Leaving):
            return
        now = self._clock.now()
        found = self._table.mark_leaving(*notice.start, now)
        if found is not None:
            self.publish_changes([found])
            self.on_change()

    def publish_changes(
        self, changed: typing.Sequence[enrolments.Enrolment]
    ) -> None:
        """Send changed enrolments to the other control hosts."""
        if not changed:
            return
        for enrolment in changed:
            log_server(enrolment)
        message = ttypes.Enrolled([found.to_wire() for found in changed])
        for host_id in self._others():
            self._link.send(host_id, message)

    def _others(self) -> list[ids.HostId]:
        return [
            host.host_id
            for host in self._known.known()
            if host.host_id != self._me.host_id
        ]

    async def _exchange_with(self, host_id: ids.HostId) -> None:
        try:
            answer = await self._link.call(
                host_id, self._own_report(), _TIMEOUT_SECONDS
            )
        except errors.PeerError as exc:
            self._record_unreachable(host_id, exc.message)
            return
        self._apply(host_id, answer)
        if answer.digest != self._table.digest():
            await self._fetch_enrolments(host_id)

    def _add_seeds(self, now: float) -> None:
        """Include the present seeds from the next exchange on."""
        for host_id, address in self._current_seeds().items():
            if self._known.register(hosts.seed(host_id, address), now):
                self._link.learn(host_id, address)

    async def _fetch_enrolments(self, host_id: ids.HostId) -> None:
        try:
            received = await self._link.call(
                host_id,
                ttypes.AskEnrolled(self._table.bucket_digests()),
                _TIMEOUT_SECONDS,
            )
        except errors.PeerError as exc:
            self._record_unreachable(host_id, exc.message)
            return
        await self._on_enrolled(host_id, received)

    def _own_report(self) -> ttypes.Presence:
        return ttypes.Presence(
            me=self._me.to_wire(),
            hosts=[host.to_wire() for host in self._known.known()],
            digest=self._table.digest(),
            entry_hosts=self._entry_hosts.count(self._clock.now()),
            leads=self._log.is_leading(),
        )

    async def _on_presence(
        self,
        sender: ids.HostId,
        report: ttypes.Presence,
    ) -> ttypes.Presence:
        self._apply(sender, report)
        return self._own_report()

    def _apply(self, sender: ids.HostId, report: ttypes.Presence) -> None:
        now = self._clock.now()
        for received in (report.me, *report.hosts):
            host = hosts.from_wire(received)
            if self._known.register(host, now):
                self._link.learn(host.host_id, host.address)
        self._known.record_seen(sender, now)
        if report.leads:
            self._log.record_leader(sender)
            self._entry_hosts.set_reported_count(report.entry_hosts, now)
        if sender in self._unreachable:
            self._unreachable.discard(sender)
            eventlog.emit(logevents.CONTROL_HOST_REACHABLE, host=sender)

    def _record_unreachable(self, host_id: ids.HostId, reason: str) -> None:
        if host_id not in self._unreachable:
            self._unreachable.add(host_id)
            eventlog.emit(
                logevents.CONTROL_HOST_UNREACHABLE,
                host=host_id,
                reason=reason,
            )

    async def _on_enrolled(
        self,
        sender: ids.HostId,
        message: ttypes.Enrolled,
    ) -> None:
        now = self._clock.now()
        before = self._table.revision
        for found in enrolment_codec.parse_readable(message.servers, sender):
            if self._table.merge(found, now, sender):
                log_server(found)
        if self._table.revision != before:
            self.on_change()

    async def _on_ask_enrolled(
        self,
        _sender: ids.HostId,
        message: ttypes.AskEnrolled,
    ) -> ttypes.Enrolled:
        buckets = self._table.differing_buckets(message.digests or b'')
        found = self._table.in_buckets(buckets)
        return ttypes.Enrolled([one.to_wire() for one in found])


def _ignore() -> None:
    """Do nothing where no callback is set."""


def log_server(found: enrolments.Enrolment) -> None:
    """Log the stored state of a server."""
    eventlog.emit(
        logevents.SERVER_CHANGED,
        server=found.server_id,
        pool=found.pool,
        address=str(found.address),
        born=found.born,
        state=found.state.name,
        sequence=found.sequence,
        silent=found.silent,
    )
