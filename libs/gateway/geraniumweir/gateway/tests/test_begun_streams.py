"""Ways in which a begun stream goes on, in one answer and over attempts."""

import asyncio
import typing

import multidict
import pytest
from geraniumweir.common import ids
from geraniumweir.gateway.tests import testbed
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests, stream_origins

_Head = multidict.CIMultiDict[str]
_RESUMABLE = {'kind': tables.Kind.stream, 'attempts': 3, 'resumable': True}
_OTHER = ids.PoolName('other')


def _streams(last: int, *, complete: bool) -> testbed.Behavior:
    """Return a behavior that streams the rest up to an event."""

    async def behavior(
        _server: testbed.Server,
        asked_id: str,
        head: _Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        first = int(head.get('Last-Event-Id', '0')) + 1
        writer.write(testbed.stream_head(asked_id))
        for number in range(first, last + 1):
            writer.write(testbed.chunk(testbed.event(number)))
        if complete:
            writer.write(testbed.chunk(b''))
        await writer.drain()
        if not complete:
            writer.close()

    return behavior


_BREAKS = _streams(2, complete=False)
_ENDS = _streams(4, complete=True)
_NO_EVENT = _streams(0, complete=False)


async def _get(
    running: testbed.Testbed, attempt: str, **headers: str
) -> tuple[int, bytes]:
    """Send an attempt; a stream that breaks off counts as status 0."""
    async with running.client.get(
        running.url,
        headers={
            'Id': attempt,
            **{name.replace('_', '-'): text for name, text in headers.items()},
        },
    ) as resp:
        body = await resp.read()
        return resp.status, body


def _run(
    scenario: typing.Callable[
        [testbed.Testbed], typing.Coroutine[None, None, None]
    ],
    *behaviors: testbed.Behavior,
    **changes: typing.Any,
) -> list[testbed.Server]:
    """Run a scenario with servers that are granted in turn."""
    found = [testbed.Server(one) for one in behaviors]

    async def work() -> None:
        route = {**_RESUMABLE, **changes}
        async with testbed.running(*found, **route) as running:
            await scenario(running)

    asyncio.run(work())
    return found


def _asked_versions(running: testbed.Testbed) -> list[str | None]:
    return [one.version for one in running.scheduler.asked]


def _record(
    running: testbed.Testbed, attempt: str, customer: str = '', pool: str = ''
) -> None:
    """Record a stream that an attempt began at a version."""
    running.shared.streams.record(
        stream_origins.StreamBegin(
            stream_origins.key_of(ids.CustomerName(customer), attempt),
            stream_origins.StreamOrigin(
                ids.PoolName(pool or testbed.POOL), ids.SoftwareVersion('v1')
            ),
            10,
        )
    )


def test_retry_asks_for_the_version_whose_event_came_first() -> None:
    """A server that sent no event to the caller has begun nothing."""

    async def scenario(running: testbed.Testbed) -> None:
        running.scheduler.versions = {1: 'v1', 2: 'v1.1', 3: 'v1.1'}
        status, body = await _get(running, 'a')
        assert status == 200
        assert body == b''.join(map(testbed.event, (1, 2, 3, 4)))
        assert _asked_versions(running) == [None, None, 'v1.1']

    _run(scenario, _NO_EVENT, _BREAKS, _ENDS)


def test_stream_does_not_go_on_at_a_grant_of_another_version() -> None:
    """Such a grant is given back; the next one is used."""

    async def scenario(running: testbed.Testbed) -> None:
        running.scheduler.versions = {2: 'v1.1', 3: 'v1'}
        assert (await _get(running, 'a'))[0] == 200
        assert running.scheduler.released == [
            requests.Outcome.failed,
            requests.Outcome.given_up,
            requests.Outcome.done,
        ]

    servers = _run(scenario, _BREAKS, _ENDS, _ENDS)
    assert not servers[1].seen


@pytest.mark.parametrize('attempt', ['a', 'b'])
def test_stream_is_taken_up_at_the_version_that_began_it(attempt: str) -> None:
    """By the attempt that began it, or by one that took it up."""

    async def scenario(running: testbed.Testbed) -> None:
        _record(running, 'a')
        running.scheduler.versions = {2: 'v1.1'}
        first = await _get(running, 'b', Last_Event_Id='2', Resumes='a')
        assert first == (200, b''.join(map(testbed.event, (3, 4))))
        again = await _get(running, 'c', Last_Event_Id='3', Resumes=attempt)
        assert again == (200, testbed.event(4))
        assert _asked_versions(running) == ['v1', 'v1', 'v1']

    _run(scenario, _ENDS, _ENDS, _ENDS)


def test_caller_that_names_no_attempt_is_known_by_its_content() -> None:
    """Unless that began at two versions."""

    async def scenario(running: testbed.Testbed) -> None:
        running.scheduler.versions = {1: 'v1.1', 2: 'v1', 3: 'v1.1', 4: 'v1.1'}
        await _get(running, 'a')
        assert (await _get(running, 'b', Last_Event_Id='3'))[0] == 200
        assert _asked_versions(running)[-1] == 'v1.1'
        running.scheduler.versions[5] = 'v1'
        await _get(running, 'c')
        assert (await _get(running, 'd', Last_Event_Id='3'))[0] == 503

    _run(scenario, _ENDS, _ENDS, _ENDS, _ENDS, _ENDS)


def test_caller_that_names_no_attempt_is_told_apart_by_its_time_limit() -> None:
    """All its attempts end at one time; named attempts need none."""

    async def scenario(running: testbed.Testbed) -> None:
        running.scheduler.versions = {1: 'v1', 2: 'v1', 3: 'v1', 4: 'v1'}
        now = asyncio.get_running_loop().time()
        await _get(running, 'a', Patience='9')
        await _get(running, 'b', Last_Event_Id='3', Patience='8.5')
        await _get(running, 'c', Last_Event_Id='3')
        await _get(running, 'd', Last_Event_Id='3', Resumes='a')
        limited, unlimited, named = running.shared.streams.claims
        customer = stream_origins.key_of_customer(ids.CustomerName(''))
        assert limited.customer == unlimited.customer == customer
        assert limited.ends_at >= now + 8.5 + stream_origins.RETURN_SECONDS
        assert unlimited.ends_at is None
        assert named is None
        begins = running.scheduler.begins
        assert [one.customer for one in begins] == [customer, None, None, None]

    _run(scenario, _ENDS, _ENDS, _ENDS, _ENDS)


def test_long_time_limit_does_not_keep_streams_from_being_reported() -> None:
    """The report of all streams of a host was too large for its message."""

    async def scenario(running: testbed.Testbed) -> None:
        running.scheduler.versions = {1: 'v1', 2: 'v1'}
        await _get(running, 'a', Patience='9e12')
        await _get(running, 'b', Patience='9e12', Last_Event_Id='3')
        begins = running.scheduler.begins
        assert len(begins) == 2
        for begin in begins:
            assert 0 < begin.seconds * 1000 < 2**31
        claim = running.shared.streams.claims[0]
        now = asyncio.get_running_loop().time()
        assert (claim.ends_at - now) * 1000 < 2**31

    _run(scenario, _ENDS, _ENDS)


def test_begin_is_reported_before_its_first_event_is_forwarded() -> None:
    """With the version of the server that sent it, once for an attempt."""

    async def scenario(running: testbed.Testbed) -> None:
        running.scheduler.versions = {1: 'v1.1', 2: 'v1.1'}
        await _get(running, 'a')
        begin = running.scheduler.begins[0]
        assert len(running.scheduler.begins) == 1
        assert begin.key == stream_origins.key_of(ids.CustomerName(''), 'a')
        assert begin.origin.version == 'v1.1'
        assert begin.origin.start == ('s1', 1)

    _run(scenario, _BREAKS, _ENDS)


@pytest.mark.parametrize(
    'headers',
    [
        {'Resumes': 'unknown'},
        {},
        {'Resumes': 'of another customer'},
    ],
    ids=['unknown', 'none', 'of another customer'],
)
def test_stream_that_is_not_known_is_refused_as_not_run(
    headers: dict[str, str],
) -> None:
    """No server is asked, and the caller may begin anew."""

    async def scenario(running: testbed.Testbed) -> None:
        _record(running, 'of another customer', customer='somebody')
        status, body = await _get(running, 'b', Last_Event_Id='2', **headers)
        assert status == 503
        assert b'stream_unknown' in body
        assert not running.scheduler.asked
        assert (await _get(running, 'c'))[0] == 200

    _run(scenario, _ENDS)


def test_stream_of_a_pool_that_its_route_left_is_refused() -> None:
    """Servers of another pool can't go on with it."""

    async def scenario(running: testbed.Testbed) -> None:
        _record(running, 'a', pool=_OTHER)
        status, body = await _get(running, 'b', Last_Event_Id='2', Resumes='a')
        assert status == 503
        assert b'version_gone' in body
        assert not running.scheduler.asked

    _run(scenario, _ENDS)


def test_stream_breaks_off_if_the_version_that_began_it_is_uncertain() -> None:
    """Its server may have started again with another version before."""

    async def scenario(running: testbed.Testbed) -> None:
        running.shared.streams.is_certain = lambda _origin: False
        with pytest.raises(Exception, match='payload'):
            await _get(running, 'a')

    servers = _run(scenario, _BREAKS, _ENDS)
    assert not servers[1].seen
