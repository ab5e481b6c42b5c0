"""Origins of streams: the version of the servers that began them.

What servers of two software versions write does not fit together, so a stream
goes on only at the version of the server that sent its first event to the
caller. The entry host that forwards that event records it under a key that
stands for the caller's attempt; a later attempt names the earlier one. A caller
that names none is known by the content of its request.
"""

import dataclasses
import heapq
import math
import typing

import xxhash
from geraniumweir.common import ids, timers
from geraniumweir.scheduling import notices

# Upper bound of the memory, for 2,500 streams a second that may be resumed for
# 20 s.
_MAX_STREAMS = 50000
# Callers return before they stop waiting; a caller's time begins a little
# before its request arrives.
RETURN_SECONDS = 2.0
# A stream is known for at most this time, as messages have 31 bits for
# milliseconds and a caller may name any time limit.
_MAX_RESUMABLE_SECONDS = 3600.0
# The end of a stream as two messages give it differs by some milliseconds; by
# more where a packet was lost.
_SAME_STREAM_SECONDS = 0.02
# The ends of a stream as its caller's attempts give it differ by less.
_SAME_CALLER_SECONDS = 0.05
# A stream of another version tells nothing apart if its end is nearer: a host
# that is suspended or under load reads messages late and shifts the ends.
_APART_SECONDS = 5.0
# Streams of one content whose ends are kept.
_MAX_ENDS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The version that began a stream.

    :ivar start: the server that sent the first event, None if it is unknown
        on this host.
    :ivar began_at: when it came, in Unix seconds; 0 if it is unknown.
    """

    pool: ids.PoolName
    version: ids.SoftwareVersion
    start: notices.ServerIncarnation | None = None
    began_at: float = 0

    def agrees_with(self, other: 'StreamOrigin') -> bool:
        """Return whether the same servers may go on with both streams."""
        return self.pool == other.pool and self.version == other.version


@dataclasses.dataclass(frozen=True, slots=True)
class StreamBegin:
    """A stream whose first event is forwarded to its caller.

    :ivar seconds: for how long another attempt may resume it.
    :ivar content: key of what the attempt requests, None if it has none.
    :ivar customer: of an attempt that takes no stream up, None otherwise.
    """

    key: ids.StreamKey
    origin: StreamOrigin
    seconds: float
    content: ids.StreamKey | None = None
    customer: ids.CustomerKey | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ContentClaim:
    """What a caller that names no attempt says besides its content.

    :ivar ends_at: until when its stream may be resumed, in seconds on the
        loop's clock; None if it sets no time limit.
    """

    customer: ids.CustomerKey
    ends_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """When a stream of a content expires, in seconds on the loop's clock."""

    origin: StreamOrigin
    at: float

    def is_near(self, ends_at: float, seconds: float) -> bool:
        """Return whether it differs from a time by at most some seconds."""
        return abs(self.at - ends_at) <= seconds


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """A recorded stream, or the streams of one content.

    Attempts that take one stream up share its end.

    :ivar ends: one for each stream that was reported; at least one.
    :ivar attempt: of a content, the first attempt that began it.
    :ivar discarded_until: the latest end that is no longer among them, in
        seconds on the loop's clock.
    """

    ends: tuple[_End, ...]
    attempt: ids.StreamKey | None = None
    discarded_until: float = -math.inf

    @property
    def expires_at(self) -> float:
        """When the last stream expires, in seconds on the loop's clock."""
        return max(one.at for one in self.ends)

    def reported(self, end: _End) -> _End | None:
        """Return what an earlier report said of a stream, None for nothing."""
        for one in self.ends:
            is_near = one.is_near(end.at, _SAME_STREAM_SECONDS)
            if is_near and one.origin.agrees_with(end.origin):
                return one
        return None

    def complete(self, reported: _End, end: _End) -> '_Record':
        """Return it with the server of a stream, if only its begin names it."""
        if reported.origin.start is not None or end.origin.start is None:
            return self
        completed = dataclasses.replace(reported, origin=end.origin)
        return dataclasses.replace(
            self,
            ends=tuple(
                completed if one is reported else one for one in self.ends
            ),
        )

    def add(self, end: _End, now: float) -> '_Record':
        """Return it with another stream, and without expired ones."""
        ends = [one for one in self.ends if one.at > now]
        ends.append(end)
        ends.sort(key=_end_time)
        discarded_until = self.discarded_until
        while len(ends) > _MAX_ENDS:
            discarded = ends.pop(_first_superseded(ends))
            discarded_until = max(discarded_until, discarded.at)
        return dataclasses.replace(
            self, ends=tuple(ends), discarded_until=discarded_until
        )


