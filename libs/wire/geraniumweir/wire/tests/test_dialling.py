"""Tests of connecting when the first SYN packets are lost."""

import asyncio
import typing

import pytest
from geraniumweir.common import ids
from geraniumweir.wire import tcp

_ANY = ids.Address('127.0.0.1', 0)
_LOST_CONNECTS = 2


def test_lost_syn_is_retried_before_the_kernel_would(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel would retransmit it only after a second."""
    attempts = 0
    real_open_connection = asyncio.open_connection

    async def connect(host: str, port: int) -> typing.Any:
        nonlocal attempts
        attempts += 1
        if attempts <= _LOST_CONNECTS:
            await asyncio.sleep(60)
        return await real_open_connection(host, port)

    async def scenario() -> None:
        one = tcp.TcpPeers(ids.HostId('one'), _ANY)
        two = tcp.TcpPeers(ids.HostId('two'), _ANY)
        await one.start()
        await two.start()
        monkeypatch.setattr(asyncio, 'open_connection', connect)
        assert await one.introduce(two.address) == two.host_id
        await one.close()
        await two.close()

    asyncio.run(scenario())
    assert attempts == _LOST_CONNECTS + 1
