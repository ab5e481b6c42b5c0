"""Finds an answer that follows a body without an end of its own.

A server may send an answer twice. Behind a body that ends with its connection,
the extra one looks like more of that body.
Load: each piece of such a body.
"""

import re
import typing

import multidict
from geraniumweir.backends import heads

# Bytes of a head that was cut by which it is told from the end of a body.
_MIN_CUT_BYTES = 4
_STATUS = rb'HTTP/1\.[01] [0-9]{3}(?: [^\r\n]{0,64})?'
_VALUE = rb':[^\r\n]{0,8192}'
_FIELDS = b''.join(
    (b'(?:', heads.TOKEN_BYTE, b'{1,256}', _VALUE, rb'\r\n){0,256}')
)
_HEAD = re.compile(b''.join((_STATUS, rb'\r\n', _FIELDS, rb'\r\n')))
# A head that may go on behind the last byte: cut in its status line, at the end
# of it, or in a field.
_BEGIN = re.compile(
    b''.join(
        (
            rb'(?:HTTP/1\.(?:[01](?: [0-9]{0,3})?)?|',
            _STATUS,
            rb'\r?|',
            _STATUS,
            rb'\r\n',
            _FIELDS,
            heads.TOKEN_BYTE,
            b'{0,256}(?:',
            _VALUE,
            rb')?\r?)\Z',
        )
    )
)

Headers = multidict.CIMultiDict[str]


class SurplusFinder:
    """Splits a body from an answer behind it.

    :ivar found: whether another answer follows the bytes that were returned.
    :ivar held: bytes that may begin another head.
    """

    def __init__(self, is_answer: typing.Callable[[Headers], bool]) -> None:
        """Initialize at the begin of a body.

        :param is_answer: returns whether a head with some headers is that of
            an answer on the same connection.
        """
        self.found = False
        self.held = b''
        self._is_answer = is_answer

    @property
    def is_cut(self) -> bool:
        """Whether these bytes are taken for a head that was cut."""
        return len(self.held) >= _MIN_CUT_BYTES

    def feed(self, chunk: bytes) -> bytes:
        """Return bytes that are of the body, as far as it is known."""
        received = self.held + chunk
        self.held = b''
        begin = heads.find_mark(received, 0)
        while begin >= 0:
            head = _HEAD.match(received, begin)
            if head and self._is_answer(_read_headers(head.group())):
                self.found = True
                return received[:begin]
            if len(received) - begin < len(heads.MARK) or _BEGIN.match(
                received, begin
            ):
                self.held = received[begin:]
                return received[:begin]
            begin = heads.find_mark(received, begin + 1)
        return received


def _read_headers(head: bytes) -> Headers:
    lines = head.decode('utf-8', 'surrogateescape').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:] if line)
    return multidict.CIMultiDict(
        (name, text.strip()) for name, _, text in pairs
    )
