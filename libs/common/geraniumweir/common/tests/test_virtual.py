"""Tests of the loop that keeps virtual time."""

import asyncio

import pytest
from geraniumweir.common import virtual


def test_waiting_for_nothing_is_an_error() -> None:
    """A scenario that can never end says so instead of hanging."""
    with pytest.raises(virtual.StalledError):
        virtual.run(asyncio.Event().wait())


def test_timers_fire_in_order() -> None:
    """Shorter waits end first, at their time."""

    async def scenario() -> list[float]:
        loop = asyncio.get_running_loop()
        ends: list[float] = []

        async def wait(seconds: float) -> None:
            await asyncio.sleep(seconds)
            ends.append(loop.time())

        await asyncio.gather(wait(2), wait(1), wait(3))
        return ends

    assert virtual.run(scenario()) == [1, 2, 3]
