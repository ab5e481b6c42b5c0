"""Fetches large documents in pieces, see :mod:`.document_pieces`."""

from geraniumweir.common import ids
from geraniumweir.wire import errors, peers
from geraniumweir.wire.gen.control import ttypes

_ANSWER_SECONDS = 0.9


async def fetch(
    link: peers.Peers, host_id: ids.HostId, update: ttypes.News
) -> bytes | None:
    """Fetch the document that an answer names.

    :returns: None if the host fails or has a newer document meanwhile; that is
        named in its next answer.
    """
    content = bytearray()
    while len(content) < update.document_bytes:
        request = ttypes.FetchDocument(update.version, len(content))
        try:
            piece = await link.call(host_id, request, _ANSWER_SECONDS)
        except errors.PeerError:
            return None
        if not piece.content:
            return None
        content += piece.content
    return bytes(content)
