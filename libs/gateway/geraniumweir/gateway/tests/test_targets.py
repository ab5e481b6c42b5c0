"""Targets of requests reach servers as their callers sent them."""

import asyncio

import pytest
import yarl
from geraniumweir.gateway.tests import test_relaying, testbed


async def _request(url: yarl.URL, target: str) -> bytes:
    """Return the status line of the answer to a request."""
    reader, writer = await asyncio.open_connection(url.host, url.port)
    lines = (
        f'GET {target} HTTP/1.1',
        f'Host: {url.authority}',
        'Id: r1',
        'Connection: close',
        '',
        '',
    )
    writer.write('\r\n'.join(lines).encode())
    try:
        return await reader.readline()
    finally:
        writer.close()


# An empty query was left out, and all from a number sign on.
@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
@pytest.mark.parametrize(
    'suffix',
    [
        '',
        '?',
        '??',
        '?a=b',
        '?a=b&&',
        '/',
        '//',
        '/?',
        '/%2F%3f',
        '/../x?',
        ';?',
        '#b',
        '?#',
    ],
)
def test_target_is_sent_as_it_came(suffix: str, relayed: bool) -> None:
    """Directly, and by another entry host."""

    async def scenario() -> None:
        server = testbed.Server(testbed.answers(b'done'))
        async with (
            testbed.running(server) as running,
            test_relaying.run_relay(running, [server]),
        ):
            if relayed:
                test_relaying.cut(running)
            url = yarl.URL(running.url)
            target = f'{url.raw_path}{suffix}'
            assert await _request(url, target) == b'HTTP/1.1 200 OK\r\n'
            assert server.targets == [target]

    asyncio.run(scenario())
