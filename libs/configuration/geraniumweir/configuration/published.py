"""A document that carries its own version: the highest one wins.

A part of the state machine. Whoever publishes needs to know nothing of what
is there: a document of a lower version than the newest, or of the same one,
is answered like one that was taken before and changes nothing. So a publish
may be sent again, to any recorder, at any time.
"""

import dataclasses
import zlib

import reactivex
from geraniumweir.common import ids
from geraniumweir.wire.gen.configuration import ttypes
from reactivex import subject

# The level of zlib that takes the least time.
_FASTEST = 1


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedDocument:
    """The newest document.

    :ivar packed: the document, compressed.
    """

    version: ids.Version
    packed: bytes

    def content(self) -> bytes:
        """Give the document as it was sent."""
        return zlib.decompress(self.packed)


class Published:
    """Keeps the newest document."""

    def __init__(self) -> None:
        """Start without one."""
        self._newest: PublishedDocument | None = None
        self._changes: subject.Subject[PublishedDocument] = subject.Subject()

    @property
    def changes(self) -> reactivex.Observable[PublishedDocument]:
        """Tell of each newer document."""
        return self._changes

    def newest(self) -> PublishedDocument | None:
        """Give the newest document, or None before the first."""
        return self._newest

    def apply(self, publish: ttypes.Publish) -> ttypes.PublishAnswer:
        """Take a document if its version is the highest so far."""
        taken = publish.version > self._version()
        if taken:
            self._put(
                publish.version, zlib.compress(publish.document, _FASTEST)
            )
        return ttypes.PublishAnswer(taken, self._version())

    def save(self, stored: ttypes.StoredState) -> None:
        """Write everything into a snapshot."""
        if self._newest is not None:
            stored.published_version = self._newest.version
            stored.published = self._newest.packed

    def load(self, stored: ttypes.StoredState) -> None:
        """Take everything from a snapshot, one without a document too."""
        self._newest = None
        if stored.published_version is not None:
            self._put(stored.published_version, stored.published)

    def _version(self) -> int:
        return -1 if self._newest is None else self._newest.version

    def _put(self, version: int, packed: bytes) -> None:
        self._newest = PublishedDocument(ids.Version(version), packed)
        self._changes.on_next(self._newest)
