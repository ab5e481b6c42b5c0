"""Answers that are read to their end before a byte goes to the caller."""

import typing

from geraniumweir.backends import calls, errors, identity, sse

_LONGEST = 8 * 1024 * 1024
# A server that announces no length may send without end, and all of it is kept.
_LONGEST_UNANNOUNCED = 2 * 1024 * 1024


async def bounded(
    answer: calls.Answer, longest: int | None = None
) -> typing.AsyncIterator[bytes]:
    """Yield the body of an answer as it comes.

    :param longest: most bytes, by default less where no length is announced.
    :raises errors.CutShortError: when it breaks off.
    :raises errors.TooLongError: when it is longer than that.
    """
    if longest is None:
        unannounced = answer.length is None
        longest = _LONGEST_UNANNOUNCED if unannounced else _LONGEST
    size = answer.length or 0
    if size > longest:
        raise errors.TooLongError(f'{size} bytes are announced, over {longest}')
    size = 0
    async for chunk in answer.chunks():
        size += len(chunk)
        if size > longest:
            raise errors.TooLongError(f'an answer of over {longest} bytes')
        yield chunk


async def whole(answer: calls.Answer, longest: int = _LONGEST) -> bytes:
    """Read an answer to its end.

    :param longest: most bytes that are kept.
    :raises errors.CutShortError: when it breaks off, or when nothing would
        tell its end from a lost connection.
    :raises errors.TooLongError: when it is longer than that.
    """
    if not answer.ends_visibly:
        raise errors.CutShortError(
            'the answer has neither Content-Length nor chunks, so its end '
            "can't be told from a lost connection",
        )
    return b''.join([chunk async for chunk in bounded(answer, longest)])


def check_completion(body: bytes, whose: identity.Identity) -> None:
    """Check that a body is an engine's whole answer to this request.

    :raises errors.AnswerError: when it isn't.
    """
    whose.check(sse.answer_id(sse.read_object(body)))
