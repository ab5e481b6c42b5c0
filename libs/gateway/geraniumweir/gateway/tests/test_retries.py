"""What a caller gets when a request may not be sent once more."""

import asyncio
import typing

from geraniumweir.gateway.tests import testbed
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests

_HEAD = {'Id': 'r1'}


def _play_without_retries(
    behavior: testbed.Behavior,
    **changes: typing.Any,
) -> tuple[int, bytes]:
    """Send one request whose retries are denied."""

    async def work() -> tuple[int, bytes]:
        servers = [
            testbed.Server(behavior),
            testbed.Server(testbed.answers(b'good')),
        ]
        async with testbed.running(*servers, **changes) as running:
            running.scheduler.retries = False
            async with running.client.get(running.url, headers=_HEAD) as resp:
                answered = resp.status, await resp.read()
            first, retry = requests.Sending.first, requests.Sending.retry
            assert running.scheduler.slot_requested == [first, retry]
            return answered

    return asyncio.run(work())


def test_denied_retry_gives_the_caller_what_the_server_said() -> None:
    """Its failure, or that it didn't run the request."""
    failing = testbed.answers(b'failed', '500 Failed')
    assert _play_without_retries(failing) == (500, b'failed')
    full = testbed.answers(b'', '503 Full', 'Not-Run: yes\r\n')
    once = {'kind': tables.Kind.once, 'attempts': 1}
    status, body = _play_without_retries(full, **once)
    assert status == 503
    assert b'retry_budget' in body


def test_denied_retry_of_what_may_have_run_promises_nothing() -> None:
    """The server's answer is not its own."""
    foreign = testbed.answers(b'hello', request_id='another')
    assert _play_without_retries(foreign)[0] == 502
