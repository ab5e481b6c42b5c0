"""Reads typed fields from the tables of a document and collects faults.

Each getter returns a value of the right type whatever the file holds, so that
reading goes on and an operator is told of all faults in one go.
"""

import dataclasses
import math
import typing

from geraniumweir.configuration import errors, lines

MAX_NAME = 200
_Table = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where in a document something stands.

    :ivar table: such as ``rule``.
    :ivar number: which table of that name, from 0.
    :ivar name: the name of the rule, customer, pool or server, if it has one.
    :ivar field: with dots, such as ``then.tier``.
    """

    table: str
    number: int = 0
    name: str | None = None
    field: str = ''

    def __str__(self) -> str:
        """Write the place for an operator.

        >>> str(Place('rule', 0, 'a', 'then.tier'))
        "rule 'a', then.tier"
        >>> str(Place('rule', 2))
        'rule number 3'
        """
        entry = f'{self.table} {self.name!r}'
        if self.name is None:
            entry = f'{self.table} number {self.number + 1}'
        return f'{entry}, {self.field}' if self.field else entry

    def inside(self, key: str) -> 'Place':
        """Give the place of a field in this one."""
        field = f'{self.field}.{key}' if self.field else key
        return dataclasses.replace(self, field=field)


class Collector:
    """Faults found so far, with their lines."""

    def __init__(self, text: str) -> None:
        """Start without faults.

        :param text: the document.
        """
        self.faults: list[errors.Fault] = []
        self._text = text
        self._found: lines.Lines | None = None
        self._named: dict[tuple[str, str], Place] = {}

    def add(self, place: Place, reason: str) -> None:
        """Add a fault in a table."""
        line = self.line(place)
        self.faults.append(errors.Fault(str(place), reason, line))

    def add_at_root(self, key: str, reason: str) -> None:
        """Add a fault of a key outside all tables."""
        found = self._lines()
        line = found.find('', 0, key) or found.find(key, 0)
        self.faults.append(errors.Fault(key, reason, line))

    def line(self, place: Place) -> int | None:
        """Give the line of a place."""
        return self._lines().find(place.table, place.number, place.field)

    def enter(self, place: Place) -> None:
        """Remember a named table; two of one name are a fault."""
        name = place.name or ''
        first = self._named.setdefault((place.table, name), place)
        if first is not place:
            at = self.line(first)
            self.add(place, f'the name is taken by the one in line {at}')

    def place(self, table: str, name: str, field: str = '') -> Place:
        """Give the place of a named table that was entered."""
        found = self._named[(table, name)]
        return found.inside(field) if field else found

    def _lines(self) -> lines.Lines:
        """Look for lines only when there is a fault to place."""
        if self._found is None:
            self._found = lines.Lines(self._text)
        return self._found


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Which numbers are accepted.

    :ivar low: the least, itself accepted unless ``above`` is set.
    :ivar high: the greatest, itself accepted.
    """

    low: float
    high: float
    above: bool = False

    def __contains__(self, number: float) -> bool:
        """Tell whether a number is accepted."""
        if not math.isfinite(number) or number > self.high:
            return False
        return number > self.low or (number == self.low and not self.above)

    def __str__(self) -> str:
        """Say what is accepted."""
        if self.above:
            return f'above {self.low:g} and at most {self.high:g}'
        return f'from {self.low:g} to {self.high:g}'


@dataclasses.dataclass(frozen=True, slots=True)
class Fields:
    """One table, at its place."""

    table: _Table
    place: Place
    collector: Collector

    def only(self, keys: typing.Collection[str]) -> None:
        """Call every other key a fault.

        A misspelt limit that is silently ignored is worse than a refused
        file.
        """
        for key in self.table:
            if key not in keys:
                accepted = ', '.join(sorted(keys))
                self.fault(key, f'unknown key; accepted are {accepted}')

    def fault(self, key: str, reason: str) -> None:
        """Add a fault of one field."""
        self.collector.add(self.place.inside(key), reason)

    def text(self, key: str) -> str | None:
        """Read a text that is printable and not empty."""
        found = self._typed(key, str, 'a text')
        if found is None:
            return None
        if not found.strip() or not found.isprintable():
            self.fault(key, f'{found!r} is not a printable text')
            return None
        if len(found) > MAX_NAME:
            self.fault(key, f'is longer than {MAX_NAME} characters')
            return None
        return typing.cast(str, found)

    def flag(self, key: str) -> bool | None:
        """Read true or false."""
        return typing.cast(bool | None, self._typed(key, bool, 'true or false'))

    def integer(self, key: str, bounds: Bounds) -> int | None:
        """Read a whole number."""
        found = self._typed(key, int, 'a whole number')
        return typing.cast(int | None, self._within(key, found, bounds))

    def number(self, key: str, bounds: Bounds) -> float | None:
        """Read a number with or without a fraction."""
        found = self._typed(key, (int, float), 'a number')
        return self._within(key, found, bounds)

    def texts(self, key: str) -> tuple[str, ...]:
        """Read a list of texts; one alone may stand without the list."""
        found = self.table.get(key)
        if found is None:
            return ()
        listed = [found] if isinstance(found, str) else found
        if not isinstance(listed, list) or not all(map(_is_name, listed)):
            self.fault(key, f'{_shown(found)} is not a list of names')
            return ()
        if not listed:
            # An emptied list must not turn into a rule for everybody.
            self.fault(key, 'is empty; leave the key out to match all')
        return tuple(listed)

    def inner(self, key: str) -> 'Fields':
        """Read a table inside this one; a missing one is empty."""
        found = self.table.get(key, {})
        if not isinstance(found, dict):
            self.fault(key, f'{_shown(found)} is not a table')
            found = {}
        return Fields(found, self.place.inside(key), self.collector)

    def _typed(
        self,
        key: str,
        wanted: type | tuple[type, ...],
        word: str,
    ) -> typing.Any:
        found = self.table.get(key)
        if found is None:
            return None
        # To the language a bool is an int; to an operator it is not.
        is_flag = isinstance(found, bool) and wanted is not bool
        if is_flag or not isinstance(found, wanted):
            self.fault(key, f'{_shown(found)} is not {word}')
            return None
        return found

    def _within(
        self,
        key: str,
        found: float | None,
        bounds: Bounds,
    ) -> float | None:
        if found is None or found in bounds:
            return found
        self.fault(key, f'{_shown(found)} is not {bounds}')
        return None


def _is_name(found: object) -> bool:
    if not isinstance(found, str) or len(found) > MAX_NAME:
        return False
    return bool(found.strip()) and found.isprintable()


def _shown(found: object) -> str:
    """Show a wrong value, shortened."""
    try:
        text = repr(found)
    except ValueError:
        # The language refuses to write integers of thousands of digits.
        return 'a huge number'
    return text if len(text) <= MAX_NAME else f'{text[:MAX_NAME]}...'
