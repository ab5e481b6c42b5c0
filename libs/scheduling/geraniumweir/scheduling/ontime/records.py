"""Records of requests and backend servers that a leader keeps."""

import asyncio
import collections
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.rollout import orders
from geraniumweir.scheduling import notices, ratelimits, requests
from geraniumweir.scheduling.ontime import (
    conditions,
    lengths,
    occupancy,
    speeds,
)


# A first token is given up as lost when it takes longer than predicted by this
# factor and the seconds below: its owner is unreachable, or the server hangs.
_STUCK_FACTOR = 3.0
_STUCK_SECONDS = 0.75
# Number of incomplete responses kept for each server.
_MAX_INCOMPLETE_ANSWERS = 32


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """A request in the queue.

    :ivar sequence: number in the order of arrival.
    :ivar arrived_at: in seconds.
    :ivar waited_seconds: time since the caller's first request for the same
        content.
    :ivar tokens: expected output tokens.
    :ivar joined: number of slot requests that wait for the same answer.
    :ivar band: length band of its class.
    :ivar counts_for_route: whether it counts for what its route gets.
    """

    slot_request: requests.SlotRequest
    sequence: int
    arrived_at: float
    waited_seconds: float
    tokens: float
    fut: asyncio.Future[requests.Grant | requests.Denial]
    joined: int = 0
    band: lengths.Band = lengths.Band.usual
    counts_for_route: bool = False

    @property
    def target(self) -> float:
        """Return when its first token is due, counted from the first request.

        A repeat keeps the target of the caller's first request.
        """
        return self.slot_request.target - self.waited_seconds


