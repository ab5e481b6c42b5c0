"""Requests of an entry host that reaches no server, sent by another host."""

import asyncio
import contextlib
import typing

import aiohttp
import multidict
import pytest
from geraniumweir.backends import calls, sockets
from geraniumweir.common import ids, timers
from geraniumweir.control import enrolments
from geraniumweir.gateway import (
    listening,
    relay_server,
    server_paths,
)
from geraniumweir.gateway.tests import local_sockets, testbed
from geraniumweir.observe import metrics
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests

_HEAD = {'Id': 'r1'}
_LOCAL = '127.0.0.1'
_ONCE: dict[str, typing.Any] = {'kind': tables.Kind.once, 'attempts': 1}
_STREAM: dict[str, typing.Any] = {'kind': tables.Kind.stream, 'attempts': 1}
_GRANTS = 4
_Behavior = testbed.Behavior


@contextlib.asynccontextmanager
async def run_relay(
    running: testbed.Testbed,
    servers: list[testbed.Server],
) -> typing.AsyncIterator[relay_server.RelayServer]:
    """Run a relay that reaches the servers, and assign it to the host."""
    # Servers are granted in turn, and a grant names its number.
    by_id = {
        ids.ServerId(f's{number}'): _enrolment(server)
        for number, server in enumerate(servers * _GRANTS, 1)
    }
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(calls.make_session())
        relay = relay_server.RelayServer(
            relay_server.Dependencies(
                session,
                running.shared.codec,
                by_id.get,
                server_paths.ServerPaths(
                    timers.TimerService(), sockets.probe, list
                ),
                running.shared.check,
                running.shared.server_notices,
                metrics.Metrics(),
            ),
        )
        address = ids.Address(_LOCAL, local_sockets.free_port())
        runner = listening.make_runner(relay.server())
        await listening.listen(stack, runner, address)
        running.relays.append(address)
        yield relay


def _enrolment(server: testbed.Server) -> enrolments.Enrolment:
    return enrolments.Enrolment(
        ids.ServerId('server'),
        testbed.POOL,
        server.address,
        ids.FailureDomain('x'),
        slots=1,
        sequence=1,
    )


def cut(running: testbed.Testbed) -> None:
    """Let the host take all its paths to servers for broken."""
    for port in (1, 2):
        running.paths.record_failure(ids.Address(_LOCAL, port))
    assert running.paths.is_cut


def get_from(
    *behaviors: testbed.Behavior,
    relayed: bool = False,
    **route: typing.Any,
) -> testbed.Got:
    """Return what a caller gets of servers that behave so, in turn.

    :param relayed: whether the host reaches them through a relay only.
    """
    servers = list(map(testbed.Server, behaviors))
    return get_from_servers(servers, relayed=relayed, **route)


def get_from_servers(
    servers: list[testbed.Server],
    *,
    relayed: bool,
    content: bytes = b'',
    **route: typing.Any,
) -> testbed.Got:
    """Return what a caller gets of servers that are granted in turn.

    :param relayed: whether the host reaches them through a relay only.
    :param content: body of the request.
    """

    async def work() -> testbed.Got:
        async with contextlib.AsyncExitStack() as stack:
            running = await stack.enter_async_context(
                testbed.running(*servers, **route)
            )
            if relayed:
                cut(running)
                await stack.enter_async_context(run_relay(running, servers))
            return await testbed.get(running, content)

    return asyncio.run(work())


async def _get(running: testbed.Testbed) -> tuple[int, bytes]:
    async with running.client.get(running.url, headers=_HEAD) as resp:
        return resp.status, await resp.read()


def _send_by_relay(
    *behaviors: _Behavior,
    **changes: typing.Any,
) -> tuple[int, bytes, list[requests.Outcome]]:
    """Return what becomes of a request of a host that is cut off."""

    async def scenario() -> tuple[int, bytes, list[requests.Outcome]]:
        servers = [testbed.Server(behavior) for behavior in behaviors]
        async with testbed.running(*servers, **changes) as running:
            cut(running)
            async with run_relay(running, servers):
                status, body = await _get(running)
            return status, body, running.scheduler.released

    return asyncio.run(scenario())


