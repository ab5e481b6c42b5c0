"""Withholds slot requests that a pool leader would have no time for.

A denial costs a full leader's thread a part of what a decision costs, and with
several times as many requests as it bears, denials alone would fill it. Each
entry host therefore compares its requests of the last seconds with those that
were denied for lack of time, and denies the excess itself [1]_. It asks for
somewhat more than was decided, so that it notices soon when the leader has time
again.

Load: each slot request of an entry host.

References
==========
.. [1] B. Beyer, C. Jones, J. Petoff, N. Murphy (editors), "Site Reliability
   Engineering", O'Reilly 2016, chapter 21, "Client-side throttling".
"""

import random
import typing

from geraniumweir.common import decay, ids
from geraniumweir.scheduling import requests

_WINDOW_SECONDS = 2.0
# Requests sent for each one that is decided.
_HEADROOM = 1.5
# Requests beyond that before the first is withheld.
_SLACK = 1
# Callers that are refused return at different times, and when some of the load
# has passed.
_RETRY_SECONDS = (0.5, 1.0)
_MAX_RETRY_FRACTION = 1 / 3
_MS = 1000


class Throttle:
    """Counts of the slot requests of an entry host, by tier."""

    def __init__(
        self, now: typing.Callable[[], float], rng: random.Random
    ) -> None:
        """Initialize without requests.

        :param now: returns the time in seconds.
        """
        self._now = now
        self._rng = rng
        self._asked = {tier: _count() for tier in ids.Tier}
        self._denied = {tier: _count() for tier in ids.Tier}

    def denial(
        self, slot_request: requests.SlotRequest
    ) -> requests.Denial | None:
        """Count a slot request; return a denial if it is withheld."""
        now = self._now()
        tier = slot_request.tier
        self._asked[tier].add(now)
        asked = self._asked[tier].at(now)
        decided = asked - self._denied[tier].at(now)
        excess = asked - _HEADROOM * decided - _SLACK
        if excess <= 0 or self._rng.random() >= excess / asked:
            return None
        self._denied[tier].add(now)
        return busy(
            slot_request.request_id, slot_request.deadline - now, self._rng
        )

    def record_answer(
        self, tier: ids.Tier, answer: requests.Grant | requests.Denial
    ) -> None:
        """Count what came of a slot request that was sent."""
        if isinstance(answer, requests.Grant):
            return
        if answer.reason is requests.DenialReason.leader_busy:
            self._denied[tier].add(self._now())


def busy(
    request_id: ids.RequestId, seconds_left: float, rng: random.Random
) -> requests.Denial:
    """Return the denial of a slot request that a leader has no time for.

    :param seconds_left: of the request.
    """
    seconds = min(
        rng.uniform(*_RETRY_SECONDS), seconds_left * _MAX_RETRY_FRACTION
    )
    return requests.Denial(
        request_id,
        requests.DenialReason.leader_busy,
        int(max(seconds, 0) * _MS),
    )


def _count() -> decay.Count:
    return decay.Count(_WINDOW_SECONDS)
