"""Finds an answer that follows a body without an end of its own.

A server may send an answer twice. Behind a body that ends with its connection,
the extra one looks like more of that body.
Load: each piece of such a body.
"""

import re
import typing

import multidict

_MARK = b'HTTP/1.'
# Bytes of a head that was cut by which it is told from the end of a body.
_MIN_CUT_BYTES = 4
_HEAD = re.compile(
    rb"""
    HTTP/1\.[01][ ][0-9]{3}(?:[ ][^\r\n]{0,64})?\r\n
    (?:[-!#$%&'*+.^_`|~0-9A-Za-z]{1,256}:[^\r\n]{0,8192}\r\n){0,256}
    \r\n
    """,
    re.VERBOSE,
)
# A head that may go on behind the last byte.
_BEGIN = re.compile(
    rb"""
    HTTP/1\.(?:[01](?:[ ](?:
        [0-9]{0,2}
        |[0-9]{3}(?:[ ][^\r\n]{0,64})?(?:\r(?:\n
            (?:[-!#$%&'*+.^_`|~0-9A-Za-z]{1,256}:[^\r\n]{0,8192}\r\n){0,256}
            [-!#$%&'*+.^_`|~0-9A-Za-z]{0,256}(?::[^\r\n]{0,8192})?\r?
        )?)?
    ))?)?\Z
    """,
    re.VERBOSE,
)

Headers = multidict.CIMultiDict[str]


class SurplusFinder:
    """Splits a body from an answer behind it.

    :ivar found: whether another answer follows the bytes that were returned.
    """

    def __init__(self, is_answer: typing.Callable[[Headers], bool]) -> None:
        """Initialize at the begin of a body.

        :param is_answer: returns whether a head with some headers is that of
            an answer on the same connection.
        """
        self.found = False
        self._is_answer = is_answer
        self._held = b''

    @property
    def held(self) -> bytes:
        """Bytes that may begin another head."""
        return self._held

    @property
    def is_cut(self) -> bool:
        """Whether these bytes are taken for a head that was cut."""
        return len(self._held) >= _MIN_CUT_BYTES

    def feed(self, chunk: bytes) -> bytes:
        """Return bytes that are of the body, as far as it is known."""
        received = self._held + chunk
        self._held = b''
        begin = _find_mark(received, 0)
        while begin >= 0:
            head = _HEAD.match(received, begin)
            if head and self._is_answer(_read_headers(head.group())):
                self.found = True
                return received[:begin]
            if len(received) - begin < len(_MARK) or _BEGIN.match(
                received, begin
            ):
                self._held = received[begin:]
                return received[:begin]
            begin = _find_mark(received, begin + 1)
        return received


def _find_mark(received: bytes, start: int) -> int:
    """Return where a head may begin, -1 for nowhere."""
    found = received.find(_MARK, start)
    if found >= 0:
        return found
    for size in range(len(_MARK) - 1, 0, -1):
        if received.endswith(_MARK[:size], start):
            return len(received) - size
    return -1


def _read_headers(head: bytes) -> Headers:
    lines = head.decode('utf-8', 'surrogateescape').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:] if line)
    return multidict.CIMultiDict(
        (name, text.strip()) for name, _, text in pairs
    )
