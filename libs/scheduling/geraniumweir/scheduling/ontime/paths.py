"""Learns which paths between failure domains hold answers up.

A link that loses packets delays what it carries by the time after which a
packet is sent again, and a stream of some sixty events meets that nearly
always: while 4 in 100 packets were lost between one failure domain and the
others, half of the streams that crossed its border had a pause over 200 ms,
and none of those within a domain. Engines differ too, so a path is judged by
what the same servers do for entry hosts beside them.
"""

import dataclasses

from geraniumweir.common import ids

# A lost packet is sent again after 0.2 s at the earliest; in seconds, with a
# tenth less for where in a pause the loss falls.
_LOSS_PAUSE_SECONDS = 0.18
# Share of held up answers, by a decaying mean over about four.
_WEIGHT = 0.25
# A path that isn't used any more shows nothing new, so what is thought of it
# halves in this time, in seconds; losses last some seconds.
_HALF_LIFE_SECONDS = 2.0

_Path = tuple[ids.FailureDomain, ids.FailureDomain]


@dataclasses.dataclass(slots=True)
class _DecayingRatio:
    """A share that fades.

    :ivar measured_at: when it was measured, in seconds.
    """

    ratio: float = 0
    measured_at: float = 0

    def current(self, now: float) -> float:
        """Give what is left of it."""
        return self.ratio * 0.5 ** (
            (now - self.measured_at) / _HALF_LIFE_SECONDS
        )

    def update(self, delayed: bool, now: float) -> None:
        """Take an answer."""
        before = self.current(now)
        self.ratio = before + (delayed - before) * _WEIGHT
        self.measured_at = now


def is_loss_pause(seconds: float) -> bool:
    """Tell whether a pause is as long as a lost packet makes it."""
    return seconds >= _LOSS_PAUSE_SECONDS


class Paths:
    """The paths from entry hosts to servers, by failure domains.

    >>> one, two = ids.FailureDomain('one'), ids.FailureDomain('two')
    >>> some = Paths()
    >>> for _ in range(8):
    ...     some.record(one, two, delayed=True, now=0)
    >>> round(some.delayed_ratio(one, two, 0), 1), some.delayed_ratio(two, two, 0)
    (0.9, 0)
    >>> round(some.delayed_ratio(one, two, 6), 1)
    0.1
    """

    def __init__(self) -> None:
        """Know of no trouble."""
        self._ratios: dict[_Path, _DecayingRatio] = {}

    def record(
        self,
        owner: ids.FailureDomain,
        server: ids.FailureDomain,
        *,
        delayed: bool,
        now: float,
    ) -> None:
        """Take how an answer came, or that none did.

        :param owner: the failure domain of the entry host.
        :param now: in seconds.
        """
        self._ratios.setdefault((owner, server), _DecayingRatio()).update(
            delayed, now
        )

    def delayed_ratio(
        self,
        owner: ids.FailureDomain,
        server: ids.FailureDomain,
        now: float,
    ) -> float:
        """Give the share of answers held up by the path alone.

        An owner that doesn't say where it is has no path to judge.
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
