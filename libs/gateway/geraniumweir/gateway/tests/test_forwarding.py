"""What a caller gets when servers fail, one failure a test."""

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
    whole: bool,
    tail: bytes = b'',
) -> testbed.Behavior:
    """Behave by streaming events; a stream that isn't whole is cut."""

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
        if whole:
            writer.write(testbed.chunk(b''))
        await writer.drain()
        if not whole:
            writer.close()

    return behavior


async def _get(running: testbed.Testbed) -> tuple[int, bytes]:
    async with running.client.get(running.url, headers=_HEAD) as resp:
        return resp.status, await resp.read()


def _play(
    *behaviours: testbed.Behavior,
    **changes: typing.Any,
) -> tuple[int, bytes, list[requests.Outcome], list[int]]:
    """Send one request to servers that behave so, granted in turn."""

    async def work() -> tuple[int, bytes, list[requests.Outcome], list[int]]:
        servers = [testbed.Server(behavior) for behavior in behaviours]
        async with testbed.running(*servers, **changes) as running:
            status, body = await _get(running)
            seen = [len(server.seen) for server in servers]
            return status, body, running.scheduler.released, seen

    return asyncio.run(work())


def test_whole_answer_is_given_as_it_is() -> None:
    """Status and body are the server's."""
    status, body, _, _ = _play(testbed.answers(b'hello', '201 Created'))
    assert (status, body) == (201, b'hello')


@pytest.mark.parametrize(
    'broken',
    [
        testbed.answers(b'hello', extra=''),
        testbed.answers(b'hello', request_id='another'),
        testbed.answers(
            b'hello', extra='Signed: yes\r\nContent-Encoding: gzip\r\n'
        ),
        testbed.answers(b'hello', '503 Unavailable'),
    ],
    ids=['unsigned', 'foreign', 'encoded', 'promise without a word'],
)
def test_bad_answer_is_never_given(broken: testbed.Behavior) -> None:
    """What may run again goes to another server, the rest is told as 502."""
    assert _play(broken, testbed.answers(b'good'))[:2] == (200, b'good')
    once = {'kind': tables.Kind.once, 'attempts': 1}
    status, _, _, seen = _play(broken, testbed.answers(b'good'), **once)
    assert (status, seen) == (502, [1, 0])


def test_failure_of_the_application_is_tried_once_more() -> None:
    """One in seven answers of a plain service is such a failure."""
    failing = testbed.answers(b'failed', '500 Failed')
    assert _play(failing, testbed.answers(b'good'))[:2] == (200, b'good')
    status, body, _, seen = _play(failing, failing)
    assert (status, body, seen) == (500, b'failed', [1, 1])


def test_rejected_request_goes_elsewhere_even_if_it_may_run_once() -> None:
    """The server says that it didn't run it."""
    full = testbed.answers(b'', '503 Full', 'Not-Run: yes\r\n')
    once = {'kind': tables.Kind.once, 'attempts': 1}
    status, body, released, _ = _play(full, testbed.answers(b'good'), **once)
    assert (status, body) == (200, b'good')
    assert released[0] is requests.Outcome.turned_away


def test_wrong_server_is_told_to_the_coordinator() -> None:
    """Another run of a server has taken the address."""
    wrong = testbed.answers(b'', '421 Misdirected', 'Not-Run: yes\r\n')
    released = _play(wrong, testbed.answers(b'good'))[2]
    assert released[0] is requests.Outcome.wrong_server


def test_stream_is_passed_on() -> None:
    """Event by event, with its end."""
    status, body, _, _ = _play(_streams((1, 2, 3), whole=True), **_STREAM)
    assert status == 200
    assert body == b''.join(map(testbed.event, (1, 2, 3)))


@pytest.mark.parametrize(
    'broken',
    [
        _streams((1, 2), whole=False),
        _streams((1, 2), whole=True, tail=b'id: 3\nda'),
    ],
    ids=['cut', 'cut within an event'],
)
def test_broken_stream_never_looks_whole(broken: testbed.Behavior) -> None:
    """Its connection ends before the end of the answer."""
    with pytest.raises(aiohttp.ClientPayloadError):
        _play(broken, **_STREAM)


@pytest.mark.parametrize('numbers', [(1, 3), (1, 1)], ids=['gap', 'twice'])
def test_events_that_do_not_follow_are_no_answer(
    numbers: tuple[int, ...],
) -> None:
    """Nothing was given yet, so the caller is told."""
    assert _play(_streams(numbers, whole=True), **_STREAM)[0] == 502


