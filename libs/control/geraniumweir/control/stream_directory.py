"""Origins of streams as an entry host finds and reports them.

See Also
========
geraniumweir.control.stream_exchange
"""

import asyncio
import typing

from geraniumweir.common import ids, timers
from geraniumweir.control import stream_exchange
from geraniumweir.scheduling import channel, stream_origins, translation
from geraniumweir.wire import errors
from geraniumweir.wire.gen.control import ttypes

# An answer takes a few milliseconds; a lost packet is sent again after 0.2 s.
_FIND_SECONDS = 0.3
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
        self._unconfirmed: set[ids.StreamKey] = set()
        self._subscriptions = (
            clock.every(_CONFIRM_SECONDS).subscribe(lambda _: self._report()),
            view.changes.subscribe(lambda _: self._report_all()),
        )

    def close(self) -> None:
        """Stop reporting."""
        for subscription in self._subscriptions:
            subscription.dispose()

    def record(self, begin: stream_origins.StreamBegin) -> None:
        """Record a stream that begins at this host.

        The coordinator hears of it at once, with the progress of the request.
        """
        if self._origins.record(begin):
            self._unconfirmed.add(begin.key)
            if begin.content is not None:
                self._unconfirmed.add(begin.content)

    def is_certain(self, origin: stream_origins.StreamOrigin) -> bool:
        """Return whether the version of an origin is certain by now."""
        return self._origins.is_certain(origin)

    async def find(
        self, key: ids.StreamKey, by_content: bool = False
    ) -> stream_origins.StreamOrigin | None:
        """Return the origin of a stream, None if no host in touch knows it.

        :param by_content: whether the key stands for a content. Streams of
            other hosts may have the same; only the coordinator hears of all.
        """
        own = None if by_content else self._origins.find(key)
        if own is not None or self._coordinator() == self._link.host_id:
            return own
        try:
            return await self._ask(key) or await self._ask_again(key)
        except errors.PeerError:
            # Lost or cut off: the caller is refused, which is logged.
            return None

    async def _ask_again(
        self, key: ids.StreamKey
    ) -> stream_origins.StreamOrigin | None:
        await asyncio.sleep(_REPEAT_SECONDS)
        return await self._ask(key)

    async def _ask(
        self, key: ids.StreamKey
    ) -> stream_origins.StreamOrigin | None:
        """Ask the coordinator.

        :raises errors.PeerError: if it doesn't answer.
        """
        message = ttypes.FindStream(translation.signed(key))
        reply = await self._link.call(
            self._coordinator(), message, _FIND_SECONDS
        )
        if reply.pool is None:
            return None
        return stream_origins.StreamOrigin(
            ids.PoolName(reply.pool), ids.SoftwareVersion(reply.version)
        )

    def _report_all(self) -> None:
        self._unconfirmed = {begin.key for begin in self._origins.known()}
        self._report()

    def _report(self) -> None:
        """Report what the coordinator has not confirmed, if there is one."""
        coordinator = self._coordinator()
        if not self._unconfirmed or coordinator == self._link.host_id:
            return
        keys = self._unconfirmed
        self._unconfirmed = set()
        begins = [one for one in self._origins.known() if one.key in keys]
        for first in range(0, len(begins), stream_exchange.MAX_PUBLISHED):
            part = begins[first : first + stream_exchange.MAX_PUBLISHED]
            self._link.start(self._confirm(coordinator, part))

    async def _confirm(
        self,
        coordinator: ids.HostId,
        begins: typing.Sequence[stream_origins.StreamBegin],
    ) -> None:
        try:
            await self._link.call(
                coordinator, stream_exchange.pack(begins), _FIND_SECONDS
            )
        except errors.PeerError:
            # Repeated in the next interval, or to the next coordinator.
            self._unconfirmed.update(one.key for one in begins)
