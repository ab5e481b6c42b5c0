"""Requests at a host that stops."""

import asyncio

import multidict
import pytest
from geraniumweir.common import ids
from geraniumweir.gateway.tests import testbed
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests

_SOON = 0.3
_USUAL_SECONDS = 2.0
_ONCE = tables.Kind.once


async def _work_long(
    _server: testbed.Server,
    _request_id: str,
    _head: multidict.CIMultiDict[str],
    _writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(10 * _USUAL_SECONDS)


def _record_usual(bed: testbed.Testbed, seconds: float) -> None:
    """Record completed requests over the longest time that one may take."""
    now = asyncio.get_running_loop().time()
    for ago in reversed(range(20)):
        bed.shared.drain.work_times.record(
            ids.RuleName('route'), seconds, now - ago
        )


async def _post(bed: testbed.Testbed, request_id: str) -> tuple[int, str]:
    async with bed.client.post(bed.url, headers={'Id': request_id}) as resp:
        return resp.status, await resp.text()


def _begin(bed: testbed.Testbed, seconds: float) -> None:
    bed.shared.drain.begin(asyncio.get_running_loop().time() + seconds)


@pytest.mark.parametrize('kind', [_ONCE, tables.Kind.idempotent])
def test_request_that_could_not_complete_before_a_stop_is_refused_at_once(
    kind: tables.Kind,
) -> None:
    """It is refused as not run, and reaches no server."""

    async def scenario() -> None:
        server = testbed.Server(testbed.answers(b'x'))
        async with testbed.running(server, kind=kind) as bed:
            _record_usual(bed, _USUAL_SECONDS)
            _begin(bed, _USUAL_SECONDS / 2)
            async with asyncio.timeout(_SOON):
                status, text = await _post(bed, 'one')
            assert status == 503
            assert 'host_stopping' in text
            assert not server.seen

    asyncio.run(scenario())


def test_request_that_completes_before_a_stop_is_served() -> None:
    """The host is stopping already when it comes."""

    async def scenario() -> None:
        server = testbed.Server(testbed.answers(b'x'))
        async with testbed.running(server, kind=_ONCE) as bed:
            _record_usual(bed, _SOON)
            _begin(bed, _USUAL_SECONDS)
            assert await _post(bed, 'one') == (200, 'x')

    asyncio.run(scenario())


def test_waiting_request_is_refused_when_its_time_to_complete_is_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It waited for a slot already when the stop began."""

    async def scenario() -> None:
        server = testbed.Server(testbed.answers(b'x'))
        async with testbed.running(server, kind=_ONCE) as bed:
            monkeypatch.setattr(bed.scheduler, 'request_slot', _never_grant)
            asking = asyncio.create_task(_post(bed, 'one'))
            await asyncio.sleep(_SOON)
            _record_usual(bed, _USUAL_SECONDS)
            _begin(bed, _USUAL_SECONDS + _SOON)
            async with asyncio.timeout(_USUAL_SECONDS):
                status, _ = await asking
            assert status == 503
            assert not server.seen

    asyncio.run(scenario())


async def _never_grant(_slot_request: requests.SlotRequest) -> requests.Grant:
    await asyncio.sleep(100 * _USUAL_SECONDS)
    raise AssertionError('not granted')


def test_request_at_a_server_at_the_end_of_a_stop_gets_an_answer() -> None:
    """The answer doesn't claim that it did not run."""

    async def scenario() -> None:
        server = testbed.Server(_work_long)
        async with testbed.running(server, kind=_ONCE) as bed:
            asking = asyncio.create_task(_post(bed, 'one'))
            await asyncio.sleep(_SOON)
            _begin(bed, _SOON)
            async with asyncio.timeout(_USUAL_SECONDS):
                status, _ = await asking
            assert status == 502
            assert server.seen == ['one']

    asyncio.run(scenario())
