"""What was refused never ran, whatever servers and deadlines do meanwhile."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import socket
import struct
import time
import typing

import multidict
import pytest
from geraniumweir.backends import calls, errors
from geraniumweir.common import ids
from geraniumweir.gateway.tests import local_sockets, test_relaying, testbed
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests

_ONCE: dict[str, typing.Any] = {'kind': tables.Kind.once, 'attempts': 2}
_NOT_RUN = 'Not-Run: yes\r\n'
_RESET = struct.pack('ii', 1, 0)
# Statuses that promise that a request did not run.
_PROMISES = frozenset((408, 421, 429, 503))
_REQUESTS = 60
_AT_ONCE = 4
_SERVERS = 2
# What servers do late is done within this time, in seconds.
_LATE_SECONDS = 0.15


@dataclasses.dataclass(slots=True)
class _Servers:
    """Behavior of servers that do anything that servers may do.

    :ivar runs: how often each request ran.
    """

    chance: random.Random
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    _copies: dict[typing.Any, bytes] = dataclasses.field(default_factory=dict)

    async def __call__(
        self,
        _server: testbed.Server,
        request_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        peer = writer.get_extra_info('peername')
        writer.write(self._copies.pop(peer, b''))
        if self._draws(0.2):
            # The server reads nothing for a moment.
            await asyncio.sleep(self._pause())
        answer = self._answer(request_id)
        if self._draws(0.15):
            await self._break_off(writer, answer)
            return
        await self._write(writer, answer)
        await self._repeat(writer, peer, answer)
        if self._draws(0.1):
            writer.close()

    def _draws(self, share: float) -> bool:
        return _draws(self.chance, share)

    def _pause(self) -> float:
        return self.chance.uniform(0, _LATE_SECONDS)

    def _answer(self, request_id: str) -> bytes:
        """Return an answer; count a run unless it is a rejection."""
        status = self.chance.choice(
            ('503 Full', '429 Busy', '421 Wrong', '503 Full', '', '', '', '')
        )
        if status:
            return testbed.answer(request_id, b'', status, _NOT_RUN)
        self.runs[request_id] += 1
        status = self.chance.choice(
            ('200 OK', '200 OK', '200 OK', '500 Bad', '503 Ran', '429 Ran')
        )
        return testbed.answer(request_id, request_id.encode(), status)

    async def _write(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        split = self.chance.randrange(len(answer))
        writer.write(answer[:split])
        if self._draws(0.2):
            await asyncio.sleep(self._pause())
        writer.write(answer[split:])

    async def _repeat(
        self, writer: asyncio.StreamWriter, peer: typing.Any, answer: bytes
    ) -> None:
        """Send an answer once more, now or before the next, maybe in part."""
        if self._draws(0.4):
            self._copies[peer] = answer
        elif self._draws(0.3):
            split = self.chance.choice((len(answer), len(answer) // 2))
            writer.write(answer[:split])
            self._copies[peer] = answer[split:]
        elif self._draws(0.1):
            await asyncio.sleep(0.01)
            writer.write(answer)

    async def _break_off(
        self, writer: asyncio.StreamWriter, answer: bytes
    ) -> None:
        writer.write(answer[: self.chance.randrange(len(answer))])
        if self._draws(0.5):
            await writer.drain()
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        writer.close()


def _draws(chance: random.Random, share: float) -> bool:
    return chance.random() < share


def _draw_delays(
    running: testbed.Testbed, chance: random.Random, gone: ids.Address
) -> None:
    """Let grants come late, and some name a server that is gone."""
    granting = running.scheduler.request_slot

    async def request_slot(
        slot_request: requests.SlotRequest,
    ) -> requests.Grant | requests.Denial:
        if _draws(chance, 0.3):
            await asyncio.sleep(chance.uniform(0, _LATE_SECONDS))
        if _draws(chance, 0.03):
            # The host is suspended as the grant comes.
            time.sleep(chance.uniform(0, _LATE_SECONDS))
        granted = await granting(slot_request)
        if isinstance(granted, requests.Grant) and _draws(chance, 0.1):
            return dataclasses.replace(granted, address=gone)
        return granted

    running.scheduler.request_slot = request_slot  # type: ignore[method-assign]


async def _get(
    running: testbed.Testbed, request_id: str, patience: float
) -> tuple[int, bytes]:
    headers = {'Id': request_id, 'Patience': f'{patience:.3f}'}
    async with running.client.get(running.url, headers=headers) as resp:
        return resp.status, await resp.read()


async def _play(
    seed: int, relayed: bool
) -> tuple[_Servers, dict[str, tuple[int, bytes]]]:
    """Return the servers and what the callers of all requests got."""
    chance = random.Random(seed)
    behavior = _Servers(chance)
    servers = [testbed.Server(behavior) for _ in range(_SERVERS)]
    got: dict[str, tuple[int, bytes]] = {}
    at_once = asyncio.Semaphore(_AT_ONCE)

    async def get(number: int) -> None:
        request_id = f'r{number}'
        patience = chance.choice((0.05, 0.1, 0.2, 2.0))
        async with at_once:
            got[request_id] = await _get(running, request_id, patience)

    async with contextlib.AsyncExitStack() as stack:
        running = await stack.enter_async_context(
            testbed.running(*servers, **_ONCE)
        )
        _draw_delays(
            running, chance, ids.Address('127.0.0.1', local_sockets.free_port())
        )
        if relayed:
            test_relaying.cut(running)
            # Each grant names its own number, whatever the server.
            relay = await stack.enter_async_context(
                test_relaying.run_relay(running, _REQUESTS * servers)
            )
            # A relay that lost answers would decline for a while.
            paths = relay._deps.paths
            paths.record_failure = lambda _: None  # type: ignore
        await asyncio.gather(*map(get, range(_REQUESTS)))
        # A request that was refused must not run later either.
        await asyncio.sleep(2 * _LATE_SECONDS)
    return behavior, got


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
@pytest.mark.parametrize('seed', range(12))
def test_what_was_refused_never_runs_and_nothing_runs_twice(
    seed: int, relayed: bool
) -> None:
    """A copy, a lost answer or a deadline was taken for "not run"."""
    behavior, got = asyncio.run(_play(seed, relayed))
    assert len(got) == _REQUESTS
    for request_id, (status, body) in got.items():
        ran = behavior.runs[request_id]
        assert ran <= 1, request_id
        assert not (status in _PROMISES and ran), (request_id, status)
        assert status != 200 or (ran and body == request_id.encode())
    statuses = collections.Counter(found[0] for found in got.values())
    assert statuses[200] and statuses[503], statuses


def test_connection_that_was_not_made_brings_no_request_later() -> None:
    """The kernel of a busy server takes connections up when it has room."""

    async def work() -> list[bytes]:
        with socket.socket() as listening:
            listening.bind(('127.0.0.1', 0))
            listening.listen(0)
            address = ids.Address(*listening.getsockname())
            _, first = await asyncio.open_connection(address.host, address.port)
            call = calls.Call('GET', '/', multidict.CIMultiDict({'Id': 'r1'}))
            async with calls.make_session(connect_seconds=0.2) as session:
                with pytest.raises(errors.NotSentError):
                    await calls.send(session, address, call)
            first.close()
            return await asyncio.to_thread(_accept_all, listening)

    received = asyncio.run(work())
    assert received
    assert not any(received)


def _accept_all(listening: socket.socket) -> list[bytes]:
    """Return what comes on all connections that the kernel has taken."""
    # Longer than a lost opening packet takes to be sent again.
    listening.settimeout(1.5)
    found = []
    with contextlib.suppress(TimeoutError):
        while True:
            conn, _ = listening.accept()
            with conn:
                found.append(conn.recv(4096))
    return found


def test_server_that_reads_after_the_deadline_may_run_the_request() -> None:
    """Its kernel has taken the connection and the request."""

    async def work() -> tuple[int, bytes]:
        with socket.socket() as listening:
            listening.bind(('127.0.0.1', 0))
            listening.listen(8)
            server = testbed.Server(testbed.answers(b''))
            async with testbed.running(server, **_ONCE) as running:
                server.address = ids.Address(*listening.getsockname())
                status, _ = await _get(running, 'r1', 0.2)
            conn, _ = listening.accept()
            with conn:
                return status, conn.recv(4096)

    status, received = asyncio.run(work())
    assert b'Id: r1' in received
    assert status == 504
