"""Publishes and reads the newest document from any control host."""

import time

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.configuration import commands, published
from geraniumweir.control import (
    errors,
    hosts,
    logaccess,
    logevents,
    recorders,
)
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire import peers
from geraniumweir.wire.gen.control import ttypes

_MS = 1000
# Clients of the control address switch to another host after a second without
# an answer; any answer within it saves them the wait.
_PUBLISH_SECONDS = 0.9
# A read must end within the same second; a tenth is left to answer it.
_READ_SECONDS = 0.8


class Documents:
    """The published document, in the replicated log."""

    def __init__(
        self,
        link: peers.Peers,
        log: recorders.Recorders,
        known: hosts.ControlHosts,
        access: logaccess.LogAccess,
    ) -> None:
        """Answer the other control hosts' reads from now on."""
        self._link = link
        self._log = log
        self._known = known
        self._access = access
        self._clock = timers.TimerService()
        link.handle(ttypes.ReadNewest, self._on_read)

    async def publish(self, version: ids.Version, document: bytes) -> None:
        """Store a document; returns once a majority of recorders synced it.

        :param document: has been checked.
        :raises errors.DocumentTooLargeError: when no log can store it.
        :raises errors.NotStoredError: when it may not have been stored.
        """
        if len(document) > commands.MAX_DOCUMENT_BYTES:
            raise errors.DocumentTooLargeError(
                f'a document of {len(document)} bytes; documents have up to'
                f' {commands.MAX_DOCUMENT_BYTES}'
            )
        at_ms = int(time.time() * _MS)
        started = self._clock.now()
        command = commands.publish(version, document, at_ms)
        try:
            answers = await self._access.propose(command, _PUBLISH_SECONDS)
        except errors.NotStoredError as exc:
            eventlog.emit(
                logevents.DOCUMENT_NOT_STORED,
                version=version,
                ms=self._ms_since(started),
                reason=exc.message,
            )
            raise
        taken = answers[0].publish.taken
        eventlog.emit(
            logevents.DOCUMENT_PUBLISHED,
            version=version,
            ms=self._ms_since(started),
            taken=taken,
        )

    def _ms_since(self, started: float) -> int:
        return round((self._clock.now() - started) * _MS)

    async def newest(self) -> published.PublishedDocument | None:
        """Return the newest document, all that was stored before included.

        :returns: None before the first.
        :raises errors.NotUpToDateError: when no majority could be reached.
        """
        try:
            index = await self._access.barrier(_READ_SECONDS)
        except errors.NotUpToDateError as exc:
            eventlog.emit(logevents.READ_NOT_CURRENT, reason=exc.message)
            raise
        if self._access.has_applied(index):
            return recorders.newest_of(self._log)
        return await self._read_from_others(index)

    async def _read_from_others(
        self,
        index: int,
    ) -> published.PublishedDocument | None:
        """Read from another host, the leader first; this one lags behind."""
        leader = self._log.leader()
        others = [
            host.host_id
            for host in self._known.known()
            if host.host_id != self._link.host_id
        ]
        others.sort(key=leader.__ne__)
        for host_id in others:
            try:
                found = await self._link.call(
                    host_id,
                    ttypes.ReadNewest(index),
                    _READ_SECONDS,
                )
            except wire_errors.PeerError:
                continue
            if found.known:
                return _unpacked(found)
        reason = 'no recorder has applied the newest entry'
        eventlog.emit(logevents.READ_NOT_CURRENT, reason=reason)
        raise errors.NotUpToDateError(reason)

    async def _on_read(
        self,
        _sender: ids.HostId,
        request: ttypes.ReadNewest,
    ) -> ttypes.Newest:
        if not self._access.has_applied(request.index):
            return ttypes.Newest(known=False, version=0, document=b'')
        newest = recorders.newest_of(self._log)
        if newest is None:
            return ttypes.Newest(known=True, version=-1, document=b'')
        return ttypes.Newest(True, newest.version, newest.packed)


def _unpacked(found: ttypes.Newest) -> published.PublishedDocument | None:
    if found.version < 0:
        return None
    return published.PublishedDocument(
        ids.Version(found.version),
        found.document,
    )