@dataclasses.dataclass(slots=True, eq=False)
class Running:
    """A grant in use.

    :ivar granted_at: in seconds.
    :ivar read_tokens: prompt tokens to read before its first token, with those
        of requests ahead of it.
    :ivar predicted: predicted seconds from the grant to its first token.
    :ivar tokens: expected output tokens.
    :ivar first_token: seconds from the grant to its first token, None before.
    :ivar counts_for_route: whether the grant counts for what its route gets.
    """

    slot_request: requests.SlotRequest
    grant: requests.Grant
    granted_at: float
    read_tokens: float
    predicted: float
    tokens: float
    first_token: float | None = None
    counts_for_route: bool = False

    @property
    def start(self) -> notices.ServerIncarnation:
        """Return the id and incarnation of the server."""
        return self.grant.start


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """A backend server as the leader sees it.

    :ivar live: whether it is announced and may get requests.
    :ivar role: requests that it may get by the rollout of its pool.
    :ivar prefilling: running requests without a first token.
    :ivar last_first_token_at: in seconds.
    :ivar last_success_at: time of its last first token or successful end, in
        seconds.
    :ivar unanswered_in_row: requests in a row whose callers left without any
        response from it.
    :ivar incomplete_answers: times and fingerprints of incomplete responses.
    :ivar throttle: limits the rate of its grants; None where it sets no limit.
    :ivar rejection_budget: limits the requests that it may reject; None where
        it sets no limit.
    :ivar slot_usage: for how long requests hold its slots.
    :ivar max_queued: requests that it may get beyond its slots.
    """

    announcement: servers.Announcement
    speed: speeds.Speed = dataclasses.field(default_factory=speeds.Speed)
    condition: conditions.Condition = dataclasses.field(
        default_factory=conditions.Condition,
    )
    live: bool = True
    role: orders.Role = orders.Role.serves
    running: dict[ids.RequestId, Running] = dataclasses.field(
        default_factory=dict,
    )
    prefilling: dict[ids.RequestId, Running] = dataclasses.field(
        default_factory=dict,
    )
    last_first_token_at: float = float('-inf')
    last_success_at: float = float('-inf')
    unanswered_in_row: int = 0
    incomplete_answers: collections.deque[tuple[float, ids.Fingerprint]] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(
                maxlen=_MAX_INCOMPLETE_ANSWERS
            ),
        )
    )
    throttle: ratelimits.Throttle | None = None
    rejection_budget: ratelimits.RejectionBudget | None = None
    slot_usage: occupancy.Occupancy = dataclasses.field(
        default_factory=occupancy.Occupancy,
    )
    max_queued: int = 0

    @property
    def server_id(self) -> ids.ServerId:
        """Return the server's id."""
        return self.announcement.server_id

    @property
    def version(self) -> ids.SoftwareVersion:
        """Return the version of its software."""
        return self.announcement.version

    @property
    def may_queue(self) -> bool:
        """Return whether requests may be sent to it beyond its slots.

        Engines slow down all of their streams then, and servers that limit
        requests or rejections set a limit of their own.
        """
        return (
            self.announcement.kind == servers.SERVICE
            and self.throttle is None
            and self.rejection_budget is None
        )

    @property
    def serves(self) -> bool:
        """Return whether it may get any request of the pool."""
        return self.live and self.role is orders.Role.serves

    @property
    def canary(self) -> bool:
        """Return whether it gets only canary requests of a rollout."""
        return self.role is orders.Role.canary

    @property
    def start(self) -> notices.ServerIncarnation:
        """Return its id and incarnation."""
        return self.server_id, self.announcement.incarnation

    @property
    def slots(self) -> int:
        """Return the number of requests that it runs concurrently."""
        return max(self.announcement.slots, 1)

    def add_running(self, running: Running, now: float) -> None:
        """Add a running request."""
        request_id = running.slot_request.request_id
        self.slot_usage.advance(len(self.running), now)
        self.running[request_id] = running
        if running.first_token is None:
            self.prefilling[request_id] = running

    def remove_running(
        self,
        request_id: ids.RequestId,
        now: float,
        *,
        answered: bool,
    ) -> None:
        """Remove a running request.

        :param answered: whether the response was complete, so that it counts
            for the time that a slot is held.
        """
        self.slot_usage.advance(len(self.running), now)
        self.running.pop(request_id, None)
        self.prefilling.pop(request_id, None)
        if answered:
            self.slot_usage.record_end()

    def log_summary(self, now: float) -> str:
        """Return its state for the log.

        That is running requests and their limit, requests without a first
        token, the lateness of the next first token, the tokens that running
        requests keep and the capacity for them, and the rate limit.
        """
        max_running = self.condition.max_requests(
            self.slots, now, self.max_queued
        )
        late = round(self.overdue_seconds(now), 2)
        memory = ''
        if self.announcement.kv_tokens:
            capacity = self.announcement.kv_tokens
            memory = f' kv {round(self.kept_tokens())}/{capacity}'
        limit = ''
        if self.throttle is not None:
            limit = f' limit {round(self.throttle.per_second, 2)}'
        return (
            f'{len(self.running)}/{max_running} '
            f'prefilling {len(self.prefilling)} late {late}{memory}{limit}'
        )

    def free_slots(self, now: float, stuck: int) -> int:
        """Return the number of further requests that it may get now.

        :param stuck: number of requests that :meth:`stuck` lists.
        """
        if not self.live:
            return 0
        max_running = self.condition.max_requests(
            self.slots, now, self.max_queued
        )
        free_slots = max_running - len(self.running) + stuck
        if self.rejection_budget is not None:
            allowed = self.rejection_budget.allowed(len(self.prefilling), now)
            free_slots = min(free_slots, allowed)
        if self.throttle is None:
            return free_slots
        return min(free_slots, self.throttle.ready(now))

    def is_rate_limited(self, now: float) -> bool:
        """Return whether its rate limit allows no request now."""
        return self.throttle is not None and not self.throttle.ready(now)

    def completion_rate(self, pool_hold_seconds: float, now: float) -> float:
        """Return the requests a second that it is expected to complete.

        :param pool_hold_seconds: time for which a request of the pool holds a
            slot.
        """
        expected_requests = self.condition.expected_requests(
            self.slots, now, self.max_queued
        )
        rate = expected_requests / self.slot_usage.hold_seconds(
            pool_hold_seconds
        )
        if self.throttle is None:
            return rate
        return min(rate, self.throttle.per_second)

    def unread_tokens(self) -> float:
        """Return the prompt tokens granted and not known to be read."""
        return sum(
            one.slot_request.prompt_tokens for one in self.prefilling.values()
        )

    def kept_tokens(self) -> float:
        """Return the prompt and expected output tokens of what runs here."""
        return sum(
            one.slot_request.prompt_tokens + one.tokens
            for one in self.running.values()
        )

    def overdue_seconds(self, now: float) -> float:
        """Return the seconds by which the next first token is late.

        Engines read prompts in the order of arrival. So the first token of a
        request shows that all prompts before it are read, even if their owners
        couldn't report that.
        """
        since = max(
            self.last_first_token_at, self.condition.cooldown_started_at
        )
        stuck = self.stuck(now)
        late = [
            now - max(one.granted_at, self.last_first_token_at) - one.predicted
            for one in self.prefilling.values()
            if one.granted_at > since or one not in stuck
        ]
        return max(late, default=0)

    def stuck(self, now: float) -> list[Running]:
        """List the requests whose first token is so late that it is lost."""
        return [
            one
            for one in self.prefilling.values()
            if now - one.granted_at
            > one.predicted * _STUCK_FACTOR + _STUCK_SECONDS
        ]

    def hangs(self, stuck: typing.Sequence[Running]) -> bool:
        """Return whether no response came to any recent request.

        :param stuck: the requests that :meth:`stuck` lists.
        """
        if not stuck:
            return False
        since = max(
            self.last_first_token_at, self.condition.cooldown_started_at
        )
        sent = [
            one for one in self.prefilling.values() if one.granted_at > since
        ]
        return bool(sent) and all(one in stuck for one in sent)
