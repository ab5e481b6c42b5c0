"""Settings of a pool leader's decisions."""

import dataclasses

from geraniumweir.common import ids


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderSettings:
    """What a pool leader's decisions are tuned by.

    :ivar origin: names this leader among all that there ever were.
    :ivar queue_limit: most requests that wait.
    :ivar takeover_seconds: a leader that was not told that all owners handed
        over their open grants starts granting after this time; 0 for one
        that is first of all.
    :ivar fair_seconds: a customer may be ahead of the least served one of
        its tier by what the pool does in this time.
    :ivar preempt_slack: seconds before its latest start at which a waiting
        request may preempt a lower tier.
    :ivar preempts: whether streams of a lower tier are cancelled for others.
        A stream that its caller can't resume is lost by it.
    :ivar safety: predicted durations are multiplied by it before they are
        held against a deadline.
    :ivar seed: of the jitter in ``retry_after_ms``.
    """

    pool: ids.PoolName = ids.PoolName('')
    origin: str = ''
    queue_limit: int = 10000
    takeover_seconds: float = 0
    fair_seconds: float = 0.5
    preempt_slack: float = 0.3
    preempts: bool = True
    safety: float = 1.1
    quarantine_seconds: float = 300
    seed: int = 0
