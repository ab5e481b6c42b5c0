"""Detects answers that are several times slower than usual.

Servers differ in hardware speed, so an answer is compared with the quick
answers of its own server. It is also compared with those of the median server
of the old version, because a version that is slow as a whole has no quick
answers.
"""

import collections
import dataclasses

from geraniumweir.common import ids

# An answer is slow above this multiple of the quick answers.
_SLOW_FACTOR = 2.5
# Additional factor for the comparison with the median server, because servers
# differ in hardware.
_HARDWARE_FACTOR = 1.2
# Answers that are kept by server, and how many are needed for an estimate.
_WINDOW_ANSWERS = 16
_MIN_ANSWERS = 6
# The quick ratio is the quantile 1 / this of the kept answers.
_QUICK_QUANTILE_DIVISOR = 4


@dataclasses.dataclass(slots=True)
class _Recent:
    """The last answers of a server, in multiples of the usual time."""

    ratios: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_WINDOW_ANSWERS),
    )

    def quick_ratio(self) -> float | None:
        if len(self.ratios) < _MIN_ANSWERS:
            return None
        sorted_ratios = sorted(self.ratios)
        return sorted_ratios[len(sorted_ratios) // _QUICK_QUANTILE_DIVISOR]


class SlowAnswerDetector:
    """Detector of slow answers of a pool's servers.

    >>> paces = SlowAnswerDetector()
    >>> name = ids.ServerId('s')
    >>> [paces.is_slow(name, ratio, old=True) for ratio in [1] * 8 + [4]][-1]
    True
    """

    def __init__(self) -> None:
        """Initialize without answers."""
        self._recent: dict[ids.ServerId, _Recent] = {}
        self._old_quick_ratios: dict[ids.ServerId, float] = {}

    def is_slow(
        self,
        server: ids.ServerId,
        ratio: float,
        *,
        old: bool,
    ) -> bool:
        """Record an answer and return whether it is slow.

        :param ratio: its time divided by the usual time of the pool for such a
            request.
        :param old: whether the server has the old version.
        """
        recent = self._recent.setdefault(server, _Recent())
        limit = self._limit(recent)
        recent.ratios.append(ratio)
        quick_ratio = recent.quick_ratio()
        if old and quick_ratio is not None:
            self._old_quick_ratios[server] = quick_ratio
        return limit is not None and ratio > limit

    def _limit(self, recent: _Recent) -> float | None:
        limits: list[float] = []
        quick_ratio = recent.quick_ratio()
        if quick_ratio is not None:
            limits.append(quick_ratio)
        if self._old_quick_ratios:
            sorted_ratios = sorted(self._old_quick_ratios.values())
            limits.append(
                sorted_ratios[len(sorted_ratios) // 2] * _HARDWARE_FACTOR
            )
        return _SLOW_FACTOR * min(limits) if limits else None
