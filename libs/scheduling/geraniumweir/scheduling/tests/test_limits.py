"""Tests of the limits that rules set."""

import hypothesis
from geraniumweir.scheduling import limits
from hypothesis import strategies

_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('arrive', 'start', 'end')),
        strategies.integers(0, 5).map('r{0}'.format),
        strategies.sampled_from(('one', 'two')),
    ),
    max_size=60,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.lists(strategies.floats(0, 0.4), max_size=60),
    strategies.floats(0.5, 9),
)
def test_no_more_than_the_rate_passes(gaps: list[float], rate: float) -> None:
    """In any time no more pass than the rate and one bucket."""
    bucket = limits.TokenBucket(rate, 0)
    now = float(0)
    passed = 0
    for gap in gaps:
        now += gap
        wait = bucket.take(now)
        passed += not wait
        assert passed <= bucket.size + rate * now + 1e-6
        assert wait == 0 or wait <= 1 / rate


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    _STEPS,
    strategies.integers(1, 3),
    strategies.integers(0, 3),
)
def test_counts_agree_with_plain_sets(
    steps: list[tuple[str, str, str]],
    most_running: int,
    most_waiting: int,
) -> None:
    """Repeats count once and no limit is passed."""
    limiter = limits.Limiter()
    allowed = limits.Limits(None, most_running, most_waiting)
    waiting: dict[str, str] = {}
    running: dict[str, str] = {}
    for what, request_id, key in steps:
        if what == 'arrive':
            breach = limiter.arrive(request_id, key, allowed, 0)
            if breach is None and request_id not in running:
                waiting.setdefault(request_id, key)
        elif what == 'start' and request_id in waiting:
            own = waiting[request_id]
            if limiter.may_run(own, allowed):
                limiter.start(request_id, own)
                running[request_id] = waiting.pop(request_id)
        elif what == 'end':
            limiter.end(request_id)
            waiting.pop(request_id, None)
            running.pop(request_id, None)
        for name in ('one', 'two'):
            found = limiter.counts(name)
            runs = list(running.values()).count(name)
            waits = list(waiting.values()).count(name)
            assert found == (runs, waits)
            assert runs <= most_running
            assert waits <= max(most_waiting, 1)


def test_none_waiting_means_run_or_refuse() -> None:
    """With no place in the queue an ask that can run still passes."""
    limiter = limits.Limiter()
    allowed = limits.Limits(max_running=1, max_waiting=0)
    assert limiter.arrive('r1', 'rule', allowed, 0) is None
    limiter.start('r1', 'rule')
    breach = limiter.arrive('r2', 'rule', allowed, 0)
    assert breach == limits.Breach(limits.Limit.waiting)
    limiter.end('r1')
    assert limiter.arrive('r2', 'rule', allowed, 0) is None


def test_rate_tells_when_to_come_back() -> None:
    """An ask over the rate is told when there will be room."""
    limiter = limits.Limiter()
    allowed = limits.Limits(rate_per_s=1)
    assert limiter.arrive('r1', 'rule', allowed, 0) is None
    breach = limiter.arrive('r2', 'rule', allowed, 0.25)
    assert breach == limits.Breach(limits.Limit.rate, 750)
