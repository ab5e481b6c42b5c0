"""A bad version is found within few answers, a good one is left alone."""

import random

import pytest
from geraniumweir.common import ids
from geraniumweir.rollout import detection

_ANSWERS = 600
_MOST_BAD = 25


def _first_verdict(
    part: float,
    usual: float,
    seed: int,
    servers: int = 4,
) -> tuple[int, detection.Detection | None]:
    """Judge answers of which a part is bad, beside a usual part.

    :returns: the bad answers until then and the verdict.
    """
    chance = random.Random(seed)
    judge = detection.CusumDetector()
    bad_answers = 0
    for number in range(_ANSWERS):
        judge.record_old_answer('r', bad=chance.random() < usual)
        bad = chance.random() < part
        bad_answers += bad
        server = ids.ServerId(str(number % servers))
        verdict = judge.record_new_answer('r', server, bad=bad)
        if verdict is not None:
            return bad_answers, verdict
    return bad_answers, None


@pytest.mark.parametrize('part', [0.2, 0.4, 0.9])
def test_bad_version_is_found_within_half_of_the_bad_answers_allowed(
    part: float,
) -> None:
    """Fifty bad answers start the time in which it must get nothing more."""
    for seed in range(40):
        bad_answers, verdict = _first_verdict(part, 0.01, seed)
        assert verdict is not None
        assert bad_answers <= _MOST_BAD


@pytest.mark.parametrize('usual', [0, 0.05, 0.15])
def test_good_version_is_left_alone(usual: float) -> None:
    """It fails as often as the old one does beside it."""
    wrong = [
        _first_verdict(usual, usual, seed)[1] is not None for seed in range(40)
    ]
    assert sum(wrong) <= 2


def test_version_that_turns_bad_is_found_as_fast() -> None:
    """What it did well before doesn't count for it."""
    judge = detection.CusumDetector()
    server = ids.ServerId('s')
    for _ in range(2000):
        judge.record_old_answer('r', bad=False)
        judge.record_new_answer('r', server, bad=False)
    found = [judge.record_new_answer('r', server, bad=True) for _ in range(6)]
    assert found[-1] is not None


def test_bad_route_is_found_among_good_ones() -> None:
    """One answer in ten is on it."""
    judge = detection.CusumDetector()
    server = ids.ServerId('s')
    for number in range(100):
        rare = number % 10 == 0
        verdict = judge.record_new_answer(
            'rare' if rare else 'r', server, bad=rare
        )
        if verdict is not None:
            assert verdict.rule == 'rare'
            return
    pytest.fail('the route was not found')
