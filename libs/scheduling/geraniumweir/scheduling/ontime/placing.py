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
_LEAST_FREE = 0.15
# A first token is predicted from a mean; this part of the time to the target
# is used for it, which half of the predictions' errors stay within.
_USED = 0.8
# An answer must be predicted to end within this part of its time: lengths are
# known at the median only and often twice as long.
_USED_OF_DEADLINE = 0.6
# Where no server is predicted to end it so soon, one may still do, as lengths
# are known at the median only. What is predicted to take longer than so many
# times what is left isn't tried.
_LONGEST_OF_DEADLINE = 1.5
# Pauses are kept within this part of the longest one for full worth.
_USED_OF_GAP = 0.85
# Of a large pool so many open servers are compared for a request. The best of
# sixteen is within the best tenth of any number, and the time that a look
# takes doesn't grow with the pool.
_MOST_COMPARED = 16
# How much dearer a server is for each part of its answers that are failures.
_FAILURE_PRICE = 8.0
# The same for each part of the answers that the path to it holds up: such an
# answer is late as a failed one is lost, and both are avoided as long as
# another server has a slot at all.
_PATH_PRICE = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Learnt:
    """What is known of servers and the paths to them.

    :ivar now: in seconds.
    """

    speeds: speeds.Speeds
    path_quality: paths.Paths
    now: float


