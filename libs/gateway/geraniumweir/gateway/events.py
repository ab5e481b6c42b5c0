"""Splits a server's stream into whole events and checks that they follow.

References
==========
.. [1] WHATWG, "HTML Living Standard", section 9.2, "Server-sent events".
"""

import re

from geraniumweir.gateway import errors

_END = b'\n\n'
_NUMBER = re.compile(rb'(?:^|\n)id: ?(\d+)')
# Longest event that is waited for, in bytes; servers' are some hundred long.
_MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    r"""Cuts bytes into whole events, of one run of a stream or several.

    :ivar last: number of the last event that was given, None before it.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> splitter.last, splitter.is_complete()
    (1, False)
    """

    def __init__(self, last: int | None = None) -> None:
        """Begin a stream, or go on behind an event.

        :param last: number of that event.
        """
        self.last = last
        self.count = 0
        self._incomplete = b''

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes and give the events that are whole now.

        :raises errors.BrokenStreamError: when events don't follow each
            other.
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
        """Tell whether no event is cut."""
        return not self._incomplete

    def discard_incomplete(self) -> None:
        """Drop a cut event: another run goes on behind the last whole one."""
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
