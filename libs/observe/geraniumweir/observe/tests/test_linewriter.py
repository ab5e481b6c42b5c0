"""A log that nobody reads holds nothing up and says what it left out."""

import threading
import time
import typing

from geraniumweir.observe import linewriter, logs


class _Stuck:
    """A stream that blocks until it is let go."""

    def __init__(self) -> None:
        self.go_on = threading.Event()
        self.written: list[str] = []

    def write(self, text: str) -> None:
        self.go_on.wait()
        self.written.append(text)

    def flush(self) -> None:
        """Nothing is kept back."""


def _writer(stream: typing.Any) -> linewriter.LineWriter:
    return linewriter.LineWriter(stream, '{0} left out\n'.format, most=5)


def test_stuck_reader_makes_nobody_wait() -> None:
    """Lines over the bound are counted; the count is told later."""
    stream = _Stuck()
    writer = _writer(stream)
    started = time.monotonic()
    for number in range(1000):
        writer.write(f'{number}\n')
    assert time.monotonic() - started < 1
    stream.go_on.set()
    writer.close()
    told = ''.join(stream.written)
    assert told.startswith('0\n1\n')
    assert 'left out' in told


def test_every_line_is_written_in_order() -> None:
    """Nothing is left out while lines flow."""
    stream = _Stuck()
    stream.go_on.set()
    writer = _writer(stream)
    for number in range(3):
        writer.write(f'{number}\n')
    writer.close()
    assert ''.join(stream.written) == '0\n1\n2\n'


def test_one_event_is_bounded_by_second() -> None:
    """A flood of one event leaves room for the others."""
    bound = logs.Bound(most=2)
    assert [bound.lets(7, 0.1) for _ in range(4)] == [True, True, False, False]
    assert bound.lets(8, 0.2)
    assert bound.lets(7, 1.1)
    assert bound.left_out() == {7: 2}
