"""Tests of reading and checking documents."""

import re

import hypothesis
import pytest
from geraniumweir.configuration import document, errors, reading
from hypothesis import strategies

_TEMPLATE = """
[[customer]]
name = "liceo-volta"
key_sha256 = "{digest}"
share = 2

[[pool]]
name = "lm-advisori"

[[pool]]
name = "sportello-app"
kind = "service"

[[rule]]
name = "quick lookups"
when = {{ customer = ["liceo-volta"], prompt_tokens = {{ max = 500 }} }}
then = {{ route = "lm-advisori", tier = 0, deadline_ms = 2000 }}

[[rule]]
name = "the rest"
[rule.when]
path = "/services/sportello-app/*"
[rule.then]
route = "sportello-app"
idempotent = false

[[server]]
id = "advisor-3"
drain = true
"""
_GOOD = _TEMPLATE.format(digest='Ab' * 32)


_QUOTES = '"' * 3


def _faults(text: str) -> list[errors.Fault]:
    try:
        reading.read(text)
    except errors.DocumentError as exc:
        return list(exc.faults)
    raise AssertionError('the document was accepted')


def test_good_document_is_read() -> None:
    """Values come out typed, keys in lower case."""
    doc = reading.read(_GOOD)
    assert doc.customers[0].key_sha256 == 'ab' * 32
    assert doc.rules[0].when.max_tokens == 500
    assert doc.rules[1].then == document.Route(
        'sportello-app',
        idempotent=False,
    )
    assert doc.servers[0].drain


@pytest.mark.parametrize(
    ('old', 'new', 'line', 'place', 'reason'),
    [
        ('share = 2', 'share = 0', 5, 'share', 'above 0'),
        ('share = 2', 'share = true', 5, 'share', 'not a number'),
        ('share = 2', 'share = nan', 5, 'share', 'above 0'),
        ('share = 2', 'shar = 2', 5, 'shar', 'unknown key'),
        ('Ab', 'x', 4, 'key_sha256', '64 hexadecimal'),
        ('tier = 0', 'tier = 4', 17, 'then.tier', 'from 0 to 3'),
        ('tier = 0', 'tier = true', 17, 'then.tier', 'whole number'),
        ('tier = 0', 'status = 404', 17, 'then.status', 'unknown key'),
        ('tier = 0', 'refuse = "no"', 17, 'then.refuse', 'beside route'),
        ('2000', '0', 17, 'then.deadline_ms', 'from 1'),
        ('2000', '1.5', 17, 'then.deadline_ms', 'whole number'),
        ('route = "lm-advisori", ', '', 17, 'then', 'neither route'),
        ('route = "lm-advisori"', 'route = "x"', 17, 'then.route', 'no pool'),
        ('["liceo-volta"]', '["x"]', 16, 'when.customer', 'no customer'),
        ('["liceo-volta"]', '[]', 16, 'when.customer', 'is empty'),
        ('["liceo-volta"]', '[1]', 16, 'when.customer', 'list of names'),
        ('{ max = 500 }', '{ min = 9, max = 5 }', 16, 'min', 'more than max'),
        ('"/services/', '"/v1/', 24, 'then.route', 'path of engines'),
        ('"/services/', '"/[a/', 22, 'when.path', '"["'),
        ('"/services/', '"services/', 22, 'when.path', 'begin with'),
        ('idempotent = false', 'idempotent = 0', 25, 'idempotent', 'true or'),
        ('"the rest"', '"quick lookups"', 19, 'quick lookups', 'in line 14'),
        ('"sportello-app"\nkind', '"a/b"\nkind', 11, 'name', 'paths'),
        ('[[server]]\nid', '[[server]]\nname', 27, 'server number', 'no id'),
        ('drain = true', 'drain = "yes"', 29, 'drain', 'true or false'),
        ('[[server]]', '[[sever]]', 27, 'sever', 'unknown key'),
        ('[[server]]', '[server]', 27, 'server', 'write [[server]]'),
        ('drain = true', 'drain = ', 29, 'file', 'not TOML'),
    ],
)
def test_fault_has_line_place_and_reason(
    old: str,
    new: str,
    line: int,
    place: str,
    reason: str,
) -> None:
    """Each fault names where it is and what is accepted."""
    assert old in _GOOD
    faults = _faults(_GOOD.replace(old, new))
    found = [
        fault
        for fault in faults
        if place in fault.place and reason in fault.reason
    ]
    assert [fault.line for fault in found[:1]] == [line], faults


