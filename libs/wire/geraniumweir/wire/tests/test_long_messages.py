"""Messages that are too long for a frame, over real loopback sockets."""

import asyncio
import contextlib
import typing

import logbook
import pytest
from geraniumweir.common import ids
from geraniumweir.wire import errors, framing, logevents, tcp
from geraniumweir.wire.gen.peering import ttypes

_ONE = ids.HostId('one')
_TWO = ids.HostId('two')
_ANY = ids.Address('127.0.0.1', 0)
_LONG_SECONDS = 30
_LONG = 'x' * framing.MAX_FRAME_BYTES
# The greeting struct serves as a message here.
_Ping = ttypes.Hello


async def _answer_at_length(_sender: ids.HostId, ping: _Ping) -> _Ping:
    return _Ping('', ping.protocol, _LONG if ping.protocol else '')


@contextlib.asynccontextmanager
async def _pair() -> typing.AsyncIterator[tcp.TcpPeers]:
    hosts = [tcp.TcpPeers(host_id, _ANY) for host_id in (_ONE, _TWO)]
    for host in hosts:
        host.handle(_Ping, _answer_at_length)
        await host.start()
    hosts[0].learn(_TWO, hosts[1].address)
    try:
        yield hosts[0]
    finally:
        for host in hosts:
            await host.close()


def test_message_that_is_too_long_is_no_lost_message() -> None:
    """The sender is told so at once, an event names it, others get through."""

    async def scenario() -> None:
        async with _pair() as peers:
            with pytest.raises(errors.OversizeError):
                await peers.call(_TWO, _Ping(_LONG, 0, ''), _LONG_SECONDS)
            peers.send(_TWO, _Ping(_LONG, 0, ''))
            await peers.call(_TWO, _Ping('', 0, ''), _LONG_SECONDS)

    logged = logbook.TestHandler()
    with logged.applicationbound():
        asyncio.run(scenario())
    events = [record.extra['event'] for record in logged.records]
    too_long = logevents.MESSAGE_TOO_LONG
    assert events == [too_long, too_long]


def test_answer_that_is_too_long_fails_the_call_at_once() -> None:
    """The caller doesn't wait for its timeout."""

    async def scenario() -> None:
        async with _pair() as peers:
            async with asyncio.timeout(_LONG_SECONDS / 2):
                with pytest.raises(errors.RemoteError, match='too long'):
                    await peers.call(_TWO, _Ping('', 1, ''), _LONG_SECONDS)

    asyncio.run(scenario())
