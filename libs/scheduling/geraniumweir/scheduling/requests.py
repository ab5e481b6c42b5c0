"""What an entry host and a pool leader say to each other, as typed values.

The entry host that accepted a request asks; the pool leader answers with a
grant or a denial; the entry host reports how the granted work goes and
releases the grant once.
"""

import dataclasses
import enum

from geraniumweir.common import ids
from geraniumweir.scheduling import notices


class Sending(enum.Enum):
    """How often a request has been sent before.

    :cvar first: this is its first ask.
    :cvar again: it has asked before, and reached no server.
    :cvar retry: it has reached a server.
    """

    first = 'first'
    again = 'again'
    retry = 'retry'


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request that waits for a backend server.

    :ivar deadline: the whole answer is due then; seconds on the clock of
        whoever holds the value, sent between hosts as time that is left.
    :ivar prompt_tokens: estimated prompt length.
    :ivar max_tokens: most output tokens the caller asked for, 0 if unsaid.
    :ivar blocks: hashes of the prompt's blocks, first to last.
    :ivar fingerprint: equal for the same content sent again.
    :ivar share: the customer's weight inside the tier.
    :ivar owner: the entry host that accepted the request.
    :ivar streams: whether tokens come one by one, so that a stall shows.
    :ivar max_running: the rule's most calls on backend servers at a time.
    :ivar max_waiting: the rule's most calls in the queue at a time.
    :ivar rate_per_s: the rule's most calls a second, or None where there is
        no such limit or a leader has counted this call already.
    :ivar quota_cost: what it takes of its customer's quota, 0 for nothing.
    :ivar target: the first token is worth most until then, on the same clock
        as the deadline; infinite where there is no such time.
    :ivar rank: importance inside its tier, 0 is the highest.
    :ivar likely_tokens: output tokens that the caller expects, 0 if unsaid.
    :ivar patience: the caller leaves if no token came by then, on the same
        clock; infinite where that isn't known.
    :ivar gap: longest pause between events for full worth, in seconds.
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
    streams: bool = True
    max_running: int | None = None
    max_waiting: int | None = None
    rate_per_s: float | None = None
    quota_cost: float = 0
    target: float = float('inf')
    rank: int = 0
    likely_tokens: int = 0
    patience: float = float('inf')
    gap: float = float('inf')
    failure_domain: ids.FailureDomain = ids.FailureDomain('')
    sending: Sending = Sending.first


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Leave to dispatch one request to one backend server, once.

    :ivar incarnation: the server's, at the time of the grant.
    :ivar version: of its software, empty where it doesn't say.
    """

    request_id: ids.RequestId
    server_id: ids.ServerId
    incarnation: ids.Incarnation
    address: ids.Address
    version: ids.SoftwareVersion = ids.SoftwareVersion('')

    @property
    def start(self) -> notices.ServerIncarnation:
        """The start of the server that may get the request."""
        return self.server_id, self.incarnation


class DenialReason(enum.Enum):
    """Why a pool leader did not grant."""

    shed = 'shed'
    too_late = 'too_late'
    queue_full = 'queue_full'
    rule_limit = 'rule_limit'
    over_quota = 'over_quota'
    retry_budget = 'retry_budget'
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
    """How granted work ended.

    :cvar done: the whole answer came.
    :cvar given_up: its owner gave the grant up before it dispatched, so that
        it says nothing of the server.
    :cvar not_sent: no connection could be made, so no byte reached the
        server; the same id may ask again.
    :cvar turned_away: the server answered that it didn't run the request, as
        one that is full does; the same id may ask again.
    :cvar answered_failure: the whole answer came and says that it failed.
    :cvar wrong_server: another run of a server answers at the address; the
        same id may ask again.
    :cvar failed: the server answered with an error or broke off.
    :cvar crashed: the server is known to have crashed under it.
    :cvar cancelled: the caller went away.
    :cvar preempted: cancelled because the leader asked for it.
    """

    done = 'done'
    given_up = 'given_up'
    not_sent = 'not_sent'
    turned_away = 'turned_away'
    answered_failure = 'answered_failure'
    wrong_server = 'wrong_server'
    failed = 'failed'
    crashed = 'crashed'
    cancelled = 'cancelled'
    preempted = 'preempted'


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """The end of a grant.

    :ivar first_token: seconds from dispatch to the first token, or None.
    :ivar output_tokens: tokens that came.
    :ivar seconds: from dispatch to the end.
    :ivar usual_gap: mean pause between a stream's events, in seconds.
    :ivar longest_gap: longest such pause, in seconds.
    """

    request_id: ids.RequestId
    outcome: Outcome
    first_token: float | None = None
    output_tokens: int = 0
    seconds: float = 0
    usual_gap: float = 0
    longest_gap: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How granted work goes on, as the entry host sees it.

    :ivar first_token: seconds from dispatch to the first token, or None
        while there is none.
    :ivar output_tokens: tokens that came so far.
    """

    request_id: ids.RequestId
    first_token: float | None = None
    output_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine says of its load; it may be late or repeated.

    :ivar kv_used: tokens in its KV cache.
    :ivar age: seconds since it was measured.
    """

    server_id: ids.ServerId
    running: int
    waiting: int
    kv_used: int = 0
    age: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """What an engine says of its prefix cache; late, repeated, with gaps.

    :ivar sequence: grows by one with each message of an incarnation.
    """

    server_id: ids.ServerId
    incarnation: ids.Incarnation
    sequence: int
    stored: tuple[ids.BlockHash, ...] = ()
    evicted: tuple[ids.BlockHash, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OpenGrant:
    """A grant in use, handed to a new leader by the request's owner.

    :ivar age: seconds since dispatch.
    """

    slot_request: SlotRequest
    grant: Grant
    age: float = 0
    first_token: float | None = None
    output_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """The leader wants a stream in flight cancelled by its owner.

    The owner cancels it at the server and releases the grant with the
    outcome ``preempted``.
    """

    request_id: ids.RequestId
    owner: ids.HostId
    server_id: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCapacity:
    """What a pool can run of one model at a time.

    :ivar slots: requests at a time, by the learnt limits.
    :ivar free: of them, not granted.
    """

    model: str
    slots: int
    free: int


@dataclasses.dataclass(frozen=True, slots=True)
class TierWait:
    """The queue of one tier.

    :ivar waiting: number of requests.
    :ivar running: number of grants in use; told on the leader's host only.
    :ivar oldest: seconds that the oldest has waited.
    :ivar expected: seconds that a newcomer of the tier is expected to wait.
    """

    tier: ids.Tier
    waiting: int
    oldest: float
    expected: float
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSummary:
    """What a pool leader tells others of its pool.

    :ivar capacity: by model; the name is empty where any model is served.
    :ivar lowest_served: lowest tier that runs or waits, None if idle.
    :ivar oldest: seconds that the oldest request has waited.
    """

    pool: ids.PoolName
    capacity: tuple[ModelCapacity, ...] = ()
    waits: tuple[TierWait, ...] = ()
    lowest_served: ids.Tier | None = None
    oldest: float = 0
