"""Large documents, sent to watching hosts in pieces that these request.

A decision under load: when all entry hosts start at once, each control host
has dozens of watchers that lack the document. Whole documents would fill its
send buffers; of pieces it holds one for each watcher, and a watcher requests
the next one only once it has received the one before.
"""

from geraniumweir.common import ids
from geraniumweir.configuration import published
from geraniumweir.wire import peers
from geraniumweir.wire.gen.control import ttypes

# A longer document is sent in pieces of this size.
PIECE_BYTES = 262144


class DocumentPieces:
    """Answers requests for pieces of the newest document."""

    def __init__(self, link: peers.Peers) -> None:
        """Answer from now on, at first without a document."""
        self._newest: published.PublishedDocument | None = None
        link.handle(ttypes.FetchDocument, self._on_fetch)

    @property
    def version(self) -> ids.Version:
        """The version of the newest document, -1 before the first."""
        return ids.Version(-1 if self._newest is None else self._newest.version)

    def set_newest(self, document: published.PublishedDocument) -> None:
        """Set the document whose pieces are sent."""
        self._newest = document

    def add_document(self, watch: ttypes.Watch, update: ttypes.News) -> None:
        """Add the newest document to an answer, or its length if it is large.

        The version of the answer tells that there is a newer document.
        """
        if self._newest is None:
            return
        update.version = self._newest.version
        if watch.pieces and len(self._newest.packed) > PIECE_BYTES:
            update.document_bytes = len(self._newest.packed)
        else:
            update.document = self._newest.packed

    async def _on_fetch(
        self, _sender: ids.HostId, request: ttypes.FetchDocument
    ) -> ttypes.DocumentPiece:
        newest = self._newest
        if newest is None or newest.version != request.version:
            return ttypes.DocumentPiece(request.version, b'')
        start = max(request.offset, 0)
        content = newest.packed[start : start + PIECE_BYTES]
        return ttypes.DocumentPiece(newest.version, content)
