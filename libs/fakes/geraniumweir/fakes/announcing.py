"""How a fake backend server tells entry hosts that it is there."""

import asyncio
import contextlib
import dataclasses
import typing

import aiohttp
from geraniumweir.common import ids

_PERIOD_SECONDS = 1.0
_PATIENCE = aiohttp.ClientTimeout(total=1.0)

Payload = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Standing:
    """What a server says of itself besides its settings.

    :ivar incarnation: grows at each start.
    :ivar state: ``ready`` or ``leaving``.
    """

    incarnation: int = 1
    state: str = 'ready'


class Announcer:
    """Announces one server, and posts its reports, once a second."""

    def __init__(
        self,
        announce_to: typing.Sequence[ids.Address],
        announcement: typing.Callable[[], Payload],
        report: typing.Callable[[], Payload] | None = None,
    ) -> None:
        """Keep whom to tell what.

        :param announce_to: backend addresses of entry hosts.
        :param announcement: gives the announcement of this moment.
        :param report: gives the report of this moment.
        """
        self._to = announce_to
        self._announcement = announcement
        self._report = report

    @contextlib.asynccontextmanager
    async def running(self) -> typing.AsyncIterator[None]:
        """Announce at once and then until the block ends."""
        async with aiohttp.ClientSession(timeout=_PATIENCE) as session:
            await self.tell(session)
            task = asyncio.create_task(self._forever(session))
            try:
                yield
            finally:
                task.cancel()

    async def tell(self, session: aiohttp.ClientSession) -> None:
        """Announce and report once, to all."""
        for address in self._to:
            await _post(session, address, 'announce', self._announcement())
            if self._report is not None:
                await _post(session, address, 'reports', self._report())

    async def _forever(self, session: aiohttp.ClientSession) -> None:
        while True:
            await asyncio.sleep(_PERIOD_SECONDS)
            await self.tell(session)


async def _post(
    session: aiohttp.ClientSession,
    address: ids.Address,
    subject: str,
    payload: Payload,
) -> None:
    url = f'http://{address}/v1/{subject}'
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with session.post(url, json=payload) as resp:
            await resp.read()
