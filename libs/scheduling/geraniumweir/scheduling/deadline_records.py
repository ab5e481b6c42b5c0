"""Records of waiting and granted requests and of backend servers."""

import asyncio
import collections
import dataclasses

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.scheduling import (
    concurrency,
    estimating,
    fairqueue,
    requests,
    stragglers,
)

_MAX_FAILURES = 32


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class ServerClass:
    """Class of servers that can run the same requests equally fast.

    Compared by identity: there is one object for each class.
    """

    hardware: str
    models: tuple[str, ...]
    max_context: int

    def serves(self, slot_request: requests.SlotRequest) -> bool:
        """Return whether a server of this class can run a request at all."""
        if slot_request.model is not None and self.models:
            if slot_request.model not in self.models:
                return False
        if not self.max_context:
            return True
        return (
            slot_request.prompt_tokens + max(slot_request.max_tokens, 1)
            <= self.max_context
        )


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """Waiting request.

    :ivar sequence: number by order of arrival.
    :ivar latest_starts: latest start by server class, in seconds.
    :ivar best_start: the latest of these starts.
    :ivar cost: predicted seconds of one slot on the best class.
    :ivar probe: admitted although it looks too late, to test the prediction.
    :ivar duration_factor: factor on predicted durations; below 1 where a server
        that a lower tier frees is faster than usual.
    :ivar joined: callers that wait for the same answer.
    :ivar overtaken: times that a request with a cached prefix went before it.
    :ivar reserved_on: the server that reserves its next free room for it.
    :ivar held: kept out of the queue as a suspect or by its rule's limit.
    :ivar extended: has been given more time once, for preempted streams to end.
    :ivar preempting: streams that are being preempted for it.
    """

    slot_request: requests.SlotRequest
    sequence: int
    arrived: float
    fut: asyncio.Future[requests.Grant | requests.Denial]
    expected: estimating.Expected
    latest_starts: dict[ServerClass, float] = dataclasses.field(
        default_factory=dict
    )
    best_start: float = float('-inf')
    cost: float = 0
    probe: bool = False
    duration_factor: float = 1
    joined: int = 0
    overtaken: int = 0
    held: bool = False
    extended: bool = False
    timer: asyncio.TimerHandle | None = None
    preempting: set[ids.RequestId] = dataclasses.field(default_factory=set)
    reserved_on: ids.ServerId | None = None

    @property
    def kv_need(self) -> int:
        """Return the KV cache tokens that it may occupy."""
        return self.slot_request.prompt_tokens + int(self.expected.high)

    @property
    def flow(self) -> fairqueue.Flow:
        """Return its tier and customer."""
        return (self.slot_request.tier, self.slot_request.customer)


@dataclasses.dataclass(slots=True, eq=False)
class Running:
    """Grant in use.

    :ivar granted: time of the grant, in seconds.
    :ivar uncached: prompt tokens estimated not to be cached at the server.
    :ivar ahead: seconds of prefill granted there before and not yet done.
    :ivar prefill: predicted seconds of its own prefill.
    :ivar concurrent: requests that ran there at the time, this one included.
    :ivar due: when the next sign of progress is late, in seconds.
    :ivar first_token: seconds from dispatch to the first token.
    :ivar stuck: its progress is late.
    """

    slot_request: requests.SlotRequest
    grant: requests.Grant
    granted: float
    expected: estimating.Expected
    uncached: float
    ahead: float
    prefill: float
    concurrent: int
    cost: float
    due: float = 0
    first_token: float | None = None
    output_tokens: int = 0
    suspect: bool = False
    stuck: bool = False
    preempted: bool = False

    @property
    def kv_need(self) -> int:
        """Return the KV cache tokens that it may occupy."""
        return self.slot_request.prompt_tokens + int(self.expected.high)


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """Backend server as the leader sees it.

    :ivar live: announced and allowed new work.
    :ivar kv_used: KV cache tokens that its grants may occupy.
    :ivar prefilled_at: when the prefill granted so far is predicted to be
        done.
    :ivar stuck: number of requests on it that make no progress.
    :ivar reservations: waiting requests that its next free room is reserved
        for.
    :ivar prefilling: requests on it without a first token yet, in order of
        grant.
    :ivar prefilling_seconds: predicted seconds of their prefill.
    :ivar first_token_at: when the last first token arrived.
    :ivar warming: first blocks of prompts in prefill, and its predicted end.
    :ivar crashed: the newest incarnation known to have crashed.
    :ivar last_progress_at: when any request on it last made progress.
    :ivar failures: time and fingerprint of the last failed requests.
    """

    announcement: servers.Announcement
    kind: ServerClass
    limit: concurrency.Limit
    health: stragglers.Health
    live: bool = True
    running: dict[ids.RequestId, Running] = dataclasses.field(
        default_factory=dict,
    )
    kv_used: int = 0
    prefilled_at: float = 0
    suspects: int = 0
    stuck: int = 0
    reservations: dict[ids.RequestId, Waiting] = dataclasses.field(
        default_factory=dict,
    )
    prefilling: dict[ids.RequestId, Running] = dataclasses.field(
        default_factory=dict,
    )
    prefilling_seconds: float = 0
    first_token_at: float = float('-inf')
    warming: dict[ids.BlockHash, float] = dataclasses.field(
        default_factory=dict,
    )
    crashed: int = -1
    last_progress_at: float = float('-inf')
    failures: collections.deque[tuple[float, ids.Fingerprint]] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(maxlen=_MAX_FAILURES)
        )
    )

    @property
    def server_id(self) -> ids.ServerId:
        """The server's id."""
        return self.announcement.server_id

    @property
    def model(self) -> str | None:
        """First model that it serves, or None where any is served."""
        return self.kind.models[0] if self.kind.models else None

    def capacity(self) -> int:
        """Return how many requests it may run at a time now."""
        if not self.live or self.announcement.incarnation <= self.crashed:
            return 0
        return self.health.capacity(self.limit.rounded)

    def is_open(self) -> bool:
        """Return whether it may get one more request."""
        moving = len(self.running) - self.stuck
        return moving < self.capacity() and len(self.running) < self.limit.slots

    def kv_free(self) -> float:
        """Return the KV cache tokens that are not granted."""
        if not self.announcement.kv_tokens:
            return float('inf')
        return self.announcement.kv_tokens - self.kv_used


@dataclasses.dataclass(slots=True, eq=False)
class RuleCount:
    """Requests of one rule; those over its running limit are parked."""

    running: int = 0
    waiting: int = 0
    parked: dict[ids.RequestId, Waiting] = dataclasses.field(
        default_factory=dict,
    )
