"""Lists of servers for watchers, each encoded once for all that need it.

Hundreds of entry hosts follow the same changes, and after a loss of many hosts
they request the same list at the same time.
"""

import dataclasses
import typing

from geraniumweir.common import timers
from geraniumweir.control import bucket_digests, enrolment_codec, enrolments
from geraniumweir.wire.gen.control import ttypes

# A packed list is sent again for this time; what changed since follows with the
# next watch.
_REUSE_SECONDS = 0.5
# A watcher that lacks more than half of the buckets gets all of them, so that
# such watchers share one list.
_MAX_PART = bucket_digests.NUMBER // 2
_ALL_BUCKETS: typing.Final = tuple(range(bucket_digests.NUMBER))


@dataclasses.dataclass(frozen=True, slots=True)
class PackedList:
    """All servers of some buckets.

    :ivar revision: up to which changes are included.
    :ivar made_at: in seconds.
    """

    buckets: tuple[int, ...]
    packed: bytes
    revision: int
    made_at: float


class ServerLists:
    """The lists that are sent to watchers."""

    def __init__(
        self,
        table: enrolments.Enrolments,
        clock: timers.TimerService,
    ) -> None:
        """Initialize without lists."""
        self._table = table
        self._clock = clock
        self._packed: dict[tuple[int, ...], PackedList] = {}
        self._changes_at = 0
        self._changes: dict[int, list[ttypes.Enrolment]] = {}

    def changed_since(self, revision: int) -> list[ttypes.Enrolment]:
        """Return the servers that changed after a revision."""
        if self._changes_at != self._table.revision:
            self._changes_at = self._table.revision
            self._changes.clear()
        if revision not in self._changes:
            self._changes[revision] = [
                one.to_wire() for one in self._table.changed_since(revision)
            ]
        return self._changes[revision]

    def differing(self, digests: bytes) -> PackedList:
        """Return the servers that a host with other servers needs.

        :param digests: of the servers that the host has, by bucket.
        """
        buckets = tuple(self._table.differing_buckets(digests))
        if len(buckets) > _MAX_PART:
            buckets = _ALL_BUCKETS
        now = self._clock.now()
        self._packed = {
            kept.buckets: kept
            for kept in self._packed.values()
            if now - kept.made_at < _REUSE_SECONDS
        }
        found = self._packed.get(buckets)
        if found is None:
            found = PackedList(
                buckets,
                enrolment_codec.pack(self._table.in_buckets(buckets)),
                self._table.revision,
                now,
            )
            self._packed[buckets] = found
        return found
