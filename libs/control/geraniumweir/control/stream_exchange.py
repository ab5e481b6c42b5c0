"""Origins of streams on control hosts, and how entry hosts find them.

The coordinator hears of each stream that begins and publishes it to the other
control hosts, so that a new coordinator knows the streams of entry hosts that
were lost too. Entry hosts repeat a report until it is answered, and report all
their streams to a new coordinator.
"""

import collections
import dataclasses
import functools
import typing

import reactivex
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import enrolments, hosts, logevents, stream_doubts
from geraniumweir.scheduling import stream_origins, translation
from geraniumweir.wire import peers
from geraniumweir.wire.gen.control import ttypes

_MS = 1000
# A control host that a cut kept from hearing of a customer hears of it again.
_PUBLISH_CUSTOMERS_SECONDS = 2.0
# Streams in one message, which then has some 60 kilobytes.
MAX_PUBLISHED = 4096
# Wall clocks of hosts and servers differ by less.
_MAX_CLOCK_SKEW_SECONDS = 1.0

GetServer = typing.Callable[[ids.ServerId], enrolments.Enrolment | None]


class CoordinatorView(typing.Protocol):
    """The coordinator as a host sees it."""

    @property
    def changes(self) -> reactivex.Observable[typing.Any]:
        """Emits when another host becomes the coordinator."""

    def coordinator_id(self) -> ids.HostId:
        """Return the coordinator; this host where it hears of none."""


Begins = typing.Iterable[stream_origins.StreamBegin]


def make_origins(
    clock: timers.TimerService,
    get_server: GetServer,
) -> stream_origins.StreamOrigins:
    """Return a table of origins without streams.

    :param get_server: returns a server that this host knows.
    """
    return stream_origins.StreamOrigins(
        clock, functools.partial(_is_doubtful, get_server=get_server)
    )


def _is_doubtful(
    origin: stream_origins.StreamOrigin,
    get_server: GetServer,
) -> bool:
    """Return whether a server may have run another version than recorded.

    A server that keeps its id may start again with another version and get
    requests before its first report arrives. Streams that began after its start
    may have begun at either version.
    """
    if origin.start is None:
        return False
    server_id, incarnation = origin.start
    present = get_server(server_id)
    if present is None or present.born <= incarnation:
        return False
    if present.version == origin.version:
        return False
    return origin.began_at > present.born / _MS - _MAX_CLOCK_SKEW_SECONDS


