"""Lets a run pass over the tests of KNOWN-RED.txt, and over no others.

Each line there names one test, the cause of its failing and the issue. These
tests still run; whether each failed or passed is printed at the end, so that
a line that is no longer needed shows.
"""

import dataclasses
import pathlib
import typing

import pytest

_FILE = pathlib.Path(__file__).with_name('KNOWN-RED.txt')


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that fails for a fault that isn't mended yet."""

    node_id: str
    cause: str
    issue: str


def read(text: str) -> list[KnownRed]:
    """Read the list.

    :param text: a line for each test; lines that begin with ``#`` are left
        out.
    :raises pytest.UsageError: when a line isn't whole or a test stands twice.

    >>> read('a.py::test | it is slow | issue 1')[0].issue
    'issue 1'
    >>> read('a.py::test')
    Traceback (most recent call last):
    pytest.UsageError: KNOWN-RED.txt: not whole: a.py::test
    """
    lines = [line for line in text.splitlines() if line.strip()]
    found = [_entry(line) for line in lines if not line.startswith('#')]
    if len({entry.node_id for entry in found}) != len(found):
        raise pytest.UsageError(f'{_FILE.name}: a test stands twice')
    return found


def _entry(line: str) -> KnownRed:
    cells = [cell.strip() for cell in line.split(' | ')]
    if len(cells) != 3 or not all(cells):  # noqa: WPS432
        raise pytest.UsageError(f'{_FILE.name}: not whole: {line}')
    return KnownRed(*cells)


def _known() -> dict[str, KnownRed]:
    entries = read(_FILE.read_text()) if _FILE.exists() else []
    return {entry.node_id: entry for entry in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests, by their whole node id."""
    known = _known()
    for test in items:
        entry = known.get(test.nodeid)
        if entry is not None:
            mark = pytest.mark.xfail(reason=entry.cause, strict=False)
            test.add_marker(mark)


def pytest_terminal_summary(terminalreporter: typing.Any) -> None:
    """Print the listed tests with what came of them."""
    outcomes = {
        report.nodeid: outcome
        for outcome in ('xfailed', 'xpassed', 'failed', 'error')
        for report in terminalreporter.stats.get(outcome, ())
    }
    for entry in _known().values():
        outcome = outcomes.get(entry.node_id, 'not run')
        terminalreporter.write_line(
            f'KNOWN RED, {outcome}: {entry.node_id}: {entry.cause}'
            f' ({entry.issue})',
        )
