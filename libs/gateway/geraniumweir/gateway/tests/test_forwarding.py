"""Responses to callers when servers fail, one kind of failure per test."""

import asyncio
import typing

import aiohttp
import multidict
import pytest
from geraniumweir.gateway.tests import testbed
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests

_HEAD = {'Id': 'r1'}
_Head = multidict.CIMultiDict[str]
_STREAM = {'kind': tables.Kind.stream, 'attempts': 1}
_RESUMABLE = {'kind': tables.Kind.stream, 'attempts': 2, 'resumable': True}


def _streams(
    numbers: typing.Iterable[int],
    *,
    complete: bool,
    tail: bytes = b'',
) -> testbed.Behavior:
    """Return a behavior that streams events and may truncate the stream."""

    async def behavior(
        _server: testbed.Server,
        asked_id: str,
        _head: _Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(testbed.stream_head(asked_id))
        for number in numbers:
            writer.write(testbed.chunk(testbed.event(number)))
        if tail:
            writer.write(testbed.chunk(tail))
        if complete:
            writer.write(testbed.chunk(b''))
        await writer.drain()
        if not complete:
            writer.close()

    return behavior


async def _get(running: testbed.Testbed) -> tuple[int, bytes]:
    async with running.client.get(running.url, headers=_HEAD) as resp:
        return resp.status, await resp.read()


def _send_request(
    *behaviours: testbed.Behavior,
    **changes: typing.Any,
) -> tuple[int, bytes, list[requests.Outcome], list[int]]:
    """Return the result of one request to servers granted in turn."""

    async def scenario() -> tuple[
        int, bytes, list[requests.Outcome], list[int]
    ]:
        servers = [testbed.Server(behavior) for behavior in behaviours]
        async with testbed.running(*servers, **changes) as running:
            status, body = await _get(running)
            seen = [len(server.seen) for server in servers]
            return status, body, running.scheduler.released, seen

    return asyncio.run(scenario())


def test_complete_response_is_forwarded_unchanged() -> None:
    """Status and body are those of the server."""
    status, body, _, _ = _send_request(testbed.answers(b'hello', '201 Created'))
    assert (status, body) == (201, b'hello')


@pytest.mark.parametrize(
    'invalid',
    [
        testbed.answers(b'hello', extra=''),
        testbed.answers(b'hello', request_id='another'),
        testbed.answers(
            b'hello', extra='Signed: yes\r\nContent-Encoding: gzip\r\n'
        ),
        testbed.answers(b'hello', '503 Unavailable'),
    ],
    ids=['unsigned', 'foreign', 'encoded', '503 without not-run'],
)
def test_invalid_response_is_never_forwarded(invalid: testbed.Behavior) -> None:
    """An idempotent request is retried on another server, others get 502."""
    assert _send_request(invalid, testbed.answers(b'good'))[:2] == (
        200,
        b'good',
    )
    once = {'kind': tables.Kind.once, 'attempts': 1}
    status, _, _, seen = _send_request(
        invalid, testbed.answers(b'good'), **once
    )
    assert (status, seen) == (502, [1, 0])


def test_application_failure_is_retried_once() -> None:
    """One in seven responses of a plain service is such a failure."""
    failing = testbed.answers(b'failed', '500 Failed')
    assert _send_request(failing, testbed.answers(b'good'))[:2] == (
        200,
        b'good',
    )
    status, body, _, seen = _send_request(failing, failing)
    assert (status, body, seen) == (500, b'failed', [1, 1])


def test_rejected_request_is_retried_even_if_it_is_not_idempotent() -> None:
    """The server states that it did not run the request."""
    full = testbed.answers(b'', '503 Full', 'Not-Run: yes\r\n')
    once = {'kind': tables.Kind.once, 'attempts': 1}
    status, body, released, _ = _send_request(
        full, testbed.answers(b'good'), **once
    )
    assert (status, body) == (200, b'good')
    assert released[0] is requests.Outcome.turned_away


@pytest.mark.parametrize(
    'turned_down',
    [
        testbed.answers(b'', '503 Full', extra='Not-Run: 1\r\n'),
        testbed.answers(b'', '500 Failed'),
    ],
    ids=['rejected', 'failed'],
)
def test_rejection_is_not_reported_as_the_begin_of_a_stream(
    turned_down: testbed.Behavior,
) -> None:
    """It would show that parts of the prompt crash no server."""

    async def scenario() -> list[float | None]:
        servers = [testbed.Server(turned_down)]
        async with testbed.running(*servers, **_STREAM) as running:
            await _get(running)
            return running.scheduler.first_tokens

    assert set(asyncio.run(scenario())) == {None}


def test_wrong_server_is_reported_to_the_scheduler() -> None:
    """Another incarnation of a server has the address."""
    wrong = testbed.answers(b'', '421 Misdirected', 'Not-Run: yes\r\n')
    released = _send_request(wrong, testbed.answers(b'good'))[2]
    assert released[0] is requests.Outcome.wrong_server


def test_stream_is_forwarded() -> None:
    """All events and the end of the stream reach the caller."""
    status, body, _, _ = _send_request(
        _streams((1, 2, 3), complete=True), **_STREAM
    )
    assert status == 200
    assert body == b''.join(map(testbed.event, (1, 2, 3)))


@pytest.mark.parametrize(
    'incomplete',
    [
        _streams((1, 2), complete=False),
        _streams((1, 2), complete=True, tail=b'id: 3\nda'),
    ],
    ids=['truncated', 'truncated within an event'],
)
def test_truncated_stream_never_looks_complete(
    incomplete: testbed.Behavior,
) -> None:
    """The connection is closed before the end of the response."""
    with pytest.raises(aiohttp.ClientPayloadError):
        _send_request(incomplete, **_STREAM)


@pytest.mark.parametrize('numbers', [(1, 3), (1, 1)], ids=['gap', 'twice'])
def test_events_out_of_sequence_are_refused(
    numbers: tuple[int, ...],
) -> None:
    """Nothing was sent to the caller yet, so it gets a status."""
    assert _send_request(_streams(numbers, complete=True), **_STREAM)[0] == 502


def test_resumable_stream_resumes_on_another_server() -> None:
    """It resumes after the last complete event, within one response."""
    truncated = _streams((1, 2), complete=False, tail=b'id: 3\nda')
    resumed = _streams((3, 4), complete=True)
    body = _send_request(truncated, resumed, **_RESUMABLE)[1]
    assert body == b''.join(map(testbed.event, (1, 2, 3, 4)))


async def _one_event(
    _server: testbed.Server,
    asked_id: str,
    _head: _Head,
    writer: asyncio.StreamWriter,
) -> None:
    """Send one event and then nothing."""
    writer.write(testbed.stream_head(asked_id))
    writer.write(testbed.chunk(testbed.event(1)))


async def _close_after_first_event() -> list[requests.Outcome]:
    """Return the outcomes when the caller closes after the first event."""
    server = testbed.Server(_one_event)
    async with testbed.running(server, **_STREAM) as running:
        async with running.client.get(running.url, headers=_HEAD) as resp:
            await resp.content.readany()
            resp.close()
        async with asyncio.timeout(5):
            await server.disconnected.wait()
        return running.scheduler.released


def test_dispatch_is_cancelled_when_the_caller_disconnects() -> None:
    """The connection to the server is closed at once."""

    assert asyncio.run(_close_after_first_event()) == [
        requests.Outcome.cancelled
    ]


async def _hang(*_args: typing.Any) -> None:
    """Send no response."""


def test_request_at_a_server_gets_no_guarantee_at_its_timeout() -> None:
    """It gets 504 instead of 503, because the server may have run it."""
    assert _send_request(_hang, timeout=0.2)[0] == 504


def test_idle_connections_are_closed_when_the_host_drains() -> None:
    """A later request on such a connection would never be answered."""

    async def scenario() -> None:
        server = testbed.Server(testbed.answers(b'good'))
        async with testbed.running(server) as running:
            assert (await _get(running))[0] == 200
            running.caller_server.traffic.closing = True
            running.caller_server.close_idle()
            async with asyncio.timeout(5):
                while running.client.connector and _open(running.client):
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())


