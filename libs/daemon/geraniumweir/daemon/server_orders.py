"""Sends orders to backend servers, each with a fencing number of the log.

A server that checks fencing numbers rejects an old one with status 409. For a
server that doesn't, the issuer waits until the previous issuer's lease has
expired and sends only while its own lease is valid.

References
==========
.. [1] C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant mechanism
   for distributed file cache consistency", SOSP 1989.
"""

import asyncio
import dataclasses
import http
import time

import aiohttp
from geraniumweir.common import eventlog, ids
from geraniumweir.configuration import claims, commands
from geraniumweir.daemon import logevents, operations
from geraniumweir.membership import servers
from geraniumweir.wire.gen.configuration import ttypes

_LEASE_SECONDS = 10.0
# Model weights come from a rate-limited store, so concurrent loads are few.
_MAX_CONCURRENT_ORDERS = 2
_MS = 1000
_SUBJECTS = {
    operations.OrderKind.load_model: 'model',
    operations.OrderKind.unload_model: 'model',
    operations.OrderKind.load_adapter: 'adapter',
    operations.OrderKind.unload_adapter: 'adapter',
    operations.OrderKind.set_role: 'role',
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Fence:
    number: int
    expires_at: float


class OrderSender:
    """Sender of orders for one incarnation of an entry host."""

    def __init__(
        self,
        issuer: str,
        propose: claims.Propose,
        session: aiohttp.ClientSession,
    ) -> None:
        """Initialize without a fencing number.

        :param issuer: unique name of this incarnation, see
            :func:`issuer_name`.
        :param propose: proposes a command to the log.
        """
        self._issuer = issuer
        self._propose = propose
        self._session = session
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_ORDERS)

    async def send(
        self,
        order: operations.Order,
        server: servers.Announcement,
    ) -> operations.OrderResult:
        """Send an order.

        :raises operations.NotNowError: when the server rejects it, or the
            lease expires before the server answers.
        :raises geraniumweir.common.errors.GeraniumweirError: when no fencing
            number could be reserved; nothing was sent.
        """
        async with self._slots:
            fence = await self._reserve(fences=server.fences)
            try:
                async with asyncio.timeout_at(fence.expires_at):
                    await self._post(order, server, fence.number)
            except TimeoutError as exc:
                message = f'{server.server_id} did not answer in time'
                raise operations.NotNowError(message) from exc
        eventlog.emit(
            logevents.ORDER_SENT,
            order=order.kind.value,
            subject=order.subject,
            server_id=server.server_id,
            fencing=fence.number,
        )
        return operations.OrderResult(order.server_id, fence.number)

    async def _reserve(self, *, fences: bool) -> _Fence:
        requested_at = asyncio.get_running_loop().time()
        lease_ms = int(_LEASE_SECONDS * _MS)
        at_ms = int(time.time() * _MS)
        command = commands.reserve_fence(self._issuer, lease_ms, at_ms)
        answer: ttypes.FenceAnswer = commands.answers(
            await self._propose(command),
        )[0].fence
        if fences or not answer.wait_ms:
            return _Fence(answer.number, requested_at + _LEASE_SECONDS)
        await asyncio.sleep(answer.wait_ms / _MS)
        # Reserving again as the same issuer renews its lease.
        return await self._reserve(fences=True)

    async def _post(
        self,
        order: operations.Order,
        server: servers.Announcement,
        fencing: int,
    ) -> None:
        payload = {
            'order': order.kind.value,
            _SUBJECTS[order.kind]: order.subject,
            'version': order.version,
            'fencing': fencing,
        }
        url = f'http://{server.address}/v1/orders'
        try:
            async with self._session.post(url, json=payload) as resp:
                status = resp.status
        except aiohttp.ClientError as exc:
            raise operations.NotNowError(
                f'{server.server_id} could not be reached: {exc}',
            ) from exc
        if status == http.HTTPStatus.CONFLICT:
            raise operations.NotNowError(
                f'{server.server_id} has seen a newer fencing number',
            )
        if status >= http.HTTPStatus.BAD_REQUEST:
            raise operations.NotNowError(
                f'{server.server_id} answered the order with {status}',
            )


def issuer_name(host_id: ids.HostId, incarnation: ids.Incarnation) -> str:
    """Return the issuer name of one incarnation of an entry host."""
    return f'{host_id}/{incarnation}'
