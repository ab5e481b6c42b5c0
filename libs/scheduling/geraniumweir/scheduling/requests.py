"""Typed values of the protocol between entry hosts and pool leaders.

The entry host that accepted a request sends a slot request. The pool leader
answers with a grant or a denial. The entry host reports the progress of the
granted work and releases the grant once.
"""

import dataclasses
import enum

from geraniumweir.common import ids
from geraniumweir.scheduling import notices, stream_origins


class Sending(enum.Enum):
    """Kind of attempt that a slot request is for.

    :cvar first: the first slot request of the request.
    :cvar again: a repeated one; the request has reached no server yet.
    :cvar retry: the request has reached a server before.
    """

    first = 'first'
    again = 'again'
    retry = 'retry'


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Demand of a request for a dispatch slot.

    :ivar deadline: time by which the complete response is due, in seconds on
        the local clock; sent between hosts as remaining time.
    :ivar prompt_tokens: estimated prompt length.
    :ivar max_tokens: limit of output tokens, 0 if unspecified.
    :ivar blocks: hashes of the prompt's blocks, first to last.
    :ivar parts: parts of the prompt that other requests may share.
    :ivar fingerprint: equal for the same content sent again.
    :ivar share: the customer's weight within the tier.
    :ivar owner: the entry host that accepted the request.
    :ivar streams: whether tokens arrive one by one, so that a stalled
        response can be detected.
    :ivar max_running: the rule's limit of requests running at a time.
    :ivar max_waiting: the rule's limit of requests queued at a time.
    :ivar rate_per_s: the rule's limit of requests per second, or None where
        there is none or a leader has counted this request already.
    :ivar quota_cost: charge against the customer's quota, 0 for none.
    :ivar target: time until which the first token has its full value, on the
        same clock as the deadline; infinite for no such time.
    :ivar rank: importance within the tier, 0 is the highest.
    :ivar likely_tokens: output tokens that the caller expects, 0 if
        unspecified.
    :ivar patience: time at which the caller disconnects without a first
        token, on the same clock; infinite if unknown.
    :ivar gap: longest pause between events for full value, in seconds.
    :ivar version: of the servers on which a begun stream may go on, None for
        any.
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
    parts: tuple[ids.PromptPart, ...] = ()
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
    version: ids.SoftwareVersion | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permission to dispatch one request to one backend server, once.

    :ivar incarnation: of the server at the time of the grant.
    :ivar version: of the server's software, empty if it doesn't report one.
    """

    request_id: ids.RequestId
    server_id: ids.ServerId
    incarnation: ids.Incarnation
    address: ids.Address
    version: ids.SoftwareVersion = ids.SoftwareVersion('')

    @property
    def start(self) -> notices.ServerIncarnation:
        """The server and its incarnation that may get the request."""
        return self.server_id, self.incarnation


class DenialReason(enum.Enum):
    """Reason of a denial.

    :cvar version_gone: no server of the version that began the stream may get
        requests.
    :cvar no_answer: no leader answered in time; made by the owner itself.
    :cvar leader_busy: the leader's host has no time to decide on it.
    :cvar host_stopping: the owner stops before the request could complete;
        made by the owner itself.
    """

    shed = 'shed'
    too_late = 'too_late'
    queue_full = 'queue_full'
    rule_limit = 'rule_limit'
    over_quota = 'over_quota'
    retry_budget = 'retry_budget'
    quarantined = 'quarantined'
    no_server = 'no_server'
    version_gone = 'version_gone'
    not_leader = 'not_leader'
    withdrawn = 'withdrawn'
    no_answer = 'no_answer'
    host_stopping = 'host_stopping'
    leader_busy = 'leader_busy'


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """Answer to a slot request that this pool leader will not grant.

    :ivar retry_after_ms: time after which a new slot request may succeed, in
        milliseconds.
    """

    request_id: ids.RequestId
    reason: DenialReason
    retry_after_ms: int = 0


class Outcome(enum.Enum):
    """Outcome of a grant.

    :cvar done: the response was complete.
    :cvar given_up: the owner gave up the grant before dispatch, so it yields
        no information about the server.
    :cvar not_sent: no connection could be made, so no byte reached the
        server; a new slot request may have the same id.
    :cvar turned_away: the server rejected the request without running it, as
        a full one does; a new slot request may have the same id.
    :cvar answered_failure: the response was complete and reports a failure.
    :cvar wrong_server: another incarnation answers at the address; a new
        slot request may have the same id.
    :cvar failed: the server answered with an error, or its connection closed
        early.
    :cvar crashed: the server is known to have crashed while it ran.
    :cvar cancelled: the caller disconnected.
    :cvar preempted: cancelled at the leader's request.
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
    """End of a grant.

    :ivar first_token: seconds from dispatch to the first token, or None.
    :ivar output_tokens: number of tokens received.
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
    """Progress of granted work, as seen by the entry host.

    :ivar first_token: seconds from dispatch to the first token, or None
        while there is none.
    :ivar output_tokens: number of tokens received so far.
    :ivar begin: the stream, if its first event is forwarded now.
    """

    request_id: ids.RequestId
    first_token: float | None = None
    output_tokens: int = 0
    begin: stream_origins.StreamBegin | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Report of an engine's load; it may arrive late or repeatedly.

    :ivar kv_used: tokens in the engine's KV cache.
    :ivar age: seconds since the measurement.
    """

    server_id: ids.ServerId
    running: int
    waiting: int
    kv_used: int = 0
    age: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Changes of an engine's prefix cache.

    They may arrive late, repeatedly or with gaps.

    :ivar sequence: grows by one with each message of an incarnation.
    """

    server_id: ids.ServerId
    incarnation: ids.Incarnation
    sequence: int
    stored: tuple[ids.BlockHash, ...] = ()
    evicted: tuple[ids.BlockHash, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OpenGrant:
    """Grant in use, handed over to a new leader by the request's owner.

    :ivar age: seconds since dispatch.
    """

    slot_request: SlotRequest
    grant: Grant
    age: float = 0
    first_token: float | None = None
    output_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Demand of the leader that an owner cancels a running stream.

    The owner cancels it at the server and releases the grant with the
    outcome ``preempted``.
    """

    request_id: ids.RequestId
    owner: ids.HostId
    server_id: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCapacity:
    """Capacity of a pool for one model.

    :ivar slots: requests at a time, by the estimated limits.
    :ivar free: slots that are not granted.
    """

    model: str
    slots: int
    free: int


@dataclasses.dataclass(frozen=True, slots=True)
class TierWait:
    """Queue of one tier.

    :ivar waiting: number of requests.
    :ivar running: number of grants in use; set on the leader's host only.
    :ivar oldest: seconds that the oldest request has waited.
    :ivar expected: expected wait of a new request of the tier, in seconds.
    """

    tier: ids.Tier
    waiting: int
    oldest: float
    expected: float
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSummary:
    """Summary of a pool that its leader publishes.

    :ivar capacity: by model; the name is empty where any model is served.
    :ivar lowest_served: lowest tier that runs or waits, None if idle.
    :ivar oldest: seconds that the oldest request has waited.
    """

    pool: ids.PoolName
    capacity: tuple[ModelCapacity, ...] = ()
    waits: tuple[TierWait, ...] = ()
    lowest_served: ids.Tier | None = None
    oldest: float = 0
