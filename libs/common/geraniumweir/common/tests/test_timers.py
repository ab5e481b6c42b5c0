"""Tests of the timer service."""

import asyncio

from geraniumweir.common import timers


def test_ticks_stop_after_dispose() -> None:
    """No tick comes after the subscription ended."""

    async def scenario() -> int:
        service = timers.TimerService()
        ticks: list[int] = []
        done = asyncio.Event()
        subscription = service.every(0.001).subscribe(
            lambda tick: (ticks.append(tick), done.set()),
        )
        await done.wait()
        subscription.dispose()
        seen = len(ticks)
        late = asyncio.Event()
        service.after(0.01, late.set)
        await late.wait()
        return len(ticks) - seen

    assert asyncio.run(scenario()) == 0