def test_all_faults_come_at_once() -> None:
    """An operator mends a file in one go, in the order of its lines."""
    text = _GOOD.replace('share = 2', 'share = -1').replace('2000', '-1')
    assert [fault.line for fault in _faults(text)] == [5, 17]


def test_strings_do_not_shift_lines() -> None:
    """Text that looks like a header inside a string is none."""
    rows = (
        '[[pool]]',
        f'name = {_QUOTES}a{chr(92)}',
        '[[pool]]',
        _QUOTES,
        '[[pool]]',
        "name = '[[pool]]' # [[pool]]",
        "kind = 'x'",
    )
    text = '\n'.join(rows)
    found = {fault.place: fault.line for fault in _faults(text)}
    assert found["pool '[[pool]]', kind"] == 7


@pytest.mark.parametrize(
    'text',
    [
        'a='.ljust(5000, '['),
        'a='.ljust(5000, '9'),
        'a="\ud800"',
        'x' * 3_000_000,
    ],
)
def test_hostile_text_is_refused(text: str) -> None:
    """Depth, length and half characters are faults of the file."""
    assert _faults(text)[0].place == 'file'


def test_unreachable_rule_is_warned_of() -> None:
    """A rule behind one that asks less is named with its line."""
    rows = (
        '[[rule]]',
        'name = "late"',
        'when = { path = "/services/sportello-app/a" }',
        'then = { refuse = "no" }',
        '[[server]]',
    )
    text = _GOOD.replace('[[server]]', '\n'.join(rows))
    warnings = reading.check(text).warnings
    assert [(found.line, found.place) for found in warnings] == [
        (27, "rule 'late'"),
    ]
    assert reading.check(_GOOD).warnings == ()


_LEAVES = strategies.sampled_from(
    ('1', '-1', '1e400', 'nan', 'true', '"a"', '""', '"/v1/*"', '[]', '{}'),
) | strategies.sampled_from(
    ('[1]', '["a"]', '1979-05-27', '{min=1}', '{a=[{}]}', '"[z-a]"', '0x7f'),
)
_KEYS = strategies.sampled_from(
    (
        *'name id when then customer path model header prompt_tokens'.split(),
        *'kind share key_sha256 route refuse status tier drain a'.split(),
        *'when.path then.route then.tier when.header.x rule pool'.split(),
    ),
)
_FIELD = strategies.builds('{0} = {1}'.format, _KEYS, _LEAVES)
_HEADER = strategies.sampled_from(
    ('[[rule]]', '[[pool]]', '[[customer]]', '[[server]]', '[rule.when]'),
) | strategies.sampled_from(('[rule.then]', '[[rule.then]]', '[pool]'))
_ROWS = strategies.lists(_HEADER | _FIELD | strategies.just('name = "a"'))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(_ROWS.map('\n'.join) | strategies.text())
def test_any_text_is_read_or_refused(text: str) -> None:
    """Nothing but the documented error comes out."""
    try:
        reading.check(text)
    except errors.DocumentError as exc:
        assert exc.faults


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(strategies.data())
def test_broken_values_are_read_or_refused(
    data: strategies.DataObject,
) -> None:
    """A good document with any value replaced stays within the errors."""
    values = list(re.finditer('= ([^{}=\n]+?)(?=[,\n }])', _GOOD))
    found = data.draw(strategies.sampled_from(values))
    leaf = data.draw(_LEAVES)
    try:
        reading.check(_GOOD[: found.start(1)] + leaf + _GOOD[found.end(1) :])
    except errors.DocumentError as exc:
        assert exc.faults
