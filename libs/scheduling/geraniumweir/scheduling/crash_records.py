"""Records of crashes, and the rate at which sound requests are in one.

See Also
========
geraniumweir.scheduling.part_evidence
"""

import dataclasses
import math
import random
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import notices

# Parts kept for one crash. The headers of a request have room for no more,
# and those of all requests on a server seldom do.
_MAX_PARTS = 4096
_HALF_LIVES_SECONDS = (2.0, 10.0)
# Assumed requests before any was seen, of which one was in a crash.
_ASSUMED_REQUESTS = 20.0
_MIN_RATE = 0.02
_MAX_RATE = 0.5


IsSuspected = typing.Callable[[ids.PromptPart], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """A request whose answer broke off.

    :ivar failure_domain: of the entry host that sent it.
    :ivar parts: shared parts of its prompt.
    :ivar begun: whether an event of the answer had come before.
    :ivar sent_at: when the server was chosen, in seconds.
    """

    customer: ids.CustomerName
    failure_domain: ids.FailureDomain
    parts: tuple[ids.PromptPart, ...]
    begun: bool
    sent_at: float = float('-inf')


@dataclasses.dataclass(slots=True, eq=False)
class Crash:
    """A crash of a server, or what looks like one.

    :ivar at: when the first answer broke off, in seconds.
    :ivar log_ratio: logarithm of the likelihood ratio by which it speaks
        against each part.
    :ivar confirmed: whether the server is known to have ended.
    :ivar parts: parts of the requests that had no answer, with the customers
        that sent them; without those that were answered since.
    :ivar domains: failure domains whose requests broke off.
    :ivar unbegun: number of requests that had no answer.
    :ivar left_out: number of parts that were too many to be kept.
    """

    start: notices.ServerIncarnation
    at: float
    log_ratio: float
    confirmed: bool = False
    parts: dict[ids.PromptPart, frozenset[ids.CustomerName]] = (
        dataclasses.field(default_factory=dict)
    )
    domains: set[ids.FailureDomain] = dataclasses.field(default_factory=set)
    unbegun: int = 0
    left_out: int = 0

    def shows_the_same(self, other: 'Crash') -> bool:
        """Return whether another record of this crash has the same evidence."""
        return self._evidence() == other._evidence()

    def add(
        self, broken: Broken, is_suspected: IsSuspected
    ) -> typing.Collection[ids.PromptPart]:
        """Add a request that ran on the server.

        :param is_suspected: returns whether a part is in other crashes. Such
            parts are kept first, then any others: a part that crashes servers
            may have any place in the prompt.
        :returns: parts that are new in the crash.
        """
        self.domains.add(broken.failure_domain)
        if broken.begun:
            return ()
        self.unbegun += 1
        customers = frozenset((broken.customer,))
        new = dict.fromkeys(broken.parts, customers)
        for part in new.keys() & self.parts.keys():
            self.parts[part] |= new.pop(part)
        room = _MAX_PARTS - len(self.parts)
        if len(new) > room:
            chosen = self._choose(list(new), is_suspected)[:room]
            self.left_out += len(new) - room
            new = dict.fromkeys(chosen, customers)
        self.parts.update(new)
        return new

    def _choose(
        self, parts: list[ids.PromptPart], is_suspected: IsSuspected
    ) -> list[ids.PromptPart]:
        """Return parts in the order in which they are kept."""
        random.Random(str(self.start)).shuffle(parts)  # noqa: S311
        return sorted(parts, key=is_suspected, reverse=True)

    def _evidence(self) -> tuple[object, ...]:
        return (
            self.confirmed,
            self.parts,
            self.domains,
            self.unbegun,
            self.left_out,
        )


@dataclasses.dataclass(slots=True)
class _DecayingCounts:
    """Requests with and without an answer, forgotten by half in some time."""

    half_life: float
    answered: float = 0
    broken: float = 0
    updated_at: float = 0

    def decay(self, now: float) -> None:
        factor = 2 ** ((self.updated_at - now) / self.half_life)
        self.answered *= factor
        self.broken *= factor
        self.updated_at = now

    def rate(self) -> float:
        total = self.answered + self.broken + _ASSUMED_REQUESTS
        return (self.broken + 1) / total


class CollateralRate:
    """Estimated share of sound requests that are on a server when it crashes.

    Of the requests without an answer in a crash, all but one had no part in it.
    The larger of two estimates counts, over seconds and over some ten of them:
    crashes come in bursts.

    >>> rate = CollateralRate()
    >>> for _ in range(80):
    ...     rate.record_answer(0)
    >>> rate.record_break(True, 0)
    >>> round(math.exp(-rate.log_ratio(0)), 3)
    0.02
    >>> for _ in range(20):
    ...     rate.record_break(True, 0)
    >>> round(math.exp(-rate.log_ratio(0)), 2)
    0.18
    """

    def __init__(self) -> None:
        """Initialize without requests."""
        self._counts = tuple(map(_DecayingCounts, _HALF_LIVES_SECONDS))

    def record_answer(self, now: float) -> None:
        """Record an answer that began."""
        for counts in self._counts:
            counts.decay(now)
            counts.answered += 1

    def record_break(self, is_collateral: bool, now: float) -> None:
        """Record a request without an answer.

        :param is_collateral: whether it isn't the first in its crash.
        """
        for counts in self._counts:
            counts.decay(now)
            counts.broken += is_collateral

    def log_ratio(self, now: float) -> float:
        """Return the logarithm of the inverse rate."""
        for counts in self._counts:
            counts.decay(now)
        rate = max(one.rate() for one in self._counts)
        return -math.log(min(max(rate, _MIN_RATE), _MAX_RATE))
