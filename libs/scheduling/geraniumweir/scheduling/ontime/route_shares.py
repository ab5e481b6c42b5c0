"""Equal service of routes of the same importance.

Load: routes of one tier and rank whose callers exceed the slots of their pool.
Some have many more callers than others, and servers fail more requests of some
than of others. The order of plain requests in overload is newest first, so a
repeat after a failure comes last, and a route with failures would be served
less often than its peers.

A route is behind while fewer of its callers were served in time than of all
callers of its class. Its requests then go before others of the class, so all
routes of a class converge to the same fraction of their callers.

A response that fails doesn't serve its caller, but failures are made up for
only as far as the usual repeats go. So a route whose requests all fail can take
hardly more slots from its peers than its callers stand for.

Streams go shortest first within a class in overload, which serves most callers.
So a route of long streams is behind only below a lower fraction, as bands of
long requests are; see :mod:`geraniumweir.scheduling.ontime.lengths`.

Cost: a recorded event updates one or two counts. Which routes are behind is
computed at most every 10 ms and at most every 0.2 ms for each route. Idle
routes are removed, so memory is bounded by the routes in use.
"""

import dataclasses
import typing

from geraniumweir.common import decay, ids
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import classes

Key = tuple[classes.Class, ids.RuleName]

# Time constant of the counts: as that of the fair shares of customers.
_WINDOW_SECONDS = 5.0
# Grants for each served caller that count as usual, with the repeats of failed
# requests. A route with more failures counts as served by its grants.
_MAX_GRANTS_EACH = 1.2
# A route of streams is behind below this fraction of what its class gets.
_MIN_STREAM_RATIO = 0.7
# A route isn't behind for so few callers, as counts of few requests vary.
_SLACK_CALLERS = 2.0
# Minimum time between two computations, and for each route.
_REFRESH_SECONDS = 0.01
_REFRESH_SECONDS_PER_ROUTE = 2e-4
# Time between two searches for idle routes, which are removed.
_CLEANUP_SECONDS = 60.0
# A route with fewer callers and grants in the window is idle.
_MIN_EVENTS = 0.01
# Outcomes that serve no caller.
_FAILURES: typing.Final = frozenset(
    (
        requests.Outcome.answered_failure,
        requests.Outcome.failed,
        requests.Outcome.crashed,
        requests.Outcome.turned_away,
        requests.Outcome.not_sent,
        requests.Outcome.wrong_server,
        requests.Outcome.given_up,
    ),
)


def _make_count() -> decay.Count:
    return decay.Count(_WINDOW_SECONDS)


@dataclasses.dataclass(slots=True)
class _Counts:
    """Decaying counts of a route.

    :ivar min_ratio: fraction of the service of its class below which it is
        behind.
    :ivar callers: first requests of callers.
    :ivar grants: grants to requests that could meet their targets.
    :ivar failures: those of them that served no caller.
    """

    min_ratio: float
    callers: decay.Count = dataclasses.field(default_factory=_make_count)
    grants: decay.Count = dataclasses.field(default_factory=_make_count)
    failures: decay.Count = dataclasses.field(default_factory=_make_count)

    def served(self, now: float) -> float:
        """Return the callers that count as served in time."""
        grants = self.grants.at(now)
        return max(
            grants - self.failures.at(now),
            grants / _MAX_GRANTS_EACH,
        )


