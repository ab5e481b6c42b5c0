"""The document that an entry host has in force."""

import typing
import zlib

from geraniumweir.common import errors, eventlog, ids, timers
from geraniumweir.control import logevents
from geraniumweir.routing import finding, tables
from geraniumweir.wire.gen.control import ttypes

# A host that has just started waits this long for a control host that is up to
# date: longer than an election after a loss of all control hosts, whose
# snapshots may be old.
_PENDING_SECONDS = 3.0

Read = typing.Callable[[bytes], tables.Document]


class ActiveDocument:
    """Activates newer documents, never an older one.

    :ivar index: the document, or None before the first.
    """

    def __init__(self, read: Read) -> None:
        """Initialize without a document.

        :param read: reads a document that was checked when it was published.
        """
        self.index: finding.Index | None = None
        self._read = read
        self._clock = timers.TimerService()
        self._started_at = self._clock.now()
        self._pending: ttypes.News | None = None

    @property
    def version(self) -> ids.Version:
        """The version in force, -1 before the first."""
        return ids.Version(-1) if self.index is None else self.index.version

    def offer(
        self,
        update: ttypes.News,
        **source: typing.Any,
    ) -> bool:
        """Activate a newer document; return whether there was one.

        The first one must come from an up-to-date control host; one of another
        host is kept for :meth:`activate_pending`.

        :param source: fields of the log entry that tell where it comes from.
        """
        if update.document is None or update.version <= self.version:
            return False
        if update.sure or self.index is not None:
            return self._activate(update, source)
        if self._pending is None or self._pending.version < update.version:
            self._pending = update
        return False

    def activate_pending(self) -> bool:
        """Activate a document that may not be the newest.

        :returns: whether there was one, and no host was up to date for long.
        """
        uptime_seconds = self._clock.now() - self._started_at
        if self._pending is None or uptime_seconds < _PENDING_SECONDS:
            return False
        pending = self._pending
        self._pending = None
        return self.index is None and self._activate(pending, {})

    def _activate(
        self, update: ttypes.News, source: typing.Mapping[str, typing.Any]
    ) -> bool:
        try:
            document = self._read(zlib.decompress(update.document))
        except (errors.GeraniumweirError, zlib.error) as exc:
            eventlog.emit(
                logevents.DOCUMENT_UNREADABLE,
                version=update.version,
                reason=str(exc),
            )
            return False
        before = self.version
        self.index = finding.Index(document)
        eventlog.emit(
            logevents.DOCUMENT_IN_FORCE,
            version=update.version,
            before=before,
            current=bool(update.sure),
            **source,
        )
        return True
