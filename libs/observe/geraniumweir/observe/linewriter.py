"""Writes log lines without ever making the process wait.

Lines go into a bounded queue that a thread empties. When what reads them
stands still, the queue fills, further lines are left out, and how many is
told as soon as lines flow again.
"""

import collections
import threading
import typing

# At 500 bytes a line the queue takes 2 MB at most, 1 in 100 of the memory of
# the smallest host; it holds what a busy host writes in a minute and a half.
_MOST_LINES = 4096
# Lines are gathered for so long, in seconds, and written together: a write for
# each of 40 lines a second would wake the thread as often.
_GATHER_SECONDS = 0.05
# What a process that ends leaves for its last lines, in seconds.
_LAST_SECONDS = 0.5

Summary = typing.Callable[[int], str]


class LineWriter:
    """What a log handler takes for its stream."""

    def __init__(
        self,
        stream: typing.TextIO,
        summary: Summary,
        most: int = _MOST_LINES,
    ) -> None:
        """Write to a stream, which may block.

        :param summary: makes the line that tells how many were left out.
        :param most: lines that may wait.
        """
        self._stream = stream
        self._summary = summary
        self._most = most
        self._lines: collections.deque[str] = collections.deque()
        self._left_out = 0
        self._closed = False
        self._wanted = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text: str) -> None:
        """Take a line, or leave it out while too many wait."""
        if len(self._lines) >= self._most:
            self._left_out += 1
            return
        self._lines.append(text)
        self._wanted.set()

    def flush(self) -> None:
        """Do nothing: the thread writes as soon as it can."""

    def close(self) -> None:
        """Give the thread a moment for the last lines."""
        self._closed = True
        self._wanted.set()
        self._thread.join(_LAST_SECONDS)

    def _run(self) -> None:
        while not self._closed or self._lines:
            self._wanted.wait()
            if not self._closed:
                threading.Event().wait(_GATHER_SECONDS)
            self._wanted.clear()
            self._write_all()

    def _write_all(self) -> None:
        parts = [self._lines.popleft() for _ in range(len(self._lines))]
        if self._left_out:
            parts.append(self._summary(self._left_out))
            self._left_out = 0
        try:
            self._stream.write(''.join(parts))
            self._stream.flush()
        except (OSError, ValueError):
            # Nobody reads any more; there is no one left to tell.
            self._closed = True
