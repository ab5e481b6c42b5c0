"""Splits a server's stream into complete events and checks their sequence.

References
==========
.. [1] WHATWG, "HTML Living Standard", section 9.2, "Server-sent events".
"""

import re

from geraniumweir.gateway import errors

_END = b'\n\n'
_NUMBER = re.compile(rb'(?:^|\n)id: ?(\d+)')
# Longer events are rejected; events of servers have a few hundred bytes.
_MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    r"""Splitter of a stream into complete events, across several attempts.

    :ivar last: number of the last event that was returned, None before it.
    :ivar count: number of events that were returned.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> splitter.last, splitter.is_complete()
    (1, False)
    """

    def __init__(self, last: int | None = None) -> None:
        """Initialize at the start of a stream or after an event.

        :param last: number of that event, None at the start.
        """
        self.last = last
        self.count = 0
        self._incomplete = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that are complete with these bytes.

        :raises errors.InvalidStreamError: if an event is out of sequence or
            too long.
        """
        complete, end, incomplete = (self._incomplete + chunk).rpartition(_END)
        if len(incomplete) > _MAX_EVENT_BYTES:
            raise errors.InvalidStreamError('an event without an end')
        self._incomplete = incomplete
        if not end:
            return b''
        for event in complete.split(_END):
            self._check_sequence(event)
        return complete + end

    def is_complete(self) -> bool:
        """Return whether there is no incomplete event."""
        return not self._incomplete

    def discard_incomplete(self) -> None:
        """Discard an incomplete event: the next attempt resumes before it."""
        self._incomplete = b''

    def _check_sequence(self, event: bytes) -> None:
        self.count += 1
        found = _NUMBER.search(event)
        if found is None:
            return
        number = int(found.group(1))
        if self.last is not None and number != self.last + 1:
            raise errors.InvalidStreamError(
                f'event {number} came behind event {self.last}',
            )
        self.last = number
