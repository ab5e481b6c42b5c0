"""Choice of the backend server for a request.

Engines differ in speed, and each runs a fixed number of requests well. A
request goes where it holds a slot for the least time, weighted by how scarce
free slots are on that server. So fast engines are shared while they have room,
and slow ones take what they can still answer in time.
"""

import dataclasses
import math
import typing

from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import (
    distance,
    paths,
    records,
    server_memory,
    speeds,
)

# Free fraction that a server without free slots would count with. It bounds how
# much the cost rises as free slots get scarce.
_MIN_FREE_FRACTION = 0.15
# A first token is predicted from a mean; it must fall within this fraction of
# the time to the target, which covers half of the prediction errors.
_TARGET_FRACTION = 0.8
# A response must be predicted to end within this fraction of its time: only the
# median of output lengths is known, and they are often twice as long.
_DEADLINE_FRACTION = 0.6
# Where no server is predicted to end a response by then, one may still do so,
# as only the median of output lengths is known. A response predicted to take
# longer than the time left by this factor isn't tried.
_MAX_DEADLINE_RATIO = 1.5
# Pauses between events must stay within this fraction of the longest one that
# has full worth.
_GAP_FRACTION = 0.85
# Increase of a server's cost with the fraction of its responses that fail.
_FAILURE_COST_FACTOR = 8.0
# The same for the fraction of responses that the path to it delays: a delayed
# response is late and a failed one is lost, and both are avoided as long as
# another server has a free slot.
_PATH_COST_FACTOR = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Estimates:
    """Estimated speeds of servers and quality of the paths to them.

    :ivar now: time of the estimates, in seconds on the loop's clock.
    """

    speeds: speeds.SpeedEstimator
    path_quality: paths.Paths
    now: float


