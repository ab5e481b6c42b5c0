"""Turns of slot requests at a host with more of them than time."""

import asyncio
import typing

from geraniumweir.common import ids, timers, virtual
from geraniumweir.scheduling import turns

_COST_SECONDS = 0.001
_SOON_SECONDS = 0.02
# An owner sends a slot request again after so long.
_OWNER_TIMEOUT_SECONDS = 0.5
_URGENT, _LOW = ids.Tier.urgent, ids.Tier.low


class _Thread:
    """A thread on which each decision takes time.

    :ivar begun: requests that had their turn, in order.
    :ivar denied: requests that had none.
    """

    def __init__(self) -> None:
        self.turns = turns.Turns(timers.TimerService())
        self.begun: list[str] = []
        self.denied: list[str] = []

    async def ask(self, request_id: str, tier: ids.Tier) -> None:
        if await self.turns.wait(ids.RequestId(request_id), tier):
            loop = typing.cast(
                virtual.VirtualTimeLoop, asyncio.get_running_loop()
            )
            loop.freeze(_COST_SECONDS)
            self.begun.append(request_id)
        else:
            self.denied.append(request_id)

    async def ask_all(self, count: int, tier: ids.Tier) -> None:
        await asyncio.gather(
            *(self.ask(f'{tier.name}-{one}', tier) for one in range(count))
        )


def test_other_work_is_not_delayed_by_all_slot_requests() -> None:
    """A message that arrives with them is handled after a few of them."""

    async def scenario() -> float:
        thread = _Thread()
        loop = asyncio.get_running_loop()
        asking = asyncio.create_task(thread.ask_all(1000, _URGENT))
        await asyncio.sleep(0)
        longest = float(0)
        while not asking.done():
            before = loop.time()
            await asyncio.sleep(0)
            longest = max(longest, loop.time() - before)
        return longest

    assert virtual.run(scenario()) < _SOON_SECONDS


def test_slot_requests_beyond_the_time_of_a_thread_are_denied_soon() -> None:
    """Their owners would send them again, and answers would come too late."""

    async def scenario() -> None:
        thread = _Thread()
        await thread.ask_all(1000, _URGENT)
        assert asyncio.get_running_loop().time() < _OWNER_TIMEOUT_SECONDS / 2
        assert len(thread.begun) > 150
        assert len(thread.begun) + len(thread.denied) == 1000

    virtual.run(scenario())


def test_urgent_slot_requests_come_first_and_others_are_not_starved() -> None:
    """The urgent ones came last."""

    async def scenario() -> None:
        thread = _Thread()
        low = asyncio.create_task(thread.ask_all(300, _LOW))
        await asyncio.sleep(_COST_SECONDS)
        await thread.ask_all(300, _URGENT)
        await low
        ended_at = thread.begun.index('urgent-100')
        before = thread.begun[:ended_at]
        low_before = sum(one.startswith('low') for one in before)
        assert 0 < low_before < len(before) / 2

    virtual.run(scenario())


def test_withdrawn_slot_request_has_no_turn() -> None:
    """Its owner gave it up while it waited."""

    async def scenario() -> None:
        thread = _Thread()
        asking = asyncio.create_task(thread.ask('one', _URGENT))
        await asyncio.sleep(0)
        thread.turns.withdraw(ids.RequestId('one'))
        await asking
        assert thread.denied == ['one']

    virtual.run(scenario())
