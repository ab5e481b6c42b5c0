"""Tests that the pages of events and metrics agree with the code."""

import importlib
import inspect
import pathlib
import re

from geraniumweir.common import logevents
from geraniumweir.observe import metricnames

_ROOT = pathlib.Path(__file__).parents[5]
_EVENT_ROW = re.compile(
    r'^\| (\d+) \| (\w+) \| `(.*?)` \| (.*?) *\|$', re.MULTILINE
)
_METRIC_ROW = re.compile(
    r'^\| `(\w+)` \| (\w+) \| (.*?) *\| (.*?) *\|$', re.MULTILINE
)
_LOGGER = re.compile(r'\b(logbook\.Logger|logging\.getLogger)\(')
_HUNDREDS = {
    'daemon': 1,
    'scheduling': 2,
    'backends': 3,
    'wire': 4,
    'store': 5,
    'consensus': 5,
    'membership': 6,
    'configuration': 7,
    'control': 7,
    'gateway': 1,
    'observe': 8,
    'common': 9,
}


def _events() -> list[tuple[str, logevents.Event]]:
    found = []
    for path in _ROOT.glob('libs/*/geraniumweir/*/logevents.py'):
        library = path.parent.name
        module = importlib.import_module(f'geraniumweir.{library}.logevents')
        found += [
            (library, entry)
            for _, entry in inspect.getmembers(module)
            if isinstance(entry, logevents.Event)
        ]
    return found


def test_every_event_is_in_the_page_with_a_meaning() -> None:
    """Number, level and template agree, and the page has no other rows."""
    page = (_ROOT / 'docs' / 'EVENTS.md').read_text()
    rows = {
        (int(number), level, line): meaning
        for number, level, line, meaning in _EVENT_ROW.findall(page)
    }
    in_code = {
        (event.number, event.level.value, event.template)
        for _, event in _events()
    }
    assert set(rows) == in_code
    assert all(rows.values())


def test_event_numbers_are_unique_and_of_their_library() -> None:
    """No two events share a number, and each is in its library's range."""
    events = _events()
    numbers = [event.number for _, event in events]
    assert len(set(numbers)) == len(numbers)
    astray = [
        event
        for library, event in events
        if event.number // 100 != _HUNDREDS[library]
    ]
    assert not astray


def test_every_metric_is_in_the_page() -> None:
    """Name, kind, labels and meaning agree, and the page has no others."""
    page = (_ROOT / 'docs' / 'METRICS.md').read_text()
    in_code = {
        (
            entry.name,
            entry.kind.value,
            ', '.join(entry.labels),
            entry.meaning,
        )
        for _, entry in inspect.getmembers(metricnames)
        if isinstance(entry, metricnames.Metric)
    }
    assert set(_METRIC_ROW.findall(page)) == in_code


def test_only_one_module_writes_to_the_log() -> None:
    """Records of another logger would not have the log's formats."""
    loggers = {
        str(path.relative_to(_ROOT))
        for path in _ROOT.glob('libs/*/geraniumweir/**/*.py')
        if 'tests' not in path.parts
        and _LOGGER.search(path.read_text()) is not None
    }
    assert loggers == {'libs/common/geraniumweir/common/eventlog.py'}