class RouteShares:
    """How often the routes of a pool serve their callers in time.

    >>> shares = RouteShares()
    >>> first, second = (
    ...     requests.SlotRequest(
    ...         *(ids.RequestId(name), ids.HostId(''), ids.PoolName('')),
    ...         *(ids.CustomerName(''), ids.RuleName(name), ids.Tier.normal),
    ...         deadline=1,
    ...     )
    ...     for name in ('first', 'second')
    ... )
    >>> for number in range(20):
    ...     shares.record_caller(first, number / 20)
    ...     shares.record_caller(second, number / 20)
    ...     shares.record_grant(first, number / 20)
    >>> [rule for _, rule in shares.behind(1)]
    ['second']
    """

    def __init__(self) -> None:
        """Initialize without callers."""
        self._routes: dict[Key, _Counts] = {}
        self._behind: frozenset[Key] = frozenset()
        self._refreshed_at = float('-inf')
        self._cleaned_at = float('-inf')

    def record_caller(
        self, slot_request: requests.SlotRequest, now: float
    ) -> None:
        """Count a caller's first request."""
        if now - self._cleaned_at >= _CLEANUP_SECONDS:
            self._remove_idle(now)
        self._of(slot_request).callers.add(now)

    def record_grant(
        self, slot_request: requests.SlotRequest, now: float
    ) -> None:
        """Count a grant to a request that could meet its target."""
        self._of(slot_request).grants.add(now)

    def record_end(
        self,
        slot_request: requests.SlotRequest,
        outcome: requests.Outcome,
        now: float,
    ) -> None:
        """Record the outcome of a grant that was counted."""
        if outcome in _FAILURES:
            self._of(slot_request).failures.add(now)

    def behind(self, now: float) -> frozenset[Key]:
        """Return the routes that are behind their class."""
        delay = max(
            _REFRESH_SECONDS, len(self._routes) * _REFRESH_SECONDS_PER_ROUTE
        )
        if now - self._refreshed_at >= delay:
            self._refreshed_at = now
            self._behind = self._find_behind(now)
        return self._behind

    def log_summary(self, now: float, most: int) -> dict[str, str]:
        """Return what the routes with most callers got, for the log.

        :param most: number of routes.
        """
        callers = {
            key: counts.callers.at(now) for key, counts in self._routes.items()
        }
        largest = sorted(callers, key=callers.__getitem__, reverse=True)[:most]
        return {
            f'{one.tier:d}/{one.rank}/{rule}': self._summary((one, rule), now)
            for one, rule in sorted(largest)
        }

    def _summary(self, key: Key, now: float) -> str:
        counts = self._routes[key]
        behind = ' behind' if key in self._behind else ''
        return (
            f'callers {counts.callers.at(now):.0f} '
            f'in time {counts.grants.at(now):.0f} '
            f'failed {counts.failures.at(now):.0f}{behind}'
        )

    def _find_behind(self, now: float) -> frozenset[Key]:
        served = {
            key: counts.served(now) for key, counts in self._routes.items()
        }
        callers = {
            key: counts.callers.at(now) for key, counts in self._routes.items()
        }
        ratios = _ratios(served, callers)
        return frozenset(
            key
            for key, counts in self._routes.items()
            if served[key] + _SLACK_CALLERS
            < callers[key] * ratios[key[0]] * counts.min_ratio
        )

    def _remove_idle(self, now: float) -> None:
        self._cleaned_at = now
        self._routes = {
            key: counts
            for key, counts in self._routes.items()
            if counts.callers.at(now) + counts.grants.at(now) > _MIN_EVENTS
        }

    def _of(self, slot_request: requests.SlotRequest) -> _Counts:
        key = classes.class_of(slot_request), slot_request.rule
        counts = self._routes.get(key)
        if counts is None:
            min_ratio = _MIN_STREAM_RATIO if slot_request.streams else 1
            counts = self._routes.setdefault(key, _Counts(min_ratio))
        return counts


def _ratios(
    served: typing.Mapping[Key, float], callers: typing.Mapping[Key, float]
) -> dict[classes.Class, float]:
    """Return the fraction of the callers that were served, by class."""
    sums: dict[classes.Class, list[float]] = {}
    for key, number in callers.items():
        total = sums.setdefault(key[0], [0, 0])
        total[0] += served[key]
        total[1] += number
    return {
        request_class: total_served / total_callers if total_callers else 0
        for request_class, (total_served, total_callers) in sums.items()
    }
