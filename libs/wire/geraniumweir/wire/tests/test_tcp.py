"""Tests of the peer layer over real loopback sockets."""

import asyncio
import contextlib
import random
import typing

import pytest
from geraniumweir.common import ids
from geraniumweir.wire import (
    catalogue,
    connection,
    errors,
    framing,
    greeting,
    handling,
    tcp,
)
from geraniumweir.wire.gen.peering import ttypes

_ONE = ids.HostId('one')
_TWO = ids.HostId('two')
_ANY = ids.Address('127.0.0.1', 0)
_LONG_SECONDS = 30
_SHORT_SECONDS = 0.05

# The greeting struct serves as a message here; its number field counts.
_Ping = ttypes.Hello


async def _answer(_sender: ids.HostId, ping: _Ping) -> _Ping:
    return _Ping(ping.host_id, ping.protocol + 1, '')


async def _never_answer(_sender: ids.HostId, _ping: _Ping) -> None:
    await asyncio.Event().wait()


@contextlib.asynccontextmanager
async def _host(
    host_id: ids.HostId,
    address: ids.Address = _ANY,
) -> typing.AsyncIterator[tcp.TcpPeers]:
    peers = tcp.TcpPeers(host_id, address, random.Random(1))
    peers.handle(_Ping, _answer)
    await peers.start()
    try:
        yield peers
    finally:
        await peers.close()


@contextlib.asynccontextmanager
async def _pair() -> typing.AsyncIterator[tuple[tcp.TcpPeers, tcp.TcpPeers]]:
    async with _host(_ONE) as one, _host(_TWO) as two:
        one.learn(_TWO, two.address)
        yield one, two


async def _ping(peers: tcp.TcpPeers, to: ids.HostId, number: int = 1) -> int:
    answer = await peers.call(to, _Ping('', number, ''), _LONG_SECONDS)
    return typing.cast(int, answer.protocol)


async def _wait_until(condition: typing.Callable[[], typing.Any]) -> None:
    while not condition():
        await asyncio.sleep(0)


async def _connect_unknown_host(
    peers: tcp.TcpPeers,
    host_id: str = 'stranger',
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect and greet as a client whose bytes the test controls."""
    address = peers.address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    greeting.send_hello(writer, host_id, '')
    await greeting.receive_hello(reader)
    return reader, writer


def test_both_sides_call_over_one_connection() -> None:
    """The host that was dialled calls back without an address of its own."""

    async def scenario() -> None:
        async with _pair() as (one, two):
            assert await _ping(one, _TWO, 1) == 2
            assert await _ping(two, _ONE, 5) == 6
            assert one.traffic(_TWO).messages_out == 2
            assert two.traffic(_ONE).bytes_in > 0

    asyncio.run(scenario())


def test_introduce_learns_who_listens() -> None:
    """A seed's address becomes a host id that can be called."""

    async def scenario() -> None:
        async with _host(_ONE) as one, _host(_TWO) as two:
            assert await one.introduce(two.address) == _TWO
            assert await one.introduce(one.address) == _ONE
            assert await _ping(one, _TWO) == 2

    asyncio.run(scenario())


def test_nobody_listens() -> None:
    """A refused connection fails at once, also during back-off."""

    async def scenario() -> None:
        async with _host(_ONE) as one:
            async with _host(_TWO) as two:
                closed_address = two.address
            with pytest.raises(errors.UnreachableError):
                await one.introduce(closed_address)
            one.learn(_TWO, closed_address)
            for _ in range(2):
                with pytest.raises(errors.UnreachableError):
                    await _ping(one, _TWO)

    asyncio.run(scenario())


def test_sent_while_dialling_arrives() -> None:
    """Messages are queued until the connection is open."""

    async def scenario() -> None:
        received: asyncio.Queue[int] = asyncio.Queue()

        async def record_ping(_sender: ids.HostId, ping: _Ping) -> None:
            received.put_nowait(ping.protocol)

        async with _pair() as (one, two):
            two.handle(_Ping, record_ping)
            for number in range(3):
                one.send(_TWO, _Ping('', number, ''))
            assert [await received.get() for _ in range(3)] == [0, 1, 2]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'garbage',
    [
        pytest.param(b'\xff\xff\xff\xff', id='longer than allowed'),
        pytest.param(framing.pack(b'\xfe' * 40), id='no struct'),
        pytest.param(framing.pack(b'\x00'), id='no kind'),
        pytest.param(
            framing.pack(framing.encode(ttypes.Envelope(1, 1, 7, b''))),
            id='unknown message type',
        ),
    ],
)
def test_garbage_costs_only_its_connection(garbage: bytes) -> None:
    """The connection is closed; others go on."""

    async def scenario() -> None:
        async with _pair() as (one, two):
            assert await _ping(one, _TWO) == 2
            reader, writer = await _connect_unknown_host(two)
            writer.write(garbage)
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b''
            writer.close()
            assert await _ping(one, _TWO) == 2

    asyncio.run(scenario())


