"""The plain rule that the judge of rollouts is compared with."""

import collections

from geraniumweir.common import ids
from geraniumweir.rollout import detection

# A version is bad where this part of its last answers was, beyond what is
# usual, and at least so many.
_WINDOW = 40
_USUAL_WINDOW = 200
_BEYOND = 0.15
_LEAST_BAD = 4


class Threshold:
    """Counts bad answers among recent ones; see :class:`detection.Detector`."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._old: collections.deque[bool] = collections.deque(
            maxlen=_USUAL_WINDOW
        )
        self._new: collections.deque[tuple[ids.ServerId, bool]] = (
            collections.deque(maxlen=_WINDOW)
        )

    @property
    def suspicion(self) -> float:
        """Give how near it is to going off, 1 where it does."""
        return self._bad() / max(self._limit(), _LEAST_BAD)

    def record_old_answer(self, _rule: str, *, bad: bool) -> None:
        """Take an answer of the old version."""
        self._old.append(bad)

    def record_new_answer(
        self,
        _rule: str,
        server: ids.ServerId,
        *,
        bad: bool,
    ) -> detection.Detection | None:
        """Take an answer of the new version."""
        self._new.append((server, bad))
        if self.suspicion < 1:
            return None
        counts = collections.Counter(name for name, ill in self._new if ill)
        culprits = tuple(name for name, count in counts.items() if count > 1)
        return detection.Detection('', culprits, self._bad(), len(self._new))

    def reset(self) -> None:
        """Drop the evidence."""
        self._new.clear()

    def _bad(self) -> int:
        return sum(ill for _, ill in self._new)

    def _limit(self) -> float:
        usual = sum(self._old) / len(self._old) if self._old else 0
        return (usual + _BEYOND) * len(self._new)
