"""Which server a request goes to.

Engines differ in speed and each runs a fixed number of requests well. A
request goes where it keeps a slot for the least, weighed by how scarce free
slots are there, so that fast engines are shared out first while they have
room and slow ones take what they can still answer in time.
"""

import dataclasses
import math
import typing

from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import paths, records, rests, speeds

# What a server with no free slot left would count for, as a part of its
# slots: the scarcer the free ones, the dearer the last of them.
_MIN_FREE_FRACTION = 0.15
# A first token is predicted from a mean; this part of the time to the target
# is used for it, which half of the predictions' errors stay within.
_TARGET_FRACTION = 0.8
# An answer must be predicted to end within this part of its time: lengths are
# known at the median only and often twice as long.
_DEADLINE_FRACTION = 0.6
# Where no server is predicted to end it so soon, one may still do, as lengths
# are known at the median only. What is predicted to take longer than so many
# times what is left isn't tried.
_MAX_DEADLINE_RATIO = 1.5
# Pauses are kept within this part of the longest one for full worth.
_GAP_FRACTION = 0.85
# Of a large pool so many open servers are compared for a request. The best of
# sixteen is within the best tenth of any number, and the time that a look
# takes doesn't grow with the pool.
_MAX_COMPARED = 16
# How much dearer a server is for each part of its answers that are failures.
_FAILURE_COST_FACTOR = 8.0
# The same for each part of the answers that the path to it holds up: such an
# answer is late as a failed one is lost, and both are avoided as long as
# another server has a slot at all.
_PATH_COST_FACTOR = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Estimates:
    """What is known of servers and the paths to them.

    :ivar now: in seconds.
    """

    speeds: speeds.SpeedEstimator
    path_quality: paths.Paths
    now: float


@dataclasses.dataclass(slots=True)
class Offer:
    """A server with a free slot, as it stands now.

    Hundreds of requests may be compared with it before it gets one, so what
    is the same for all of them is worked out once.

    :ivar free_slots: slots.
    :ivar unread: prompt tokens granted and not known to be read.
    :ivar overdue_seconds: seconds by which its next first token is late.
    :ivar fixed_seconds: seconds to a first token with nothing to read.
    :ivar seconds_per_token: seconds more for each prompt token.
    :ivar seconds_per_output_token: seconds for an output token.
    :ivar stall_seconds_per_token: seconds for which all that runs there stands still, for
        each prompt token.
    :ivar max_unread_tokens: prompt tokens that may be unread without making the
        pauses of running streams too long.
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

    def first_token_seconds(self, slot_request: requests.Ask) -> float:
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
        """Predict the seconds for which a request keeps a slot.

        :param first_token_seconds: to its first token.
        """
        if not waiting.ask.streams:
            return first_token_seconds
        return (
            first_token_seconds + self.seconds_per_output_token * waiting.tokens
        )

    def tokens_to_read(self, slot_request: requests.Ask) -> float:
        """Give the prompt tokens to read before the first token."""
        if not slot_request.streams:
            return slot_request.prompt_tokens
        return slot_request.prompt_tokens + self.unread

    def is_on_time(self, waiting: records.Waiting, now: float) -> bool:
        """Tell whether the first token is predicted before its target.

        And no stream that runs there is held up.
        """
        slot_request = waiting.ask
        if self.tokens_to_read(slot_request) > self.max_unread_tokens:
            return False
        return (
            self.first_token_seconds(slot_request)
            <= (waiting.target - now) * _TARGET_FRACTION
        )

    def ends_before_deadline(
        self, waiting: records.Waiting, now: float
    ) -> bool:
        """Tell whether the answer is predicted well before its time is over."""
        slot_request = waiting.ask
        hold_seconds = self.hold_seconds(
            waiting, self.first_token_seconds(slot_request)
        )
        return (
            hold_seconds <= (slot_request.deadline - now) * _DEADLINE_FRACTION
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A server for a request.

    :ivar tokens_to_read: prompt tokens to read before its first token.
    :ivar first_token_seconds: seconds predicted to the first token.
    :ivar delays_streams: streams there are held up.
    :ivar hold_seconds: seconds predicted for which it keeps a slot.
    """

    offer: Offer
    tokens_to_read: float
    first_token_seconds: float
    delays_streams: bool
    hold_seconds: float


