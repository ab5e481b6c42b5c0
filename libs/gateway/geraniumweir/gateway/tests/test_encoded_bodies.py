"""Bodies with a content encoding reach servers as their callers sent them."""

import asyncio
import gzip
import typing
import zlib

import pytest
from geraniumweir.gateway.tests import test_relaying, testbed
from geraniumweir.routing import tables

_ONCE: dict[str, typing.Any] = {'kind': tables.Kind.once, 'attempts': 1}
_BODY = b'order 17' * 500


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
@pytest.mark.parametrize(
    ('encoding', 'body'),
    [
        ('gzip', gzip.compress(_BODY)),
        ('deflate', zlib.compress(_BODY)),
        ('gzip', b'no gzip'),
    ],
    ids=['gzip', 'deflate', 'invalid'],
)
def test_body_is_not_decompressed(
    encoding: str, body: bytes, relayed: bool
) -> None:
    """The server got other bytes under the same headers."""
    heads = []

    async def behavior(*parts: typing.Any) -> None:
        _, request_id, head, writer = parts
        heads.append(head)
        writer.write(testbed.answer(request_id, b'done'))

    async def scenario() -> tuple[int, list[bytes]]:
        server = testbed.Server(behavior)
        async with (
            testbed.running(server, **_ONCE) as running,
            test_relaying.run_relay(running, [server]),
            running.client.post(
                running.url, data=body, headers=_headers(running, encoding)
            ) as resp,
        ):
            return resp.status, server.bodies

    def _headers(running: testbed.Testbed, name: str) -> dict[str, str]:
        if relayed:
            test_relaying.cut(running)
        return {'Id': 'r1', 'Content-Encoding': name}

    assert asyncio.run(scenario()) == (200, [body])
    assert heads[0]['Content-Encoding'] == encoding
    assert int(heads[0]['Content-Length']) == len(body)
