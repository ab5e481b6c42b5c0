"""Tells an answer that came several times slower than usual.

Hardware differs in speed between servers, so an answer is compared with the
quick ones of its own server, and with those of the middle one of the old
version's servers: a version that is slow as a whole has no quick ones.
"""

import collections
import dataclasses

from geraniumweir.common import ids

# So many times the quick answers of a server are slow.
_SLOW_FACTOR = 2.5
# Servers differ in hardware, so a server may be slower than the middle one by
# so much more.
_HARDWARE_FACTOR = 1.2
# Answers of a server that are remembered, and how many show what is quick.
_WINDOW_ANSWERS = 16
_MIN_ANSWERS = 6
# Of the remembered ones this part is quicker than the quick one.
_QUICK_QUANTILE_DIVISOR = 4


@dataclasses.dataclass(slots=True)
class _Recent:
    """The last answers of a server, in their usual times."""

    ratios: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_WINDOW_ANSWERS),
    )

    def quick_ratio(self) -> float | None:
        if len(self.ratios) < _MIN_ANSWERS:
            return None
        sorted_ratios = sorted(self.ratios)
        return sorted_ratios[len(sorted_ratios) // _QUICK_QUANTILE_DIVISOR]


class SlowAnswerDetector:
    """The paces of a pool's servers.

    >>> paces = SlowAnswerDetector()
    >>> name = ids.ServerId('s')
    >>> [paces.is_slow(name, ratio, old=True) for ratio in [1] * 8 + [4]][-1]
    True
    """

    def __init__(self) -> None:
        """Know of none."""
        self._recent: dict[ids.ServerId, _Recent] = {}
        self._old_quick_ratios: dict[ids.ServerId, float] = {}

    def is_slow(
        self,
        server: ids.ServerId,
        ratio: float,
        *,
        old: bool,
    ) -> bool:
        """Take an answer and tell whether it is slow.

        :param ratio: its time by what the pool usually takes for its like.
        :param old: the server is of the old version.
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
