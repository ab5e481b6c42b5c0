"""The arithmetic of the page of capacities, and that it is up to date."""

import pathlib

import pytest
from geraniumweir.fakes.capacity import (
    control,
    days,
    figures,
    letter,
    page,
    parts,
)

_DOCS = pathlib.Path(__file__).parents[5] / 'docs'


def _measured() -> figures.Figures:
    return figures.load(_DOCS / 'measured' / 'slopes.json')


def test_page_is_what_the_figures_make() -> None:
    """Neither the page nor the figures was changed alone."""
    text = (_DOCS / 'CAPACITY.md').read_text()
    assert page.fill(text, _measured()) == text


def test_page_shows_every_table() -> None:
    """No table that is worked out is left off the page."""
    text = (_DOCS / 'CAPACITY.md').read_text()
    for name in page.tables(_measured()):
        assert f'<!-- table {name} -->' in text


def test_every_slope_has_four_sizes_and_grows() -> None:
    """Nothing is carried on from fewer sizes; the line needs their order."""
    for name, slope in _measured().slopes.items():
        sizes = [size for size, _ in slope['points']]
        assert len(sizes) >= 4, name
        assert sizes == sorted(set(sizes)), name


def test_markers_keep_what_is_around_them() -> None:
    """Old rows go, the words stay, an unknown table is an error."""
    text = 'a\n<!-- table run -->\nold\n<!-- end -->\nb\n'
    filled = page.fill(text, _measured())
    assert filled.startswith('a\n<!-- table run -->\n')
    assert filled.endswith('<!-- end -->\nb\n')
    assert 'old' not in filled
    with pytest.raises(KeyError):
        page.fill('<!-- table none -->\n<!-- end -->', _measured())


def test_sums_tell_each_limit_that_is_passed() -> None:
    """At a limit is met, over it is missed, and parts add up."""
    half = parts.Part(
        'half',
        'module',
        1,
        letter.BYTES / 2,
        letter.PROCESSOR / 2,
        letter.MEMORY / 2,
    )
    assert parts.total([half, half]).missed() == []
    more = parts.Part('more', 'module', octets=1, processor=1, memory=1)
    whole = parts.total([half, half, more])
    assert whole.missed() == ['processor time', 'bytes', 'memory']
    assert whole.messages == 2


def _flat(**given: float) -> figures.Figures:
    """Give slopes that cost the same at each size, zero if not given."""
    names = _measured().slopes
    values = {name: given.get(name.replace('.', '_'), 0) for name in names}
    return figures.Figures(
        {
            'slopes': {
                name: {'points': [[1, cost], [2, cost]]}
                for name, cost in values.items()
            },
        },
    )


def test_changes_cost_their_rate_times_one_change() -> None:
    """Twice the changes cost twice; the texts kept stay the same."""
    slopes = _flat(
        configuring_read_change=0.2,
        configuring_compile=0.05,
        configuring_change_messages=3,
        configuring_patch_bytes=100,
        configuring_document=1000,
    )
    one = control.changes(slopes, 1)
    two = control.changes(slopes, 2)
    assert one.processor == pytest.approx(0.25)
    assert (one.messages, one.octets) == (3, 300)
    assert two.processor == pytest.approx(0.5)
    assert two.memory == one.memory == 8000


def test_delegates_pay_for_all_other_domains() -> None:
    """What four domains cost more than one, over three, times sixteen."""
    slopes = _flat(
        delegates_one_busiest_sent=100,
        delegates_four_busiest_sent=130,
    )
    whole = parts.total(control.delegate(slopes))
    alone = parts.total(control.entry_host(slopes))
    assert whole.octets - alone.octets == pytest.approx(160)


def test_a_slow_reading_misses_the_burst_and_the_time() -> None:
    """What takes five seconds on each of three hosts is late."""
    rows = days.rows(_flat(configuring_read_change=5))
    missed = [event for event, comes_to, _ in rows if '**missed**' in comes_to]
    assert missed == [
        'a change a second for a minute: each host',
        'a change in force everywhere, nothing lost',
    ]
