"""Servers that send an answer twice; the copy comes for the next sending."""

import asyncio
import contextlib
import typing

import multidict
import pytest
from geraniumweir.backends.tests import raw_answers
from geraniumweir.gateway.tests import test_cut_answers, test_relaying, testbed
from geraniumweir.routing import tables

_ONCE: dict[str, typing.Any] = {'kind': tables.Kind.once, 'attempts': 1}
_NOT_RUN = ('503 Full', 'Not-Run: yes\r\n')
_PAUSE_SECONDS = 0.05


class _Repeating:
    """Behavior of a server that answers the first sendings in another way.

    On each connection, the copy of an answer precedes the next answer.

    :ivar runs: ids of the requests that ran.
    :ivar connections: number of connections with a request.
    """

    def __init__(
        self,
        rejections: int,
        status: str,
        extra: str,
        *,
        repeats: bool = True,
        at_once: bool = False,
    ) -> None:
        """Initialize without requests.

        :param rejections: number of sendings of each request that are answered
            with the status.
        :param repeats: whether answers come twice.
        :param at_once: whether the copy comes on the idle connection.
        """
        self.runs: list[str] = []
        self.connections = 0
        self._rejections = rejections
        self._status = status
        self._extra = extra
        self._repeats = repeats
        self._at_once = at_once
        self._copies: dict[typing.Any, bytes] = {}

    async def __call__(
        self,
        server: testbed.Server,
        request_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        peer = writer.get_extra_info('peername')
        if peer not in self._copies:
            self.connections += 1
        writer.write(self._copies.get(peer, b''))
        if server.seen.count(request_id) > self._rejections:
            self.runs.append(request_id)
            answer = testbed.answer(request_id, b'done')
        else:
            answer = testbed.answer(request_id, b'', self._status, self._extra)
        writer.write(answer)
        is_late = self._repeats and not self._at_once
        self._copies[peer] = answer if is_late else b''
        if self._at_once:
            await writer.drain()
            await asyncio.sleep(_PAUSE_SECONDS)
            writer.write(answer)


async def _get(running: testbed.Testbed, request_id: str) -> tuple[int, bytes]:
    head = {'Id': request_id}
    async with running.client.get(running.url, headers=head) as resp:
        return resp.status, await resp.read()


def _send(
    behavior: testbed.Behavior, *, relayed: bool = False, **changes: typing.Any
) -> tuple[int, bytes]:
    """Return the response to one request to a single server."""

    async def scenario() -> tuple[int, bytes]:
        server = testbed.Server(behavior)
        async with testbed.running(server, **changes) as running:
            if not relayed:
                return await _get(running, 'r1')
            test_relaying.cut(running)
            async with test_relaying.run_relay(running, [server]):
                return await _get(running, 'r1')

    return asyncio.run(scenario())


def test_copy_of_a_rejection_does_not_answer_the_next_sending() -> None:
    """The caller got "not run" for a request that ran."""
    behavior = _Repeating(1, *_NOT_RUN)
    assert _send(behavior, **_ONCE) == (200, b'done')
    assert behavior.runs == ['r1']


def test_copy_of_a_rejection_does_not_answer_the_next_relayed_sending() -> None:
    """A relay uses its own connections to the server again."""
    behavior = _Repeating(1, *_NOT_RUN)
    assert _send(behavior, relayed=True, **_ONCE) == (200, b'done')
    assert behavior.runs == ['r1']


def test_copy_of_a_failure_does_not_answer_the_retry() -> None:
    """The request may run again, and its second run succeeds."""
    behavior = _Repeating(1, '500 Failed', 'Signed: yes\r\n')
    assert _send(behavior) == (200, b'done')


def test_connections_of_first_sendings_are_kept_beside_rejections() -> None:
    """Each further sending has connections of its own, which are kept too."""

    async def scenario() -> None:
        behavior = _Repeating(1, *_NOT_RUN, repeats=False)
        server = testbed.Server(behavior)
        async with testbed.running(server, **_ONCE) as running:
            for number in range(10):
                assert (await _get(running, f'r{number}'))[0] == 200
        assert behavior.connections == 2

    asyncio.run(scenario())


def test_bytes_on_an_idle_connection_answer_no_request() -> None:
    """They came before the request was sent; it goes on a new connection."""

    async def scenario() -> None:
        behavior = _Repeating(0, '200 OK', '', at_once=True)
        server = testbed.Server(behavior)
        async with testbed.running(server, **_ONCE) as running:
            for number in range(3):
                assert await _get(running, f'r{number}') == (200, b'done')
                await asyncio.sleep(3 * _PAUSE_SECONDS)
        assert behavior.connections == 3

    asyncio.run(scenario())


def _send_series(
    behavior: testbed.Behavior, count: int, *, relayed: bool = False
) -> tuple[list[tuple[int, bytes]], int]:
    """Return the responses to requests one after another, and the limits.

    :returns: responses, and how many servers have named a rate limit.
    """

    async def scenario() -> tuple[list[tuple[int, bytes]], int]:
        server = testbed.Server(behavior)
        async with contextlib.AsyncExitStack() as stack:
            running = await stack.enter_async_context(
                testbed.running(server, **_ONCE)
            )
            if relayed:
                test_relaying.cut(running)
                servers = [server for _ in range(count)]
                await stack.enter_async_context(
                    test_relaying.run_relay(running, servers)
                )
            found = [
                await _get(running, f'r{number}') for number in range(count)
            ]
            return found, len(list(running.server_notices.limits()))

    return asyncio.run(scenario())


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
def test_answer_behind_the_copy_of_an_earlier_one_is_not_lost(
    relayed: bool,
) -> None:
    """Every second request was answered "may have run"."""
    behavior = _Repeating(0, '200 OK', '')
    found, _ = _send_series(behavior, 6, relayed=relayed)
    assert all(one == (200, b'done') for one in found)
    # A connection that brought a copy isn't used again.
    assert behavior.connections == 3


def test_answer_behind_a_long_copy_may_have_run() -> None:
    """The copy is not read to its end."""
    answers = iter((b'', b'x' * 300000))

    async def behavior(
        _server: testbed.Server,
        request_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        copy = next(answers)
        if copy:
            writer.write(testbed.answer('r0', copy))
        writer.write(testbed.answer(request_id, b'done'))

    found, _ = _send_series(behavior, 2)
    assert [status for status, _ in found] == [200, 502]


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
def test_answer_of_a_request_of_another_connection_is_judged_at_once(
    relayed: bool,
) -> None:
    """It is no copy, so no other answer is expected; its notices are void."""

    async def behavior(
        _server: testbed.Server,
        _request_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        extra = 'Signed: yes\r\nLimit: 1\r\n'
        writer.write(testbed.answer('other', b'done', '200 OK', extra))

    found, limits = _send_series(behavior, 1, relayed=relayed)
    assert [status for status, _ in found] == [502]
    assert not limits


@pytest.mark.parametrize('size', [1, 5, 12, 40, 60])
@pytest.mark.parametrize('parser', ['compiled', 'python'])
def test_begin_of_a_copy_behind_an_answer_ends_its_connection(
    size: int, parser: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The rest of it came for the next request, which got 502."""
    raw_answers.use_parser(parser, monkeypatch)
    rest: dict[typing.Any, bytes] = {}

    async def behavior(
        _server: testbed.Server,
        request_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        peer = writer.get_extra_info('peername')
        answer = testbed.answer(request_id, b'done')
        writer.write(rest.get(peer, b'') + answer + answer[:size])
        rest[peer] = answer[size:]

    found, _ = _send_series(behavior, 4)
    assert all(one == (200, b'done') for one in found)
    assert len(rest) == 4


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
@pytest.mark.parametrize(
    'surplus',
    [
        b'surplus',
        b'\r\n\r\n',
        b'\x00\x01',
        b'HTTP/1.1 20',
        b'HTTP/9.9 x\r\n\r\n',
    ],
)
@pytest.mark.parametrize('body', [b'done', b''])
@pytest.mark.parametrize('parser', ['compiled', 'python'])
def test_bytes_behind_an_answer_do_not_take_it_along(
    parser: str,
    body: bytes,
    surplus: bytes,
    relayed: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They came in one piece, and the request got 502 for a whole answer."""
    raw_answers.use_parser(parser, monkeypatch)

    async def behavior(
        _server: testbed.Server,
        request_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        early = b'HTTP/1.1 103 Early Hints\r\n\r\n'
        answer = testbed.answer(request_id, body)
        writer.write(b''.join((early, answer, surplus)))

    found, _ = _send_series(behavior, 3, relayed=relayed)
    assert all(one == (200, body) for one in found), found


def _behind_a_copy(copy: bytes, answer: bytes) -> testbed.Behavior:
    """Return a behavior that sends a copy and an answer in one piece.

    :param copy: of the answer to the first request.
    :param answer: to the others.
    """

    async def behavior(
        server: testbed.Server,
        request_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        if len(server.seen) == 1:
            writer.write(copy)
        else:
            writer.write(copy + answer.replace(b'{0}', request_id.encode()))

    return behavior


_COPIES = {
    'length': testbed.answer('r0', b'done'),
    'chunks': test_cut_answers.chunked('r0', b'done'),
    'marks': testbed.answer('r0', b'HTTP/1.1 200 OK\r\nHTTP/1.'),
    'large': testbed.answer('r0', b'x' * 200000),
    'large chunks': test_cut_answers.chunked('r0', b'x' * 200000),
}


@pytest.mark.parametrize('parser', list(raw_answers.PARSERS))
@pytest.mark.parametrize('copy', list(_COPIES))
def test_answer_in_one_piece_with_a_copy_is_checked(
    copy: str, parser: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of the copy is known only once it was parsed."""
    raw_answers.use_parser(parser, monkeypatch)
    sound = testbed.answer('{0}', b'done')
    found, _ = _send_series(_behind_a_copy(_COPIES[copy], sound), 2)
    assert found[1] == (200, b'done')
    folded = sound.replace(b'Id:', b'X: v\r\n w\r\nId:')
    found, _ = _send_series(_behind_a_copy(_COPIES[copy], folded), 2)
    assert found[1][0] == 502
