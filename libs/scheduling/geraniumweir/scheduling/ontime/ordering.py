"""Which of the waiting go first, and which can't be served any more.

Requests are taken in the order of their latest useful starts, which serves
all of them in time as long as that is possible at all. Where it isn't, the
least important of those taken so far gives way, the lowest tier first: what is
left can still be served in time, and nothing of a lower tier costs a higher
one its place. A request that can't meet its target may still be served late,
until its caller leaves, behind whatever can.

References
==========
.. [1] J. M. Moore, "An n Job, One Machine Sequencing Algorithm for Minimizing
   the Number of Late Jobs", Management Science 15(1), 1968.
"""

import dataclasses
import typing

from geraniumweir.scheduling.ontime import records

# A plan is a prediction; a request is given up only when its turn is this
# many times later than it may be, seen from now.
_DOUBT = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A waiting request and when it must start to be worth something.

    :ivar latest: on the loop's clock, in seconds.
    :ivar late: its target can't be met any more.
    """

    waiting: records.Waiting
    latest: float
    late: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The waiting requests, sorted out.

    :ivar turns: those that can be served, the first one first.
    :ivar hopeless: those that can't.
    """

    turns: list[Turn]
    hopeless: list[Turn]


Lead = typing.Callable[[records.Waiting], float]


def plan(
    waiting: typing.Sequence[records.Waiting],
    now: float,
    interval: float,
    lead: Lead,
) -> Plan:
    """Sort the waiting requests out.

    :param interval: seconds from one free slot to the next.
    :param lead: gives the seconds from a start to the first token.
    """
    leads = {one.sequence: lead(one) for one in waiting}
    hopeful = [
        Turn(one, one.ask.target - leads[one.sequence], late=False)
        for one in waiting
    ]
    on_time, missed = _feasible(hopeful, now, interval, doubt=1)
    late = [_late(turn.waiting, leads) for turn in missed]
    served, hopeless = _feasible([*on_time, *late], now, interval, _DOUBT)
    return Plan(served, hopeless)


def _late(
    waiting: records.Waiting,
    leads: typing.Mapping[int, float],
) -> Turn:
    until = min(waiting.ask.patience, waiting.ask.deadline)
    return Turn(waiting, until - leads[waiting.sequence], late=True)


def _feasible(
    turns: typing.Sequence[Turn],
    now: float,
    interval: float,
    doubt: float,
) -> tuple[list[Turn], list[Turn]]:
    """Split turns into those that can start in time and the others."""
    kept: list[Turn] = []
    given_up: list[Turn] = []
    for turn in sorted(turns, key=_by_start):
        left = turn.latest - now
        if left < 0:
            # Too late even as the first one, so nobody gives way for it.
            given_up.append(turn)
            continue
        kept.append(turn)
        wait = (len(kept) - 1) * interval
        if wait > left * doubt:
            least = max(kept, key=_dispensable)
            kept.remove(least)
            given_up.append(least)
    return kept, given_up


def _by_start(turn: Turn) -> tuple[float, int]:
    return turn.latest, turn.waiting.sequence


def _dispensable(turn: Turn) -> tuple[int, bool, int, float]:
    """Give the greater value, the sooner a turn gives way."""
    ask = turn.waiting.ask
    return int(ask.tier), turn.late, ask.rank, turn.waiting.tokens