@dataclasses.dataclass(slots=True)
class Offer:
    """A server with a free slot and its current estimates.

    Hundreds of requests may be compared with it before it gets one, so values
    that are the same for all of them are computed once.

    :ivar free_slots: number of free slots.
    :ivar unread: prompt tokens granted and not known to be read.
    :ivar overdue_seconds: seconds by which its next first token is late.
    :ivar fixed_seconds: seconds to a first token of an empty prompt.
    :ivar seconds_per_token: additional seconds for each prompt token.
    :ivar seconds_per_output_token: seconds for each output token.
    :ivar stall_seconds_per_token: seconds for which all running streams of the
        server stop, for each prompt token.
    :ivar max_unread_tokens: prompt tokens that may be unread without making the
        pauses of running streams too long.
    :ivar spare_tokens: tokens of memory that are not taken.
    """

    server: records.Server
    free_slots: int
    unread: float
    overdue_seconds: float
    fixed_seconds: float
    seconds_per_token: float
    seconds_per_output_token: float
    stall_seconds_per_token: float
    max_unread_tokens: float
    spare_tokens: float

    def fits(self, waiting: records.Waiting) -> bool:
        """Return whether the server's memory has room for a request."""
        return server_memory.tokens_needed(waiting) <= self.spare_tokens

    def first_token_seconds(self, slot_request: requests.SlotRequest) -> float:
        """Predict the seconds to a first token."""
        if not slot_request.streams:
            return (
                self.fixed_seconds
                + self.seconds_per_token * slot_request.prompt_tokens
            )
        tokens_to_read = slot_request.prompt_tokens + self.unread
        return (
            self.fixed_seconds
            + self.seconds_per_token * tokens_to_read
            + self.overdue_seconds
        )

    def hold_seconds(
        self, waiting: records.Waiting, first_token_seconds: float
    ) -> float:
        """Predict the seconds for which a request holds a slot.

        :param first_token_seconds: predicted seconds to its first token.
        """
        if not waiting.slot_request.streams:
            return first_token_seconds
        return (
            first_token_seconds + self.seconds_per_output_token * waiting.tokens
        )

    def tokens_to_read(self, slot_request: requests.SlotRequest) -> float:
        """Return the prompt tokens to read before the first token."""
        if not slot_request.streams:
            return slot_request.prompt_tokens
        return slot_request.prompt_tokens + self.unread

    def is_on_time(self, waiting: records.Waiting, now: float) -> bool:
        """Return whether the first token is predicted before its target.

        False also where the prompt would delay streams that run on the server.
        """
        slot_request = waiting.slot_request
        if self.tokens_to_read(slot_request) > self.max_unread_tokens:
            return False
        return (
            self.first_token_seconds(slot_request)
            <= (waiting.target - now) * _TARGET_FRACTION
        )

    def ends_before_deadline(
        self, waiting: records.Waiting, now: float
    ) -> bool:
        """Return whether the response is predicted well before its deadline."""
        slot_request = waiting.slot_request
        hold_seconds = self.hold_seconds(
            waiting, self.first_token_seconds(slot_request)
        )
        return (
            hold_seconds <= (slot_request.deadline - now) * _DEADLINE_FRACTION
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A server chosen for a request, with predictions.

    :ivar tokens_to_read: prompt tokens to read before its first token.
    :ivar first_token_seconds: predicted seconds to the first token.
    :ivar delays_streams: whether it delays streams of the server.
    :ivar hold_seconds: predicted seconds for which it holds a slot.
    """

    offer: Offer
    tokens_to_read: float
    first_token_seconds: float
    delays_streams: bool
    hold_seconds: float


def make_offer(
    server: records.Server, free_slots: int, estimates: Estimates
) -> Offer:
    """Return the offer of a server with free slots.

    :param free_slots: number of its free slots.
    """
    fixed_seconds, seconds_per_token = estimates.speeds.line(server.speed).fit()
    return Offer(
        server,
        free_slots,
        server.unread_tokens(),
        max(server.overdue_seconds(estimates.now), 0),
        fixed_seconds,
        seconds_per_token,
        estimates.speeds.decode(server.speed),
        server.speed.first_token_line.slope(),
        _max_unread_tokens(server),
        server_memory.spare_tokens(server),
    )


def choose_on_time(
    offers: typing.Iterable[Offer],
    waiting: records.Waiting,
    estimates: Estimates,
) -> Placement | None:
    """Choose the cheapest server with a first token in time, if any.

    The complete response must be predicted to end there before its deadline,
    too.
    """
    now = estimates.now
    suitable = [
        candidate
        for candidate in offers
        if candidate.is_on_time(waiting, now)
        and candidate.fits(waiting)
        and candidate.ends_before_deadline(waiting, now)
    ]
    if not suitable:
        return None
    return predict(
        min(
            suitable, key=lambda candidate: _cost(candidate, waiting, estimates)
        ),
        waiting,
    )


def choose_earliest(
    offers: typing.Iterable[Offer],
    waiting: records.Waiting,
    estimates: Estimates,
) -> Placement | None:
    """Choose the server with the earliest first token, if any is suitable.

    It must be predicted to end the response before its deadline.
    """
    suitable = [
        candidate
        for candidate in offers
        if candidate.fits(waiting)
        and candidate.ends_before_deadline(waiting, estimates.now)
    ]
    best = min(
        suitable,
        key=lambda candidate: _by_first_token(candidate, waiting),
        default=None,
    )
    return best and predict(best, waiting)


def choose_shortest(
    offers: typing.Iterable[Offer],
    waiting: records.Waiting,
) -> Placement | None:
    """Choose the server that holds the request for the least time."""
    best = min(
        (candidate for candidate in offers if candidate.fits(waiting)),
        key=lambda candidate: _by_hold_seconds(candidate, waiting),
        default=None,
    )
    return best and predict(best, waiting)


def exceeds_deadline(
    waiting: records.Waiting, hold_seconds: float, now: float
) -> bool:
    """Return whether a request takes far too long for its remaining time.

    :param hold_seconds: predicted seconds on the quickest server.
    """
    remaining_seconds = waiting.slot_request.deadline - now
    return hold_seconds > remaining_seconds * _MAX_DEADLINE_RATIO


def predict(candidate: Offer, waiting: records.Waiting) -> Placement:
    """Return the predictions for a request on a server."""
    slot_request = waiting.slot_request
    first_token_seconds = candidate.first_token_seconds(slot_request)
    tokens_to_read = candidate.tokens_to_read(slot_request)
    return Placement(
        candidate,
        tokens_to_read,
        first_token_seconds,
        tokens_to_read > candidate.max_unread_tokens,
        candidate.hold_seconds(waiting, first_token_seconds),
    )


def _cost(
    candidate: Offer,
    waiting: records.Waiting,
    estimates: Estimates,
) -> tuple[float, str]:
    """Return the cost of a server for a request; the lowest is the best."""
    slot_request = waiting.slot_request
    hold_seconds = candidate.hold_seconds(
        waiting, candidate.first_token_seconds(slot_request)
    )
    # All streams of the server stop while a prompt is read.
    hold_seconds += (
        candidate.stall_seconds_per_token
        * slot_request.prompt_tokens
        * len(candidate.server.running)
    )
    scarcity = 1 / (
        candidate.free_slots / candidate.server.slots + _MIN_FREE_FRACTION
    )
    # As a factor, distance is the ratio of this sum to the scarcity.
    weight = scarcity + distance.saved_fraction(
        waiting, candidate.server, hold_seconds
    )
    return hold_seconds * weight * _failure_factor(
        candidate.server, slot_request, estimates
    ), _server_id(candidate)


def _failure_factor(
    server: records.Server,
    slot_request: requests.SlotRequest,
    estimates: Estimates,
) -> float:
    """Return the cost factor for responses that fail or are delayed."""
    delay_ratio = estimates.path_quality.delay_ratio(
        slot_request.failure_domain,
        server.announcement.failure_domain,
        estimates.now,
    )
    failure_ratio = server.condition.failure_ratio
    return (
        1
        + _FAILURE_COST_FACTOR * failure_ratio
        + _PATH_COST_FACTOR * delay_ratio
    )


def _max_unread_tokens(server: records.Server) -> float:
    """Return the prompt tokens that may be unread without delaying streams.

    While prompts are read, each token of the running streams waits for a chunk
    of them. On a fast engine that is never long; on a slow one it is what makes
    streams late.
    """
    limits = [one.slot_request.gap for one in server.running.values()]
    limit = min(limits, default=math.inf) * _GAP_FRACTION
    if server.speed.longest_gap <= limit:
        return math.inf
    slope = server.speed.first_token_line.slope()
    spare_seconds = limit - server.speed.mean_gap.get(0)
    if spare_seconds < 0 or not slope:
        return math.inf if spare_seconds >= 0 else -1
    return spare_seconds / slope


def _server_id(candidate: Offer) -> str:
    return candidate.server.server_id


def _by_hold_seconds(
    candidate: Offer, waiting: records.Waiting
) -> tuple[float, str]:
    return candidate.hold_seconds(
        waiting, candidate.first_token_seconds(waiting.slot_request)
    ), _server_id(candidate)


def _by_first_token(
    candidate: Offer, waiting: records.Waiting
) -> tuple[float, str]:
    return candidate.first_token_seconds(waiting.slot_request), _server_id(
        candidate
    )
