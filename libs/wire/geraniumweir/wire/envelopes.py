"""Messages in and out of the envelopes that go over a connection."""

import enum

from geraniumweir.wire import catalogue, errors, framing, peers
from geraniumweir.wire.gen.peering import ttypes


class Kind(enum.IntEnum):
    """What an envelope is for."""

    call = 1
    answer = 2
    failure = 3
    message = 4


def seal(
    kind: Kind,
    call_id: int,
    message: peers.Message | None,
) -> ttypes.Envelope:
    """Put a message, or None as an answer, into an envelope.

    :raises errors.FrameError: when it is no message, or wrongly filled.
    """
    if message is None:
        return ttypes.Envelope(kind, call_id, catalogue.NO_MESSAGE, b'')
    number = catalogue.generated().number(type(message))
    return ttypes.Envelope(kind, call_id, number, framing.encode(message))


def failure(call_id: int, text: str) -> ttypes.Envelope:
    """Answer a call that failed."""
    return ttypes.Envelope(
        Kind.failure,
        call_id,
        catalogue.NO_MESSAGE,
        text.encode(),
    )


def unseal(envelope: ttypes.Envelope) -> peers.Message | None:
    """Take the message out.

    :raises errors.FrameError: when this build can't read it.
    :raises errors.RemoteError: when it tells of a failure.
    """
    if envelope.kind == Kind.failure:
        text = (envelope.body or b'').decode(errors='replace')
        raise errors.RemoteError(f'the peer failed: {text}')
    if envelope.message_type == catalogue.NO_MESSAGE:
        return None
    message_type = catalogue.generated().type_of(envelope.message_type)
    return framing.decode(message_type, envelope.body or b'')