@dataclasses.dataclass(slots=True)
class Offer:
    """A server with a free slot, as it stands now.

    Hundreds of requests may be compared with it before it gets one, so what
    is the same for all of them is worked out once.

    :ivar free: slots.
    :ivar unread: prompt tokens granted and not known to be read.
    :ivar overdue: seconds by which its next first token is late.
    :ivar fixed: seconds to a first token with nothing to read.
    :ivar each: seconds more for each prompt token.
    :ivar decode: seconds for an output token.
    :ivar reading: seconds for which all that runs there stands still, for
        each prompt token.
    :ivar longest_read: prompt tokens that may be unread without making the
        pauses of running streams too long.
    """

    server: records.Server
    free: int
    unread: float
    overdue: float
    fixed: float
    each: float
    decode: float
    reading: float
    longest_read: float

    def first(self, slot_request: requests.SlotRequest) -> float:
        """Predict the seconds to a first token."""
        if not slot_request.streams:
            return self.fixed + self.each * slot_request.prompt_tokens
        read = slot_request.prompt_tokens + self.unread
        return self.fixed + self.each * read + self.overdue

    def held(self, waiting: records.Waiting, first: float) -> float:
        """Predict the seconds for which a request keeps a slot.

        :param first: to its first token.
        """
        if not waiting.slot_request.streams:
            return first
        return first + self.decode * waiting.tokens

    def read(self, slot_request: requests.SlotRequest) -> float:
        """Give the prompt tokens to read before the first token."""
        if not slot_request.streams:
            return slot_request.prompt_tokens
        return slot_request.prompt_tokens + self.unread

    def is_on_time(self, waiting: records.Waiting, now: float) -> bool:
        """Tell whether the first token is predicted before its target.

        And no stream that runs there is held up.
        """
        slot_request = waiting.slot_request
        if self.read(slot_request) > self.longest_read:
            return False
        return self.first(slot_request) <= (waiting.target - now) * _USED

    def ends(self, waiting: records.Waiting, now: float) -> bool:
        """Tell whether the answer is predicted well before its time is over."""
        slot_request = waiting.slot_request
        held = self.held(waiting, self.first(slot_request))
        return held <= (slot_request.deadline - now) * _USED_OF_DEADLINE


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A server for a request.

    :ivar read: prompt tokens to read before its first token.
    :ivar first: seconds predicted to the first token.
    :ivar delays: streams there are held up.
    :ivar held: seconds predicted for which it keeps a slot.
    """

    offer: Offer
    read: float
    first: float
    delays: bool
    held: float


def open_servers(
    servers: typing.Sequence[records.Server],
    start: int,
    learnt: Learnt,
) -> list[Offer]:
    """List servers that may get one more request, some of many.

    :param start: place of the first server to look at; where it differs from
        look to look, all of a large pool are looked at in turn.
    """
    offers = []
    for server in (*servers[start:], *servers[:start]):
        stuck = server.stuck(learnt.now)
        if server.hangs(stuck):
            # After a rest one request tries whether it still does.
            rests.note(server, rests.Cause.hung, learnt.now)
        free = server.free(learnt.now, len(stuck))
        if free > 0:
            offers.append(offer(server, free, learnt))
        if len(offers) == _MOST_COMPARED:
            break
    return offers


def offer(server: records.Server, free: int, learnt: Learnt) -> Offer:
    """Work out what a server with free slots offers.

    :param free: its number of free slots.
    """
    fixed, each = learnt.speeds.line(server.speed).fit()
    return Offer(
        server,
        free,
        server.unread_tokens(),
        max(server.overdue(learnt.now), 0),
        fixed,
        each,
        learnt.speeds.decode(server.speed),
        server.speed.first.slope(),
        _longest_read(server),
    )


def on_time(
    offers: typing.Iterable[Offer],
    waiting: records.Waiting,
    learnt: Learnt,
) -> Place | None:
    """Choose where the first token comes in time, if there is a server.

    The whole answer is predicted to end there as well.
    """
    now = learnt.now
    able = [
        found
        for found in offers
        if found.is_on_time(waiting, now) and found.ends(waiting, now)
    ]
    if not able:
        return None
    return place(
        min(able, key=lambda found: _score(found, waiting, learnt)),
        waiting,
    )


def earliest(
    offers: typing.Iterable[Offer],
    waiting: records.Waiting,
    learnt: Learnt,
) -> Place | None:
    """Choose where the first token comes first and the answer ends."""
    able = [found for found in offers if found.ends(waiting, learnt.now)]
    first = min(able, key=lambda found: _by_first(found, waiting), default=None)
    return first and place(first, waiting)


def shortest(
    offers: typing.Iterable[Offer],
    waiting: records.Waiting,
) -> Place | None:
    """Choose the server that is through with a request first."""
    first = min(
        offers,
        key=lambda found: _by_held(found, waiting),
        default=None,
    )
    return first and place(first, waiting)


def outlasts(waiting: records.Waiting, held: float, now: float) -> bool:
    """Tell whether a request takes too long for the time that it has left.

    :param held: seconds predicted on the quickest server.
    """
    left = waiting.slot_request.deadline - now
    return held > left * _LONGEST_OF_DEADLINE


def place(found: Offer, waiting: records.Waiting) -> Place:
    """Predict how a request does on a server."""
    slot_request = waiting.slot_request
    first = found.first(slot_request)
    read = found.read(slot_request)
    return Place(
        found,
        read,
        first,
        read > found.longest_read,
        found.held(waiting, first),
    )


def _score(
    found: Offer,
    waiting: records.Waiting,
    learnt: Learnt,
) -> tuple[float, str]:
    """Tell how dear a server is for a request; the least is the best."""
    slot_request = waiting.slot_request
    held = found.held(waiting, found.first(slot_request))
    # All that runs there stands still while a prompt is read.
    held += (
        found.reading * slot_request.prompt_tokens * len(found.server.running)
    )
    scarcity = 1 / (found.free / found.server.slots + _LEAST_FREE)
    return held * scarcity * _risk(found.server, slot_request, learnt), _name(
        found
    )


def _risk(
    server: records.Server,
    slot_request: requests.SlotRequest,
    learnt: Learnt,
) -> float:
    """Give how much dearer a server is for the answers that come to nothing."""
    trouble = learnt.path_quality.trouble(
        slot_request.failure_domain,
        server.announcement.failure_domain,
        learnt.now,
    )
    failing = server.condition.failing
    return 1 + _FAILURE_PRICE * failing + _PATH_PRICE * trouble


def _longest_read(server: records.Server) -> float:
    """Give how much may be read before the pauses of streams get too long.

    While prompts are read, each token of the others waits for a piece of
    them. On a fast engine that is never long; on a slow one it is what makes
    streams late.
    """
    limits = [one.slot_request.gap for one in server.running.values()]
    limit = min(limits, default=math.inf) * _USED_OF_GAP
    if server.speed.worst_gap <= limit:
        return math.inf
    slope = server.speed.first.slope()
    spare = limit - server.speed.usual_gap.get(0)
    if spare < 0 or not slope:
        return math.inf if spare >= 0 else -1
    return spare / slope


def _name(found: Offer) -> str:
    return found.server.server_id


def _by_held(found: Offer, waiting: records.Waiting) -> tuple[float, str]:
    return found.held(waiting, found.first(waiting.slot_request)), _name(found)


def _by_first(found: Offer, waiting: records.Waiting) -> tuple[float, str]:
    return found.first(waiting.slot_request), _name(found)
