"""A pool that lost servers while callers of several classes press.

Of the class of the lowest importance 16 in 100 of its worth were earned over
a whole day, where 30 are asked for. Three of six servers had left, and from
then on two to four times as much came as the others could serve. Who goes
first was decided by importance alone, so that the lowest class got what was
left of each moment: 27 of 1,960 seconds of slots, by the logs of one day,
though it keeps a slot for an eighth of the time of the others and all of it
would have fitted into a fifth of the slots.
"""

import itertools
import typing

from geraniumweir.scheduling.ontime.tests import play

# Of each class in lasting overload callers ask for so much, in percent.
_ASKED_FOR = 30
# A class may be served more often than one of more importance by so much, in
# percent.
_AHEAD = 5
_SECONDS = 40
# From here on counts have seen the overload.
_FROM = 10
_SLOTS = (13, 13, 13)


def _loads(long: float, middle: float, short: float) -> dict[str, play.Load]:
    """Make three classes; rates are callers a second."""
    return {
        'long': _load(long, 1.3, target=0.6, rank=0, tokens=380),
        'middle': _load(middle, 1.0, target=0.3, rank=1, tokens=290),
        'short': _load(short, 0.16, target=0.3, rank=2, tokens=24),
    }


def _load(rate: float, held: float, **changes: typing.Any) -> play.Load:
    return play.Load(tuple(itertools.repeat(rate, _SECONDS)), held, **changes)


def test_no_class_starves_in_lasting_overload() -> None:
    """Each has the part that is asked for, and none overtakes another."""
    for long in (10, 15, 20):
        found = play.run_together(_loads(long, 40, 40), _SLOTS)
        shares = {
            name: result.share(_FROM, _SECONDS - 1)
            for name, result in found.items()
        }
        assert min(shares.values()) >= _ASKED_FOR, shares
        most = shares['long'] + _AHEAD
        assert max(shares.values()) <= most, shares
