"""Stores the enrolled backend servers over restarts of a control host.

Servers report every second or two; without stored servers, hosts that all
restart at once could place no request until then. What is stored may be stale:
a server accepts only requests that are meant for its incarnation, and one that
does not report is marked silent.
"""

import asyncio
import pathlib
import typing

from geraniumweir.common import eventlog
from geraniumweir.control import enrolment_codec, enrolments, logevents
from geraniumweir.store import disk, wholefiles
from geraniumweir.store import errors as store_errors
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire import framing
from geraniumweir.wire.gen.control import ttypes

_FILE = 'servers'
# Shortest interval between writes: a sync takes 5 ms on the users' disks, and
# releases bring several changes a second.
_SAVE_SECONDS = 0.5


class ServerStore:
    """The file of the enrolled servers."""

    def __init__(
        self,
        folder: pathlib.Path,
        table: enrolments.Enrolments,
    ) -> None:
        """Open a folder, which is created if it does not exist."""
        self._medium: typing.Final[disk.Disk] = disk.RealDisk(folder)
        self._table = table
        self._saved_digest = table.digest()

    def load(self) -> list[enrolments.Enrolment]:
        """Return the stored servers; none if the file is unreadable."""
        try:
            content = wholefiles.load(self._medium, _FILE)
            if content is None:
                return []
            stored = framing.decode(ttypes.Enrolled, content)
        except (store_errors.StoreError, wire_errors.FrameError) as exc:
            eventlog.emit(logevents.SERVERS_NOT_SAVED, reason=str(exc))
            return []
        return enrolment_codec.parse_readable(stored.servers or (), _FILE)

    async def run(self) -> None:
        """Save changes until cancelled."""
        while True:
            await asyncio.sleep(_SAVE_SECONDS)
            digest = self._table.digest()
            if digest != self._saved_digest:
                await self._save(digest)

    def close(self) -> None:
        """Close the folder."""
        self._medium.close()

    async def _save(self, digest: int) -> None:
        rows = [found.to_wire() for found in self._table.known()]
        content = framing.encode(ttypes.Enrolled(rows))
        try:
            await asyncio.to_thread(
                wholefiles.replace,
                self._medium,
                _FILE,
                content,
            )
        except (OSError, store_errors.StoreError) as exc:
            eventlog.emit(logevents.SERVERS_NOT_SAVED, reason=str(exc))
            return
        self._saved_digest = digest
