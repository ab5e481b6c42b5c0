"""Origins of streams as an entry host finds and reports them.

See Also
========
geraniumweir.control.stream_exchange
"""

import asyncio
import typing

from geraniumweir.common import ids, timers
from geraniumweir.control import stream_exchange
from geraniumweir.scheduling import (
    channel,
    granted_streams,
    requests,
    stream_origins,
    translation,
)
from geraniumweir.wire import errors
from geraniumweir.wire.gen.control import ttypes

_MS = 1000
# An answer takes a few milliseconds; a lost packet is sent again after 0.2 s.
_FIND_SECONDS = 0.3
# A content is found after the next ping of each entry host.
_IDENTIFY_SECONDS = 0.8
# A grant of the coordinator before may still arrive within this time.
_GRANTS_IN_FLIGHT_SECONDS = 1.0
# A report that was lost is repeated within the time in which hosts are in touch
# again after a disturbance, some 3 s.
_CONFIRM_SECONDS = 1.5
# The report of an event may arrive later than its caller's next attempt, and a
# new coordinator gets the reports of entry hosts within this time.
_REPEAT_SECONDS = 0.1


class StreamDirectory:
    """Origins of streams as an entry host finds them."""

    def __init__(
        self,
        link: channel.Channel,
        origins: stream_origins.StreamOrigins,
        view: stream_exchange.CoordinatorView,
        clock: timers.TimerService,
    ) -> None:
        """Report to the coordinator from now on."""
        self._origins = origins
        self._link = link
        self._coordinator = view.coordinator_id
        self._clock = clock
        self._unconfirmed: set[ids.StreamKey] = set()
        # What others than the present coordinator may have granted.
        self._unsettled: set[ids.StreamKey] = set()
        self._changed_at = clock.now()
        self._subscriptions = (
            clock.every(_CONFIRM_SECONDS).subscribe(
                lambda _: self._report(self._unconfirmed)
            ),
            view.changes.subscribe(lambda _: self._on_change()),
        )

    def close(self) -> None:
        """Stop reporting."""
        for subscription in self._subscriptions:
            subscription.dispose()

    def record(self, begin: stream_origins.StreamBegin) -> None:
        """Record a stream that begins at this host.

        The coordinator hears of it at once, with the progress of the request.
        """
        if not self._origins.record(begin):
            return
        keys = {begin.key}
        if begin.content is not None:
            keys.add(begin.content)
        self._unconfirmed |= keys
        since_change = self._clock.now() - self._changed_at
        if since_change < _GRANTS_IN_FLIGHT_SECONDS:
            self._unsettled |= keys
            self._report(keys)

    def record_grant(
        self, slot_request: requests.SlotRequest, grant: requests.Grant
    ) -> None:
        """Record the version of a grant for the content of its request.

        A host that coordinates for itself reports it when it is back in touch.
        """
        now = self._clock.now()
        self.record(granted_streams.of_grant(slot_request, grant, now))

    def is_settled(self, host_id: ids.HostId) -> bool:
        """Return whether a coordinator knows what others granted this host.

        What it doesn't know is reported again.
        """
        if self._coordinator() != host_id:
            return False
        if self._unsettled:
            self._unsettled &= {one.key for one in self._origins.known()}
            self._report(self._unsettled & self._unconfirmed)
        return not self._unsettled

    def is_certain(self, origin: stream_origins.StreamOrigin) -> bool:
        """Return whether the version of an origin is certain by now."""
        return self._origins.is_certain(origin)

    async def find(
        self,
        key: ids.StreamKey,
        claim: stream_origins.ContentClaim | None = None,
    ) -> stream_origins.StreamOrigin | None:
        """Return the origin of a stream, None if no host in touch knows it.

        :param claim: of a caller that names a content, None for an attempt.
            Streams of other hosts may have the same content; only the
            coordinator hears of all.
        """
        own = self._origins.find(key) if claim is None else None
        if own is not None or self._coordinator() == self._link.host_id:
            return own
        message = ttypes.FindStream(translation.signed(key))
        if claim is not None:
            message.customer = translation.signed(claim.customer)
            if claim.ends_at is not None:
                left = claim.ends_at - self._clock.now()
                message.left_ms = int(left * _MS)
        try:
            return await self._ask(message)
        except errors.PeerError:
            # Lost or cut off: the caller is refused, which is logged.
            return None

    async def _ask(
        self, message: ttypes.FindStream
    ) -> stream_origins.StreamOrigin | None:
        """Ask the coordinator, twice if it doesn't know the stream yet.

        :raises errors.PeerError: if it doesn't answer.
        """
        seconds = (
            _FIND_SECONDS if message.customer is None else _IDENTIFY_SECONDS
        )
        reply = await self._link.call(self._coordinator(), message, seconds)
        if reply.pool is None and not reply.doubtful:
            await asyncio.sleep(_REPEAT_SECONDS)
            reply = await self._link.call(self._coordinator(), message, seconds)
        if reply.pool is None:
            return None
        return stream_origins.StreamOrigin(
            ids.PoolName(reply.pool), ids.SoftwareVersion(reply.version)
        )

    def _on_change(self) -> None:
        """Report all streams to a new coordinator."""
        self._changed_at = self._clock.now()
        self._unconfirmed = {begin.key for begin in self._origins.known()}
        self._unsettled = set(self._unconfirmed)
        self._report(self._unconfirmed)

    def _report(self, keys: typing.AbstractSet[ids.StreamKey]) -> None:
        """Report streams to the coordinator, if there is one."""
        coordinator = self._coordinator()
        if not keys or coordinator == self._link.host_id:
            return
        self._unconfirmed = self._unconfirmed - keys
        begins = [one for one in self._origins.known() if one.key in keys]
        for first in range(0, len(begins), stream_exchange.MAX_PUBLISHED):
            part = begins[first : first + stream_exchange.MAX_PUBLISHED]
            self._link.start(self._confirm(coordinator, part))

    async def _confirm(
        self,
        coordinator: ids.HostId,
        begins: typing.Sequence[stream_origins.StreamBegin],
    ) -> None:
        keys = {one.key for one in begins}
        try:
            await self._link.call(
                coordinator, stream_exchange.pack(begins), _FIND_SECONDS
            )
        except errors.PeerError:
            # Repeated in the next interval, or to the next coordinator.
            self._unconfirmed |= keys
            return
        if coordinator == self._coordinator():
            self._unsettled -= keys
