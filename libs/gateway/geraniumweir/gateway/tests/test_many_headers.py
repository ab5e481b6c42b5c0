"""Headers are bounded by their size, not by their number."""

import asyncio
import typing

import pytest
from geraniumweir.gateway.tests import test_relaying, testbed
from geraniumweir.routing import tables

_ONCE: dict[str, typing.Any] = {'kind': tables.Kind.once, 'attempts': 1}
_HEADERS = 1000


def _headers(count: int) -> dict[str, str]:
    return {f'X-{number}': 'a' for number in range(count)}


def _exchange(
    headers: dict[str, str], extra: str = '', *, relayed: bool = False
) -> tuple[int, list[str]]:
    """Return the status of a request, and the names that its server got."""
    names: list[str] = []

    async def behavior(*parts: typing.Any) -> None:
        _, request_id, head, writer = parts
        names.extend(head)
        signed = f'Signed: yes\r\n{extra}'
        writer.write(testbed.answer(request_id, b'done', extra=signed))

    async def scenario() -> int:
        server = testbed.Server(behavior)
        async with (
            testbed.running(server, **_ONCE) as running,
            test_relaying.run_relay(running, [server]),
        ):
            if relayed:
                test_relaying.cut(running)
            async with running.client.get(
                running.url, headers={'Id': 'r1', **headers}
            ) as resp:
                return resp.status

    return asyncio.run(scenario()), names


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
def test_many_short_headers_reach_the_server(relayed: bool) -> None:
    """A proper request was answered 400."""
    status, names = _exchange(_headers(_HEADERS), relayed=relayed)
    assert status == 200
    assert set(_headers(_HEADERS)) <= set(names)


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
def test_answer_with_many_short_headers_is_whole(relayed: bool) -> None:
    """It was answered 502, "may have run"."""
    extra = ''.join(f'{name}: a\r\n' for name in _headers(_HEADERS))
    assert _exchange({}, extra, relayed=relayed)[0] == 200


def test_headers_beyond_their_size_are_refused() -> None:
    """By the limit of the document, which is 16 KiB without one."""
    assert _exchange({'X-Long': 'a' * 17000}) == (431, [])
    assert _exchange(_headers(4000)) == (431, [])
