"""Tells an answer that came several times slower than usual.

Hardware differs in speed between servers, so an answer is compared with the
quick ones of its own server, and with those of the middle one of the old
version's servers: a version that is slow as a whole has no quick ones.
"""

import collections
import dataclasses

from geraniumweir.common import ids

# So many times the quick answers of a server are slow.
_SLOW = 2.5
# Servers differ in hardware, so a server may be slower than the middle one by
# so much more.
_HARDWARE = 1.2
# Answers of a server that are remembered, and how many show what is quick.
_REMEMBERED = 16
_ENOUGH = 6
# Of the remembered ones this part is quicker than the quick one.
_QUICK_PART = 4


@dataclasses.dataclass(slots=True)
class _Recent:
    """The last answers of a server, in their usual times."""

    ratios: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_REMEMBERED),
    )

    def quick(self) -> float | None:
        if len(self.ratios) < _ENOUGH:
            return None
        ranked = sorted(self.ratios)
        return ranked[len(ranked) // _QUICK_PART]


class Paces:
    """The paces of a pool's servers.

    >>> paces = Paces()
    >>> name = ids.ServerId('s')
    >>> [paces.is_slow(name, ratio, old=True) for ratio in [1] * 8 + [4]][-1]
    True
    """

    def __init__(self) -> None:
        """Know of none."""
        self._recent: dict[ids.ServerId, _Recent] = {}
        self._old: dict[ids.ServerId, float] = {}

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
        quick = recent.quick()
        if old and quick is not None:
            self._old[server] = quick
        return limit is not None and ratio > limit

    def _limit(self, recent: _Recent) -> float | None:
        limits: list[float] = []
        quick = recent.quick()
        if quick is not None:
            limits.append(quick)
        if self._old:
            ranked = sorted(self._old.values())
            limits.append(ranked[len(ranked) // 2] * _HARDWARE)
        return _SLOW * min(limits) if limits else None
