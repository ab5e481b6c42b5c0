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


class _Pair:
    """A limiter and a plain model of it."""

    def __init__(self, allowed: limits.Limits) -> None:
        self.limiter = limits.Limiter()
        self.allowed = allowed
        self.waiting: dict[str, str] = {}
        self.running: dict[str, str] = {}

    def arrive(self, request_id: str, key: str) -> None:
        breach = self.limiter.arrive(request_id, key, self.allowed, 0)
        if breach is None and request_id not in self.running:
            self.waiting.setdefault(request_id, key)

    def start(self, request_id: str, _key: str) -> None:
        own = self.waiting.get(request_id, '')
        if own and self.limiter.may_run(own, self.allowed):
            self.limiter.start(request_id, own)
            self.running[request_id] = self.waiting.pop(request_id)

    def end(self, request_id: str, _key: str) -> None:
        self.limiter.end(request_id)
        self.waiting.pop(request_id, None)
        self.running.pop(request_id, None)

    def counts(self, key: str) -> tuple[int, int]:
        runs = list(self.running.values()).count(key)
        return runs, list(self.waiting.values()).count(key)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.lists(strategies.floats(0, 0.4), max_size=60),
    strategies.floats(0.5, 9),
)
def test_no_more_than_the_rate_passes(gaps: list[float], rate: float) -> None:
    """At any time no more have passed than the rate and one bucket allow."""
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
def test_counts_agree_with_a_plain_model(
    steps: list[tuple[str, str, str]],
    most_running: int,
    most_waiting: int,
) -> None:
    """Repeats count once and no limit is exceeded."""
    pair = _Pair(limits.Limits(None, most_running, most_waiting))
    for what, request_id, key in steps:
        getattr(pair, what)(request_id, key)
        for name in ('one', 'two'):
            runs, waits = pair.counts(name)
            assert pair.limiter.counts(name) == (runs, waits)
            assert runs <= most_running
            assert waits <= max(most_waiting, 1)


def test_waiting_limit_zero_means_run_or_reject() -> None:
    """Without a place in the queue, a request that can run still passes."""
    limiter = limits.Limiter()
    allowed = limits.Limits(max_running=1, max_waiting=0)
    assert limiter.arrive('r1', 'rule', allowed, 0) is None
    limiter.start('r1', 'rule')
    breach = limiter.arrive('r2', 'rule', allowed, 0)
    assert breach == limits.Breach(limits.Limit.waiting)
    limiter.end('r1')
    assert limiter.arrive('r2', 'rule', allowed, 0) is None


def test_rate_limit_gives_a_retry_time() -> None:
    """A request over the rate gets the time until a token is free."""
    limiter = limits.Limiter()
    allowed = limits.Limits(rate_per_s=1)
    assert limiter.arrive('r1', 'rule', allowed, 0) is None
    breach = limiter.arrive('r2', 'rule', allowed, 0.25)
    assert breach == limits.Breach(limits.Limit.rate, 750)
