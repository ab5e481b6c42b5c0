"""Ended spans on their way to the trace file.

A bounded queue, emptied by one thread, so that a slow disk never holds up a
request: what doesn't fit is dropped and counted.
"""

import collections
import threading

from geraniumweir.common import ids
from geraniumweir.observe import tracefile

_LIMIT = 8192
_FLUSH_SECONDS = 0.2


class SpanQueue:
    """Takes spans on the event loop and writes them on a thread."""

    def __init__(
        self,
        host: ids.HostId,
        writer: tracefile.Writer,
        limit: int = _LIMIT,
    ) -> None:
        """Start the thread.

        :param writer: closed together with the queue.
        :param limit: most spans that wait.
        """
        self.host = host
        self.dropped = 0
        self._writer = writer
        self._limit = limit
        self._waiting: collections.deque[tracefile.SpanRecord] = (
            collections.deque()
        )
        self._writing = threading.Lock()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def put(self, span: tracefile.SpanRecord) -> None:
        """Take a span, or drop it when too many wait."""
        if len(self._waiting) >= self._limit:
            self.dropped += 1
            return
        self._waiting.append(span)

    def flush(self) -> None:
        """Write all that wait; any thread may call it."""
        with self._writing:
            count = len(self._waiting)
            batch = [self._waiting.popleft() for _ in range(count)]
            if batch and not self._writer.write(batch):
                self.dropped += count

    def close(self) -> None:
        """Write all that wait and close the file."""
        self._closing.set()
        self._thread.join()
        self.flush()
        self._writer.close()

    def _run(self) -> None:
        while not self._closing.wait(_FLUSH_SECONDS):
            self.flush()