def test_garbage_instead_of_a_greeting() -> None:
    """A client that doesn't greet is disconnected."""

    async def scenario() -> None:
        async with _host(_ONE) as one:
            reader, writer = await asyncio.open_connection(
                one.address.host,
                one.address.port,
            )
            writer.write(b'GET / HTTP/1.1\r\n\r\n')
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b''
            writer.close()

    asyncio.run(scenario())


def test_half_a_frame_then_the_end() -> None:
    """A frame that stops in the middle is never handled."""

    async def scenario() -> None:
        handled = []

        async def record_ping(_sender: ids.HostId, ping: _Ping) -> None:
            handled.append(ping)

        async with _pair() as (one, two):
            two.handle(_Ping, record_ping)
            reader, writer = await _connect_unknown_host(two)
            number = catalogue.number_of('peering.Hello')
            body = framing.encode(_Ping('', 1, ''))
            envelope = ttypes.Envelope(4, 0, number, body)
            frame = framing.pack(framing.encode(envelope))
            writer.write(frame + frame[:-1])
            writer.write_eof()
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()
            await _wait_until(lambda: handled)
            assert len(handled) == 1
            two.handle(_Ping, _answer)
            assert await _ping(one, _TWO) == 2

    asyncio.run(scenario())


def test_peer_dies_in_mid_call() -> None:
    """A pending call fails with an error that leaves open if it ran."""

    async def scenario() -> None:
        async with _host(_ONE) as one:
            async with _host(_TWO) as two:
                two.handle(_Ping, _never_answer)
                one.learn(_TWO, two.address)
                call = asyncio.create_task(_ping(one, _TWO))
                await _wait_until(lambda: two.traffic(_ONE).messages_in)
            with pytest.raises(errors.PeerError) as caught:
                await call
            assert caught.type is errors.PeerError

    asyncio.run(scenario())


def test_reconnects_to_a_host_that_came_back() -> None:
    """A new process at the old address is dialled again."""

    async def scenario() -> None:
        async with _host(_ONE) as one:
            async with _host(_TWO) as two:
                address = two.address
                one.learn(_TWO, address)
                assert await _ping(one, _TWO) == 2
            with pytest.raises(errors.PeerError):
                await _ping(one, _TWO)
            async with _host(_TWO, address):
                assert await _retry_ping(one) == 2

    asyncio.run(scenario())


async def _retry_ping(peers: tcp.TcpPeers) -> int:
    while True:
        with contextlib.suppress(errors.UnreachableError):
            return await _ping(peers, _TWO)
        await asyncio.sleep(0)


def test_one_way_partition() -> None:
    """A lost answer looks like a slow one to the caller."""

    async def scenario() -> None:
        async with _pair() as (one, two):
            await _ping(one, _TWO)
            one.cut(_TWO, outgoing=False)
            with pytest.raises(errors.PeerTimeoutError):
                await one.call(_TWO, _Ping('', 1, ''), _SHORT_SECONDS)
            assert two.traffic(_ONE).messages_in == 2
            one.heal()
            assert await _ping(one, _TWO) == 2

    asyncio.run(scenario())


