"""Evidence about the new version of a rollout."""

import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.rollout import detection, slow_answers

# A phase does not end while the suspicion of the detector is at least this.
_MAX_SUSPICION = 0.35
_NO_SERVERS: typing.Final[frozenset[ids.ServerId]] = frozenset()


@dataclasses.dataclass(slots=True)
class Evidence:
    """Evidence about the new version of one order.

    :ivar answers: answers of the new version that were evaluated.
    :ivar excluded_servers: servers whose failures are not due to the version.
    :ivar bad: why the version is bad, empty if it is not.
    """

    detector: detection.Detector
    slow_answer_detector: slow_answers.SlowAnswerDetector = dataclasses.field(
        default_factory=slow_answers.SlowAnswerDetector
    )
    answers: int = 0
    excluded_servers: frozenset[ids.ServerId] = _NO_SERVERS
    bad: str = ''

    @property
    def is_suspected(self) -> bool:
        """Whether too many answers were bad to trust the version."""
        return self.detector.suspicion >= _MAX_SUSPICION

    def count_good_answers(self, logged: int) -> int:
        """Return the answers that a new coordinator may count as good.

        :param logged: number that the log has.
        """
        return logged if self.is_suspected else self.answers