def _end_time(end: _End) -> float:
    return end.at


def _first_superseded(ends: typing.Sequence[_End]) -> int:
    """Return the number of the first end of an origin that has a later one."""
    for number, end in enumerate(ends):
        later = ends[number + 1 :]
        if any(end.origin.agrees_with(one.origin) for one in later):
            return number
    return 0


def _agreed_origin(ends: typing.Sequence[_End]) -> StreamOrigin | None:
    """Return the origin of some streams, None if they have several."""
    if not ends:
        return None
    origin = ends[0].origin
    if all(origin.agrees_with(one.origin) for one in ends):
        return origin
    return None


def resumable_seconds(patience: float) -> float:
    """Return for how long a stream may be resumed.

    :param patience: seconds that its caller waits.

    >>> resumable_seconds(15), resumable_seconds(1e12)
    (17.0, 3602.0)
    """
    return min(patience, _MAX_RESUMABLE_SECONDS) + RETURN_SECONDS


IsDoubtful = typing.Callable[[StreamOrigin], bool]


def _never(_origin: StreamOrigin) -> bool:
    return False


def key_of(customer: ids.CustomerName, request_id: str) -> ids.StreamKey:
    """Return the key of a caller's attempt.

    The id of another customer's attempt leads to another key.

    :param request_id: set by the caller.
    """
    text = f'{customer}\n{request_id}'
    return ids.StreamKey(xxhash.xxh3_64_intdigest(text.encode()))


def key_of_content(
    customer: ids.CustomerName, fingerprint: ids.Fingerprint
) -> ids.StreamKey:
    """Return the key of the attempts at one content.

    :param fingerprint: equal for the same content sent again.
    """
    text = f'{customer}\r{fingerprint}'
    return ids.StreamKey(xxhash.xxh3_64_intdigest(text.encode()))


def key_of_customer(customer: ids.CustomerName) -> ids.CustomerKey:
    """Return the key of a customer."""
    return ids.CustomerKey(xxhash.xxh3_64_intdigest(customer.encode()))


