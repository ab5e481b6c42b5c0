"""Retry budgets of customers, against overload by refused requests.

A customer's repeats may be a tenth of its new requests plus a fixed number.
Repeats beyond that are refused while the pool is short of capacity. A repeat
is a request with content that was refused a short time ago.

References
==========
.. [1] B. Beyer et al. (eds.), "Site Reliability Engineering", O'Reilly, 2016,
   chapter 21, "Handling Overload" (retry budgets by client).
"""

import collections
import dataclasses

from geraniumweir.common import ids
from geraniumweir.scheduling import suspects

_MAX_REFUSED = 8192
_MAX_CUSTOMERS = 4096
_REPEAT_SECONDS = 30.0
_EARNED_BY_REQUEST = 0.1
_MAX_SAVED = 20.0


@dataclasses.dataclass(slots=True)
class _Budget:
    saved: float = _MAX_SAVED


class Retries:
    """Retry budgets of all customers, in bounded memory."""

    def __init__(self) -> None:
        """Initialize without refusals."""
        self._refused: collections.OrderedDict[
            tuple[ids.CustomerName, ids.Fingerprint], float
        ] = collections.OrderedDict()
        self._budgets: collections.OrderedDict[ids.CustomerName, _Budget] = (
            collections.OrderedDict()
        )

    def record_refusal(
        self,
        customer: ids.CustomerName,
        fingerprint: ids.Fingerprint,
        now: float,
    ) -> None:
        """Record a refusal."""
        if fingerprint == suspects.NO_FINGERPRINT:
            return
        self._refused[(customer, fingerprint)] = now
        self._refused.move_to_end((customer, fingerprint))
        if len(self._refused) > _MAX_REFUSED:
            self._refused.popitem(last=False)

    def within_budget(
        self,
        customer: ids.CustomerName,
        fingerprint: ids.Fingerprint,
        now: float,
    ) -> bool:
        """Count a request and return whether it is within the budget.

        :returns: False for a repeat when the budget is used up.
        """
        budget = self._budget(customer)
        before = self._refused.get((customer, fingerprint))
        if before is None or now - before > _REPEAT_SECONDS:
            earned = budget.saved + _EARNED_BY_REQUEST
            budget.saved = min(_MAX_SAVED, earned)
            return True
        if budget.saved < 1:
            return False
        budget.saved -= 1
        return True

    def _budget(self, customer: ids.CustomerName) -> _Budget:
        budget = self._budgets.setdefault(customer, _Budget())
        self._budgets.move_to_end(customer)
        if len(self._budgets) > _MAX_CUSTOMERS:
            self._budgets.popitem(last=False)
        return budget