def test_resumable_stream_goes_on_at_another_server() -> None:
    """Behind the last whole event, within one answer."""
    cut = _streams((1, 2), whole=False, tail=b'id: 3\nda')
    goes_on = _streams((3, 4), whole=True)
    body = _play(cut, goes_on, **_RESUMABLE)[1]
    assert body == b''.join(map(testbed.event, (1, 2, 3, 4)))


async def _one_event(
    _server: testbed.Server,
    asked_id: str,
    _head: _Head,
    writer: asyncio.StreamWriter,
) -> None:
    """Behave by hanging behind the first event."""
    writer.write(testbed.stream_head(asked_id))
    writer.write(testbed.chunk(testbed.event(1)))


async def _left() -> list[requests.Outcome]:
    """Leave behind the first event; give how the dispatch ended."""
    server = testbed.Server(_one_event)
    async with testbed.running(server, **_STREAM) as running:
        async with running.client.get(running.url, headers=_HEAD) as resp:
            await resp.content.readany()
            resp.close()
        async with asyncio.timeout(5):
            await server.gone.wait()
        return running.scheduler.released


def test_work_ends_when_the_caller_leaves() -> None:
    """The server's connection is closed at once."""

    assert asyncio.run(_left()) == [requests.Outcome.cancelled]


async def _hang(*_args: typing.Any) -> None:
    """Behave by answering nothing."""


def test_overdue_request_is_answered_at_its_timeout() -> None:
    """504: a server has it, so nothing can be promised."""
    assert _play(_hang, timeout=0.2)[0] == 504


def test_idle_connections_end_when_the_host_drains() -> None:
    """A request that is sent later finds the connection closed."""

    async def work() -> None:
        server = testbed.Server(testbed.answers(b'good'))
        async with testbed.running(server) as running:
            assert (await _get(running))[0] == 200
            running.caller_server.traffic.closing = True
            running.caller_server.close_idle()
            async with asyncio.timeout(5):
                while running.client.connector and _open(running.client):
                    await asyncio.sleep(0.01)

    asyncio.run(work())


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
    ids=['answer', 'failure', 'refusal', 'foreign', 'unreadable'],
)
def test_limit_is_heard_from_every_answer_of_the_server(
    behavior: testbed.Behavior,
    limits: list[float],
) -> None:
    """One that belongs to another request says nothing of this server."""

    async def work() -> None:
        async with testbed.running(testbed.Server(behavior)) as running:
            await _get(running)
            assert list(running.server_notices.limits().values()) == limits

    asyncio.run(work())


def test_limit_is_heard_from_the_head_of_a_stream() -> None:
    """The stream may go on for long."""
    is_heard = asyncio.Event()

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
        await is_heard.wait()
        writer.write(testbed.chunk(testbed.event(1)))
        writer.write(testbed.chunk(b''))

    async def work() -> None:
        async with testbed.running(
            testbed.Server(behavior), **_STREAM
        ) as running:
            running.server_notices.changes.subscribe(lambda _: is_heard.set())
            async with asyncio.timeout(5):
                status, _body = await _get(running)
            assert status == 200

    asyncio.run(work())


_LEAVING = 'Signed: yes\r\nLeaving: 1\r\n'


@pytest.mark.parametrize(
    'behavior',
    [
        testbed.answers(b'whole', extra=_LEAVING),
        testbed.answers(b'', '500 Failed', extra=_LEAVING),
        testbed.answers(b'', '503 Full', extra='Not-Run: 1\r\nLeaving: 1\r\n'),
    ],
    ids=['answer', 'failure', 'refusal'],
)
def test_grant_of_a_server_that_said_that_it_leaves_is_given_back(
    behavior: testbed.Behavior,
) -> None:
    """It costs the request neither an attempt nor a repeat."""

    async def work() -> None:
        leaves = testbed.Server(behavior)
        stays = testbed.Server(testbed.answers(b'good'))
        async with testbed.running(leaves, stays, attempts=1) as running:
            running.scheduler.server_ids = {1: 'leaves', 3: 'leaves'}
            await _get(running)
            running.scheduler.turn = 2
            running.scheduler.released.clear()
            assert await _get(running) == (200, b'good')
            assert leaves.seen == ['r1']
            assert running.scheduler.released == [
                requests.Outcome.given_up,
                requests.Outcome.done,
            ]

    asyncio.run(work())


def test_grant_of_a_server_that_asked_for_a_pause_is_given_back() -> None:
    """Also the next one for the request that it turned away."""

    async def work() -> None:
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

    asyncio.run(work())


def test_stream_of_a_server_that_leaves_goes_on_to_its_end() -> None:
    """It finishes what it has."""

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

    status, body, released, _ = _play(behavior, **_STREAM)
    assert status == 200
    assert body == b''.join(map(testbed.event, (1, 2, 3)))
    assert released == [requests.Outcome.done]