class StreamOrigins:
    """The origins that a host knows, for as long as callers may return.

    >>> from geraniumweir.common import virtual
    >>> async def record_and_find():
    ...     origins = StreamOrigins(timers.TimerService())
    ...     origin = StreamOrigin(ids.PoolName('p'), ids.SoftwareVersion('v1'))
    ...     key = key_of(ids.CustomerName('c'), 'attempt')
    ...     origins.record(StreamBegin(key, origin, 10))
    ...     other = key_of(ids.CustomerName('d'), 'attempt')
    ...     return origins.find(key) == origin, origins.find(other)
    >>> virtual.run(record_and_find())
    (True, None)
    """

    def __init__(
        self,
        clock: timers.TimerService,
        is_doubtful: IsDoubtful = _never,
        max_streams: int = _MAX_STREAMS,
    ) -> None:
        """Initialize without streams.

        :param is_doubtful: returns whether the server of an origin may have
            run another version when it sent the first event.
        :param max_streams: beyond this number, those that expire first are
            discarded.
        """
        self._clock = clock
        self._is_doubtful = is_doubtful
        self._max_streams = max_streams
        self._records: dict[ids.StreamKey, _Record] = {}
        self._expiries: list[tuple[float, ids.StreamKey]] = []

    def record(self, begin: StreamBegin) -> bool:
        """Record a stream, or that another one has its content.

        An attempt has one first event. If two reports contradict each other, as
        the caller used an id twice, or requested the same content twice, the
        stream counts as unknown while both may be resumed.

        :returns: whether it changed anything.
        """
        changed = self._record(begin)
        if begin.content is None:
            return changed
        by_content = dataclasses.replace(begin, key=begin.content, content=None)
        changed = self._record(by_content) or changed
        self._note_attempt(begin)
        return changed

    def is_repeated(self, begin: StreamBegin) -> bool:
        """Return whether another attempt began the same content before.

        Attempts that take a stream up have the content of that stream and don't
        count.
        """
        if begin.content is None or begin.customer is None:
            return False
        self._discard_expired(self._clock.now())
        known = self._records.get(begin.content)
        return known is not None and known.attempt not in {None, begin.key}

    def find(self, key: ids.StreamKey) -> StreamOrigin | None:
        """Return the origin of a stream, None if it isn't known for sure."""
        return self._certain_origin(self._ends(key))

    def find_ending(
        self, key: ids.StreamKey, ends_at: float
    ) -> StreamOrigin | None:
        """Return the origin of the streams of a content with an end.

        All attempts of a caller have the same time limit, so another stream of
        the content most likely ends at another time.

        :param ends_at: until when the stream may be resumed, in seconds on the
            loop's clock.
        :returns: None if there is none, or if one of another origin ends at
            nearly the same time.
        """
        near = [
            one
            for one in self._ends(key)
            if one.is_near(ends_at, _APART_SECONDS)
        ]
        if not any(one.is_near(ends_at, _SAME_CALLER_SECONDS) for one in near):
            return None
        if ends_at - _APART_SECONDS <= self._records[key].discarded_until:
            return None
        return self._certain_origin(near)

    def is_certain(self, origin: StreamOrigin) -> bool:
        """Return whether the version of an origin is certain by now."""
        return not self._is_doubtful(origin)

    def known(self) -> list[StreamBegin]:
        """List the streams with the times that are left.

        One whose reports contradict each other is listed with each origin, and
        a content with each of its streams.
        """
        now = self._clock.now()
        self._discard_expired(now)
        return [
            StreamBegin(key, end.origin, end.at - now)
            for key, found in self._records.items()
            for end in found.ends
            if end.at > now
        ]

    def _ends(self, key: ids.StreamKey) -> list[_End]:
        """List the streams of a key that may be resumed."""
        now = self._clock.now()
        self._discard_expired(now)
        known = self._records.get(key)
        return [one for one in known.ends if one.at > now] if known else []

    def _certain_origin(
        self, ends: typing.Sequence[_End]
    ) -> StreamOrigin | None:
        origin = _agreed_origin(ends)
        if all(self.is_certain(one.origin) for one in ends):
            return origin
        return None

    def _record(self, begin: StreamBegin) -> bool:
        now = self._clock.now()
        self._discard_expired(now)
        if begin.seconds <= 0:
            return False
        end = _End(begin.origin, now + begin.seconds)
        known = self._records.get(begin.key)
        if known is None:
            self._store(begin.key, _Record((end,)))
            if len(self._records) > self._max_streams:
                self._discard_first()
            return True
        reported = known.reported(end)
        if reported is not None:
            self._records[begin.key] = known.complete(reported, end)
            return False
        self._store(begin.key, known.add(end, now))
        return True

    def _note_attempt(self, begin: StreamBegin) -> None:
        """Note the first attempt that began a content."""
        if begin.content is None or begin.customer is None:
            return
        known = self._records.get(begin.content)
        if known is not None and known.attempt is None:
            self._records[begin.content] = dataclasses.replace(
                known, attempt=begin.key
            )

    def _store(self, key: ids.StreamKey, stored: _Record) -> None:
        self._records[key] = stored
        heapq.heappush(self._expiries, (stored.expires_at, key))

    def _discard_expired(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            self._pop_expiry()

    def _discard_first(self) -> None:
        """Discard the stream that expires first."""
        while not self._pop_expiry():
            """A record that was extended has a later entry."""

    def _pop_expiry(self) -> bool:
        """Remove the earliest entry, and its stream if it has no later one.

        :returns: whether a stream was removed.
        """
        expires_at, key = heapq.heappop(self._expiries)
        known = self._records.get(key)
        if known is None or known.expires_at > expires_at:
            return False
        self._records.pop(key)
        return True
