"""Requests that move from servers of an old version to others."""

import asyncio
import typing

import multidict
import pytest
from geraniumweir.common import ids
from geraniumweir.gateway import preemption
from geraniumweir.gateway.tests import testbed
from geraniumweir.rollout import controller, orders, schedule
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests

_HEAD = {'Id': 'r1'}
_Head = multidict.CIMultiDict[str]
_RESUMABLE = {'kind': tables.Kind.stream, 'attempts': 2, 'resumable': True}
_ONCE_STREAM = {'kind': tables.Kind.stream, 'attempts': 1}


class _Stuck:
    """Behavior of a server that stops in the middle of its response.

    :ivar sent: is set when it has sent what it sends.
    """

    def __init__(self, *parts: typing.Callable[[str], bytes]) -> None:
        self.sent = asyncio.Event()
        self._parts = parts

    async def __call__(
        self,
        _server: testbed.Server,
        asked_id: str,
        _head: _Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        for part in self._parts:
            writer.write(part(asked_id))
        await writer.drain()
        self.sent.set()


def _event(number: int) -> typing.Callable[[str], bytes]:
    return lambda _id: testbed.chunk(testbed.event(number))


def _resumes(
    _server: testbed.Server,
    asked_id: str,
    head: _Head,
    writer: asyncio.StreamWriter,
) -> typing.Awaitable[None]:
    first = int(head.get('Last-Event-Id', '0')) + 1
    writer.write(testbed.stream_head(asked_id))
    for number in range(first, 5):
        writer.write(testbed.chunk(testbed.event(number)))
    writer.write(testbed.chunk(b''))
    return writer.drain()


async def _respond(
    _server: testbed.Server,
    asked_id: str,
    _head: _Head,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(testbed.answer(asked_id, b'good'))


async def _get(running: testbed.Testbed) -> tuple[int, bytes]:
    async with running.client.get(running.url, headers=_HEAD) as resp:
        return resp.status, await resp.read()


async def _preempt(running: testbed.Testbed, to: str = 'v2') -> None:
    """Move requests to servers of a version; the servers have none.

    The demand is repeated until an attempt has ended.
    """
    for _ in range(3):
        running.shared.running.preempt_old_versions(
            testbed.POOL, ids.SoftwareVersion(to)
        )
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    'parts',
    [
        (),
        (testbed.stream_head,),
        (testbed.stream_head, lambda _id: b'9\r\nid: 1'),
    ],
    ids=['before the head', 'before an event', 'in the first event'],
)
def test_moved_stream_continues_on_another_server(
    parts: tuple[typing.Callable[[str], bytes], ...],
) -> None:
    """The caller gets each event once; the first server is left first."""

    async def scenario() -> None:
        stuck = _Stuck(*parts)
        first, second = testbed.Server(stuck), testbed.Server(_resumes)
        async with testbed.running(first, second, **_RESUMABLE) as running:
            work = asyncio.create_task(_get(running))
            await stuck.sent.wait()
            await asyncio.sleep(0.05)
            await _preempt(running)
            status, body = await asyncio.wait_for(work, 3)
            await asyncio.wait_for(first.disconnected.wait(), 1)
            assert status == 200
            assert body == b''.join(map(testbed.event, (1, 2, 3, 4)))
            assert running.scheduler.released == [
                requests.Outcome.preempted,
                requests.Outcome.done,
            ]
            assert running.scheduler.slot_requested == [
                requests.Sending.first,
                requests.Sending.retry,
            ]

    asyncio.run(scenario())


_WHOLE = b''.join(map(testbed.event, (1, 2, 3, 4)))


@pytest.mark.parametrize(
    'cut',
    [len(testbed.event(1)), len(testbed.event(1)) + 3, len(_WHOLE) - 1],
    ids=['after an event', 'in an event', 'before the end'],
)
def test_begun_stream_is_not_moved_to_another_version(cut: int) -> None:
    """It ends at the server that began it."""

    async def scenario() -> None:
        go_on = asyncio.Event()
        starts = _Stuck(
            testbed.stream_head, lambda _id: testbed.chunk(_WHOLE[:cut])
        )

        async def slow(
            server: testbed.Server,
            asked_id: str,
            head: _Head,
            writer: asyncio.StreamWriter,
        ) -> None:
            await starts(server, asked_id, head, writer)
            await go_on.wait()
            writer.write(testbed.chunk(_WHOLE[cut:]) + testbed.chunk(b''))

        first, second = testbed.Server(slow), testbed.Server(_resumes)
        async with testbed.running(first, second, **_RESUMABLE) as running:
            work = asyncio.create_task(_get(running))
            await starts.sent.wait()
            await asyncio.sleep(0.05)
            await _preempt(running)
            await asyncio.sleep(0.05)
            go_on.set()
            assert await asyncio.wait_for(work, 3) == (200, _WHOLE)
            assert running.scheduler.released == [requests.Outcome.done]
            assert not second.seen

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'answer',
    [
        lambda _id: testbed.answer(_id, b'good')[:-2],
        lambda _id: (
            f'HTTP/1.1 200 OK\r\nId: {_id}\r\nSigned: y\r\n\r\ngo'.encode()
        ),
    ],
    ids=['with a length', 'without framing'],
)
def test_moved_plain_request_runs_on_another_server(
    answer: typing.Callable[[str], bytes],
) -> None:
    """It may run again, and nothing of the first response was sent."""

    async def scenario() -> None:
        stuck = _Stuck(answer)
        first, second = testbed.Server(stuck), testbed.Server(_respond)
        async with testbed.running(first, second) as running:
            work = asyncio.create_task(_get(running))
            await stuck.sent.wait()
            await _preempt(running)
            assert await asyncio.wait_for(work, 3) == (200, b'good')

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('route', 'to'),
    [
        (_ONCE_STREAM, 'v2'),
        ({'kind': tables.Kind.once, 'attempts': 1}, 'v2'),
        (_RESUMABLE, 'v1'),
    ],
    ids=[
        'stream that runs once',
        'call that runs once',
        'server of the new version',
    ],
)
def test_request_that_may_not_move_goes_on(
    route: dict[str, typing.Any], to: str
) -> None:
    """Its response is what the first server sends."""

    async def scenario() -> None:
        go_on = asyncio.Event()

        async def slow(
            server: testbed.Server,
            asked_id: str,
            head: _Head,
            writer: asyncio.StreamWriter,
        ) -> None:
            await go_on.wait()
            await _resumes(server, asked_id, head, writer)

        first, second = testbed.Server(slow), testbed.Server(_resumes)
        async with testbed.running(first, second, **route) as running:
            work = asyncio.create_task(_get(running))
            while not first.seen:
                await asyncio.sleep(0.01)
            await _preempt(running, to)
            await asyncio.sleep(0.05)
            go_on.set()
            assert (await asyncio.wait_for(work, 3))[0] == 200
            assert running.scheduler.released == [requests.Outcome.done]
            assert not second.seen

    asyncio.run(scenario())


def test_requests_move_when_the_old_servers_are_about_to_stop() -> None:
    """Not before, though the traffic has moved."""

    async def scenario() -> None:
        stuck = _Stuck(testbed.stream_head)
        first, second = testbed.Server(stuck), testbed.Server(_resumes)
        async with testbed.running(first, second, **_RESUMABLE) as running:
            now = asyncio.get_running_loop().time
            order = controller.ObservedOrder(
                orders.Rollout(
                    testbed.POOL,
                    1,
                    ids.SoftwareVersion('v2'),
                    2,
                    phase=orders.Phase.moved,
                ),
                now() - 1,
            )
            follower = preemption.RolloutFollower(
                running.shared.running, {testbed.POOL: order}.get, now
            )
            following = asyncio.create_task(follower.run())
            work = asyncio.create_task(_get(running))
            await stuck.sent.wait()
            assert not second.seen
            assert (await asyncio.wait_for(work, 3))[0] == 200
            elapsed = now() - order.started
            assert elapsed >= schedule.move_running_seconds(2)
            following.cancel()

    asyncio.run(scenario())
