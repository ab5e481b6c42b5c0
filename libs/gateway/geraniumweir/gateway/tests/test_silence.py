"""Servers that are silent for a moment, and requests that wait there."""

import asyncio
import socket
import typing

import multidict
import pytest
from geraniumweir.backends import sockets
from geraniumweir.common import ids
from geraniumweir.gateway.tests import testbed
from geraniumweir.routing import tables

_HEAD = {'Id': 'r1'}
# Sound servers may fall silent for a second or so.
_BORNE_SECONDS = 1.2


def _send_into_silence(
    is_reachable: bool,
    **changes: typing.Any,
) -> tuple[bytes, list[int]]:
    """Send a request to a server that is silent, then goes on.

    :param is_reachable: whether new connections to it can be made meanwhile.
    :returns: the response and the requests that each server got.
    """

    async def slow(
        _server: testbed.Server,
        asked_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(_BORNE_SECONDS)
        writer.write(testbed.answer(asked_id, b'slow'))

    async def probe(_address: ids.Address, _seconds: float) -> bool:
        return is_reachable

    async def scenario() -> tuple[bytes, list[int]]:
        servers = [
            testbed.Server(slow),
            testbed.Server(testbed.answers(b'other')),
        ]
        async with testbed.running(*servers, probe=probe, **changes) as running:
            async with running.client.get(running.url, headers=_HEAD) as resp:
                body = await resp.read()
            return body, [len(server.seen) for server in servers]

    return asyncio.run(scenario())


def test_request_that_may_run_once_waits_for_a_silent_server() -> None:
    """Its whole answer comes, where a lost request would be reported."""
    once = {'kind': tables.Kind.once, 'attempts': 1}
    assert _send_into_silence(False, **once) == (b'slow', [1, 0])


def test_request_that_may_run_again_does_not_wait_for_a_silent_server() -> None:
    """The server may have stopped for good."""
    assert _send_into_silence(False) == (b'other', [1, 1])


def test_slow_server_is_not_taken_for_a_silent_one() -> None:
    """It still takes new connections."""
    assert _send_into_silence(True) == (b'slow', [1, 0])


@pytest.mark.parametrize('sent', [True, False], ids=['sent', 'quiet'])
def test_connections_to_servers_bear_a_second_of_silence(sent: bool) -> None:
    """By the kernel's rules, with a request on its way or without one."""
    options = {
        (level, option): number
        for level, option, number in sockets.SIGNS_OF_LIFE
    }
    tcp = socket.IPPROTO_TCP
    lost_after = options[tcp, socket.TCP_USER_TIMEOUT] / 1000
    if not sent:
        idle = options[tcp, socket.TCP_KEEPIDLE]
        interval = options[tcp, socket.TCP_KEEPINTVL]
        # The second unanswered probe, or a later one.
        lost_after = max(lost_after, idle + interval)
    assert lost_after > _BORNE_SECONDS
