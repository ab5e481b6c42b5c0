"""Properties of streams: any cut is noticed, any resume is without a gap."""

import asyncio
import typing

import hypothesis
import pytest
from geraniumweir.backends import errors, identity, sse, streams
from geraniumweir.common import ids, virtual
from hypothesis import strategies

_SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=120,
    deadline=None,
)
_DONE = b'data: [DONE]\n\n'
_ID = 'gw-{0}'.format('a' * 32)


class _Answer:
    """An answer whose chunks are given."""

    status = 200

    def __init__(self, chunks: list[bytes]) -> None:
        self._chunks = chunks
        self.kept = True

    async def __aenter__(self) -> '_Answer':
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Leave the block."""

    def abandon(self) -> None:
        self.kept = False

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        for chunk in self._chunks:
            yield chunk


def _event(number: int, end: bytes = b'\n\n') -> bytes:
    return b'data: {"id": "%s", "n": %d}' % (_ID.encode(), number) + end


def _cut(text: bytes, places: list[int]) -> list[bytes]:
    bounds = [
        0,
        *sorted(place % (len(text) + 1) for place in places),
        len(text),
    ]
    return [text[low:high] for low, high in zip(bounds, bounds[1:])]


async def _collect(
    answer: _Answer,
    resume: streams.Resume | None = None,
) -> bytes:
    whose = identity.Identity(
        ids.RequestId(_ID),
        ids.PoolName('p'),
        identity.Echoes(),
    )
    found: list[bytes] = []
    async for batch in streams.events(answer, whose, resume):
        found.extend(event.raw for event in batch)
    return b''.join(found)


_PLACES = strategies.lists(strategies.integers(0, 100000), max_size=12)


@_SETTINGS
@hypothesis.given(
    strategies.integers(0, 12),
    _PLACES,
    strategies.sampled_from([b'\n\n', b'\r\n\r\n']),
)
def test_chunks_may_be_cut_anywhere(
    count: int,
    places: list[int],
    end: bytes,
) -> None:
    """How a whole stream is cut into chunks changes none of its bytes."""
    text = b''.join(_event(number, end) for number in range(count)) + _DONE
    assert asyncio.run(_collect(_Answer(_cut(text, places)))) == text


@_SETTINGS
@hypothesis.given(strategies.integers(0, 12), strategies.integers(0), _PLACES)
def test_no_part_of_a_stream_counts_as_whole(
    count: int,
    length: int,
    places: list[int],
) -> None:
    """Wherever a stream ends before its last event, that is an error."""
    text = b''.join(map(_event, range(count))) + _DONE
    part = text[: length % len(text)]
    with pytest.raises(errors.CutShortError):
        asyncio.run(_collect(_Answer(_cut(part, places))))


@_SETTINGS
@hypothesis.given(
    strategies.integers(1, 20),
    strategies.lists(strategies.integers(0, 100000), max_size=3),
    strategies.booleans(),
)
def test_resumed_stream_has_each_event_once(
    count: int,
    lengths: list[int],
    numbered: bool,
) -> None:
    """Up to three breaks, anywhere: the bytes of one whole stream."""
    events = [_event(number) for number in range(count)]
    if numbered:
        events = [
            b'id: %d\n' % number + event for number, event in enumerate(events)
        ]
    events.append(_DONE)
    cuts = iter(lengths)

    def answer(first: int) -> _Answer:
        text = b''.join(events[first:])
        length = next(cuts, None)
        return _Answer([text if length is None else text[: length % len(text)]])

    async def resume(first: int) -> _Answer:
        return answer(first)

    whole = virtual.run(_collect(answer(0), resume))
    assert whole == b''.join(events)


def test_gap_in_numbered_events_is_noticed() -> None:
    """An engine that resumes too late loses an event, and that is seen."""
    parts = (b'id: 0\n', _event(0), b'id: 2\n', _event(2), _DONE)
    chunk = b''.join(parts)
    with pytest.raises(errors.GarbledError):
        asyncio.run(_collect(_Answer([chunk])))


@pytest.mark.parametrize(
    'raw',
    [b'data: {"id": 5}\n\n', b'data: [1]\n\n', b'nonsense\n\n', b'data: \n\n'],
)
def test_what_is_no_event_is_garbled(raw: bytes) -> None:
    """Each is refused instead of handed on."""
    with pytest.raises(errors.GarbledError):
        sse.read_event(raw)