def _open(session: aiohttp.ClientSession) -> bool:
    conns = session.connector._conns.values()
    return any(proto.is_connected() for held in conns for proto, _ in held)


_LIMIT = 'Signed: yes\r\nLimit: 2\r\n'


@pytest.mark.parametrize(
    ('behavior', 'limits'),
    [
        (testbed.answers(b'whole', extra=_LIMIT), [2]),
        (testbed.answers(b'', '500 Failed', extra=_LIMIT), [2, 2]),
        (
            testbed.answers(
                b'', '503 Full', extra='Not-Run: 1\r\nLimit: 2\r\n'
            ),
            [2, 2, 2],
        ),
        (testbed.answers(b'whole', extra=_LIMIT, request_id='foreign'), []),
        (testbed.answers(b'whole', extra=f'{_LIMIT}Unread: much\r\n'), []),
    ],
    ids=['response', 'failure', 'rejection', 'foreign', 'unreadable'],
)
def test_rate_limit_is_read_from_every_response_of_the_server(
    behavior: testbed.Behavior,
    limits: list[float],
) -> None:
    """A response to another request states nothing about this server."""

    async def scenario() -> None:
        async with testbed.running(testbed.Server(behavior)) as running:
            await _get(running)
            assert list(running.server_notices.limits().values()) == limits

    asyncio.run(scenario())


