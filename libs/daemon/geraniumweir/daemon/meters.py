"""Counts requests and their latencies for the operators' metrics.

Most metrics are by pool and tier.
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
    """The request metrics of one host."""

    def __init__(self, meter: metrics.Metrics | None = None) -> None:
        """Initialize over a host's metrics.

        :param meter: by default one that is not exposed.
        """
        self._meter = meter or metrics.Metrics()

    def record_refusal(self, refusal: errors.Refusal, tier: str) -> None:
        """Count a refusal.

        :param tier: tier of the request, empty where no rule matched.
        """
        ran = refusal.ran.value
        self._meter.count(metricnames.REFUSALS, refusal.code, ran)
        self._meter.count(metricnames.REQUESTS, tier, 'refused')

    def record_disconnect(self, tier: str) -> None:
        """Count a request whose caller disconnected."""
        self._meter.count(metricnames.REQUESTS, tier, 'cancelled')

    def record_completion(
        self, slot_request: requests.SlotRequest, seconds: float, now: float
    ) -> None:
        """Count a complete response.

        :param seconds: time from the request's arrival to its end.
        :param now: time on the clock of the request's deadline, in seconds.
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

        :param seconds: time from slot request to grant.
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

        :param seconds: time from the request's arrival.
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
        """Count output tokens, and prefill without a complete response."""
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
