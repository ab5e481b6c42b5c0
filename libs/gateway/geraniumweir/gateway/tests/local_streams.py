"""Directory of streams for a host that is alone."""

from geraniumweir.common import ids, timers
from geraniumweir.scheduling import (
    granted_streams,
    requests,
    stream_origins,
)


class Streams:
    """Directory of streams of a host without a coordinator.

    :ivar claims: of the callers that took a stream up, in order.
    """

    def __init__(self, clock: timers.TimerService) -> None:
        self.claims: list[stream_origins.ContentClaim | None] = []
        self._clock = clock
        self._origins = stream_origins.StreamOrigins(clock)
        self.record = self._origins.record
        self.is_certain = self._origins.is_certain

    def record_grant(
        self, slot_request: requests.SlotRequest, grant: requests.Grant
    ) -> None:
        now = self._clock.now()
        self.record(granted_streams.of_grant(slot_request, grant, now))

    async def find(
        self,
        key: ids.StreamKey,
        claim: stream_origins.ContentClaim | None = None,
    ) -> stream_origins.StreamOrigin | None:
        self.claims.append(claim)
        return self._origins.find(key)
