"""Background tasks that run as long as their host.

An unexpected error would end such a task while the host goes on and says that
it is ready. It is logged instead, and the work starts again.
"""

import asyncio
import traceback
import typing

from geraniumweir.common import eventlog, logevents

# Keeps an error that comes each time from taking the processor.
_RESTART_SECONDS = 0.5
# An error may name a whole message.
_MAX_REASON_LENGTH = 500

Work = typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]]


def start(work: Work) -> asyncio.Task[None]:
    """Start a task that lasts until it is cancelled, or its work ends.

    :param work: starts the work; called again after an unexpected error.
    """
    return asyncio.create_task(_run(work))


async def _run(work: Work) -> None:
    while True:
        try:
            await work()
        except Exception as exc:
            eventlog.emit(
                logevents.TASK_FAILED,
                task=_name(work),
                reason=repr(exc)[:_MAX_REASON_LENGTH],
                cause=repr(exc.__cause__)[:_MAX_REASON_LENGTH],
                where=_place(exc),
            )
        else:
            return
        await asyncio.sleep(_RESTART_SECONDS)


def _name(work: Work) -> str:
    return getattr(work, '__qualname__', repr(work))


def _place(exc: Exception) -> str:
    """Return file, line and function where an error was raised.

    >>> _place(ValueError())
    'unknown'
    """
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return 'unknown'
    frame = frames[-1]
    file = frame.filename.rpartition('/')[2]
    return f'{file}:{frame.lineno} in {frame.name}'
