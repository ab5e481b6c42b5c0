"""Admission control in front of the pool leaders: quotas, retry budgets."""

import math
import typing

from geraniumweir.common import eventlog
from geraniumweir.scheduling import (
    led,
    logevents,
    quotas,
    requests,
    retrybudget,
    retrycounts,
)

_MS = 1000
# Other requests of the same customer take the next free part of its quota. A
# caller that retries sooner than this is mostly refused again, and callers
# retry only once.
_MIN_WAIT_SECONDS = 2.0


class Gate:
    """Admission of slot requests by customer quotas and retry budgets."""

    def __init__(
        self,
        counted: quotas.Quotas,
        budgets: retrybudget.RetryBudgets,
        now: typing.Callable[[], float],
        on_slot_request: typing.Callable[[requests.SlotRequest], None]
        | None = None,
    ) -> None:
        """Initialize a gate that all pools share.

        :param now: returns the time in seconds.
        :param on_slot_request: called with each slot request, admitted or
            not.
        """
        self._quotas = counted
        self._budgets = budgets
        self._now = now
        self._on_slot_request = on_slot_request

    def admit(
        self, slot_request: requests.SlotRequest
    ) -> requests.Denial | None:
        """Charge a slot request, or deny it with the time of a retry."""
        if self._on_slot_request is not None:
            self._on_slot_request(slot_request)
        now = self._now()
        if slot_request.sending is requests.Sending.first:
            self._budgets.note_request(slot_request.pool, now)
        if slot_request.sending is requests.Sending.retry:
            level = self._budgets.level(slot_request.pool, now)
            if level.is_full:
                return _deny_retry(slot_request, level)
        seconds = self._quotas.take(
            slot_request.customer,
            slot_request.quota_cost,
            now,
            slot_request.rank if slot_request.streams else 0,
        )
        if seconds:
            return requests.Denial(
                slot_request.request_id,
                requests.DenialReason.over_quota,
                math.ceil(max(seconds, _MIN_WAIT_SECONDS) * _MS),
            )
        if slot_request.sending is requests.Sending.retry:
            self._budgets.take(slot_request.pool, now)
        return None

    def granted(self, slot_request: requests.SlotRequest) -> None:
        """Record that an admitted slot request got a grant."""
        if slot_request.sending is requests.Sending.retry:
            self._budgets.granted(slot_request.pool, self._now())

    def undo(
        self,
        slot_request: requests.SlotRequest,
        charge: led.Charge,
        outcome: requests.Outcome,
    ) -> None:
        """Refund the charge of a slot request that was not served."""
        self._quotas.refund(
            slot_request.customer,
            slot_request.quota_cost,
            charge.admitted_at,
        )
        if slot_request.sending is not requests.Sending.retry:
            return
        if charge.granted_at is None or outcome in retrycounts.NOT_SENT:
            self._budgets.refund(slot_request.pool, charge.granted_at)


def _deny_retry(
    slot_request: requests.SlotRequest,
    level: retrybudget.Level,
) -> requests.Denial:
    eventlog.emit(
        logevents.RETRY_DENIED,
        request=slot_request.request_id,
        pool=slot_request.pool,
        used=level.used,
        allowed=round(level.allowed, 1),
    )
    return requests.Denial(
        slot_request.request_id,
        requests.DenialReason.retry_budget,
    )