def test_answer_to_a_wrong_call_is_ignored() -> None:
    """Neither an unknown call id nor a repeat disturbs the right answer."""

    async def scenario() -> None:
        async with _host(_TWO) as two:
            reader, writer = await _connect_unknown_host(two, _ONE)
            call = asyncio.create_task(_ping(two, _ONE))
            sent_call = framing.decode(
                ttypes.Envelope,
                await framing.read_frame(reader),
            )
            for call_id, number in ((77, 3), (1, 4), (1, 5)):
                body = framing.encode(_Ping('', number, ''))
                answer = ttypes.Envelope(
                    2, call_id, sent_call.message_type, body
                )
                writer.write(framing.pack(framing.encode(answer)))
            assert sent_call.call_id == 1
            assert await call == 4
            writer.close()

    asyncio.run(scenario())


def test_failing_and_missing_handlers() -> None:
    """The caller gets the handler's failure; the connection stays."""

    async def scenario() -> None:
        async def failing_handler(_sender: ids.HostId, _ping: _Ping) -> None:
            raise ValueError('broken')

        async with _pair() as (one, two):
            two.handle(_Ping, failing_handler)
            with pytest.raises(errors.RemoteError, match='broken'):
                await _ping(one, _TWO)
            with pytest.raises(errors.RemoteError, match='no handler'):
                await one.call(
                    _TWO, ttypes.Envelope(1, 1, 1, b''), _LONG_SECONDS
                )
            two.handle(_Ping, _answer)
            assert await _ping(one, _TWO) == 2

    asyncio.run(scenario())


def test_slow_handlers_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Calls over the bound fail at once; answers still get through."""
    monkeypatch.setattr(handling, 'MAX_HANDLERS', 2)

    async def scenario() -> None:
        async with _pair() as (one, two):
            two.handle(_Ping, _never_answer)
            slow = [asyncio.create_task(_ping(one, _TWO)) for _ in range(2)]
            await _wait_until(lambda: two.traffic(_ONE).messages_in == 2)
            with pytest.raises(errors.RemoteError, match='too many'):
                await _ping(one, _TWO)
            assert await _ping(two, _ONE) == 2
            for task in slow:
                task.cancel()
            await asyncio.gather(*slow, return_exceptions=True)

    asyncio.run(scenario())


def test_peer_that_does_not_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """The send buffer is bounded: calls fail, messages are dropped."""
    monkeypatch.setattr(
        connection, 'MAX_BUFFERED_BYTES', 2 * framing.MAX_FRAME_BYTES
    )

    async def scenario() -> None:
        async with _host(_TWO) as two:
            _, writer = await _connect_unknown_host(two, _ONE)
            big = _Ping('x' * (framing.MAX_FRAME_BYTES - 100), 1, '')
            while not two.traffic(_ONE).dropped:
                two.send(_ONE, big)
                await asyncio.sleep(0)
            with pytest.raises(errors.BusyError):
                await two.call(_ONE, big, _LONG_SECONDS)
            writer.transport.abort()

    asyncio.run(scenario())


def test_two_hosts_dial_each_other() -> None:
    """Both connections may stay open; calls work in both directions."""

    async def scenario() -> None:
        async with _pair() as (one, two):
            two.learn(_ONE, one.address)
            numbers = await asyncio.gather(_ping(one, _TWO), _ping(two, _ONE))
            assert numbers == [2, 2]
            assert await _ping(one, _TWO) == 2

    asyncio.run(scenario())


def test_delayed_messages_arrive_late_complete_and_in_order() -> None:
    """Each way takes at least the delay that the test set."""

    async def scenario() -> None:
        slow = tcp.TcpPeers(_ONE, _ANY, random.Random(1), delay=_SHORT_SECONDS)
        received_numbers: list[int] = []

        async def record(_sender: ids.HostId, ping: _Ping) -> None:
            received_numbers.append(ping.protocol)

        async with _host(_TWO) as two:
            await slow.start()
            slow.learn(_TWO, two.address)
            loop = asyncio.get_running_loop()
            await _ping(slow, _TWO)
            start = loop.time()
            await _ping(slow, _TWO)
            assert loop.time() - start >= _SHORT_SECONDS
            two.handle(_Ping, record)
            for number in range(9):
                slow.send(_TWO, _Ping('', number, ''))
            await _wait_until(lambda: len(received_numbers) == 9)
            assert received_numbers == sorted(received_numbers)
            await slow.close()

    asyncio.run(scenario())
