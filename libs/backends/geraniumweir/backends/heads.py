"""The grammar of answers' heads.

Parsers repair some malformed lines, and each does it in another way, so that
what the server meant can't be known: neither its headers nor where its body
ends [1]_.
Load: each head that comes, some ten lines.

References
==========
.. [1] RFC 9112, "HTTP/1.1", sections 4 and 5; RFC 9110, "HTTP Semantics",
   section 5.
"""

import re

from aiohttp import http_exceptions

MARK = b'HTTP/1.'
TOKEN_BYTE = rb"[-!#$%&'*+.^_`|~0-9A-Za-z]"
_TEXT = rb'[\t\x20-\x7e\x80-\xff]*'
_STATUS_LINE = re.compile(
    b''.join((rb'HTTP/1\.[01] [0-9]{3}(?: ', _TEXT, rb')?(\r?\n)'))
)
_FIELD_LINE = re.compile(b''.join((TOKEN_BYTE, b'+:', _TEXT, rb'(\r?\n)')))
_NEWLINE = b'\n'


def find_mark(content: bytes, start: int) -> int:
    """Return where a head may begin, -1 for nowhere."""
    found = content.find(MARK, start)
    if found >= 0:
        return found
    for size in range(len(MARK) - 1, 0, -1):
        if content.endswith(MARK[:size], start):
            return len(content) - size
    return -1


class MalformedHeadError(http_exceptions.BadHttpMessage):
    """Bytes that are not the head of an answer."""


class HeadChecker:
    """Checks heads that follow each other, line by line as their bytes come.

    All lines of a head have to end alike.

    :ivar complete: whether the last byte that was checked ended a head.
    """

    def __init__(self) -> None:
        """Initialize before the first head."""
        self.complete = False
        self._line = b''
        self._line_end = b''

    def feed(self, content: bytes, start: int) -> int:
        """Check bytes from some position up to the end of a head.

        :returns: the position behind the head, or that of the content's end.
        :raises MalformedHeadError: if they are not part of a head.
        """
        self.complete = False
        while start < len(content) and not self.complete:
            end = content.find(_NEWLINE, start) + 1 or len(content)
            self._line += content[start:end]
            start = end
            if self._line.endswith(_NEWLINE):
                self._check_line(self._line)
                self._line = b''
        return start

    def _check_line(self, line: bytes) -> None:
        """Check a whole line.

        :raises MalformedHeadError: if it is malformed.
        """
        if not self._line_end:
            self._line_end = _end_of(_STATUS_LINE, line)
        elif line == self._line_end:
            self.complete = True
            self._line_end = b''
        elif _end_of(_FIELD_LINE, line) != self._line_end:
            raise MalformedHeadError('lines of the head end differently')


def _end_of(grammar: re.Pattern[bytes], line: bytes) -> bytes:
    """Return the bytes that end a line.

    :raises MalformedHeadError: if it doesn't match its grammar.
    """
    found = grammar.fullmatch(line)
    if found is None:
        raise MalformedHeadError('a line of the head is malformed')
    return found.group(1)
