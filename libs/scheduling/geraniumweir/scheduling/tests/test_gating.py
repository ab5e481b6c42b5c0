"""Tests of the charges of slot requests and their refunds."""

import asyncio
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    gating,
    led,
    quotas,
    requests,
    retrybudget,
)

_POOL = ids.PoolName('pool')
_OWNER = ids.HostId('owner')
_NOW = 100.0
_LEADER = retrybudget.Scope(lambda: True, lambda: 1)
_FIRST = requests.SlotRequest(
    request_id=ids.RequestId('r'),
    owner=_OWNER,
    pool=_POOL,
    customer=ids.CustomerName('customer'),
    rule=ids.RuleName('rule'),
    tier=ids.Tier(0),
    deadline=200,
    sending=requests.Sending.first,
)
_RETRY = dataclasses.replace(_FIRST, sending=requests.Sending.retry)
_GRANT = requests.Grant(
    _FIRST.request_id,
    ids.ServerId('server'),
    ids.Incarnation(1),
    ids.Address('10.0.0.1', 1),
)


class _Leader:
    """Stub of a pool leader that grants when the test allows it."""

    def __init__(self) -> None:
        self.may_grant = asyncio.Event()

    async def request_slot(
        self, _slot_request: requests.SlotRequest
    ) -> requests.Grant:
        await self.may_grant.wait()
        return _GRANT

    def withdraw(self, _request_id: ids.RequestId) -> None:
        """Remove a request."""

    def release(self, _release: requests.Release) -> None:
        """Release a grant."""


class _Bed:
    """Pool whose budget has room for one retry."""

    def __init__(self) -> None:
        self.budgets = retrybudget.RetryBudgets(
            retrybudget.Budget(ratio=0, window=10, slack=2),
            _LEADER,
            start=0,
        )
        self.gate = gating.Gate(
            quotas.Quotas(lambda _: None, lambda: 1, 8, 0),
            self.budgets,
            lambda: _NOW,
        )
        self.leader = _Leader()
        self.found = led.LedPool(
            _POOL,
            typing.cast(typing.Any, self.leader),
            lambda: _NOW,
            lambda _found, _entry: None,
            self.gate,
        )

    async def join(self) -> led.Entry:
        """Send the slot request of a retry."""
        entry = self.found.join(_RETRY, 1)
        assert entry is not None
        await asyncio.sleep(0)
        return entry

    async def granted(self) -> None:
        """Send the slot request of a retry and grant it."""
        await self.join()
        self.leader.may_grant.set()
        await asyncio.sleep(0.01)

    def end(self, outcome: requests.Outcome) -> None:
        """Release the grant."""
        self.found.release(requests.Release(_RETRY.request_id, outcome), 1)

    def used(self) -> float:
        """Return how many retries the budget counts."""
        return self.budgets.level(_POOL, _NOW).used


def _run(work: typing.Callable[[_Bed], typing.Awaitable[None]]) -> None:
    async def on_bed() -> None:
        await work(_Bed())

    asyncio.run(on_bed())


def test_first_attempt_costs_no_retry_and_second_retry_is_denied() -> None:
    """A repeat of a request that reached no server costs none either."""

    async def work(bed: _Bed) -> None:
        again = dataclasses.replace(_FIRST, sending=requests.Sending.again)
        assert bed.gate.admit(_FIRST) is None
        assert bed.gate.admit(again) is None
        assert bed.gate.admit(_RETRY) is None
        denial = bed.gate.admit(_RETRY)
        assert denial is not None
        assert denial.reason is requests.DenialReason.retry_budget

    _run(work)


def test_retry_counts_until_it_is_known_not_to_have_been_sent() -> None:
    """A retry that the server rejected has reached the server."""

    async def work(bed: _Bed) -> None:
        await bed.granted()
        assert bed.used() == 1
        bed.end(requests.Outcome.turned_away)
        assert bed.used() == 1

    _run(work)


def test_retry_that_was_not_sent_is_refunded() -> None:
    """Its grant was given up before dispatch."""

    async def work(bed: _Bed) -> None:
        await bed.granted()
        bed.end(requests.Outcome.given_up)
        assert not bed.used()

    _run(work)


def test_retry_that_leaves_the_queue_is_refunded() -> None:
    """It is withdrawn, or another host takes over the pool."""

    async def work(bed: _Bed) -> None:
        await bed.join()
        assert bed.used() == 1
        bed.found.withdraw(_RETRY.request_id, 1)
        assert not bed.used()
        await bed.join()
        bed.found.close()
        assert not bed.used()

    _run(work)


def test_retry_counts_from_its_grant_not_from_its_slot_request() -> None:
    """A retry that waits in the queue reaches its server later."""
    budgets = retrybudget.RetryBudgets(
        retrybudget.Budget(ratio=0, window=10, slack=2),
        _LEADER,
        start=0,
    )
    assert budgets.take(_POOL, 100)
    budgets.granted(_POOL, 109)
    assert not budgets.take(_POOL, 115)
    assert budgets.take(_POOL, 120)
