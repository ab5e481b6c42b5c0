"""Origins of streams: the version of the servers that began them.

What servers of two software versions write does not fit together, so a stream
goes on only at the version of the server that sent its first event to the
caller. The entry host that forwards that event records it under a key that
stands for the caller's attempt; a later attempt names the earlier one. A caller
that names none is known by the content of its request.
"""

import dataclasses
import heapq
import typing

import xxhash
from geraniumweir.common import ids, timers
from geraniumweir.scheduling import notices

# Upper bound of the memory, for 2,500 streams a second that may be resumed for
# 20 s.
_MAX_STREAMS = 50000
# Less than the time for which a stream is kept beyond its caller's patience;
# reports of one stream differ by less.
_MIN_EXTENSION_SECONDS = 0.5


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
class _Record:
    """A recorded stream, or the streams of one content.

    :ivar origin: of the first report.
    :ivar expires_at: of the last one, in seconds on the loop's clock.
    :ivar contradiction: an origin that doesn't agree with the first one.
    :ivar attempt: of a content, the first attempt that began it.
    """

    origin: StreamOrigin
    expires_at: float
    contradiction: StreamOrigin | None = None
    attempt: ids.StreamKey | None = None

    @property
    def origins(self) -> tuple[StreamOrigin, ...]:
        """The origins that reports gave."""
        if self.contradiction is None:
            return (self.origin,)
        return self.origin, self.contradiction


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
        stream counts as unknown until both have expired.

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
        known = self._records.get(begin.content)
        return known is not None and known.attempt not in {None, begin.key}

    def find(self, key: ids.StreamKey) -> StreamOrigin | None:
        """Return the origin of a stream, None if it isn't known for sure."""
        now = self._clock.now()
        self._discard_expired(now)
        known = self._records.get(key)
        if known is None or known.contradiction is not None:
            return None
        return known.origin if self.is_certain(known.origin) else None

    def is_certain(self, origin: StreamOrigin) -> bool:
        """Return whether the version of an origin is certain by now."""
        return not self._is_doubtful(origin)

    def known(self) -> list[StreamBegin]:
        """List the streams with the times that are left.

        One whose reports contradict each other is listed with each origin.
        """
        now = self._clock.now()
        self._discard_expired(now)
        return [
            StreamBegin(key, origin, found.expires_at - now)
            for key, found in self._records.items()
            for origin in found.origins
        ]

    def _record(self, begin: StreamBegin) -> bool:
        now = self._clock.now()
        self._discard_expired(now)
        if begin.seconds <= 0:
            return False
        expires_at = now + begin.seconds
        known = self._records.get(begin.key)
        if known is None:
            self._store(begin.key, _Record(begin.origin, expires_at))
            if len(self._records) > self._max_streams:
                self._discard_first()
            return True
        contradiction = known.contradiction
        if contradiction is None and not known.origin.agrees_with(begin.origin):
            contradiction = begin.origin
        is_later = expires_at > known.expires_at + _MIN_EXTENSION_SECONDS
        if contradiction is known.contradiction and not is_later:
            return False
        expires_at = max(expires_at, known.expires_at)
        self._store(
            begin.key,
            dataclasses.replace(
                known, expires_at=expires_at, contradiction=contradiction
            ),
        )
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
