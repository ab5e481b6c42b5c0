"""Tests of a leader's table of entries and of what an owner accepts."""

import asyncio
import typing

from geraniumweir.common import ids, timers, virtual
from geraniumweir.scheduling import (
    answer_delivery,
    ask_limits,
    channel,
    led,
    owned,
    requesting,
    requests,
)
from geraniumweir.wire import memory
from geraniumweir.wire.gen.scheduling import ttypes

_OWNER = ids.HostId('owner')
_LEADER = ids.HostId('leader')
_FORMER = ids.HostId('former')
_REQUEST = ids.RequestId('r')
_POOL = ids.PoolName('lm-advisori')
_GRANT = requests.Grant(
    _REQUEST,
    ids.ServerId('server'),
    ids.Incarnation(1),
    ids.Address('127.0.0.1', 1),
)
_PACKED = ttypes.Grant('server', 1, '127.0.0.1:1')


def _slot_request() -> requests.SlotRequest:
    return requests.SlotRequest(
        _REQUEST,
        _OWNER,
        _POOL,
        ids.CustomerName('liceo-volta'),
        ids.RuleName('lookups'),
        ids.Tier.normal,
        deadline=60,
    )


class _Decisions:
    """Stub of a pool leader; the test decides."""

    def __init__(self) -> None:
        self.asked: list[asyncio.Future[led.Answer]] = []
        self.log: list[typing.Any] = []

    async def request_slot(
        self, _slot_request: requests.SlotRequest
    ) -> led.Answer:
        self.asked.append(asyncio.get_running_loop().create_future())
        return await self.asked[-1]

    def withdraw(self, request_id: ids.RequestId) -> None:
        self.log.append(('withdraw', request_id))

    def release(self, release: requests.Release) -> None:
        self.log.append(release.outcome)

    def adopt(self, grants: list[requests.OpenGrant]) -> None:
        self.log.extend(grants)


class _Fixture:
    def __init__(self) -> None:
        self.decisions = _Decisions()
        self.answered: list[led.Entry] = []
        self.found = led.LedPool(
            _POOL,
            typing.cast(typing.Any, self.decisions),
            lambda: float(1),
            lambda _found, entry: self.answered.append(entry),
        )

    async def granted(self, attempt: int) -> led.Entry:
        entry = self.found.join(_slot_request(), attempt)
        assert entry is not None
        await asyncio.sleep(0)
        self.decisions.asked[-1].set_result(_GRANT)
        await asyncio.sleep(0.001)
        return entry


def _compare(
    fixture: _Fixture,
    attempt: int,
    waiting: typing.Iterable[ids.RequestId] = (),
    in_use: typing.Iterable[ids.RequestId] = (),
) -> tuple[list[ids.RequestId], list[ids.RequestId]]:
    return fixture.found.compare(
        _OWNER,
        attempt,
        frozenset(waiting),
        frozenset(in_use),
    )


def test_repeated_slot_request_joins_the_first() -> None:
    """The leader decides once; the repeat gets the same grant."""

    async def scenario() -> None:
        fixture = _Fixture()
        entry = await fixture.granted(1)
        assert fixture.found.join(_slot_request(), 1) is entry
        assert len(fixture.decisions.asked) == 1
        assert entry.answer is _GRANT

    virtual.run(scenario())


def test_higher_attempt_replaces_and_lower_is_stale() -> None:
    """A grant that the owner gave up is released before a new attempt."""

    async def scenario() -> None:
        fixture = _Fixture()
        await fixture.granted(1)
        entry = fixture.found.join(_slot_request(), 2)
        assert fixture.decisions.log == [requests.Outcome.given_up]
        assert fixture.found.join(_slot_request(), 1) is None
        assert entry is not None
        assert fixture.found.has(entry)

    virtual.run(scenario())


def test_grant_that_the_owner_no_longer_reports_is_removed() -> None:
    """A lost release occupies the slot only until the owner's next report."""

    async def scenario() -> None:
        fixture = _Fixture()
        await fixture.granted(5)
        # This report is older than the slot request of attempt 5.
        assert _compare(fixture, 4) == ([], [])
        assert not fixture.decisions.log
        assert _compare(fixture, 5) == ([], [])
        assert fixture.decisions.log == [requests.Outcome.cancelled]

    virtual.run(scenario())


