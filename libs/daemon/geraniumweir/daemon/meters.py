"""Counts calls as they end, for the operators' metrics.

The path of a call tells what became of it; here that becomes counters and
latencies by pool and tier.
"""

from geraniumweir.common import errors
from geraniumweir.observe import metricnames, metrics
from geraniumweir.scheduling import requests

_WASTED = frozenset(
    (
        requests.Outcome.failed,
        requests.Outcome.crashed,
        requests.Outcome.cancelled,
        requests.Outcome.preempted,
    ),
)


class CallMeter:
    """The metrics of one host's calls."""

    def __init__(self, meter: metrics.Metrics | None = None) -> None:
        """Write into a host's metrics.

        :param meter: by default one that nobody reads.
        """
        self._meter = meter or metrics.Metrics()

    def refused(self, refusal: errors.Refusal, tier: str) -> None:
        """Count a refusal.

        :param tier: of the call, empty where no rule decided it.
        """
        ran = refusal.ran.value
        self._meter.count(metricnames.REFUSALS, refusal.code, ran)
        self._meter.count(metricnames.REQUESTS, tier, 'refused')

    def gone(self, tier: str) -> None:
        """Count a call whose caller went away."""
        self._meter.count(metricnames.REQUESTS, tier, 'cancelled')

    def done(
        self, ask: requests.SlotRequest, seconds: float, now: float
    ) -> None:
        """Count a whole answer.

        :param seconds: from the call's arrival to the end.
        :param now: on the clock of the ask's deadline, in seconds.
        """
        tier = _tier(ask)
        self._meter.count(metricnames.REQUESTS, tier, 'done')
        if now <= ask.deadline:
            self._meter.count(metricnames.IN_TIME, tier)
        self._meter.observe(
            metricnames.REQUEST_SECONDS, seconds, ask.pool, tier
        )

    def granted(self, ask: requests.SlotRequest, seconds: float) -> None:
        """Count a dispatch.

        :param seconds: from ask to grant.
        """
        self._meter.count(metricnames.DISPATCHES, ask.pool)
        self._meter.observe(
            metricnames.QUEUE_SECONDS, seconds, ask.pool, _tier(ask)
        )

    def first_token(self, ask: requests.SlotRequest, seconds: float) -> None:
        """Record a first token.

        :param seconds: from the call's arrival.
        """
        self._meter.observe(
            metricnames.FIRST_TOKEN_SECONDS, seconds, ask.pool, _tier(ask)
        )

    def released(
        self, ask: requests.SlotRequest, release: requests.Release
    ) -> None:
        """Count tokens passed on, and prefill that gave no whole answer."""
        if release.output_tokens:
            self._meter.count(
                metricnames.OUTPUT_TOKENS,
                ask.pool,
                amount=release.output_tokens,
            )
        if release.outcome in _WASTED and ask.prompt_tokens:
            self._meter.count(
                metricnames.WASTED_PREFILL,
                ask.pool,
                amount=ask.prompt_tokens,
            )


def _tier(ask: requests.SlotRequest) -> str:
    return str(int(ask.tier))
