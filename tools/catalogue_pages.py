"""Rewrites the tables of docs/EVENTS.md and docs/METRICS.md from the code.

What an operator should make of an event is written in the page and kept; a new
event gets an empty cell there, which the test of the pages refuses.
"""

import importlib
import inspect
import pathlib
import re

from geraniumweir.common import logevents
from geraniumweir.observe import metricnames

_ROOT = pathlib.Path(__file__).parents[1]
_ROW = re.compile(r'^\| (\d+) \| \w+ \| `.*?` \| (.*?) *\|$', re.MULTILINE)
_HEADS = {
    1: 'Daemon',
    2: 'Scheduling',
    3: 'Backend servers',
    4: 'Peers',
    5: 'Store and consensus',
    6: 'Membership',
    7: 'Configuration and claims',
    8: 'Observing',
    9: 'Common',
}
_HUNDRED = 100


def main() -> None:
    """Rewrite both pages."""
    page = _ROOT / 'docs' / 'EVENTS.md'
    text = page.read_text()
    meanings = dict(_ROW.findall(text))
    head = text.partition('\n## ')[0].rstrip()
    page.write_text(f'{head}\n{events_tables(meanings)}')
    page = _ROOT / 'docs' / 'METRICS.md'
    head = page.read_text().partition('\n| metric')[0].rstrip()
    page.write_text(f'{head}\n\n{metrics_table()}')


def find_events() -> list[logevents.Event]:
    """List the events of every library, by number."""
    found = []
    for path in _ROOT.glob('libs/*/geraniumweir/*/logevents.py'):
        module = importlib.import_module(
            f'geraniumweir.{path.parent.name}.logevents',
        )
        found.extend(
            entry
            for _, entry in inspect.getmembers(module)
            if isinstance(entry, logevents.Event)
        )
    return sorted(found, key=lambda event: event.number)


def events_tables(meanings: dict[str, str]) -> str:
    """Write a table for each library.

    :param meanings: by number.
    """
    lines = []
    events = find_events()
    for hundred, head in _HEADS.items():
        mine = [one for one in events if one.number // _HUNDRED == hundred]
        if not mine:
            continue
        lines += ['', f'## {hundred}xx {head}', '']
        lines += [
            '| event | level | line | meaning |',
            '| --- | --- | --- | --- |',
        ]
        for event in mine:
            meaning = meanings.get(str(event.number), '')
            level = event.level.value
            start = f'| {event.number} | {level} | `{event.template}`'
            lines.append(f'{start} | {meaning} |')
    lines.append('')
    return '\n'.join(lines)


def metrics_table() -> str:
    """Write the table of metrics."""
    lines = [
        '| metric | kind | labels | meaning |',
        '| --- | --- | --- | --- |',
    ]
    found = [
        entry
        for _, entry in inspect.getmembers(metricnames)
        if isinstance(entry, metricnames.Metric)
    ]
    for metric in sorted(found, key=lambda one: one.name):
        labels = ', '.join(metric.labels)
        lines.append(
            f'| `{metric.name}` | {metric.kind.value} | {labels} | '
            f'{metric.meaning} |',
        )
    lines.append('')
    return '\n'.join(lines)


if __name__ == '__main__':
    main()
