"""Trials of prompt parts that are suspected of crashing servers.

See Also
========
geraniumweir.scheduling.part_evidence
"""

import collections
import dataclasses

from geraniumweir.common import ids

# A trial without a report of its end is given up after this time.
_TRIAL_SECONDS = 3.0
_FIRST_RETRIAL_SECONDS = 30.0
_RETRIAL_GROWTH = 4
_MAX_RETRIAL_SECONDS = 3600.0
_MAX_PARTS = 256


@dataclasses.dataclass(slots=True)
class Trials:
    """Trials of a part.

    :ivar running: request that tries the part now, None if none does.
    :ivar ends_at: when that trial is given up, in seconds.
    :ivar next_at: when a refused part is tried again, in seconds; 0 if it has
        not been refused.
    :ivar crashed: trials of the refused part that had no answer.
    :ivar by_customer: whether a customer whose requests were in no crash has
        tried it.
    """

    running: ids.RequestId | None = None
    ends_at: float = 0
    next_at: float = 0
    crashed: int = 0
    by_customer: bool = False

    def is_running(self, now: float) -> bool:
        """Return whether a trial runs."""
        return self.running is not None and now < self.ends_at

    def begin(self, request_id: ids.RequestId, now: float) -> None:
        """Record a trial; of a refused part it fails until it is answered."""
        self.running = request_id
        self.ends_at = now + _TRIAL_SECONDS
        if self.next_at:
            self.crashed += 1
            self.refuse(now)

    def refuse(self, now: float) -> None:
        """Refuse the part until the next trial.

        >>> trials = Trials()
        >>> trials.refuse(0)
        >>> trials.begin(ids.RequestId('a'), 30)
        >>> trials.next_at
        150.0
        """
        seconds = _FIRST_RETRIAL_SECONDS * _RETRIAL_GROWTH**self.crashed
        self.next_at = now + min(seconds, _MAX_RETRIAL_SECONDS)


class TrialTable:
    """Trials of parts, in bounded memory.

    :ivar revision: grows with each change of a refused part's trials.
    """

    def __init__(self) -> None:
        """Initialize without trials."""
        self.revision = 0
        self._trials: collections.OrderedDict[ids.PromptPart, Trials] = (
            collections.OrderedDict()
        )

    def of_part(self, part: ids.PromptPart) -> Trials:
        """Return the trials of a part."""
        found = self._trials.get(part)
        if found is None:
            found = Trials()
            self._trials[part] = found
            if len(self._trials) > _MAX_PARTS:
                self._evict_one()
        return found

    def is_refused(self, part: ids.PromptPart) -> bool:
        """Return whether a part was refused and not cleared since."""
        found = self._trials.get(part)
        return found is not None and bool(found.next_at)

    def is_running(self, part: ids.PromptPart, now: float) -> bool:
        """Return whether a trial of a part runs."""
        found = self._trials.get(part)
        return found is not None and found.is_running(now)

    def end(self, part: ids.PromptPart, request_id: ids.RequestId) -> None:
        """Record the end of a request that may have been a trial."""
        found = self._trials.get(part)
        if found is not None and found.running == request_id:
            found.running = None

    def refuse(self, part: ids.PromptPart, now: float) -> None:
        """Refuse a part until its next trial."""
        self.of_part(part).refuse(now)
        self.revision += 1

    def begin(
        self,
        part: ids.PromptPart,
        request_id: ids.RequestId,
        now: float,
        *,
        by_customer: bool,
    ) -> None:
        """Record a trial of a part.

        :param by_customer: whether the request's customer was in no crash.
        """
        found = self.of_part(part)
        found.begin(request_id, now)
        found.by_customer = found.by_customer or by_customer
        self.revision += 1

    def clear(self, part: ids.PromptPart) -> None:
        """Forget a part."""
        self._trials.pop(part, None)
        self.revision += 1

    def refused(self) -> dict[ids.PromptPart, Trials]:
        """Return the trials of refused parts."""
        return {
            part: found for part, found in self._trials.items() if found.next_at
        }

    def merge(self, part: ids.PromptPart, other: Trials) -> None:
        """Take over what another host knows of a refused part."""
        mine = self.of_part(part)
        mine.next_at = max(mine.next_at, other.next_at)
        mine.crashed = max(mine.crashed, other.crashed)
        mine.by_customer = mine.by_customer or other.by_customer

    def _evict_one(self) -> None:
        """Evict the oldest part that isn't refused, or the oldest."""
        not_refused = (
            part for part, found in self._trials.items() if not found.next_at
        )
        self._trials.pop(next(not_refused, next(iter(self._trials))))
