"""Signs that start a server's cooldown, and callers' actions that must not."""

import asyncio

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import led, requests
from geraniumweir.scheduling.ontime import conditions, leader
from geraniumweir.scheduling.ontime.tests import play

_SLOTS = 4
# Shorter than any cooldown.
_IMMEDIATE_SECONDS = 0.05


class _Fixture:
    """A pool of one server and one owner that requests its slots."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.leader: leader.OnTimePoolLeader = play.make_leader(
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
        """Request a number of slots and return the ids granted at once."""
        now = asyncio.get_running_loop().time()
        entries = []
        for _ in range(number):
            self._attempt += 1
            slot_request = play.make_request(str(self._attempt), now)
            entries.append(self.led.join(slot_request, self._attempt))
        await asyncio.sleep(_IMMEDIATE_SECONDS)
        return [
            entry.slot_request.request_id
            for entry in entries
            if entry and isinstance(entry.answer, requests.Grant)
        ]

    def end(self, request_id: ids.RequestId, outcome: requests.Outcome) -> None:
        """Release a grant as its owner."""
        release = requests.Release(request_id, outcome, 0.06, 100, 0.5)
        self.led.release(release, self._attempt)


def test_withdrawn_grants_start_no_cooldown() -> None:
    """The caller left between the grant and its arrival at the owner."""

    async def work() -> None:
        fixture = _Fixture()
        for _ in range(3):
            granted = await fixture.granted(_SLOTS)
            assert len(granted) == _SLOTS
            for request_id in granted:
                fixture.led.withdraw(request_id, 1000)

    virtual.run(work())


def test_grant_replaced_by_a_later_attempt_starts_no_cooldown() -> None:
    """An owner that changed leaders and came back uses a new number."""

    async def work() -> None:
        fixture = _Fixture()
        granted = await fixture.granted(_SLOTS)
        now = asyncio.get_running_loop().time()
        repeated_entries = [
            fixture.led.join(play.make_request(request_id, now), 1000)
            for request_id in granted
        ]
        await asyncio.sleep(_IMMEDIATE_SECONDS)
        assert all(
            entry and isinstance(entry.answer, requests.Grant)
            for entry in repeated_entries
        )

    virtual.run(work())


def test_one_failed_connection_starts_no_cooldown() -> None:
    """The path may be at fault; a second one in a row starts a cooldown."""

    async def work() -> None:
        fixture = _Fixture()
        first, second, *_ = await fixture.granted(_SLOTS)
        fixture.end(first, requests.Outcome.not_sent)
        assert len(await fixture.granted(1)) == 1
        fixture.end(second, requests.Outcome.not_sent)
        assert not await fixture.granted(1)

    virtual.run(work())


def test_full_server_gets_fewer_requests_until_it_answers() -> None:
    """Its slots may be used by requests of which this leader has no record."""

    async def work() -> None:
        fixture = _Fixture()
        granted = await fixture.granted(_SLOTS)
        fixture.end(granted.pop(), requests.Outcome.turned_away)
        assert not await fixture.granted(1)
        for request_id in granted:
            fixture.end(request_id, requests.Outcome.done)
        # One of them was waiting already.
        assert len(await fixture.granted(_SLOTS)) >= 2

    virtual.run(work())


def test_server_that_rejects_everything_gets_a_cooldown() -> None:
    """It reports that it is full and runs nothing."""

    async def work() -> None:
        fixture = _Fixture()
        for _ in range(_SLOTS):
            for request_id in await fixture.granted(_SLOTS):
                fixture.end(request_id, requests.Outcome.turned_away)
        assert not await fixture.granted(1)

    virtual.run(work())


def test_concurrency_limit_grows_with_answers() -> None:
    """A server that was full for a moment gets all its slots back soon."""
    condition = conditions.Condition()
    condition.record_rejection(6, 0, 1, slots=7)
    assert condition.max_requests(6, 1) == 4
    # This one was sent before the first rejection was known.
    condition.record_rejection(5, 0.5, 1, slots=7)
    assert condition.max_requests(6, 1) == 4
    for _ in range(10):
        condition.record_answer(well=True)
    assert condition.max_requests(6, 1) == 6
