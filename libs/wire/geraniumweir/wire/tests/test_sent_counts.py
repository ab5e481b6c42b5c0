"""Messages and bytes to all peers are counted by type."""

import asyncio
import contextlib

from geraniumweir.common import ids
from geraniumweir.wire import tcp
from geraniumweir.wire.gen.peering import ttypes

_ANY = ids.Address('127.0.0.1', 0)
_SECONDS = 30
# The greeting struct serves as a message here.
_Ping = ttypes.Hello


async def _answer(_sender: ids.HostId, ping: _Ping) -> _Ping:
    return ping


def test_sent_messages_and_bytes_are_counted_by_type() -> None:
    """So that a host's traffic can be told apart by what causes it."""

    async def work() -> None:
        one, two = (tcp.TcpPeers(ids.HostId(name), _ANY) for name in 'ab')
        async with contextlib.AsyncExitStack() as stack:
            for host in (one, two):
                host.handle(_Ping, _answer)
                await host.start()
                stack.push_async_callback(host.close)
            one.learn(two.host_id, two.address)
            for number in range(3):
                await one.call(two.host_id, _Ping('x', number, ''), _SECONDS)
        assert one.sent_messages() == {('Hello',): 3}
        assert two.sent_messages() == {('Hello',): 3}
        assert two.sent_bytes()[('Hello',)] > 0

    asyncio.run(work())
