"""Tests that an entry host reports what it was granted, and nothing else."""

import asyncio

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.scheduling import quotas, recent_usage, requests, retrycounts

_NAME = ids.CustomerName('customer')
_NEXT = ids.HostId('next')
_SECONDS = 8
_RATE = 100
_BURST = 100
_WHOLE = _RATE * _SECONDS + _BURST


class _Scheduler:
    """Scheduler that grants everything or nothing."""

    def __init__(self) -> None:
        self.grants = True

    async def request_slot(
        self,
        slot_request: requests.SlotRequest,
    ) -> requests.Grant | requests.Denial:
        """Answer immediately."""
        if not self.grants:
            reason = requests.DenialReason.shed
            return requests.Denial(slot_request.request_id, reason)
        return requests.Grant(
            slot_request.request_id,
            ids.ServerId('server'),
            ids.Incarnation(1),
            ids.Address('10.0.0.1', 1),
        )

    def release(self, _release: requests.Release) -> None:
        """Release a grant."""


class _Bed:
    """Entry host with its usage recorder."""

    def __init__(self) -> None:
        self.scheduler = _Scheduler()
        clock = timers.TimerService()
        self.recent_usage = recent_usage.UsageRecorder(
            self.scheduler,
            clock,
            _SECONDS,
            clock.now(),
            retrycounts.RetryCounter(
                _SECONDS,
                clock.now(),
                lambda: ids.HostId('coordinator'),
            ),
        )

    async def request_slot(self, name: str, cost: float) -> None:
        """Request a slot for a request of the customer."""
        await self.recent_usage.request_slot(
            requests.SlotRequest(
                request_id=ids.RequestId(name),
                owner=ids.HostId('here'),
                pool=ids.PoolName('pool'),
                customer=_NAME,
                rule=ids.RuleName('rule'),
                tier=ids.Tier(0),
                deadline=0,
                quota_cost=cost,
            ),
        )

    def release(self, name: str, outcome: requests.Outcome) -> None:
        """End a request."""
        request_id = ids.RequestId(name)
        self.recent_usage.release(requests.Release(request_id, outcome))

    def total(self) -> float:
        """Return the reported total of the customer."""
        reported = self.recent_usage.usage_for(_NEXT).customers
        return sum(reported.get(_NAME, {}).values())


def test_grants_are_reported_for_a_window() -> None:
    """They are not reported for longer."""

    async def work() -> None:
        bed = _Bed()
        await bed.request_slot('first', 30)
        await asyncio.sleep(5)
        await bed.request_slot('second', 7)
        assert bed.total() == 37
        assert bed.recent_usage.usage_for(_NEXT).known_seconds == 5
        await asyncio.sleep(4)
        assert bed.total() == 7
        await asyncio.sleep(_SECONDS)
        assert not bed.recent_usage.usage_for(_NEXT).customers
        assert bed.recent_usage.usage_for(_NEXT).known_seconds == _SECONDS

    virtual.run(work())


@pytest.mark.parametrize('outcome', sorted(recent_usage.NOT_SERVED, key=str))
def test_denials_and_requests_not_served_are_not_reported(
    outcome: requests.Outcome,
) -> None:
    """They use nothing of a quota."""

    async def work() -> None:
        bed = _Bed()
        await bed.request_slot('first', 30)
        bed.release('first', outcome)
        assert not bed.total()
        await bed.request_slot('second', 30)
        bed.release('second', requests.Outcome.done)
        assert bed.total() == 30
        bed.scheduler.grants = False
        await bed.request_slot('third', 30)
        assert bed.total() == 30

    virtual.run(work())


def test_new_coordinator_refuses_no_usual_customer() -> None:
    """The customer uses 55 % of its rate from two hosts."""

    async def work() -> None:
        beds = [_Bed(), _Bed()]
        clock = timers.TimerService()
        for number in range(200):
            await beds[number % 2].request_slot(str(number), 0.55 * _RATE / 20)
            await asyncio.sleep(0.05)
        after = quotas.Quotas(
            lambda _: quotas.Allowance(_RATE, _BURST),
            lambda: 1,
            _SECONDS,
            clock.now(),
            lambda: 2,
        )
        assert after.take(_NAME, 2 * _BURST, clock.now())
        for name, bed in zip('ab', beds):
            reported = bed.recent_usage.usage_for(_NEXT)
            after.apply_report(ids.HostId(name), reported, clock.now())
        usual = 0.55 * _RATE * _SECONDS
        assert not after.take(_NAME, _WHOLE - usual - 10, clock.now())
        assert after.take(_NAME, 20, clock.now())

    virtual.run(work())
