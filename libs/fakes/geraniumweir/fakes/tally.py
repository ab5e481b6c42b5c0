"""What became of each call of the demo, and the table of it."""

import collections
import dataclasses
import enum
import typing

import tabulate
from hdrh import histogram

_MOST_MS = 60000
_DIGITS = 2
_MEDIAN = 50
_ALMOST_ALL = 99
_HEAD = (
    'tier',
    'offered',
    'in time',
    'late',
    'refused',
    'lost',
    'doubled',
    'first token p50 ms',
    'p99 ms',
)


class End(enum.Enum):
    """What became of one call.

    :cvar in_time: a whole answer, before its deadline.
    :cvar late: a whole answer, later.
    :cvar refused: an honest refusal.
    :cvar lost: neither.
    """

    in_time = 'in time'
    late = 'late'
    refused = 'refused'
    lost = 'lost'


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The end of one call.

    :ivar first_ms: to the first byte of the answer, or None.
    :ivar ran: what a refusal said, else None.
    :ivar code: of a refusal, else None.
    """

    request_id: str
    tier: str
    end: End
    first_ms: float | None = None
    ran: str | None = None
    code: str | None = None


@dataclasses.dataclass(slots=True)
class Tally:
    """All ends of a run.

    :ivar runs: how often backend servers ran each call, by request id.
    """

    ends: list[Ended] = dataclasses.field(default_factory=list)
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )

    @property
    def doubled(self) -> list[Ended]:
        """Calls that ran more than once."""
        return [one for one in self.ends if self.runs[one.request_id] > 1]

    @property
    def broken_promises(self) -> list[Ended]:
        """Calls that ran though a refusal said ``ran: no``."""
        return [
            one
            for one in self.ends
            if one.ran == 'no' and self.runs[one.request_id]
        ]

    def count(self, end: End) -> int:
        """Count the calls that ended so."""
        return sum(one.end is end for one in self.ends)

    def refusals(self) -> collections.Counter[str]:
        """Count the refusals by code."""
        return collections.Counter(one.code for one in self.ends if one.code)

    def table(self) -> str:
        """Lay out what became of the calls, by tier."""
        return tabulate.tabulate(self._rows(), headers=_HEAD)

    def _rows(self) -> typing.Iterator[tuple[str, ...]]:
        doubled = {one.request_id for one in self.doubled}
        for tier in sorted({one.tier for one in self.ends}):
            ends = [one for one in self.ends if one.tier == tier]
            counted = collections.Counter(one.end for one in ends)
            twice = sum(one.request_id in doubled for one in ends)
            yield (
                tier,
                str(len(ends)),
                *(str(counted[end]) for end in End),
                str(twice),
                *_quantiles(ends),
            )


def _quantiles(ends: typing.Iterable[Ended]) -> tuple[str, str]:
    times = histogram.HdrHistogram(1, _MOST_MS, _DIGITS)
    for one in ends:
        if one.first_ms is not None:
            times.record_value(max(int(one.first_ms), 1))
    median = times.get_value_at_percentile(_MEDIAN)
    return str(median), str(times.get_value_at_percentile(_ALMOST_ALL))
