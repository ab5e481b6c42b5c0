"""What an entry host and a pool leader say to each other, as typed values.

The entry host that accepted a request asks; the pool leader answers with a
grant or a denial; the entry host reports how the granted work goes and
releases the grant once.
"""

import dataclasses
import enum

from geraniumweir.common import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request that waits for a backend server.

    :ivar start_by: no first byte is useful after it; seconds on the clock of
        whoever holds the value, sent between hosts as time that is left.
    :ivar deadline: the whole answer is due then; same clock.
    :ivar prompt_tokens: estimated prompt length.
    :ivar max_tokens: most output tokens the caller asked for, 0 if unsaid.
    :ivar blocks: hashes of the prompt's blocks, first to last.
    :ivar fingerprint: equal for the same content sent again.
    :ivar share: the customer's weight inside the tier.
    :ivar owner: the entry host that accepted the request.
    """

    request_id: ids.RequestId
    owner: ids.HostId
    pool: ids.PoolName
    customer: ids.CustomerName
    rule: ids.RuleName
    tier: ids.Tier
    deadline: float
    model: str | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    blocks: tuple[ids.BlockHash, ...] = ()
    fingerprint: ids.Fingerprint = ids.Fingerprint(0)
    idempotent: bool = True
    share: float = 1
    max_running: int | None = None
    max_waiting: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Leave to dispatch one request to one backend server, once.

    :ivar incarnation: the server's, at the time of the grant.
    """

    request_id: ids.RequestId
    server_id: ids.ServerId
    incarnation: ids.Incarnation
    address: ids.Address


class DenialReason(enum.Enum):
    """Why a pool leader did not grant."""

    shed = 'shed'
    too_late = 'too_late'
    queue_full = 'queue_full'
    rule_limit = 'rule_limit'
    quarantined = 'quarantined'
    no_server = 'no_server'
    not_leader = 'not_leader'
    withdrawn = 'withdrawn'


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """A request that this pool leader will not serve.

    :ivar retry_after_ms: when asking again may help, in milliseconds.
    """

    request_id: ids.RequestId
    reason: DenialReason
    retry_after_ms: int = 0


class Outcome(enum.Enum):
    """How granted work ended."""

    done = 'done'
    not_sent = 'not_sent'
    failed = 'failed'
    crashed = 'crashed'
    cancelled = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """The end of a grant.

    :ivar first_token: seconds from dispatch to the first token, or None.
    :ivar output_tokens: tokens that came.
    :ivar seconds: from dispatch to the end.
    """

    request_id: ids.RequestId
    outcome: Outcome
    first_token: float | None = None
    output_tokens: int = 0
    seconds: float = 0
