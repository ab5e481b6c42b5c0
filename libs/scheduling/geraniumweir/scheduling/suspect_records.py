"""Evidence that requests of one content crash backend servers.

See Also
========
geraniumweir.scheduling.suspects
"""

import dataclasses

from geraniumweir.common import ids

QUARANTINE_CRASHES = 2
EXPLANATION_SECONDS = 8.0
QUARANTINE_SCORE = 1.0


@dataclasses.dataclass(slots=True)
class Evidence:
    """Evidence of one leader against a fingerprint.

    :ivar crashes: number of crashes that it saw.
    :ivar score: sum of the shares in these crashes.
    """

    crashes: int = 0
    score: float = 0


@dataclasses.dataclass(slots=True)
class Record:
    """State of a fingerprint; times are in seconds.

    :ivar by_origin: evidence of each leader, by its name.
    :ivar ends_at: end of the suspicion.
    :ivar quarantine_ends_at: end of the quarantine.
    :ivar incomplete: number of streams that ended early and are not yet
        explained by a crash.
    :ivar set_aside: number of further ones that may be due to a partition.
    :ivar incomplete_at: time of the last of them.
    :ivar incomplete_on: servers on which they ran, two at most.
    """

    by_origin: dict[str, Evidence] = dataclasses.field(default_factory=dict)
    ends_at: float = 0
    quarantine_ends_at: float = 0
    incomplete: int = 0
    set_aside: int = 0
    incomplete_at: float = float('-inf')
    incomplete_on: set[ids.ServerId] = dataclasses.field(default_factory=set)

    @property
    def crashes(self) -> int:
        """The number of crashes that all leaders saw."""
        return sum(evidence.crashes for evidence in self.by_origin.values())

    @property
    def is_unexplained(self) -> bool:
        """Whether a stream ended early, for whatever cause."""
        return bool(self.incomplete or self.set_aside)

    @property
    def is_suspect(self) -> bool:
        """Whether there is evidence that is not set aside."""
        return bool(self.crashes or self.incomplete)

    def set_evidence_aside(self) -> None:
        """Treat the incomplete streams as those of a partition."""
        self.set_aside += self.incomplete
        self.incomplete = 0

    def use_recent_evidence(self, now: float) -> None:
        """Use evidence that was set aside and may still be explained."""
        if now - self.incomplete_at <= EXPLANATION_SECONDS:
            self.incomplete += self.set_aside
        elif self.set_aside:
            self.incomplete_on.clear()
        self.set_aside = 0

    def explain_one(self) -> None:
        """Count one incomplete stream as explained by a crash."""
        if self.incomplete:
            self.incomplete -= 1
        elif self.set_aside:
            self.set_aside -= 1

    def has_enough_evidence(self) -> bool:
        """Return whether the evidence suffices for a quarantine."""
        if self.crashes < QUARANTINE_CRASHES:
            return False
        evidence = self.by_origin.values()
        return sum(one.score for one in evidence) >= QUARANTINE_SCORE
