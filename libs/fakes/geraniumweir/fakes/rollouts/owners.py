"""Entry hosts of a play: the requests that they have at servers."""

import asyncio
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests

_HOSTS = tuple(ids.HostId(f'entry-{number}') for number in range(6))


@dataclasses.dataclass(slots=True, eq=False)
class OpenRequest:
    """A request at a server.

    :ivar granted_at: in seconds.
    :ivar preempted: is set when it is to run on another server.
    """

    ask: requests.SlotRequest
    grant: requests.Grant
    granted_at: float
    first_token: float | None = None
    preempted: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def work(self, seconds: float) -> bool:
        """Let the server work on it.

        :returns: whether it did so to the end.
        """
        try:
            async with asyncio.timeout(seconds):
                await self.preempted.wait()
        except TimeoutError:
            return True
        return False


class Owners:
    """The entry hosts, which own the requests of callers."""

    def __init__(self, now: typing.Callable[[], float]) -> None:
        """Initialize without requests."""
        self._now = now
        self._open: dict[ids.RequestId, OpenRequest] = {}
        self._count = 0

    def next_owner(self) -> ids.HostId:
        """Return the entry host that gets the next request."""
        self._count += 1
        return _HOSTS[self._count % len(_HOSTS)]

    def begin(
        self, ask: requests.SlotRequest, grant: requests.Grant
    ) -> OpenRequest:
        """Record a request that is sent to its server."""
        begun = OpenRequest(ask, grant, self._now())
        self._open[ask.request_id] = begun
        return begun

    def end(self, found: OpenRequest) -> None:
        """Record that a request has ended at its server."""
        self._open.pop(found.ask.request_id)

    def preempt_old_versions(self, to: ids.SoftwareVersion) -> None:
        """End requests at servers of old versions; they continue elsewhere."""
        for found in self._open.values():
            if found.grant.version != to and found.ask.idempotent:
                found.preempted.set()
