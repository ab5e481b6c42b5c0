"""Which signs shut a backend server, and which are acts of its callers."""

import asyncio

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import led, requests
from geraniumweir.scheduling.ontime import conditions, leader
from geraniumweir.scheduling.ontime.tests import play

_SLOTS = 4
# Shorter than any rest, in seconds.
_AT_ONCE = 0.05


class _Bed:
    """A pool of one server, asked by one owner."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.leader: leader.OnTimePoolLeader = play.make(
            play.server('a', _SLOTS),
            now=loop.time,
        )
        self.led = led.LedPool(
            play.POOL,
            self.leader,
            loop.time,
            lambda _found, _entry: None,
        )
        self._attempt = 0

    async def granted(self, number: int) -> list[ids.RequestId]:
        """Ask for so many slots; give the asks that got one at once."""
        now = asyncio.get_running_loop().time()
        entries = []
        for _ in range(number):
            self._attempt += 1
            slot_request = play.slot_request(str(self._attempt), now)
            entries.append(self.led.join(slot_request, self._attempt))
        await asyncio.sleep(_AT_ONCE)
        return [
            entry.slot_request.request_id
            for entry in entries
            if entry and isinstance(entry.answer, requests.Grant)
        ]

    def end(self, request_id: ids.RequestId, outcome: requests.Outcome) -> None:
        """Have the owner give a grant back."""
        release = requests.Release(request_id, outcome, 0.06, 100, 0.5)
        self.led.release(release, self._attempt)


def test_owner_that_withdraws_grants_shuts_no_server() -> None:
    """The caller left between the grant and its arrival."""

    async def work() -> None:
        bed = _Bed()
        for _ in range(3):
            granted = await bed.granted(_SLOTS)
            assert len(granted) == _SLOTS
            for request_id in granted:
                bed.led.withdraw(request_id, 1000)

    virtual.run(work())


def test_grant_replaced_by_a_later_attempt_shuts_no_server() -> None:
    """An owner that moved and came back asks under a new number."""

    async def work() -> None:
        bed = _Bed()
        granted = await bed.granted(_SLOTS)
        now = asyncio.get_running_loop().time()
        again = [
            bed.led.join(play.slot_request(request_id, now), 1000)
            for request_id in granted
        ]
        await asyncio.sleep(_AT_ONCE)
        assert all(
            entry and isinstance(entry.answer, requests.Grant)
            for entry in again
        )

    virtual.run(work())


def test_one_connection_that_fails_shuts_no_server() -> None:
    """The path may be at fault; a second one in a row begins a rest."""

    async def work() -> None:
        bed = _Bed()
        first, second, *_ = await bed.granted(_SLOTS)
        bed.end(first, requests.Outcome.not_sent)
        assert len(await bed.granted(1)) == 1
        bed.end(second, requests.Outcome.not_sent)
        assert not await bed.granted(1)

    virtual.run(work())


def test_full_server_gets_fewer_and_then_more() -> None:
    """It is shared by what this coordinator doesn't know of."""

    async def work() -> None:
        bed = _Bed()
        granted = await bed.granted(_SLOTS)
        bed.end(granted.pop(), requests.Outcome.turned_away)
        assert not await bed.granted(1)
        for request_id in granted:
            bed.end(request_id, requests.Outcome.done)
        # One of them waited already.
        assert len(await bed.granted(_SLOTS)) >= 2

    virtual.run(work())


def test_server_that_turns_everything_away_is_left_alone() -> None:
    """It says that it is full and runs nothing."""

    async def work() -> None:
        bed = _Bed()
        for _ in range(_SLOTS):
            for request_id in await bed.granted(_SLOTS):
                bed.end(request_id, requests.Outcome.turned_away)
        assert not await bed.granted(1)

    virtual.run(work())


def test_limit_grows_back_with_the_answers() -> None:
    """A server that was full for a moment has all its slots again soon."""
    condition = conditions.Condition()
    condition.record_rejection(6, 0, 1)
    assert condition.max_requests(6, 1) == 4
    # All were sent before it was known.
    condition.record_rejection(5, 0.5, 1)
    assert condition.max_requests(6, 1) == 4
    for _ in range(10):
        condition.record_answer(well=True)
    assert condition.max_requests(6, 1) == 6