def test_entries_unknown_to_the_leader_are_reported_back() -> None:
    """The owner sends again what the leader lost."""

    async def scenario() -> None:
        fixture = _Fixture()
        lost = _compare(fixture, 5, waiting=[_REQUEST])
        assert lost == ([_REQUEST], [])
        fixture.found.join(_slot_request(), 5)
        # A grant in use whose slot request only waits here is unknown too.
        lost = _compare(fixture, 5, in_use=[_REQUEST])
        assert lost == ([], [_REQUEST])
        fixture.found.adopt(requests.OpenGrant(_slot_request(), _GRANT), 5)
        assert _compare(fixture, 5, in_use=[_REQUEST]) == ([], [])

    virtual.run(scenario())


def test_grant_that_the_owner_waits_for_is_sent_again() -> None:
    """The owner's next report shows that an answer was lost."""

    async def scenario() -> None:
        fixture = _Fixture()
        entry = await fixture.granted(5)
        _compare(fixture, 5, waiting=[_REQUEST])
        assert fixture.answered == [entry, entry]

    virtual.run(scenario())


def test_grant_that_the_owner_rejects_is_released() -> None:
    """The leader releases a grant for which no request waits."""

    async def scenario() -> None:
        network = memory.MemoryNetwork()
        owner = network.join(_OWNER, ids.Address('127.0.0.1', 1))
        leader = network.join(_LEADER, ids.Address('127.0.0.1', 2))
        link = channel.Channel(owner)
        requesting.SlotRequester(link, owned.Owned(), timers.TimerService())
        fixture = _Fixture()
        entry = await fixture.granted(1)
        await answer_delivery.deliver(
            channel.Channel(leader), fixture.found, entry
        )
        assert fixture.decisions.log == [requests.Outcome.given_up]
        assert not fixture.found.entries

    virtual.run(scenario())


def test_request_withdrawn_before_its_decision_gets_no_grant() -> None:
    """After a stall both messages are handled at once; the grant was lost."""

    async def scenario() -> None:
        fixture = _Fixture()
        assert fixture.found.join(_slot_request(), 1) is not None
        fixture.found.withdraw(_REQUEST, 1)
        await asyncio.sleep(0.1)
        assert not fixture.decisions.asked
        assert not fixture.found.entries

    virtual.run(scenario())


def test_only_the_current_place_takes_a_grant() -> None:
    """Grants of former leaders and attempts and repeats are not used."""

    async def scenario() -> None:
        network = memory.MemoryNetwork()
        mine = owned.Owned()
        link = channel.Channel(network.join(_OWNER, ids.Address('::1', 1)))
        leader = network.join(_LEADER, ids.Address('::1', 2))
        former = network.join(_FORMER, ids.Address('::1', 3))
        asker = requesting.SlotRequester(link, mine, timers.TimerService())

        async def queue(
            _sender: ids.HostId, _slot_request: typing.Any
        ) -> typing.Any:
            return ttypes.AskReply()

        leader.handle(ttypes.Ask, queue)
        wait = ask_limits.begin(_slot_request(), 0)
        asked = asyncio.create_task(
            asker.request_at(_slot_request(), _LEADER, wait, home=True)
        )
        await asyncio.sleep(0.1)

        async def answer(sender: memory.MemoryPeers, attempt: int) -> bool:
            message = ttypes.Answer(_REQUEST, attempt, _PACKED)
            reply = await sender.call(_OWNER, message, 1)
            return typing.cast(bool, reply.taken)

        assert not await answer(former, 1)
        assert not await answer(leader, 0)
        assert not asked.done()
        assert await answer(leader, 1)
        assert (await asked).fut.result() == _GRANT
        assert await answer(leader, 1)
        mine.in_use.clear()
        assert not await answer(leader, 1)
        await link.close()

    virtual.run(scenario())
