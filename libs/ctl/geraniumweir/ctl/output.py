"""Prints answers as tables for people or as JSON for programs."""

import datetime
import enum
import json
import sys
import typing

import tabulate

Row = typing.Mapping[str, typing.Any]

_DIGITS = 3


class Form(enum.Enum):
    """How an answer is printed."""

    table = 'table'
    json = 'json'


def rows(form: Form, name: str, found: typing.Sequence[Row]) -> None:
    """Print rows of one kind.

    :param name: of the rows, the key in JSON.
    """
    match form:
        case Form.json:
            document({name: found})
        case Form.table:
            cells = [
                {key: cell(field) for key, field in row.items()}
                for row in found
            ]
            table = tabulate.tabulate(
                cells, headers='keys', disable_numparse=True
            )
            line(table or f'no {name}')


def fields(form: Form, found: Row) -> None:
    """Print one thing, a field a line."""
    match form:
        case Form.json:
            document(found)
        case Form.table:
            pairs = [(key, cell(field)) for key, field in found.items()]
            line(
                tabulate.tabulate(
                    pairs, tablefmt='plain', disable_numparse=True
                )
            )


def document(answer: typing.Any) -> None:
    """Print JSON."""
    line(json.dumps(answer, indent=2))


def line(text: str) -> None:
    """Print a line."""
    sys.stdout.write(f'{text}\n')


def warn(text: str) -> None:
    """Print a line for people, apart from the answer."""
    sys.stderr.write(f'{text}\n')


def cell(field: typing.Any) -> str:
    """Write one field of a table.

    >>> cell(['a', 'b']), cell(None), cell(True), cell(1.25)
    ('a,b', '-', 'yes', '1.25')
    """
    match field:
        case None:
            return '-'
        case bool():
            return 'yes' if field else 'no'
        case list() | tuple():
            return ','.join(map(str, field)) or '-'
        case dict():
            return json.dumps(field)
        case float():
            return str(round(field, _DIGITS))
        case _:
            return str(field)


def moment(seconds: float) -> str:
    """Write a time of the wall clock.

    :param seconds: since 1970.

    >>> moment(0)
    '1970-01-01T00:00:00+00:00'
    """
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.isoformat(timespec='seconds')
