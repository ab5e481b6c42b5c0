"""Rollout orders of operators and their progress."""

import dataclasses
import enum

from geraniumweir.common import ids


class State(enum.IntEnum):
    """State of an order."""

    running = 1
    completed = 2
    rolled_back = 3


class Phase(enum.IntEnum):
    """Phase of a rollout, in which the new version gets ever more traffic.

    :cvar canary: a few requests of each route, from a budget.
    :cvar ramp: a fraction of all requests.
    :cvar moved: all new requests.
    """

    canary = 1
    ramp = 2
    moved = 3


class Role(enum.Enum):
    """Requests that the servers of a version may get.

    :cvar serves: all requests.
    :cvar canary: requests that the rollout controller allows.
    :cvar draining: streams that began at the version.
    :cvar barred: none.
    """

    serves = 'serves'
    canary = 'canary'
    draining = 'draining'
    barred = 'barred'


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """An order as recorded in the replicated log.

    :ivar number: increases with each order, over all pools.
    :ivar to: version that the pool moves to.
    :ivar seconds: time limit for the move of all traffic.
    :ivar exposure: requests that the new version may have got so far.
    :ivar requests: requests of the whole pool since the order.
    :ivar ordered_ms: time of the order by the log's clock, in Unix
        milliseconds.
    :ivar reason: why it ended, empty while it runs.
    :ivar answers: answers of the new version that were evaluated while it
        seemed good.
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
        """Return which requests servers of a version may get.

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
                return Role.serves if is_new else Role.draining
        return Role.canary if is_new else Role.serves
