"""Answers that are read to their end before a byte goes to the caller."""

from geraniumweir.backends import calls, errors, identity, sse

_LONGEST = 8 * 1024 * 1024


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
    parts = []
    size = 0
    async for chunk in answer.chunks():
        size += len(chunk)
        if size > longest:
            raise errors.TooLongError(f'an answer of over {longest} bytes')
        parts.append(chunk)
    return b''.join(parts)


def check_completion(body: bytes, whose: identity.Identity) -> None:
    """Check that a body is an engine's whole answer to this request.

    :raises errors.AnswerError: when it isn't.
    """
    whose.check(sse.answer_id(sse.read_object(body)))
