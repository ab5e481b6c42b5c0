"""Times of the steps that a leader's proposal takes, for the log."""

import dataclasses
import typing

_MS = 1000


@dataclasses.dataclass(slots=True)
class ProposalTimes:
    """Times of one proposal, in loop time; None for a step not reached.

    :ivar synced_at: when the leader's own log was synced up to it.
    """

    appended_at: float
    synced_at: float | None = None
    committed_at: float | None = None

    def since_append(self, at: float | None) -> int | None:
        """Return the milliseconds from the append to a time."""
        if at is None:
            return None
        return round((at - self.appended_at) * _MS)


class OpenProposals:
    """Times of the proposals that are not answered yet, by index."""

    def __init__(self) -> None:
        """Initialize without proposals."""
        self._by_index: dict[int, ProposalTimes] = {}

    def begin(self, index: int, now: float) -> ProposalTimes:
        """Add a proposal that has been appended."""
        times = ProposalTimes(now)
        self._by_index[index] = times
        return times

    def end(self, index: int) -> None:
        """Remove a proposal."""
        self._by_index.pop(index, None)

    def synced(self, index: int, now: float) -> None:
        """Record that the log was synced up to an index."""
        for times in self._up_to(index):
            times.synced_at = times.synced_at or now

    def committed(self, index: int, now: float) -> None:
        """Record that the entries up to an index were committed."""
        for times in self._up_to(index):
            times.committed_at = times.committed_at or now

    def _up_to(self, last: int) -> typing.Iterator[ProposalTimes]:
        return (
            times for index, times in self._by_index.items() if index <= last
        )