class StreamExchange:
    """Origins of streams on control hosts, and answers to entry hosts.

    :ivar origins: those that this host knows.
    """

    def __init__(
        self,
        link: peers.Peers,
        known: hosts.ControlHosts,
        origins: stream_origins.StreamOrigins,
        view: CoordinatorView,
        doubts: stream_doubts.StreamDoubts,
        clock: timers.TimerService,
    ) -> None:
        """Receive reports from now on.

        :param doubts: decides which streams their contents identify.
        """
        self.origins = origins
        self._doubts = doubts
        self._clock = clock
        self._publish_customers_at = clock.now()
        self._link = link
        self._known = known
        self._coordinator = view.coordinator_id
        self._coordinates = self._is_coordinator()
        # With the times of their reports.
        self._unpublished: list[tuple[float, stream_origins.StreamBegin]] = []
        self._subscription = view.changes.subscribe(lambda _: self._on_change())
        link.handle(ttypes.BegunStreams, self._on_begun)
        link.handle(ttypes.FindStream, self._on_find)

    def close(self) -> None:
        """Stop following the coordinator."""
        self._subscription.dispose()

    def record(self, begin: stream_origins.StreamBegin) -> None:
        """Record a stream and publish it."""
        if self.origins.is_repeated(begin) and begin.customer is not None:
            self._record_repeating(begin.customer)
        if self.origins.record(begin):
            self._unpublished.append((self._clock.now(), begin))

    def _record_repeating(self, customer: ids.CustomerKey) -> None:
        now = self._clock.now()
        if self._doubts.repeating.record(customer, now):
            self._publish_customers_at = now

    def _is_coordinator(self) -> bool:
        return self._coordinator() == self._link.host_id

    def _on_change(self) -> None:
        """Pass all streams on where another host coordinates from now on.

        While hosts were partitioned, it heard of none that began here.
        """
        coordinated = self._coordinates
        self._coordinates = self._is_coordinator()
        coordinator = self._coordinator()
        if coordinated and not self._coordinates and coordinator:
            self._send_all(coordinator)

    def _send_all(self, coordinator: ids.HostId) -> None:
        begins = self.origins.known()
        messages = [
            pack(begins[first : first + MAX_PUBLISHED])
            for first in range(0, len(begins), MAX_PUBLISHED)
        ]
        for message in messages:
            message.repeating = self._pack_repeating()
            self._link.send(coordinator, message)

    def _pack_repeating(self) -> list[int]:
        customers = self._doubts.repeating.known(self._clock.now())
        return [translation.signed(one) for one in customers]

    def _record_all_repeating(self, numbers: typing.Iterable[int]) -> None:
        for number in numbers:
            self._record_repeating(
                ids.CustomerKey(translation.unsigned(number))
            )

    def fill(self, message: ttypes.RequestFacts, now: float) -> bool:
        """Add streams that are not published yet."""
        begins = [
            dataclasses.replace(
                begin, seconds=begin.seconds - now + reported_at
            )
            for reported_at, begin in self._unpublished[:MAX_PUBLISHED]
        ]
        repeating = self._pack_repeating() if self._is_due(now) else []
        if not begins and not repeating:
            return False
        self._unpublished = self._unpublished[MAX_PUBLISHED:]
        message.streams = pack(begins).versions
        message.repeating = repeating
        return True

    def _is_due(self, now: float) -> bool:
        """Return whether repeating customers are to be published."""
        if not self._coordinates or now < self._publish_customers_at:
            return False
        self._publish_customers_at = now + _PUBLISH_CUSTOMERS_SECONDS
        return True

    def fill_all(self, message: ttypes.RequestFacts, _now: float) -> None:
        """Add the streams that began last, and all repeating customers."""
        begins = self.origins.known()[-MAX_PUBLISHED:]
        message.streams = pack(begins).versions
        message.repeating = self._pack_repeating()

    def apply(self, message: ttypes.RequestFacts, now: float) -> None:
        """Take over what another coordinator knows."""
        for begin in unpack(message.streams or ()):
            self.origins.record(begin)
        customers = message.repeating or ()
        self._doubts.repeating.record_all(
            (ids.CustomerKey(translation.unsigned(one)) for one in customers),
            now,
        )

    async def _on_begun(
        self,
        sender: ids.HostId,
        message: ttypes.BegunStreams,
    ) -> ttypes.StreamsRecorded:
        from_control_host = any(
            host.host_id == sender for host in self._known.known()
        )
        self._record_all_repeating(message.repeating or ())
        for begin in unpack(message.versions):
            if from_control_host:
                self.origins.record(begin)
            else:
                self.record(begin)
        return ttypes.StreamsRecorded()

    async def _on_find(
        self,
        _sender: ids.HostId,
        message: ttypes.FindStream,
    ) -> ttypes.FoundStream:
        key = ids.StreamKey(translation.unsigned(message.key))
        found = self.origins.find(key)
        if message.customer is None:
            return _found(found)
        customer = ids.CustomerKey(translation.unsigned(message.customer))
        if found is not None:
            if not self._doubts.is_ambiguous(customer, found):
                return _found(found)
        if message.left_ms is not None:
            ends_at = self._clock.now() + message.left_ms / _MS
            same_end = self.origins.find_ending(key, ends_at)
            if same_end is not None:
                return _found(same_end)
        if found is None:
            return ttypes.FoundStream()
        return await self._find_unambiguous(key, found.pool)

    async def _find_unambiguous(
        self, key: ids.StreamKey, pool: ids.PoolName
    ) -> ttypes.FoundStream:
        """Find a content once all hosts have reported what others granted."""
        uncovered = await self._doubts.uncovered()
        if uncovered:
            eventlog.emit(
                logevents.STREAM_DOUBTFUL, pool=pool, hosts=', '.join(uncovered)
            )
            return ttypes.FoundStream(doubtful=True)
        return _found(self.origins.find(key))


def _found(
    origin: stream_origins.StreamOrigin | None,
) -> ttypes.FoundStream:
    if origin is None:
        return ttypes.FoundStream()
    return ttypes.FoundStream(origin.pool, origin.version)


def pack(begins: Begins) -> ttypes.BegunStreams:
    """Return the message of some streams, grouped by version."""
    groups: dict[
        tuple[ids.PoolName, ids.SoftwareVersion],
        list[tuple[ids.StreamKey, float]],
    ] = collections.defaultdict(list)
    for begin in begins:
        group = groups[(begin.origin.pool, begin.origin.version)]
        group.append((begin.key, begin.seconds))
        if begin.content is not None:
            group.append((begin.content, begin.seconds))
    return ttypes.BegunStreams(
        [
            ttypes.VersionStreams(
                pool,
                version,
                [translation.signed(key) for key, _ in found],
                [int(seconds * _MS) for _, seconds in found],
            )
            for (pool, version), found in groups.items()
        ],
    )


def unpack(
    versions: typing.Iterable[ttypes.VersionStreams],
) -> typing.Iterator[stream_origins.StreamBegin]:
    """Generate the streams of a message."""
    for group in versions:
        origin = stream_origins.StreamOrigin(
            ids.PoolName(group.pool), ids.SoftwareVersion(group.version)
        )
        for key, left_ms in zip(group.keys, group.left_ms):
            yield stream_origins.StreamBegin(
                ids.StreamKey(translation.unsigned(key)), origin, left_ms / _MS
            )
