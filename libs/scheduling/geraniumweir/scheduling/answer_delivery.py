"""Delivery of answers from a pool leader's host to the request's owner."""

import asyncio
import typing

from geraniumweir.scheduling import channel, led, requests, translation
from geraniumweir.wire import errors
from geraniumweir.wire.gen.scheduling import ttypes

_TIMEOUT_SECONDS = 0.5
_RETRY_PAUSE_SECONDS = 0.1


async def deliver(
    link: channel.Channel,
    found: led.LedPool,
    entry: led.Entry,
) -> None:
    """Send an answer until it arrives; withdraw a grant not accepted."""
    while found.has(entry):
        try:
            reply = await link.call(
                entry.slot_request.owner, message(entry), _TIMEOUT_SECONDS
            )
        except errors.PeerError:
            await asyncio.sleep(_RETRY_PAUSE_SECONDS)
            continue
        if not reply.taken and found.has(entry):
            found.withdraw(entry.slot_request.request_id, entry.attempt)
        break
    entry.notifying = False
    found.discard_denied(entry)


def message(entry: led.Entry) -> ttypes.Answer:
    """Return the message of an answer."""
    return ttypes.Answer(
        entry.slot_request.request_id,
        entry.attempt,
        **packed(entry.answer),
    )


def packed(answer: led.Answer | None) -> dict[str, typing.Any]:
    """Return the fields that hold an answer in a message."""
    match answer:
        case requests.Grant():
            return {'grant': translation.pack_grant(answer)}
        case requests.Denial():
            return {'denial': translation.pack_denial(answer)}
    return {}
