"""Background tasks after unexpected errors."""

import asyncio

import logbook
from geraniumweir.common import background, logevents, virtual


class _Work:
    """Work that fails as often as a test says.

    :ivar started: how often it was started.
    """

    def __init__(self, failures: int) -> None:
        self.started = 0
        self._failures = failures

    async def run(self) -> None:
        """Fail, or run until cancelled."""
        self.started += 1
        if self.started <= self._failures:
            raise ValueError('failed')
        await asyncio.Event().wait()


def test_failed_work_starts_again() -> None:
    """An error doesn't end work that a host needs while it runs."""

    async def work() -> None:
        failing = _Work(2)
        task = background.start(failing.run)
        await asyncio.sleep(5)
        assert failing.started == 3
        task.cancel()

    virtual.run(work())


def test_failed_work_is_logged() -> None:
    """Which task failed, why and where."""

    async def work() -> None:
        task = background.start(_Work(1).run)
        await asyncio.sleep(0.1)
        task.cancel()

    handler = logbook.TestHandler()
    with handler:
        virtual.run(work())
    records = [
        record
        for record in handler.records
        if record.extra['event'] is logevents.TASK_FAILED
    ]
    assert len(records) == 1
    fields = records[0].extra['fields']
    assert fields['task'] == '_Work.run'
    assert 'failed' in fields['reason']
    assert fields['where'].startswith('test_background.py:')


def test_cancelled_work_ends() -> None:
    """The host stops it."""

    async def work() -> None:
        failing = _Work(0)
        task = background.start(failing.run)
        await asyncio.sleep(1)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()
        assert failing.started == 1

    virtual.run(work())
