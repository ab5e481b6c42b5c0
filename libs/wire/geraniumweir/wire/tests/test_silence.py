"""Peers talk although open connections carry nothing, in virtual time."""

import asyncio
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.wire import errors, link, stream_network, tcp
from geraniumweir.wire.gen.peering import ttypes

_ONE = ids.HostId('one')
_TWO = ids.HostId('two')
_AT_TWO = ids.Address('10.0.0.2', 7400)
# Calls have failed until then at the latest; the kernel needs 5 s.
_RECOVERED_SECONDS = 1.5
_CALL_SECONDS = 0.4
_PAUSE_SECONDS = 0.2


class _Pair:
    """Two hosts, of which the first calls the second.

    :ivar received: messages without an answer that arrived.
    """

    def __init__(self) -> None:
        self.network = stream_network.StreamNetwork()
        self.one = self.network.join(_ONE, ids.Address('10.0.0.1', 7400))
        self.two = self.network.join(_TWO, _AT_TWO)
        self.two.handle(ttypes.Hello, self._answer)
        self.one.learn(_TWO, _AT_TWO)
        self.received = 0

    async def call(self) -> bool:
        """Return whether the second host answered in time."""
        try:
            await self.one.call(_TWO, ttypes.Hello('', 1, ''), _CALL_SECONDS)
        except errors.PeerError:
            return False
        return True

    async def call_until_answered(self) -> float:
        """Return the time until an answer, in seconds."""
        now = asyncio.get_running_loop().time
        start = now()
        while not await self.call():
            await asyncio.sleep(_PAUSE_SECONDS)
        return now() - start

    async def close(self) -> None:
        await self.one.close()
        await self.two.close()

    async def _answer(
        self, _sender: ids.HostId, hello: ttypes.Hello
    ) -> ttypes.Hello:
        self.received += 1
        return hello


def _run(work: typing.Callable[[_Pair], typing.Awaitable[None]]) -> None:
    async def scenario() -> None:
        pair = _Pair()
        assert await pair.call()
        await work(pair)
        await pair.close()

    virtual.run(scenario())


def test_peer_is_reached_although_the_open_connection_went_silent() -> None:
    """It is dialled beside the silent connection."""

    async def work(pair: _Pair) -> None:
        pair.network.silence(_ONE)
        assert await pair.call_until_answered() < _RECOVERED_SECONDS

    _run(work)


@pytest.mark.parametrize('seconds', [0.1, 0.5, 1.1, 2.9, 4.5, 7.0])
def test_peer_is_reached_soon_after_a_cut(seconds: float) -> None:
    """The next retransmission may be seconds away then."""

    async def work(pair: _Pair) -> None:
        pair.network.cut(_ONE, _TWO)
        calling = asyncio.create_task(pair.call_until_answered())
        await asyncio.sleep(seconds)
        pair.network.heal()
        assert await calling < seconds + _RECOVERED_SECONDS

    _run(work)


def test_seed_is_dialled_although_the_connection_to_it_went_silent() -> None:
    """A host that searches would take a silent peer for one that answers."""

    async def work(pair: _Pair) -> None:
        pair.network.silence(_ONE)
        await pair.call()
        await pair.call()
        pair.network.cut(_ONE, _TWO)
        with pytest.raises(errors.UnreachableError):
            await pair.one.introduce(_AT_TWO)

    _run(work)


def test_message_goes_on_a_silent_connection_until_there_is_another() -> None:
    """It arrives with the next retransmission if the path opens again."""

    async def work(pair: _Pair) -> None:
        pair.network.cut(_ONE, _TWO)
        await pair.call()
        await pair.call()
        before = pair.received
        pair.one.send(_TWO, ttypes.Hello('', 2, ''))
        pair.network.heal()
        await asyncio.sleep(5)
        assert pair.received > before

    _run(work)


def test_silences_do_not_add_up_connections() -> None:
    """The oldest ones are closed at both ends."""

    async def work(pair: _Pair) -> None:
        for _ in range(5):
            pair.network.silence(_ONE)
            await pair.call_until_answered()
        await asyncio.sleep(1)
        for layer, other in ((pair.one, _TWO), (pair.two, _ONE)):
            assert _connections(layer, other) <= link.MAX_CONNECTIONS

    _run(work)


def test_answer_after_the_timeout_is_handed_over_where_it_is_awaited() -> None:
    """It may hold a document; one that nobody awaits is ignored."""

    async def work(pair: _Pair) -> None:
        late: list[ttypes.Hello] = []
        pair.network.late[_ONE] = 2 * _CALL_SECONDS
        for number, on_late in ((1, late.append), (2, None)):
            with pytest.raises(errors.PeerTimeoutError):
                await pair.one.call(
                    _TWO,
                    ttypes.Hello('', number, ''),
                    _CALL_SECONDS,
                    on_late,
                )
        await asyncio.sleep(2)
        assert [hello.protocol for hello in late] == [1]

    _run(work)


def _connections(layer: tcp.TcpPeers, other: ids.HostId) -> int:
    return len(layer._link(other)._connections)
