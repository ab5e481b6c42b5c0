"""What an operator ordered and how far it has come."""

import dataclasses
import enum

from geraniumweir.common import ids


class State(enum.IntEnum):
    """Whether an order is under way or how it ended."""

    running = 1
    completed = 2
    rolled_back = 3


class Phase(enum.IntEnum):
    """How much of the traffic the new version gets; it only grows.

    :cvar canary: a few requests of each route, from a budget.
    :cvar ramp: a part of all requests.
    :cvar moved: all new requests.
    """

    canary = 1
    ramp = 2
    moved = 3


class Role(enum.Enum):
    """What a version's servers may get.

    :cvar serves: all requests.
    :cvar canary: those that the guide lets through.
    :cvar barred: nothing.
    """

    serves = 'serves'
    canary = 'canary'
    barred = 'barred'


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """One order, as the replicated log has it.

    :ivar number: grows with each order, over all pools.
    :ivar to: the version that is to serve the pool.
    :ivar seconds: in which all traffic should have moved.
    :ivar exposure: requests that the new version may have got so far.
    :ivar requests: that the whole pool got since the order.
    :ivar ordered_ms: by the log's clock, in Unix milliseconds.
    :ivar reason: why it ended, empty while it runs.
    :ivar answers: of the new version that were judged while it seemed good.
    """

    pool: ids.PoolName
    number: int
    to: ids.SoftwareVersion
    seconds: float
    state: State = State.running
    phase: Phase = Phase.canary
    exposure: int = 0
    requests: int = 0
    ordered_ms: int = 0
    reason: str = ''
    answers: int = 0

    def role(self, version: ids.SoftwareVersion) -> Role:
        """Give what servers of a version may get.

        >>> some = Rollout(
        ...     ids.PoolName('p'), 1, ids.SoftwareVersion('v2'), 12
        ... )
        >>> some.role(ids.SoftwareVersion('v1')).name
        'serves'
        >>> some.role(ids.SoftwareVersion('v2')).name
        'canary'
        """
        is_new = version == self.to
        match self.state, self.phase:
            case State.completed, _:
                return Role.serves
            case State.rolled_back, _:
                return Role.barred if is_new else Role.serves
            case _, Phase.moved:
                return Role.serves if is_new else Role.barred
        return Role.canary if is_new else Role.serves
