"""Versions of backend servers, good and bad, and the troubles beside them."""

import dataclasses
import enum
import math
import random


class Kind(enum.Enum):
    """How a version does.

    :cvar fails: a part of its answers are failures, from the start.
    :cvar slow: a part of its answers come several times slower.
    :cvar late: it begins to fail some time after its start.
    :cvar loaded: it fails where a server has most of its slots taken.
    :cvar one_route: it fails on one route only.
    """

    good = 'good'
    fails = 'fails'
    slow = 'slow'
    late = 'late'
    loaded = 'loaded'
    one_route = 'one-route'


class Trouble(enum.Enum):
    """What happens besides.

    :cvar burst: twice as many requests for some seconds.
    :cvar old_fails: a server of the old version fails often.
    :cvar new_broken: one server of the new version fails always.
    :cvar takeover: another host coordinates from then on.
    """

    calm = 'calm'
    burst = 'burst'
    old_fails = 'old-fails'
    new_broken = 'new-broken'
    takeover = 'takeover'


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """How servers of a version answer.

    :ivar part: of the answers that are bad where they can be.
    :ivar bad_from: seconds after the order.
    """

    kind: Kind
    part: float = 0
    bad_from: float = 0
    slowness: float = 4

    def chance_of_bad(
        self,
        age: float,
        busy: float,
        *,
        rare_route: bool,
    ) -> float:
        """Give how likely an answer is bad.

        :param age: seconds since the order.
        :param busy: part of the server's slots that is taken.
        """
        match self.kind:
            case Kind.good:
                return 0
            case Kind.late if age < self.bad_from:
                return 0
            case Kind.loaded if busy <= _LOADED:
                return 0
            case Kind.one_route if not rare_route:
                return 0
        return self.part


# A version that breaks down under load does where a server is so full.
_LOADED = 0.7
_LEAST_PART = 0.25
_MOST_PART = 0.8
# A version turns bad in the first half of the time given.
_LATEST_PART = 0.5


def draw(kind: Kind, seconds: float, chance: random.Random) -> Version:
    """Draw a version of a kind.

    :param seconds: given for the rollout.
    """
    return Version(
        kind,
        chance.uniform(_LEAST_PART, _MOST_PART),
        chance.uniform(0, seconds * _LATEST_PART)
        if kind is Kind.late
        else -math.inf,
        chance.uniform(3, 6),
    )
