"""Tests of the page made from a bench's JSON."""

import json
import pathlib
import typing

import pytest
from geraniumweir.ctl import benchfile, errors, reportcommand


def _row(policy: str, seed: int, goodput: float) -> dict[str, typing.Any]:
    return {
        'scenario': 'surge <1>',
        'policy': policy,
        'seed': seed,
        'goodput': goodput,
        'tiers': {'0': {'goodput': goodput, 'longest_wait': 1.5}},
        'waste': {'thrown_away': 0.1, 'repeated': 0.2},
    }


def test_page_averages_seeds_and_escapes_names(
    tmp_path: pathlib.Path,
) -> None:
    """Two seeds of a policy are one row; names are not markup."""
    rows = [_row('naive', 1, 0.5), _row('naive', 2, 0.7), _row('ours', 1, 0.9)]
    runs = benchfile.read(json.dumps({'runs': rows}))
    page = reportcommand.write(runs, tmp_path / 'page', 'a<b')
    text = page.read_text()
    assert [round(run.goodput, 3) for run in runs] == [0.6, 0.9]
    assert 'surge &lt;1&gt;' in text
    assert 'a&lt;b' in text


@pytest.mark.parametrize('text', ['', '[]', '{"runs": [{}]}', '{"runs": []}'])
def test_other_json_is_refused(text: str) -> None:
    """What is no bench's file makes no empty page."""
    with pytest.raises(errors.FailedError):
        benchfile.read(text)
