"""What the leader keeps of requests and backend servers."""

import asyncio
import collections
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.scheduling import notices, ratelimits, requests
from geraniumweir.scheduling.ontime import conditions, occupancy, speeds


# A first token that is late by so many times its usual time, and by so many
# seconds besides, isn't waited for: its owner is cut off, or the server hangs.
_STUCK_FACTOR = 3.0
_STUCK_SECONDS = 0.75
# Answers that broke off at a server, of which it is remembered.
_MAX_INCOMPLETE_ANSWERS = 32


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """A request in the queue.

    :ivar sequence: by order of arrival.
    :ivar arrived_at: in seconds.
    :ivar waited_seconds: seconds since the caller first asked for the same.
    :ivar tokens: output tokens expected.
    :ivar joined: asks that wait for the same answer.
    """

    ask: requests.Ask
    sequence: int
    arrived_at: float
    waited_seconds: float
    tokens: float
    fut: asyncio.Future[requests.Grant | requests.Denial]
    joined: int = 0

    @property
    def target(self) -> float:
        """Give when its first token is due, counted from the first request."""
        return self.ask.target - self.waited_seconds


@dataclasses.dataclass(slots=True, eq=False)
class Running:
    """A grant in use.

    :ivar granted_at: when, in seconds.
    :ivar read_tokens: prompt tokens to read before its first token, those of
        others ahead of it included.
    :ivar predicted: seconds from the grant to its first token.
    :ivar tokens: output tokens expected.
    """

    ask: requests.Ask
    grant: requests.Grant
    granted_at: float
    read_tokens: float
    predicted: float
    tokens: float
    first_token: float | None = None

    @property
    def start(self) -> notices.Start:
        """Give the start of the server that it was granted on."""
        return self.grant.start


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """A backend server as the leader sees it.

    :ivar live: announced and allowed new work.
    :ivar canary: it gets only what a rollout lets through.
    :ivar prefilling: of the running ones, those without a first token.
    :ivar last_first_token_at: when it last gave a first token, in seconds.
    :ivar last_success_at: when it last did that, or ended an answer.
    :ivar incomplete_answers: when answers broke off, and of which content.
    :ivar throttle: spaces out what it gets, None where it names no limit.
    """

    announcement: servers.Announcement
    speed: speeds.Speed = dataclasses.field(default_factory=speeds.Speed)
    condition: conditions.Condition = dataclasses.field(
        default_factory=conditions.Condition,
    )
    live: bool = True
    canary: bool = False
    running: dict[ids.RequestId, Running] = dataclasses.field(
        default_factory=dict,
    )
    prefilling: dict[ids.RequestId, Running] = dataclasses.field(
        default_factory=dict,
    )
    last_first_token_at: float = float('-inf')
    last_success_at: float = float('-inf')
    incomplete_answers: collections.deque[tuple[float, ids.Fingerprint]] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(
                maxlen=_MAX_INCOMPLETE_ANSWERS
            ),
        )
    )
    throttle: ratelimits.Throttle | None = None
    slot_usage: occupancy.Occupancy = dataclasses.field(
        default_factory=occupancy.Occupancy,
    )

    @property
    def server_id(self) -> ids.ServerId:
        """Give the server's id."""
        return self.announcement.server_id

    @property
    def version(self) -> ids.SoftwareVersion:
        """Give the version of its software."""
        return self.announcement.version

    @property
    def serves(self) -> bool:
        """Tell whether it may get any request of the pool."""
        return self.live and not self.canary

    @property
    def start(self) -> notices.Start:
        """Give which start of the server this is."""
        return self.server_id, self.announcement.incarnation

    @property
    def slots(self) -> int:
        """Give how many requests it runs at a time."""
        return max(self.announcement.slots, 1)

    def add_running(self, running: Running, now: float) -> None:
        """Take that a request runs here from now on."""
        request_id = running.ask.request_id
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
        """Take that a request runs here no more.

        :param answered: its answer came to its end, so that it tells how long
            a slot is kept.
        """
        self.slot_usage.advance(len(self.running), now)
        self.running.pop(request_id, None)
        self.prefilling.pop(request_id, None)
        if answered:
            self.slot_usage.record_end()

    def log_summary(self, now: float) -> str:
        """Give how it does, for the log: what runs, and what keeps it shut."""
        max_running = self.condition.max_requests(self.slots, now)
        late = round(self.overdue_seconds(now), 2)
        limit = ''
        if self.throttle is not None:
            limit = f' limit {round(self.throttle.per_second, 2)}'
        return (
            f'{len(self.running)}/{max_running} unborn {len(self.prefilling)} late {late}'
            f'{limit}'
        )

    def free_slots(self, now: float, stuck: int) -> int:
        """Give how many more requests it may get now.

        :param stuck: number of those of :meth:`stuck`.
        """
        if not self.live:
            return 0
        max_running = self.condition.max_requests(self.slots, now)
        free_slots = max_running - len(self.running) + stuck
        if self.throttle is None:
            return free_slots
        return min(free_slots, self.throttle.ready(now))

    def is_rate_limited(self, now: float) -> bool:
        """Tell whether the limit that it names keeps requests off it now."""
        return self.throttle is not None and not self.throttle.ready(now)

    def completion_rate(self, pool_hold_seconds: float, now: float) -> float:
        """Give the requests a second that it is thought to end.

        :param pool_hold_seconds: seconds for which requests of the pool keep a slot.
        """
        expected_requests = self.condition.expected_requests(self.slots, now)
        rate = expected_requests / self.slot_usage.hold_seconds(
            pool_hold_seconds
        )
        if self.throttle is None:
            return rate
        return min(rate, self.throttle.per_second)

    def unread_tokens(self) -> float:
        """Give the prompt tokens granted and not known to be read."""
        return sum(one.ask.prompt_tokens for one in self.prefilling.values())

    def overdue_seconds(self, now: float) -> float:
        """Give the seconds by which the next first token is late.

        Engines read prompts in the order in which they come, so a first token
        of one shows that all before it are read, whether their owners could
        tell or not.
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
        """Tell whether nothing came of all that it was sent lately.

        :param stuck: those of :meth:`stuck`.
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