def test_rate_limit_is_read_from_the_head_of_a_stream() -> None:
    """The stream may last long, so its end would be too late."""
    is_received = asyncio.Event()

    async def behavior(
        _server: testbed.Server,
        asked_id: str,
        _head: _Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = testbed.stream_head(asked_id).replace(
            b'Signed', b'Limit: 2\r\nSigned'
        )
        writer.write(head)
        await is_received.wait()
        writer.write(testbed.chunk(testbed.event(1)))
        writer.write(testbed.chunk(b''))

    async def scenario() -> None:
        async with testbed.running(
            testbed.Server(behavior), **_STREAM
        ) as running:
            running.server_notices.changes.subscribe(
                lambda _: is_received.set()
            )
            async with asyncio.timeout(5):
                status, _body = await _get(running)
            assert status == 200

    asyncio.run(scenario())


_LEAVING = 'Signed: yes\r\nLeaving: 1\r\n'


@pytest.mark.parametrize(
    'behavior',
    [
        testbed.answers(b'whole', extra=_LEAVING),
        testbed.answers(b'', '500 Failed', extra=_LEAVING),
        testbed.answers(b'', '503 Full', extra='Not-Run: 1\r\nLeaving: 1\r\n'),
    ],
    ids=['response', 'failure', 'rejection'],
)
def test_grant_of_a_server_that_is_leaving_is_not_used(
    behavior: testbed.Behavior,
) -> None:
    """The request loses neither an attempt nor a retry by it."""

    async def scenario() -> None:
        leaves = testbed.Server(behavior)
        stays = testbed.Server(testbed.answers(b'good'))
        async with testbed.running(leaves, stays, attempts=1) as running:
            running.scheduler.server_ids = {1: 'leaves', 3: 'leaves'}
            await _get(running)
            running.scheduler.grant_count = 2
            running.scheduler.released.clear()
            assert await _get(running) == (200, b'good')
            assert leaves.seen == ['r1']
            assert running.scheduler.released == [
                requests.Outcome.given_up,
                requests.Outcome.done,
            ]

    asyncio.run(scenario())


def test_grant_of_a_server_that_requested_a_pause_is_not_used() -> None:
    """Neither for the next request nor for the one that it rejected."""

    async def scenario() -> None:
        full = 'Not-Run: 1\r\nPause: 0.5\r\n'
        pausing = testbed.Server(testbed.answers(b'', '503 Full', extra=full))
        other = testbed.Server(testbed.answers(b'good'))
        async with testbed.running(pausing, other) as running:
            running.scheduler.server_ids = {
                1: 'pausing',
                3: 'pausing',
                5: 'pausing',
            }
            assert await _get(running) == (200, b'good')
            assert await _get(running) == (200, b'good')
            assert pausing.seen == ['r1']
            await asyncio.sleep(0.5)
            await _get(running)
            assert pausing.seen == ['r1', 'r1']
            assert running.scheduler.released[:4] == [
                requests.Outcome.turned_away,
                requests.Outcome.done,
                requests.Outcome.given_up,
                requests.Outcome.done,
            ]

    asyncio.run(scenario())


def test_stream_of_a_leaving_server_is_completed() -> None:
    """A leaving server completes its requests, so they are not aborted."""

    async def behavior(
        _server: testbed.Server,
        asked_id: str,
        _head: _Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = testbed.stream_head(asked_id).replace(
            b'Signed', b'Leaving: 1\r\nSigned'
        )
        writer.write(head)
        for number in (1, 2, 3):
            writer.write(testbed.chunk(testbed.event(number)))
            await asyncio.sleep(0.02)
        writer.write(testbed.chunk(b''))

    status, body, released, _ = _send_request(behavior, **_STREAM)
    assert status == 200
    assert body == b''.join(map(testbed.event, (1, 2, 3)))
    assert released == [requests.Outcome.done]


def test_begun_stream_is_not_refused_as_one_without_a_first_event() -> None:
    """Its caller waits for the next event as long as for a first one."""

    async def scenario() -> None:
        broken = testbed.Server(_streams((1,), complete=False))
        good = testbed.Server(_streams((2, 3), complete=True))
        changes = {**_RESUMABLE, 'target': 0.1, 'patience': 0.2}
        async with testbed.running(broken, good, **changes) as running:
            started = asyncio.get_running_loop().time()
            await _get(running)
            first, second = running.scheduler.asked
            assert started + 0.2 < first.patience < second.patience
            assert first.target < second.target

    asyncio.run(scenario())
