"""Whole streams: what an engine must send before its answer counts as whole.

A stream is whole with ``data: [DONE]`` and not before; one that ends earlier
breaks off. Where the engine can, a broken stream is taken up again behind the
last whole event, so no event comes twice and none is lost; it is the same run
of the request, not a second one.
"""

import asyncio
import contextlib
import dataclasses
import typing

from geraniumweir.backends import calls, errors, identity, sse

_TRIES = 3
_PAUSE_SECONDS = 0.05
_AFTER_DONE_SECONDS = 0.1
_OK = 200

Batch = list[sse.Event]
Resume = typing.Callable[[int], typing.Awaitable[calls.Answer]]


@dataclasses.dataclass(slots=True)
class Position:
    """How far a stream has come.

    :ivar following: number of the next event, from 0.
    :ivar done: whether the last event has come.
    """

    following: int = 0
    done: bool = False

    def take(self, event: sse.Event) -> bool:
        """Move past an event.

        :returns: False for one that has come before.
        :raises errors.GarbledError: when one between is missing.
        """
        match event.kind:
            case sse.Kind.done:
                self.done = True
            case sse.Kind.chunk:
                number = event.number
                if number is not None and number < self.following:
                    return False
                if number is not None and number > self.following:
                    raise errors.GarbledError(f'no event {self.following}')
                self.following += 1
        return True


async def events(
    answer: calls.Answer,
    whose: identity.Identity,
    resume: Resume | None = None,
) -> typing.AsyncIterator[Batch]:
    """Give the events of a whole stream, in batches as they come.

    :param answer: the first answer; later ones are opened and closed here.
    :param resume: asks for the rest from an event on, or None where the
        engine can't.
    :raises errors.AnswerError: when the stream doesn't become whole.
    """
    position = Position()
    tries = _TRIES if resume else 0
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(answer)
        while not position.done:
            try:
                async for batch in _one_answer(answer, whose, position):
                    yield batch
            except errors.CutShortError as exc:
                answer.abandon()
                if not tries:
                    raise
                answer = await _next_answer(resume, position, tries, exc)
                await stack.enter_async_context(answer)
                tries -= 1


async def _next_answer(
    resume: Resume | None,
    position: Position,
    tries: int,
    cut: errors.CutShortError,
) -> calls.Answer:
    """Ask for the rest; what fails here is still the same broken stream."""
    if resume is None:
        raise cut
    await asyncio.sleep(_PAUSE_SECONDS * (_TRIES - tries))
    try:
        answer = await resume(position.following)
    except errors.AnswerError as exc:
        raise errors.CutShortError(f'{cut.message}, {exc.message}') from exc
    if answer.status != _OK:
        async with answer:
            raise errors.CutShortError(
                f'{cut.message}, no resume: status {answer.status}',
            )
    return answer


async def _one_answer(
    answer: calls.Answer,
    whose: identity.Identity,
    position: Position,
) -> typing.AsyncIterator[Batch]:
    splitter = sse.Splitter()
    async with contextlib.aclosing(answer.chunks()) as chunks:
        async for chunk in chunks:
            batch: Batch = []
            try:
                _take(splitter.feed(chunk), whose, position, batch)
            finally:
                # What came before a fault is the caller's all the same.
                if batch:
                    yield batch
            if position.done:
                await _see_off(chunks)
                return
    raise errors.CutShortError('the stream ended before [DONE]')


def _take(
    raws: list[bytes],
    whose: identity.Identity,
    position: Position,
    batch: Batch,
) -> None:
    for raw in raws:
        event = sse.read_event(raw)
        whose.check(event.answer_id)
        if position.take(event):
            batch.append(event)
        if position.done:
            return


async def _see_off(chunks: typing.AsyncIterator[bytes]) -> None:
    """Read to the end of a finished answer, so the connection can be kept.

    Whatever goes wrong here costs only the connection.
    """
    with contextlib.suppress(errors.AnswerError, TimeoutError):
        async with asyncio.timeout(_AFTER_DONE_SECONDS):
            await anext(chunks, None)
