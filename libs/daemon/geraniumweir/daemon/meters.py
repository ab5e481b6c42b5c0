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


class RequestMeter:
    """The metrics of one host's calls."""

    def __init__(self, meter: metrics.Metrics | None = None) -> None:
        """Write into a host's metrics.

        :param meter: by default one that nobody reads.
        """
        self._meter = meter or metrics.Metrics()

    def record_refusal(self, refusal: errors.Refusal, tier: str) -> None:
        """Count a refusal.

        :param tier: of the call, empty where no rule decided it.
        """
        ran = refusal.ran.value
        self._meter.count(metricnames.REFUSALS, refusal.code, ran)
        self._meter.count(metricnames.REQUESTS, tier, 'refused')

    def record_disconnect(self, tier: str) -> None:
        """Count a call whose caller went away."""
        self._meter.count(metricnames.REQUESTS, tier, 'cancelled')

    def record_completion(
        self, slot_request: requests.SlotRequest, seconds: float, now: float
    ) -> None:
        """Count a whole answer.

        :param seconds: from the call's arrival to the end.
        :param now: on the clock of the ask's deadline, in seconds.
        """
        tier = _tier(slot_request)
        self._meter.count(metricnames.REQUESTS, tier, 'done')
        if now <= slot_request.deadline:
            self._meter.count(metricnames.IN_TIME, tier)
        self._meter.observe(
            metricnames.REQUEST_SECONDS, seconds, slot_request.pool, tier
        )

    def record_grant(
        self, slot_request: requests.SlotRequest, seconds: float
    ) -> None:
        """Count a dispatch.

        :param seconds: from ask to grant.
        """
        self._meter.count(metricnames.DISPATCHES, slot_request.pool)
        self._meter.observe(
            metricnames.QUEUE_SECONDS,
            seconds,
            slot_request.pool,
            _tier(slot_request),
        )

    def record_first_token(
        self, slot_request: requests.SlotRequest, seconds: float
    ) -> None:
        """Record a first token.

        :param seconds: from the call's arrival.
        """
        self._meter.observe(
            metricnames.FIRST_TOKEN_SECONDS,
            seconds,
            slot_request.pool,
            _tier(slot_request),
        )

    def record_release(
        self, slot_request: requests.SlotRequest, release: requests.Release
    ) -> None:
        """Count tokens passed on, and prefill that gave no whole answer."""
        if release.output_tokens:
            self._meter.count(
                metricnames.OUTPUT_TOKENS,
                slot_request.pool,
                amount=release.output_tokens,
            )
        if release.outcome in _WASTED and slot_request.prompt_tokens:
            self._meter.count(
                metricnames.WASTED_PREFILL,
                slot_request.pool,
                amount=slot_request.prompt_tokens,
            )


def _tier(slot_request: requests.SlotRequest) -> str:
    return str(int(slot_request.tier))
