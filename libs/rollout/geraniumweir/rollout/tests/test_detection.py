"""Tests of the detection of bad versions and of false detections."""

import random

import pytest
from geraniumweir.common import ids
from geraniumweir.rollout import detection

_ANSWERS = 600
_MAX_BAD_ANSWERS = 25


def _first_detection(
    bad_ratio: float,
    baseline_ratio: float,
    seed: int,
    servers: int = 4,
) -> tuple[int, detection.Detection | None]:
    """Return the first detection and the bad answers until then.

    :param bad_ratio: ratio of bad answers of the new version.
    :param baseline_ratio: ratio of bad answers of the old version.
    """
    rng = random.Random(seed)
    detector = detection.CusumDetector()
    bad_answers = 0
    for number in range(_ANSWERS):
        detector.record_old_answer('r', bad=rng.random() < baseline_ratio)
        bad = rng.random() < bad_ratio
        bad_answers += bad
        server = ids.ServerId(str(number % servers))
        detected = detector.record_new_answer('r', server, bad=bad)
        if detected is not None:
            return bad_answers, detected
    return bad_answers, None


@pytest.mark.parametrize('bad_ratio', [0.2, 0.4, 0.9])
def test_bad_version_is_detected_within_half_of_the_allowed_bad_answers(
    bad_ratio: float,
) -> None:
    """After fifty bad answers the time limit to roll back starts."""
    for seed in range(40):
        bad_answers, detected = _first_detection(bad_ratio, 0.01, seed)
        assert detected is not None
        assert bad_answers <= _MAX_BAD_ANSWERS


@pytest.mark.parametrize('baseline_ratio', [0, 0.05, 0.15])
def test_good_version_is_rarely_detected_as_bad(baseline_ratio: float) -> None:
    """It fails as often as the old version at the same time."""
    false_alarms = [
        _first_detection(baseline_ratio, baseline_ratio, seed)[1] is not None
        for seed in range(40)
    ]
    assert sum(false_alarms) <= 2


def test_version_that_turns_bad_late_is_detected_as_fast() -> None:
    """Earlier good answers must not delay the detection."""
    detector = detection.CusumDetector()
    server = ids.ServerId('s')
    for _ in range(2000):
        detector.record_old_answer('r', bad=False)
        detector.record_new_answer('r', server, bad=False)
    found = [
        detector.record_new_answer('r', server, bad=True) for _ in range(6)
    ]
    assert found[-1] is not None


def test_single_bad_route_is_detected() -> None:
    """One answer in ten is on the bad route."""
    detector = detection.CusumDetector()
    server = ids.ServerId('s')
    for number in range(100):
        rare = number % 10 == 0
        detected = detector.record_new_answer(
            'rare' if rare else 'r', server, bad=rare
        )
        if detected is not None:
            assert detected.rule == 'rare'
            return
    pytest.fail('the bad route was not detected')
