"""Streams cut into whole events, whatever the chunks."""

import pytest
from geraniumweir.gateway import errors, events
from hypothesis import given
from hypothesis import strategies as st

_STREAM = b''.join(f'id: {one}\ndata: x\n\n'.encode() for one in range(1, 9))


@given(st.lists(st.integers(0, len(_STREAM)), max_size=8))
def test_same_events_whatever_the_chunks(cuts: list[int]) -> None:
    """Cuts anywhere change nothing."""
    splitter = events.EventSplitter()
    places = [0, *sorted(cuts), len(_STREAM)]
    parts = [_STREAM[at:end] for at, end in zip(places, places[1:])]
    assert b''.join(map(splitter.feed, parts)) == _STREAM
    assert splitter.is_complete()
    assert (splitter.last, splitter.count) == (8, 8)


def test_another_run_must_go_on_where_the_last_one_ended() -> None:
    """Else a piece would be missing or come twice."""
    splitter = events.EventSplitter(last=3)
    with pytest.raises(errors.InvalidStreamError):
        splitter.feed(b'id: 3\n\n')
