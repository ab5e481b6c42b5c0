"""Tests of the log's lines."""

import io
import json
import typing

import pytest
from geraniumweir.common import logevents
from geraniumweir.observe import logs

_EVENT = logevents.Event(899, logevents.Level.info, 'customer {name} came')


def _lines(level: logevents.Level, form: logs.Format, **fields: str) -> str:
    stream = io.StringIO()
    handler = logs.setup(level, form, stream, host='entry-1')
    try:
        logs.log(_EVENT, **fields)
    finally:
        handler.pop_application()
    return stream.getvalue()


def test_json_line_holds_number_and_fields() -> None:
    """A program finds the event's number and the fields."""
    text = _lines(logevents.Level.info, logs.Format.json, name='a"b\n')
    line: dict[str, typing.Any] = json.loads(text)
    assert line['event'] == 899
    assert line['fields'] == {'name': 'a"b\n'}
    assert line['host'] == 'entry-1'


def test_field_can_not_start_a_line() -> None:
    """A name with a line break forges no second line."""
    text = _lines(
        logevents.Level.info, logs.Format.text, name='x\n2026 error 1 forged'
    )
    assert text.count('\n') == 1


def test_other_fields_follow_the_sentence() -> None:
    """Fields that the template doesn't hold are not lost."""
    text = _lines(logevents.Level.info, logs.Format.text, name='x', tier='2')
    assert text.endswith(' info 899 customer x came tier=2\n')


def test_missing_field_does_not_raise() -> None:
    """A wrong log call must not break a request."""
    text = _lines(logevents.Level.info, logs.Format.text)
    assert 'customer {name} came' in text


@pytest.mark.parametrize('level', ['notice', 'warning', 'error'])
def test_lower_levels_are_left_out(level: str) -> None:
    """The level filters."""
    assert not _lines(logevents.Level(level), logs.Format.text, name='x')
