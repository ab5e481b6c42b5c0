"""Quality of the paths between failure domains.

A link that loses packets delays what it carries by the time until a packet is
retransmitted, and nearly every stream of some sixty events is affected: while 4
in 100 packets were lost between one failure domain and the others, half of the
streams that crossed its border had a pause over 200 ms, and none of those
within a domain. Engines differ too, so a path is judged by comparison with what
the same servers do for entry hosts in their own domain.
"""

import dataclasses

from geraniumweir.common import ids

# A lost packet is retransmitted after 0.2 s at the earliest; a tenth less, as
# the loss may occur anywhere in a pause.
_LOSS_PAUSE_SECONDS = 0.18
# Weight of one response in the ratio: a decaying mean over about four.
_WEIGHT = 0.25
# A path that isn't used any more gives no new samples, so its ratio halves in
# this time; losses last some seconds.
_HALF_LIFE_SECONDS = 2.0

_Path = tuple[ids.FailureDomain, ids.FailureDomain]


@dataclasses.dataclass(slots=True)
class _DecayingRatio:
    """A ratio that decays with time.

    :ivar ratio: value at the last sample.
    :ivar measured_at: time of the last sample, in seconds.
    """

    ratio: float = 0
    measured_at: float = 0

    def current(self, now: float) -> float:
        """Return the decayed ratio."""
        return self.ratio * 0.5 ** (
            (now - self.measured_at) / _HALF_LIFE_SECONDS
        )

    def update(self, delayed: bool, now: float) -> None:
        """Add a response."""
        before = self.current(now)
        self.ratio = before + (delayed - before) * _WEIGHT
        self.measured_at = now


def is_loss_pause(seconds: float) -> bool:
    """Return whether a pause is long enough for a retransmitted packet."""
    return seconds >= _LOSS_PAUSE_SECONDS


class Paths:
    """Paths from entry hosts to servers, by their failure domains.

    >>> one, two = ids.FailureDomain('one'), ids.FailureDomain('two')
    >>> some = Paths()
    >>> for _ in range(8):
    ...     some.record(one, two, delayed=True, now=0)
    >>> round(some.delay_ratio(one, two, 0), 1), some.delay_ratio(two, two, 0)
    (0.9, 0)
    >>> round(some.delay_ratio(one, two, 6), 1)
    0.1
    """

    def __init__(self) -> None:
        """Initialize without any samples."""
        self._ratios: dict[_Path, _DecayingRatio] = {}

    def record(
        self,
        owner: ids.FailureDomain,
        server: ids.FailureDomain,
        *,
        delayed: bool,
        now: float,
    ) -> None:
        """Record a response, or that none came.

        :param owner: failure domain of the entry host.
        :param server: failure domain of the server.
        :param delayed: whether the response was delayed or lost.
        :param now: in seconds.
        """
        self._ratios.setdefault((owner, server), _DecayingRatio()).update(
            delayed, now
        )

    def delay_ratio(
        self,
        owner: ids.FailureDomain,
        server: ids.FailureDomain,
        now: float,
    ) -> float:
        """Return the fraction of responses that were delayed by the path alone.

        It is 0 for an owner without a failure domain, as its path is unknown.
        """
        if not owner or owner == server:
            return 0
        local = self._ratio(server, server, now)
        return max(self._ratio(owner, server, now) - local, 0)

    def _ratio(
        self,
        owner: ids.FailureDomain,
        server: ids.FailureDomain,
        now: float,
    ) -> float:
        stored = self._ratios.get((owner, server))
        return 0 if stored is None else stored.current(now)
