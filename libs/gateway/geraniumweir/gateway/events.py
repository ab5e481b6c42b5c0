"""Splits a server's stream into complete events and checks their sequence.

References
==========
.. [1] WHATWG, "HTML Living Standard", section 9.2, "Server-sent events".
"""

import re

from geraniumweir.gateway import errors

_END = re.compile(rb'\n\r?\n')
_END_BYTES = 3
_ID = b'id:'
_DATA = re.compile(rb'^data(?::|\r?$)', re.MULTILINE)
# Begins no event, but the head of an answer behind one that was not ended.
_ANSWER = b'HTTP/1.'
_MAX_DIGITS = 18
# Longer events are rejected; events of servers have a few hundred bytes.
_MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    r"""Splitter of a stream into complete events, across several attempts.

    :ivar last: number of the last event that was returned, None before it.
    :ivar count: number of events that were returned.
    :ivar is_numbered: whether its last event with data had a number, so that
        another attempt can resume behind it.

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
        self.is_numbered = True
        self._incomplete = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that are complete with these bytes.

        If one of them is not of the stream, none counts as returned.

        :raises errors.InvalidStreamError: if an event is out of sequence or
            too long.
        """
        last, count, is_numbered = self.last, self.count, self.is_numbered
        try:
            return self._split(chunk)
        except errors.InvalidStreamError:
            self.last = last
            self.count = count
            self.is_numbered = is_numbered
            raise

    def is_complete(self) -> bool:
        """Return whether there is no incomplete event."""
        return not self._incomplete

    def discard_incomplete(self) -> None:
        """Discard an incomplete event: the next attempt resumes before it."""
        self._incomplete = b''

    def _split(self, chunk: bytes) -> bytes:
        received = self._incomplete + chunk
        taken = 0
        # None ends within the bytes that were incomplete before.
        searched = max(len(self._incomplete) - _END_BYTES + 1, 0)
        for end in _END.finditer(received, searched):
            self._take(received[taken : end.start()])
            taken = end.end()
        self._incomplete = received[taken:]
        if len(self._incomplete) > _MAX_EVENT_BYTES:
            raise errors.InvalidStreamError('an event without an end')
        return received[:taken]

    def _take(self, event: bytes) -> None:
        if event.startswith(_ANSWER):
            raise errors.InvalidStreamError('another answer came behind events')
        number = _number_of(event)
        if number is not None:
            if self.last is not None and number != self.last + 1:
                raise errors.InvalidStreamError(
                    f'event {number} came behind event {self.last}',
                )
            self.last = number
            self.is_numbered = True
        elif _DATA.search(event):
            self.is_numbered = False
        self.count += 1


def _number_of(event: bytes) -> int | None:
    """Return the number of an event; of several ids the last one counts."""
    line_end = event.rfind(b'\n%b' % _ID)
    if line_end < 0 and not event.startswith(_ID):
        return None
    field, _, _ = event[line_end + 1 + len(_ID) :].partition(b'\n')
    text = field.removeprefix(b' ').removesuffix(b'\r')
    return int(text) if text.isdigit() and len(text) <= _MAX_DIGITS else None