def open_offers(
    servers: typing.Sequence[records.Server],
    first_index: int,
    estimates: Estimates,
) -> list[Offer]:
    """List servers that may get one more request, some of many.

    :param first_index: place of the first server to look at; where it differs from
        look to look, all of a large pool are looked at in turn.
    """
    offers = []
    for server in (*servers[first_index:], *servers[:first_index]):
        stuck = server.stuck(estimates.now)
        if server.hangs(stuck):
            # After a rest one request tries whether it still does.
            rests.record_fault(server, rests.Cause.hung, estimates.now)
        free_slots = server.free_slots(estimates.now, len(stuck))
        if free_slots > 0:
            offers.append(make_offer(server, free_slots, estimates))
        if len(offers) == _MAX_COMPARED:
            break
    return offers


def make_offer(
    server: records.Server, free_slots: int, estimates: Estimates
) -> Offer:
    """Work out what a server with free slots offers.

    :param free_slots: its number of free slots.
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
    )


def choose_on_time(
    offers: typing.Iterable[Offer],
    waiting: records.Waiting,
    estimates: Estimates,
) -> Placement | None:
    """Choose where the first token comes in time, if there is a server.

    The whole answer is predicted to end there as well.
    """
    now = estimates.now
    suitable = [
        candidate
        for candidate in offers
        if candidate.is_on_time(waiting, now)
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
    """Choose where the first token comes first and the answer ends."""
    suitable = [
        candidate
        for candidate in offers
        if candidate.ends_before_deadline(waiting, estimates.now)
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
    """Choose the server that is through with a request first."""
    best = min(
        offers,
        key=lambda candidate: _by_hold_seconds(candidate, waiting),
        default=None,
    )
    return best and predict(best, waiting)


def exceeds_deadline(
    waiting: records.Waiting, hold_seconds: float, now: float
) -> bool:
    """Tell whether a request takes too long for the time that it has left.

    :param hold_seconds: seconds predicted on the quickest server.
    """
    left = waiting.ask.deadline - now
    return hold_seconds > left * _MAX_DEADLINE_RATIO


def predict(candidate: Offer, waiting: records.Waiting) -> Placement:
    """Predict how a request does on a server."""
    slot_request = waiting.ask
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
    """Tell how dear a server is for a request; the least is the best."""
    slot_request = waiting.ask
    hold_seconds = candidate.hold_seconds(
        waiting, candidate.first_token_seconds(slot_request)
    )
    # All that runs there stands still while a prompt is read.
    hold_seconds += (
        candidate.stall_seconds_per_token
        * slot_request.prompt_tokens
        * len(candidate.server.running)
    )
    scarcity = 1 / (
        candidate.free_slots / candidate.server.slots + _MIN_FREE_FRACTION
    )
    return hold_seconds * scarcity * _failure_factor(
        candidate.server, slot_request, estimates
    ), _server_id(candidate)


def _failure_factor(
    server: records.Server,
    slot_request: requests.Ask,
    estimates: Estimates,
) -> float:
    """Give how much dearer a server is for the answers that come to nothing."""
    delayed_ratio = estimates.path_quality.delayed_ratio(
        slot_request.failure_domain,
        server.announcement.failure_domain,
        estimates.now,
    )
    failure_ratio = server.condition.failure_ratio
    return (
        1
        + _FAILURE_COST_FACTOR * failure_ratio
        + _PATH_COST_FACTOR * delayed_ratio
    )


def _max_unread_tokens(server: records.Server) -> float:
    """Give how much may be read before the pauses of streams get too long.

    While prompts are read, each token of the others waits for a piece of
    them. On a fast engine that is never long; on a slow one it is what makes
    streams late.
    """
    limits = [one.ask.gap for one in server.running.values()]
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
        waiting, candidate.first_token_seconds(waiting.ask)
    ), _server_id(candidate)


def _by_first_token(
    candidate: Offer, waiting: records.Waiting
) -> tuple[float, str]:
    return candidate.first_token_seconds(waiting.ask), _server_id(candidate)
