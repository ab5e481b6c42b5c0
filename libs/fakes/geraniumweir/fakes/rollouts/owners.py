"""Entry hosts of a play: the requests that they have at servers."""

import asyncio
import dataclasses
import random
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import leader

_HOSTS = tuple(ids.HostId(f'entry-{number}') for number in range(6))
# Entry hosts find a new coordinator within this time.
_HANDOVER_SECONDS = (0.03, 1.0)


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

    def __init__(self, now: typing.Callable[[], float], seed: int) -> None:
        """Initialize without requests."""
        self._now = now
        self._chance = random.Random(f'{seed} owners')
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
        """End requests at servers of old versions; they continue elsewhere.

        Streams that have begun go on.
        """
        for found in self._open.values():
            may_move = found.ask.idempotent and found.first_token is None
            if found.grant.version != to and may_move:
                found.preempted.set()

    async def hand_over(self, to: leader.OnTimePoolLeader) -> None:
        """Hand over to a new coordinator, each host when it finds it.

        One of them doesn't reach it, but still reaches its servers.
        """
        silent = self._chance.choice(_HOSTS)
        async with asyncio.TaskGroup() as group:
            for host in _HOSTS:
                delay = self._chance.uniform(*_HANDOVER_SECONDS)
                if host != silent:
                    group.create_task(self._hand_over(host, delay, to))

    async def _hand_over(
        self, host: ids.HostId, delay: float, to: leader.OnTimePoolLeader
    ) -> None:
        await asyncio.sleep(delay)
        to.adopt(
            [
                requests.OpenGrant(
                    one.ask,
                    one.grant,
                    self._now() - one.granted_at,
                    one.first_token,
                )
                for one in self._open.values()
                if one.ask.owner == host
            ],
        )
