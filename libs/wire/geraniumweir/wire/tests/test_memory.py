"""Tests of the in-memory network."""

import asyncio
import dataclasses

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.wire import errors, memory

_ONE = ids.HostId('one')
_TWO = ids.HostId('two')


@dataclasses.dataclass
class _Ping:
    number: int


async def _answer(_sender: ids.HostId, ping: _Ping) -> _Ping:
    return _Ping(ping.number + 1)


def _pair() -> tuple[memory.MemoryNetwork, memory.MemoryPeers]:
    network = memory.MemoryNetwork()
    one = network.join(_ONE, ids.Address('127.0.0.1', 1))
    two = network.join(_TWO, ids.Address('127.0.0.1', 2))
    two.handle(_Ping, _answer)
    return network, one


def test_call_is_answered() -> None:
    """A call comes back after two delays."""

    async def scenario() -> tuple[int, float]:
        _, one = _pair()
        answer = await one.call(_TWO, _Ping(1), 1)
        return answer.number, asyncio.get_running_loop().time()

    number, seconds = virtual.run(scenario())
    assert number == 2
    assert seconds == pytest.approx(0.001)


def test_one_way_partition_times_out() -> None:
    """A partition looks like a slow answer to the caller."""

    async def scenario() -> None:
        network, one = _pair()
        network.cut(_TWO, _ONE)
        await one.call(_TWO, _Ping(1), 1)

    with pytest.raises(errors.PeerTimeoutError):
        virtual.run(scenario())


def test_dead_host_is_unreachable() -> None:
    """A host that left refuses connections."""

    async def scenario() -> None:
        network, one = _pair()
        network.leave(_TWO)
        await one.call(_TWO, _Ping(1), 1)

    with pytest.raises(errors.UnreachableError):
        virtual.run(scenario())


def test_repeats_and_a_replaced_host() -> None:
    """A message may arrive twice; a replaced host's answer is lost."""

    async def scenario() -> list[int]:
        network, one = _pair()
        network.repeats = 1
        received: list[int] = []

        async def record_ping(_sender: ids.HostId, ping: _Ping) -> _Ping:
            received.append(ping.number)
            await asyncio.sleep(0.1)
            return ping

        address = ids.Address('127.0.0.1', 2)
        network.join(_TWO, address).handle(_Ping, record_ping)
        waiting = asyncio.create_task(one.call(_TWO, _Ping(1), 1))
        await asyncio.sleep(0.05)
        network.join(_TWO, address)
        with pytest.raises(errors.PeerTimeoutError):
            await waiting
        return received

    assert virtual.run(scenario()) == [1, 1]
