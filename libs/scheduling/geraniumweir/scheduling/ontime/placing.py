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


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A server for a request.

    :ivar read: prompt tokens to read before its first token.
    :ivar first: seconds predicted to the first token.
    :ivar on_time: the first token is predicted before its target, and no
        stream there is held up.
    :ivar delays: streams there are held up.
    :ivar ends: the whole answer is predicted well before its time is over.
    :ivar held: seconds predicted for which it keeps a slot.
    :ivar score: the less, the better.
    """

    server: records.Server
    read: float
    first: float
    on_time: bool
    delays: bool
    ends: bool
    held: float
    score: float


def open_servers(
    servers: typing.Sequence[records.Server],
    now: float,
    start: int,
) -> list[records.Server]:
    """List servers that may get one more request, some of many.

    :param start: place of the first server to look at; where it differs from
        look to look, all of a large pool are looked at in turn.
    """
    able = []
    for server in (*servers[start:], *servers[:start]):
        if server.hangs(now):
            # After a rest one request tries whether it still does.
            rests.note(server, rests.Cause.hung, now)
        if server.free(now) > 0:
            able.append(server)
        if len(able) == _MOST_COMPARED:
            break
    return able


def best(
    servers: typing.Iterable[records.Server],
    waiting: records.Waiting,
    learnt: Learnt,
) -> Place | None:
    """Choose among servers that have a free slot.

    :param servers: of :func:`open_servers`.
    :returns: one where the first token comes in time, if there is any, else
        the one where it comes first; where none ends it in time, the one
        that is through first; None where there are no servers.
    """
    places = [place(server, waiting, learnt) for server in servers]
    able = [found for found in places if found.ends]
    in_time = [found for found in able if found.on_time]
    if in_time:
        return min(in_time, key=_by_score)
    if able:
        return min(able, key=_by_first)
    return min(places, key=_by_held, default=None)


def outlasts(waiting: records.Waiting, held: float, now: float) -> bool:
    """Tell whether a request takes too long for the time that it has left.

    :param held: seconds predicted on the quickest server.
    """
    left = waiting.ask.deadline - now
    return held > left * _LONGEST_OF_DEADLINE


def place(
    server: records.Server,
    waiting: records.Waiting,
    learnt: Learnt,
) -> Place:
    """Predict how a request does on a server."""
    ask = waiting.ask
    now = learnt.now
    read = float(ask.prompt_tokens)
    if ask.streams:
        read += server.unread_tokens()
    first = learnt.speeds.first_token(server.speed, read)
    if ask.streams:
        first += max(server.overdue(now), 0)
    held = first
    if ask.streams:
        held += learnt.speeds.decode(server.speed) * waiting.tokens
    # All that runs there stands still while a prompt is read.
    reading = server.speed.first.slope() * ask.prompt_tokens
    score = held + reading * len(server.running)
    score *= _scarcity(server, now) * _risk(server, ask, learnt)
    delays = _delays_others(server, read)
    return Place(
        server,
        read,
        first,
        on_time=not delays and first <= (waiting.target - now) * _USED,
        delays=delays,
        ends=held <= (ask.deadline - now) * _USED_OF_DEADLINE,
        held=held,
        score=score,
    )


def _risk(
    server: records.Server,
    ask: requests.Ask,
    learnt: Learnt,
) -> float:
    """Give how much dearer a server is for the answers that come to nothing.

    While 4 in 100 packets between one failure domain and the others were
    lost, 29 callers were late in the four seconds after the first one of it,
    and 13 with the paths priced and other changes beside (one day each).
    """
    trouble = learnt.path_quality.trouble(
        ask.failure_domain,
        server.announcement.failure_domain,
        learnt.now,
    )
    failing = server.condition.failing
    return 1 + _FAILURE_PRICE * failing + _PATH_PRICE * trouble


def _delays_others(server: records.Server, read: float) -> bool:
    """Tell whether a prompt makes the pauses of running streams too long.

    While prompts are read, each token of the others waits for a piece of
    them. On a fast engine that is never long; on a slow one it is what makes
    streams late: 22 ms for each token, eight tokens in an event, against a
    longest pause of 250 ms.

    :param read: prompt tokens to read, the new one's included.
    """
    limits = [one.ask.gap for one in server.running.values()]
    limit = min(limits, default=math.inf) * _USED_OF_GAP
    if server.speed.worst_gap <= limit:
        return False
    reading = server.speed.first.slope() * read
    return server.speed.usual_gap.get(0) + reading > limit


def _scarcity(server: records.Server, now: float) -> float:
    free = server.free(now) / server.slots
    return 1 / (free + _LEAST_FREE)


def _by_score(found: Place) -> tuple[float, str]:
    return found.score, found.server.server_id


def _by_held(found: Place) -> tuple[float, str]:
    return found.held, found.server.server_id


def _by_first(found: Place) -> tuple[float, str]:
    return found.first, found.server.server_id
