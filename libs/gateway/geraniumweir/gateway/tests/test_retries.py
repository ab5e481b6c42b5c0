"""Responses to callers when the retry budget denies a retry."""

import asyncio
import typing

from geraniumweir.gateway.tests import testbed
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests

_HEAD = {'Id': 'r1'}


def _send_request_without_retries(
    behavior: testbed.Behavior,
    **changes: typing.Any,
) -> tuple[int, bytes]:
    """Return the response to a request whose retries are denied."""

    async def scenario() -> tuple[int, bytes]:
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

    return asyncio.run(scenario())


def test_denied_retry_forwards_the_result_of_the_server() -> None:
    """Its error response, or a refusal that the request did not run."""
    failing = testbed.answers(b'failed', '500 Failed')
    assert _send_request_without_retries(failing) == (500, b'failed')
    full = testbed.answers(b'', '503 Full', 'Not-Run: yes\r\n')
    once = {'kind': tables.Kind.once, 'attempts': 1}
    status, body = _send_request_without_retries(full, **once)
    assert status == 503
    assert b'retry_budget' in body


def test_denied_retry_of_a_request_that_may_have_run_gets_no_guarantee() -> (
    None
):
    """The response belongs to another request, so the request may have run."""
    foreign = testbed.answers(b'hello', request_id='another')
    assert _send_request_without_retries(foreign)[0] == 502
