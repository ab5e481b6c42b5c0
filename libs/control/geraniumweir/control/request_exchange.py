"""Exchange of facts about requests between control hosts.

The coordinator publishes what it learns of requests to the other control hosts,
so that the next coordinator continues with it: requests that crashed servers,
prompt parts that did, and the versions at which streams began. There are at
most seven control hosts, and one message has all that changed. A new
coordinator may have started after that message, so it asks the others for all
that they know.
"""

import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import hosts, logevents
from geraniumweir.scheduling import channel
from geraniumweir.wire import errors
from geraniumweir.wire.gen.control import ttypes

# What a coordinator learnt within this time may be lost with it.
_PUBLISH_SECONDS = 0.1
# An answer takes a few milliseconds; a lost packet is sent again after 0.2 s.
_ASK_SECONDS = 0.5


class Topic(typing.Protocol):
    """One kind of facts."""

    def fill(self, message: ttypes.RequestFacts, now: float) -> bool:
        """Add what is not published yet.

        :returns: whether there was anything.
        """

    def fill_all(self, message: ttypes.RequestFacts, now: float) -> None:
        """Add all that is known."""

    def apply(self, message: ttypes.RequestFacts, now: float) -> None:
        """Take over what another control host published."""


class RequestExchange:
    """The exchange of all topics on one control host."""

    def __init__(
        self,
        link: channel.Channel,
        known: hosts.ControlHosts,
        clock: timers.TimerService,
        topics: typing.Sequence[Topic],
    ) -> None:
        """Publish and receive from now on."""
        self._link = link
        self._known = known
        self._clock = clock
        self._topics = topics
        self._poll = clock.every(_PUBLISH_SECONDS).subscribe(
            lambda _: self._publish()
        )
        link.handle(ttypes.RequestFacts, self._on_facts)
        link.handle(ttypes.AskRequestFacts, self._on_ask)

    def ask(self) -> None:
        """Ask the other control hosts for all they know."""
        for host in self._known.known():
            if host.host_id != self._link.host_id:
                self._link.start(self._ask(host.host_id))

    def close(self) -> None:
        """Stop publishing."""
        self._poll.dispose()

    def _publish(self) -> None:
        while True:
            message = ttypes.RequestFacts()
            now = self._clock.now()
            if not any([topic.fill(message, now) for topic in self._topics]):
                return
            for host in self._known.known():
                if host.host_id != self._link.host_id:
                    self._link.send(host.host_id, message)

    async def _on_facts(
        self,
        _sender: ids.HostId,
        message: ttypes.RequestFacts,
    ) -> None:
        for topic in self._topics:
            topic.apply(message, self._clock.now())

    async def _on_ask(
        self,
        _sender: ids.HostId,
        _message: ttypes.AskRequestFacts,
    ) -> ttypes.RequestFacts:
        message = ttypes.RequestFacts()
        for topic in self._topics:
            topic.fill_all(message, self._clock.now())
        return message

    async def _ask(self, host_id: ids.HostId) -> None:
        try:
            found = await self._link.call(
                host_id, ttypes.AskRequestFacts(), _ASK_SECONDS
            )
        except errors.PeerError as exc:
            eventlog.emit(
                logevents.FACTS_UNKNOWN, host=host_id, reason=exc.message
            )
            return
        await self._on_facts(host_id, found)
