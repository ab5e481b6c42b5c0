"""Encoding of messages into the envelopes sent over a connection."""

import enum

from geraniumweir.wire import catalogue, errors, framing, peers
from geraniumweir.wire.gen.peering import ttypes


class Kind(enum.IntEnum):
    """Kind of an envelope."""

    call = 1
    answer = 2
    failure = 3
    message = 4


def seal(
    kind: Kind,
    call_id: int,
    message: peers.Message | None,
) -> ttypes.Envelope:
    """Return an envelope with a message, or with an empty answer.

    :raises errors.FrameError: when it is no message or a field is invalid.
    """
    if message is None:
        return ttypes.Envelope(kind, call_id, catalogue.NO_MESSAGE, b'')
    number = catalogue.generated().number(type(message))
    return ttypes.Envelope(kind, call_id, number, framing.encode(message))


def failure(call_id: int, text: str) -> ttypes.Envelope:
    """Return the answer to a call that failed."""
    return ttypes.Envelope(
        Kind.failure,
        call_id,
        catalogue.NO_MESSAGE,
        text.encode(),
    )


def unseal(envelope: ttypes.Envelope) -> peers.Message | None:
    """Return the message of an envelope.

    :raises errors.FrameError: when this build can't decode it.
    :raises errors.RemoteError: when it reports a failure.
    """
    if envelope.kind == Kind.failure:
        text = (envelope.body or b'').decode(errors='replace')
        raise errors.RemoteError(f'the peer failed: {text}')
    if envelope.message_type == catalogue.NO_MESSAGE:
        return None
    message_type = catalogue.generated().type_of(envelope.message_type)
    return framing.decode(message_type, envelope.body or b'')
