"""Responses to requests whose slot requests are denied."""

import asyncio
import typing

import pytest
from geraniumweir.gateway.tests import testbed
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests

_ROUTES: dict[str, dict[str, typing.Any]] = {
    'idempotent': {},
    'once': {'kind': tables.Kind.once, 'attempts': 1},
    'stream': {'kind': tables.Kind.stream},
    'resumable stream': {'kind': tables.Kind.stream, 'resumable': True},
}
_STATUSES = {
    requests.DenialReason.over_quota: 429,
    requests.DenialReason.shed: 503,
    requests.DenialReason.leader_busy: 503,
}


@pytest.mark.parametrize('reason', _STATUSES)
@pytest.mark.parametrize('route', _ROUTES)
def test_denied_request_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
    route: str,
    reason: requests.DenialReason,
) -> None:
    """Resumable streams were answered with 502, an internal error."""

    async def deny(slot_request: requests.SlotRequest) -> requests.Denial:
        return requests.Denial(slot_request.request_id, reason, 100)

    async def scenario() -> None:
        server = testbed.Server(testbed.answers(b'x'))
        async with testbed.running(server, **_ROUTES[route]) as bed:
            monkeypatch.setattr(bed.scheduler, 'request_slot', deny)
            headers = {'Id': 'one', 'Generates': 'yes'}
            async with bed.client.get(bed.url, headers=headers) as resp:
                assert resp.status == _STATUSES[reason]
            assert not server.seen

    asyncio.run(scenario())
