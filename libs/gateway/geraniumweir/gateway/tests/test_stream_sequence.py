"""Streams over several attempts: no event is lost, comes twice or is joined."""

import asyncio
import typing

import multidict
import pytest
from geraniumweir.gateway.tests import testbed
from geraniumweir.routing import tables

_RESUMABLE: dict[str, typing.Any] = {
    'kind': tables.Kind.stream,
    'resumable': True,
    'attempts': 3,
}
_EVENTS = 5
_WHOLE = b''.join(map(testbed.event, range(1, _EVENTS + 1)))


def _got(body: bytes, *, whole: bool) -> testbed.Got:
    return testbed.Got(200, body, whole)


def _sends(*events: bytes, ends: bool) -> testbed.Behavior:
    return testbed.stream(b''.join(events), ends=ends)


async def _goes_on(
    _server: testbed.Server,
    asked_id: str,
    head: multidict.CIMultiDict[str],
    writer: asyncio.StreamWriter,
) -> None:
    first = int(head.get('Last-Event-Id', '0')) + 1
    events = map(testbed.event, range(first, _EVENTS + 1))
    content = testbed.chunk(b''.join(events)) if first <= _EVENTS else b''
    writer.write(
        testbed.stream_head(asked_id) + content + testbed.chunk(b''),
    )


def _get(*behaviors: testbed.Behavior) -> testbed.Got:
    async def work() -> testbed.Got:
        servers = map(testbed.Server, behaviors)
        async with testbed.running(*servers, **_RESUMABLE) as running:
            return await testbed.get(running)

    return asyncio.run(work())


@pytest.mark.parametrize('wrong', [1, 2, 5, 9])
def test_events_before_a_wrong_one_are_not_lost(wrong: int) -> None:
    """They counted as sent, so that the next server went on behind them."""
    events = (*map(testbed.event, (1, 2, 3)), testbed.event(wrong))
    assert _get(_sends(*events, ends=True), _goes_on) == _got(
        _WHOLE, whole=True
    )


def test_stream_without_numbers_does_not_begin_again() -> None:
    """Its caller would get the first events twice."""
    events = [f'data: {number}\n\n'.encode() for number in range(_EVENTS)]
    got = _get(_sends(*events[:2], ends=False), _sends(*events, ends=True))
    assert got == _got(b''.join(events[:2]), whole=False)


def test_stream_goes_on_behind_a_comment() -> None:
    """Servers send them to keep a connection open."""
    events = (testbed.event(1), b': wait\n\n')
    got = _get(_sends(*events, ends=False), _goes_on)
    rest = b''.join(map(testbed.event, range(2, _EVENTS + 1)))
    assert got == _got(b''.join((*events, rest)), whole=True)


@pytest.mark.parametrize('status', ['200 OK', '204 Empty', '404 Unknown'])
def test_plain_answer_does_not_end_a_stream(status: str) -> None:
    """The stream ended as complete before its last event."""
    answer = testbed.answers(b'', status)
    got = _get(_sends(testbed.event(1), ends=False), answer, answer)
    assert got == _got(testbed.event(1), whole=False)


def test_stream_goes_on_behind_a_plain_answer() -> None:
    """Another server may know how to go on."""
    answer = testbed.answers(b'', '404 Unknown')
    first = _sends(testbed.event(1), ends=False)
    assert _get(first, answer, _goes_on) == _got(_WHOLE, whole=True)


_FORMS = {
    'line ends': b'id: 2\r\ndata: x\r\n\r\n',
    'id behind data': b'data: x\nid: 2\n\n',
    'no space': b'id:2\ndata:x\n\n',
    'weights first': b'x-weight-versions: 3\nid: 2\ndata: x\n\n',
    'two ids': b'id: 1\nid: 2\ndata: x\n\n',
}


@pytest.mark.parametrize('form', list(_FORMS))
@pytest.mark.parametrize('pieces', [1, 2])
def test_forms_of_events_are_passed_on(form: str, pieces: int) -> None:
    """Each is allowed where a stream may be resumed."""
    events = (testbed.event(1), _FORMS[form], testbed.event(3))
    first = _sends(*events[:pieces], ends=False)
    second = _sends(*events[pieces:], ends=True)
    assert _get(first, second) == _got(b''.join(events), whole=True)


def test_number_with_other_text_is_none() -> None:
    """The part before it was taken for a number."""
    events = (b'id: 1-7\ndata: x\n\n', b'id: 1-8\ndata: y\n\n')
    got = _get(_sends(events[0], ends=False), _sends(*events, ends=True))
    assert got == _got(events[0], whole=False)
