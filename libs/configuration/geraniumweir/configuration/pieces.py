"""Keeps what was read of the single tables of the last documents.

Most changes touch one table of a long document. The text is cut before each
``[[...]]`` header of a table that a document has; a piece whose text is the
same as one of the last two documents read isn't read again. Each piece is read
as a document of its own, which gives the same as the whole: pieces begin at
the start of a line, and each must hold one table under its header and nothing
else. What doesn't fit (strings over several lines, other tables or headers,
faults) is left to reading the whole, so that faults have their lines.

References
==========
.. [1] TOML v1.0.0, "Array of Tables", https://toml.io/en/v1.0.0
"""

import dataclasses
import re
import tomllib
import typing

_HEADER = re.compile(
    r'\n\[\[(?:customer|pool|rule|server)\]\]',
)
_LONG_QUOTES = ('"' * 3, "'" * 3)


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """One table that was read without a fault.

    :ivar text: from its header to the next.
    :ivar table: such as ``rule``.
    :ivar name: of the rule, customer, pool or server.
    :ivar entry: what was read.
    """

    text: str
    table: str
    name: str
    entry: typing.Any


ReadPiece = typing.Callable[[str], Piece | None]


class Pieces:
    """The pieces of the last two documents read."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._newest: dict[str, Piece] = {}
        self._older: dict[str, Piece] = {}

    def read(self, text: str, read_piece: ReadPiece) -> list[Piece] | None:
        """Give the pieces of a document in order.

        :param read_piece: reads one that isn't known; None when it has a
            fault or is no single table.
        :returns: None when the document must be read as a whole.
        """
        texts = cut(text)
        if texts is None:
            return None
        found = []
        for one in texts:
            piece = self._known(one) or read_piece(one)
            if piece is None:
                return None
            found.append(piece)
        self._older = self._newest
        self._newest = {piece.text: piece for piece in found}
        return found

    def forget(self) -> None:
        """Read all anew next time."""
        self._newest = {}
        self._older = {}

    def _known(self, text: str) -> Piece | None:
        return self._newest.get(text) or self._older.get(text)


def cut(text: str) -> list[str] | None:
    """Cut a document before the headers of its tables.

    :returns: None when it can't be cut.

    >>> rows = ('# A', '[[pool]]', 'name = 1', '[[pool]]', 'name = 2')
    >>> [len(one) for one in cut(chr(10).join(rows))]
    [18, 17]
    >>> cut('pool = []') is None
    True
    """
    if any(quotes in text for quotes in _LONG_QUOTES):
        return None
    # Each place before a header is that of the header without the break
    # put in front.
    starts = [found.start() for found in _HEADER.finditer(f'\n{text}')]
    if not starts or not _is_empty(text[: starts[0]]):
        return None
    ends = [*starts[1:], len(text)]
    return [text[start:end] for start, end in zip(starts, ends, strict=True)]


def _is_empty(text: str) -> bool:
    try:
        return not tomllib.loads(text)
    except ValueError:
        return False
