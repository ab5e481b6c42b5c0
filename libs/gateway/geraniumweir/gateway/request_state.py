"""Progress of a request over its attempts."""

import dataclasses

from geraniumweir.gateway import outcomes
from geraniumweir.scheduling import requests


@dataclasses.dataclass(slots=True)
class RequestState:
    """Progress of a request.

    :ivar runs: servers that ran it or may have run it.
    :ivar rejected: servers that certainly did not run it.
    :ivar arrivals: servers that it reached, whatever the outcome.
    :ivar slot_requested: whether a slot was requested for it.
    :ivar sent: whether it is at a server now.
    :ivar failure: the last error response of a server itself.
    """

    runs: int = 0
    rejected: int = 0
    arrivals: int = 0
    slot_requested: bool = False
    sent: bool = False
    failure: outcomes.CompleteResponse | None = None

    def record_run(self) -> None:
        """Record that a server ran the request, or may have run it."""
        self.runs += 1
        self.arrivals += 1

    @property
    def sending(self) -> requests.Sending:
        """Kind of the next slot request: first, repeated or a retry."""
        if self.arrivals:
            return requests.Sending.retry
        if self.slot_requested:
            return requests.Sending.again
        return requests.Sending.first