def _sends(
    content: bytes,
    *,
    closes: bool = False,
) -> _Behavior:
    """Return a behavior that sends bytes after a streaming head."""

    async def behavior(
        _server: testbed.Server,
        asked_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(testbed.stream_head(asked_id) + content)
        await writer.drain()
        if closes:
            writer.close()

    return behavior


_EVENTS = b''.join(map(testbed.event, (1, 2, 3)))
_CHUNKS = b''.join(testbed.chunk(testbed.event(one)) for one in (1, 2, 3))


def test_whole_answer_comes_through_a_relay() -> None:
    """Status, body and outcome are as without one."""
    found = _send_by_relay(testbed.answers(b'hello', '201 Created'), **_ONCE)
    assert found == (201, b'hello', [requests.Outcome.done])


def test_stream_comes_through_a_relay() -> None:
    """Event by event, up to its end."""
    whole = _sends(_CHUNKS + testbed.chunk(b''))
    assert _send_by_relay(whole, **_STREAM)[:2] == (200, _EVENTS)


def test_stream_that_breaks_off_behind_a_relay_does_not_look_complete() -> None:
    """The caller's connection breaks off too."""
    with pytest.raises(aiohttp.ClientPayloadError):
        _send_by_relay(_sends(_CHUNKS, closes=True), **_STREAM)


def test_request_lost_behind_a_relay_may_have_run() -> None:
    """It isn't sent again, and the caller isn't told that it did not run."""

    async def breaks(
        _server: testbed.Server,
        _asked_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.close()

    status, _, released = _send_by_relay(
        breaks, testbed.answers(b'good'), **_ONCE
    )
    assert (status, released) == (502, [requests.Outcome.failed])


def test_request_that_a_relay_can_not_send_is_tried_by_the_next() -> None:
    """A relay that drains, or is cut off too, has not sent it."""

    async def scenario() -> tuple[int, int]:
        server = testbed.Server(testbed.answers(b'good'))
        async with testbed.running(server, **_ONCE) as running:
            cut(running)
            async with (
                run_relay(running, [server]) as draining,
                run_relay(running, []),
                run_relay(running, [server]),
            ):
                draining.closing = True
                status, _ = await _get(running)
        return status, len(server.seen)

    assert asyncio.run(scenario()) == (200, 1)


def test_cut_off_host_without_relays_blames_no_server() -> None:
    """All servers would rest for what is the fault of one host."""

    async def scenario() -> tuple[int, set[requests.Outcome]]:
        servers = [testbed.Server(testbed.answers(b'good')) for _ in range(3)]
        async with testbed.running(*servers) as running:
            cut(running)
            running.relays.append(
                ids.Address(_LOCAL, local_sockets.free_port())
            )
            status, _ = await _get(running)
            return status, set(running.scheduler.released)

    found = asyncio.run(scenario())
    assert found == (503, {requests.Outcome.given_up})


def test_server_that_a_relay_does_not_reach_either_is_blamed() -> None:
    """Two hosts that fail to connect show a fault of the server."""

    async def scenario() -> list[requests.Outcome]:
        gone = testbed.Server(testbed.answers(b''))
        good = testbed.Server(testbed.answers(b'good'))
        async with testbed.running(gone, good) as running:
            gone.address = ids.Address(_LOCAL, local_sockets.free_port())
            async with run_relay(running, [gone, good]):
                assert await _get(running) == (200, b'good')
            return running.scheduler.released

    found = asyncio.run(scenario())
    assert found == [requests.Outcome.not_sent, requests.Outcome.done]


def test_relay_in_doubt_looks_before_it_blames_a_server() -> None:
    """The server may have started again since the relay failed to reach it."""

    async def scenario() -> tuple[int, bytes]:
        server = testbed.Server(testbed.answers(b'good'))
        async with (
            testbed.running(server, **_ONCE) as running,
            run_relay(running, [server]) as relay,
        ):
            cut(running)
            relay._deps.paths.record_failure(server.address)
            return await _get(running)

    assert asyncio.run(scenario()) == (200, b'good')


def test_caller_that_leaves_ends_the_request_behind_a_relay() -> None:
    """The server's connection closes, and nothing stays open at the relay."""

    async def never_answers(*_: typing.Any) -> None:
        """Leave the request open."""

    async def scenario() -> None:
        server = testbed.Server(never_answers)
        async with (
            testbed.running(server, **_ONCE) as running,
            run_relay(running, [server]) as relay,
            asyncio.timeout(5),
        ):
            cut(running)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(_get(running), 0.3)
            await server.disconnected.wait()
            while relay.open:
                await asyncio.sleep(0.01)
            assert server.seen

    asyncio.run(scenario())


def test_path_that_works_again_is_used_again() -> None:
    """A new connection to any server shows it, without a request."""

    async def scenario() -> None:
        server = testbed.Server(testbed.answers(b'good'))
        async with testbed.running(server) as running:
            running.paths.record_failure(server.address)
            running.paths.record_failure(ids.Address(_LOCAL, 1))
            probing = asyncio.create_task(running.paths.run())
            async with asyncio.timeout(5):
                while running.paths.is_doubtful(server.address):
                    await asyncio.sleep(0.01)
            probing.cancel()
            assert not server.seen

    asyncio.run(scenario())
