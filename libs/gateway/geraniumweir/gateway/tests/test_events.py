"""Tests of the split of a stream into complete events."""

import pytest
from geraniumweir.gateway import errors, events
from hypothesis import given
from hypothesis import strategies as st

_STREAM = b''.join(f'id: {one}\ndata: x\n\n'.encode() for one in range(1, 9))


@given(st.lists(st.integers(0, len(_STREAM)), max_size=8))
def test_chunk_boundaries_do_not_change_the_events(cuts: list[int]) -> None:
    """The stream is split at random positions, also within events."""
    splitter = events.EventSplitter()
    places = [0, *sorted(cuts), len(_STREAM)]
    parts = [_STREAM[at:end] for at, end in zip(places, places[1:])]
    assert b''.join(map(splitter.feed, parts)) == _STREAM
    assert splitter.is_complete()
    assert (splitter.last, splitter.count) == (8, 8)


def test_resumed_stream_with_a_wrong_first_event_is_rejected() -> None:
    """Otherwise the caller would miss events or get them twice."""
    splitter = events.EventSplitter(last=3)
    with pytest.raises(errors.InvalidStreamError):
        splitter.feed(b'id: 3\n\n')


def test_events_before_a_wrong_one_do_not_count() -> None:
    """The last number is that of an event that was returned."""
    splitter = events.EventSplitter()
    splitter.feed(b'id: 1\n\n')
    with pytest.raises(errors.InvalidStreamError):
        splitter.feed(b'id: 2\n\nid: 4\n\n')
    assert (splitter.last, splitter.count) == (1, 1)


def test_head_of_an_answer_is_no_event() -> None:
    """Its empty line looks like the end of one."""
    splitter = events.EventSplitter()
    with pytest.raises(errors.InvalidStreamError):
        splitter.feed(b'id: 1\n\nHTTP/1.1 200 OK\r\nId: r2\r\n\r\n')
