"""Finds the lines of tables and fields in the text of a document.

The TOML reader of the standard library gives values without places. Here the
text, already known to be valid, is looked through once more: strings and
comments are blanked, then headers and keys are seen at the starts of lines. A
field whose own line isn't found, such as one inside an inline table, gets the
line of what holds it.

References
==========
.. [1] TOML v1.0.0, https://toml.io/en/v1.0.0
"""

import re
import typing

_OPAQUE = re.compile(
    r'"""(?:\\.|[^\\])*?"{3,5}'
    r"|'''.*?'{3,5}"
    r'|"(?:\\.|[^"\\\n])*"'
    r"|'[^'\n]*'"
    r'|\#[^\n]*',
    re.DOTALL,
)
_KEY = r'[A-Za-z0-9_-]+(?:[ \t]*\.[ \t]*[A-Za-z0-9_-]+)*'
_HEADER = re.compile(rf'^[ \t]*(\[\[?)[ \t]*({_KEY})[ \t]*\]', re.MULTILINE)
_FIELD = re.compile(rf'^[ \t]*({_KEY})[ \t]*=', re.MULTILINE)
_Spot = tuple[str, int, str]


class Lines:
    """The lines of one document.

    >>> rows = ('[[rule]]', 'name = "a"', 'then = { tier = 9 }')
    >>> lines = Lines(chr(10).join(rows))
    >>> lines.find('rule', 0, 'then.tier')
    3
    >>> lines.find('rule', 0, 'when')
    1
    """

    def __init__(self, text: str) -> None:
        """Look through a text.

        :param text: valid TOML.
        """
        self._spots: dict[_Spot, int] = {}
        self._counts: dict[str, int] = {}
        self._section = ('', 0, '')
        for line, text_line in enumerate(_blanked(text).split('\n'), start=1):
            self._read_line(line, text_line)

    def find(self, table: str, number: int, field: str = '') -> int | None:
        """Give the line of a field, or else of what holds it.

        :param table: such as ``rule``, or empty for the root.
        :param number: which of the tables of that name, from 0.
        :param field: with dots, such as ``then.tier``.
        :returns: from 1, or None where nothing is found.
        """
        while field:
            found = self._spots.get((table, number, field))
            if found is not None:
                return found
            field = field.rpartition('.')[0]
        found = self._spots.get((table, number, ''))
        return found or self._spots.get(('', 0, table))

    def _read_line(self, line: int, text: str) -> None:
        header = _HEADER.match(text)
        if header is not None:
            self._enter(header[2], is_entry=header[1] == '[[')
            self._spots.setdefault(self._section, line)
            return
        field = _FIELD.match(text)
        if field is not None:
            table, number, prefix = self._section
            name = _joined(prefix, _without_spaces(field[1]))
            self._spots.setdefault((table, number, name), line)

    def _enter(self, header: str, *, is_entry: bool) -> None:
        table, _, rest = _without_spaces(header).partition('.')
        count = self._counts.get(table, 0)
        if is_entry and not rest:
            count += 1
            self._counts[table] = count
        self._section = (table, max(count - 1, 0), rest)


def _blanked(text: str) -> str:
    return _OPAQUE.sub(_blank, text)


def _blank(found: re.Match[str]) -> str:
    """Keep the line breaks, so that lines stay where they are."""
    breaks = '\n' * found[0].count('\n')
    return f'_{breaks}'


def _without_spaces(key: str) -> str:
    return re.sub(r'[ \t]', '', key)


def _joined(*parts: str) -> str:
    return '.'.join(part for part in parts if part)


def line_of_syntax_error(message: str) -> int | None:
    """Take the line out of the TOML reader's message.

    >>> line_of_syntax_error('Invalid value (at line 3, column 5)')
    3
    """
    found: typing.Any = re.search(r'at line (\d+)', message)
    return None if found is None else int(found[1])
