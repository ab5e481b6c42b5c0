"""Crashes of servers, found by the prompt parts that were in them.

See Also
========
geraniumweir.scheduling.part_evidence
"""

import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import crash_records

_Crash = crash_records.Crash


class CrashIndex:
    """Crashes by part, oldest first."""

    def __init__(self) -> None:
        """Initialize without crashes."""
        self._by_part: dict[ids.PromptPart, list[_Crash]] = {}
        self._size = 0

    def __contains__(self, part: ids.PromptPart) -> bool:
        """Return whether a part is in any crash."""
        return part in self._by_part

    def __len__(self) -> int:
        """Return the number of parts, each counted once for each crash."""
        return self._size

    def find(self, part: ids.PromptPart) -> typing.Sequence[_Crash]:
        """Return the crashes that a part is in."""
        return self._by_part.get(part, ())

    def is_lone(self, part: ids.PromptPart) -> bool:
        """Return whether a part is in one crash only."""
        return len(self.find(part)) == 1

    def customers(self, part: ids.PromptPart) -> frozenset[ids.CustomerName]:
        """Return the customers whose requests with a part were in crashes.

        Only where no other customer's requests with it were in the same crash.
        """
        found = (crash.parts[part] for crash in self.find(part))
        return frozenset(
            itertools.chain.from_iterable(one for one in found if len(one) == 1)
        )

    def add(
        self, crash: _Crash, parts: typing.Collection[ids.PromptPart]
    ) -> None:
        """Add parts that are new in a crash."""
        for part in parts:
            self._by_part.setdefault(part, []).append(crash)
        self._size += len(parts)

    def remove(
        self, crash: _Crash, parts: typing.Collection[ids.PromptPart]
    ) -> None:
        """Remove some parts of a crash."""
        for part in parts:
            found = self._by_part[part]
            found.remove(crash)
            if not found:
                self._by_part.pop(part)
        self._size -= len(parts)
