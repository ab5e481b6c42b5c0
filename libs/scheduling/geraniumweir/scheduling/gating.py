"""What asks must pass before pool leaders see them: quotas, retry budgets."""

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
# Others of the same customer take what gets free next; a caller that comes
# back sooner than this is mostly refused again, and it comes
# back once. In seconds.
_LEAST_WAIT_SECONDS = 2.0


class Gate:
    """Lets asks within their customers' quotas and retry budgets through."""

    def __init__(
        self,
        counted: quotas.Quotas,
        budgets: retrybudget.RetryBudgets,
        now: typing.Callable[[], float],
        on_slot_request: typing.Callable[[requests.SlotRequest], None]
        | None = None,
    ) -> None:
        """Count in windows that all pools share.

        :param now: gives the time in seconds.
        :param on_slot_request: told of each ask, whether it is let through or not.
        """
        self._quotas = counted
        self._budgets = budgets
        self._now = now
        self._on_ask = on_slot_request

    def admit(
        self, slot_request: requests.SlotRequest
    ) -> requests.Denial | None:
        """Charge an ask, or tell when it may come again."""
        if self._on_ask is not None:
            self._on_ask(slot_request)
        now = self._now()
        if slot_request.sending is requests.Sending.first:
            self._budgets.note_request(slot_request.pool, now)
        if slot_request.sending is requests.Sending.retry:
            level = self._budgets.level(slot_request.pool, now)
            if level.is_full:
                return _no_retry(slot_request, level)
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
                math.ceil(max(seconds, _LEAST_WAIT_SECONDS) * _MS),
            )
        if slot_request.sending is requests.Sending.retry:
            self._budgets.take(slot_request.pool, now)
        return None

    def granted(self, slot_request: requests.SlotRequest) -> None:
        """Take that an ask that was let through got a grant."""
        if slot_request.sending is requests.Sending.retry:
            self._budgets.granted(slot_request.pool, self._now())

    def undo(
        self,
        slot_request: requests.SlotRequest,
        charge: led.Charge,
        outcome: requests.Outcome,
    ) -> None:
        """Give back what an ask was charged that wasn't served."""
        self._quotas.refund(
            slot_request.customer,
            slot_request.quota_cost,
            charge.admitted_at,
        )
        if slot_request.sending is not requests.Sending.retry:
            return
        if charge.granted_at is None or outcome in retrycounts.NOT_SENT:
            self._budgets.refund(slot_request.pool, charge.granted_at)


def _no_retry(
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
