"""Bodies without an end of their own, with an extra answer behind them."""

import itertools
import typing

import pytest
from geraniumweir.backends import surplus
from hypothesis import given
from hypothesis import strategies as st

_BODY = b'id: 1\ndata: x\n\n'
_HEAD = b'HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: a/b\r\nEmpty:\r\n\r\n'
_COPY = _HEAD + _BODY
_PARTS = (b'H', b'HTTP/1.', b'HTTP/1.1 200', b' OK\r\n', b'Id: r2\r\n', b'\r\n')


def _is_answer(headers: surplus.Headers) -> bool:
    return headers.get('Id') == 'r1'


def _feed(
    pieces: typing.Iterable[bytes],
) -> tuple[bytes, surplus.SurplusFinder]:
    """Feed pieces until an answer was found."""
    finder = surplus.SurplusFinder(_is_answer)
    body = b''
    for piece in pieces:
        body += finder.feed(piece)
        if finder.found:
            break
    return body, finder


def _cut(content: bytes, places: typing.Iterable[int]) -> list[bytes]:
    ends = sorted(place for place in places if place < len(content))
    return [
        content[at:end]
        for at, end in itertools.pairwise((0, *ends, len(content)))
    ]


@given(st.lists(st.integers(0, len(_BODY + _COPY)), max_size=6))
def test_extra_answer_is_no_part_of_the_body(places: list[int]) -> None:
    """It was appended to a plain body, and to the last event of a stream."""
    body, finder = _feed(_cut(_BODY + _COPY, places))
    assert (body, finder.found) == (_BODY, True)


@pytest.mark.parametrize('size', range(1, len(_HEAD)))
def test_head_that_is_cut_is_held(size: int) -> None:
    """Of fewer than four bytes nothing tells it from the body."""
    body, finder = _feed([_BODY, _HEAD[:size]])
    assert (body, finder.held) == (_BODY, _HEAD[:size])
    assert finder.is_cut == (size >= 4)


@given(st.lists(st.sampled_from(_PARTS), max_size=12), st.integers(1, 9))
def test_other_bytes_are_passed_on(parts: list[bytes], size: int) -> None:
    """A body may tell of HTTP."""
    content = b''.join(parts)
    body, finder = _feed(_cut(content, range(size, len(content), size)))
    assert not finder.found
    assert body + finder.held == content


@pytest.mark.parametrize(
    'line',
    [
        b'data: HTTP/1.1 200 OK',
        rb'data: HTTP/1.1 200 OK\r\nId: r1',
        b'data: it ends with H',
    ],
)
def test_event_that_tells_of_http_is_not_held(line: bytes) -> None:
    """Its caller would wait for the next one."""
    event = b'%b\n\n' % line
    assert _feed([event])[0] == event


@pytest.mark.parametrize(
    'mark', [b'HTTP/1.', b'HTTP/1.1 200 ', b'HTTP/1.1 200 OK\r\n', b'H: x\r\n']
)
def test_many_marks_are_passed_on(mark: bytes) -> None:
    """A body may consist of them."""
    count = 65536 // len(mark)
    pieces = [mark * count, mark * count, b'.']
    body, finder = _feed(pieces)
    assert body + finder.held == b''.join(pieces)
