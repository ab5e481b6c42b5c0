"""What control hosts tell each other: that they are there, and enrolments.

A change is told to all at once. Twice a second each asks each other for a
sign of life; where the digests of their enrolments differ, they exchange all
they know. There are seven control hosts at most, whatever the number of
entry hosts.
"""

import asyncio
import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import (
    enrolments,
    hosts,
    logevents,
    recorders,
    standing,
    suspicion,
)
from geraniumweir.scheduling import notices
from geraniumweir.wire import errors, peers
from geraniumweir.wire.gen.control import ttypes

# Control hosts compare what they know this often, in seconds: an enrolment
# that got lost between them is made good within a second.
_PERIOD = 0.5
# Answers between domains take a few milliseconds, in seconds.
_TIMEOUT = 0.5
# A control host that isn't heard for so long is absent, in seconds: the
# servers that report there have turned to another one by then (they report
# about once a second and give up after one more).
_ABSENT_SECONDS = 5.0


class Presence:
    """The exchange between control hosts.

    :ivar on_change: told when enrolments changed.
    :ivar suspicion: what they tell of requests that crash servers.
    """

    def __init__(
        self,
        link: peers.Peers,
        me: hosts.ControlHost,
        known: hosts.ControlHosts,
        table: enrolments.Enrolments,
        log: recorders.Recorders,
        entry_hosts: standing.EntryHosts,
        seeds: hosts.Seeds = dict,
    ) -> None:
        """Answer the others from now on.

        :param seeds: gives some control hosts to ask while none of those
            that are known is heard.
        """
        self._seeds = seeds
        self._link = link
        self._me = me
        self._known = known
        self._table = table
        self._log = log
        self._entry_hosts = entry_hosts
        self._clock = timers.TimerService()
        self.suspicion = suspicion.Suspicion(link, known, self._clock)
        self._silent: set[ids.HostId] = set()
        self.on_change: typing.Callable[[], None] = _nothing
        link.handle(ttypes.Presence, self._on_presence)
        link.handle(ttypes.Enrolled, self._on_enrolled)
        link.handle(ttypes.AskEnrolled, self._on_ask_enrolled)

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            others = self._others()
            await asyncio.gather(*(self._meet(host) for host in others))
            now = self._clock.now()
            self._known.heard(self._me.host_id, now)
            self._known.forget_old(now)
            absent = self._known.absent(now, _ABSENT_SECONDS)
            if absent.issuperset(self._others()):
                self._meet_seeds(now)
            fallen = self._table.expire(now, absent)
            self.tell(fallen)
            if fallen:
                self.on_change()
            await asyncio.sleep(_PERIOD)

    def hear(self, notice: notices.Notice) -> None:
        """Take that a server told an entry host that it leaves."""
        if not isinstance(notice.content, notices.Leaving):
            return
        now = self._clock.now()
        found = self._table.mark_leaving(*notice.start, now)
        if found is not None:
            self.tell([found])
            self.on_change()

    def tell(self, changed: typing.Sequence[enrolments.Enrolment]) -> None:
        """Tell the other control hosts of changed enrolments."""
        if not changed:
            return
        for news in changed:
            log_server(news)
        message = ttypes.Enrolled([found.to_wire() for found in changed])
        for host_id in self._others():
            self._link.send(host_id, message)

    def _others(self) -> list[ids.HostId]:
        return [
            host.host_id
            for host in self._known.known()
            if host.host_id != self._me.host_id
        ]

    async def _meet(self, host_id: ids.HostId) -> None:
        try:
            answer = await self._link.call(host_id, self._card(), _TIMEOUT)
        except errors.PeerError as exc:
            self._note_silence(host_id, exc.message)
            return
        self._take(host_id, answer)
        if answer.digest != self._table.digest():
            await self._compare(host_id)

    def _meet_seeds(self, now: float) -> None:
        """Ask the seeds of now from the next exchange on."""
        for host_id, address in self._seeds().items():
            if self._known.learn(hosts.seed(host_id, address), now):
                self._link.learn(host_id, address)

    async def _compare(self, host_id: ids.HostId) -> None:
        try:
            told = await self._link.call(
                host_id,
                ttypes.AskEnrolled(),
                _TIMEOUT,
            )
        except errors.PeerError as exc:
            self._note_silence(host_id, exc.message)
            return
        await self._on_enrolled(host_id, told)

    def _card(self) -> ttypes.Presence:
        return ttypes.Presence(
            me=self._me.to_wire(),
            hosts=[host.to_wire() for host in self._known.known()],
            digest=self._table.digest(),
            entry_hosts=self._entry_hosts.number(self._clock.now()),
            leads=self._log.is_leading(),
        )

    async def _on_presence(
        self,
        sender: ids.HostId,
        card: ttypes.Presence,
    ) -> ttypes.Presence:
        self._take(sender, card)
        return self._card()

    def _take(self, sender: ids.HostId, card: ttypes.Presence) -> None:
        now = self._clock.now()
        for told in (card.me, *card.hosts):
            host = hosts.from_wire(told)
            if self._known.learn(host, now):
                self._link.learn(host.host_id, host.address)
        self._known.heard(sender, now)
        if card.leads:
            self._log.tell_leader(sender)
            self._entry_hosts.told(card.entry_hosts, now)
        if sender in self._silent:
            self._silent.discard(sender)
            eventlog.emit(logevents.CONTROL_HOST_HEARD, host=sender)

    def _note_silence(self, host_id: ids.HostId, reason: str) -> None:
        if host_id not in self._silent:
            self._silent.add(host_id)
            eventlog.emit(
                logevents.CONTROL_HOST_SILENT,
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
        for found in enrolments.readable(message.servers, sender):
            if self._table.merge(found, now, sender):
                log_server(found)
        if self._table.revision != before:
            self.on_change()

    async def _on_ask_enrolled(
        self,
        _sender: ids.HostId,
        _message: ttypes.AskEnrolled,
    ) -> ttypes.Enrolled:
        return ttypes.Enrolled(
            [found.to_wire() for found in self._table.known()],
        )


def _nothing() -> None:
    """Do nothing when nobody wants to know of changes."""


def log_server(found: enrolments.Enrolment) -> None:
    """Log what is believed of a server."""
    eventlog.emit(
        logevents.SERVER_KNOWN,
        server=found.server_id,
        pool=found.pool,
        address=str(found.address),
        born=found.born,
        state=found.state.name,
        sequence=found.sequence,
        silent=found.silent,
    )
