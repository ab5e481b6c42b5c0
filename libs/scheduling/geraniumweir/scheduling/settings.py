"""Settings of a pool leader's decisions."""

import dataclasses

from geraniumweir.common import ids


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderSettings:
    """Settings of a pool leader's decisions.

    :ivar origin: identifies this leader among all, also former ones.
    :ivar queue_limit: maximum number of waiting requests.
    :ivar takeover_seconds: time after which a new leader starts granting
        without the open grants of all owners; 0 for the first leader.
    :ivar fair_seconds: a customer may be ahead of the least served one of
        its tier by the pool's work in this time.
    :ivar preempt_slack: seconds before its latest start at which a waiting
        request may preempt a lower tier.
    :ivar preempts: whether streams of a lower tier are cancelled for others.
        A stream that its caller can't resume is lost then.
    :ivar safety: factor on predicted durations before they are compared with
        a deadline.
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
