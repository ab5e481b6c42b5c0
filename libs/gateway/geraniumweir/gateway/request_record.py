"""Record of one request, which is written with its events to the log."""

import dataclasses

from geraniumweir.common import eventlog, logevents

_MS = 1000
# A prompt may have thousands.
_MAX_LOGGED_PARTS = 64


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """Inputs and outcomes of the decisions about a request.

    :ivar arrived: when it arrived, in seconds on the loop's clock.
    :ivar version: version of the routing document that was applied.
    :ivar target: time to the first answer for full value, in seconds.
    :ivar gap: longest gap between events for full value, in seconds.
    :ivar patience: seconds that the caller waits, None if it sent none.
    :ivar cost: charged to the customer's quota, in the quota's unit.
    :ivar content: fingerprint, equal for a repeated request.
    :ivar parts: shared parts of its prompt.
    :ivar granted: seconds from arrival to the last grant, None without one.
    :ivar first: seconds from arrival to the first byte of a response.
    :ivar longest_pause: longest gap between two events, in seconds.
    :ivar servers: servers that it was sent to, in order.
    :ivar software: software versions of these servers.
    :ivar connections: those that their answers came on, in order; empty for a
        sending without an answer.
    :ivar framings: what shows the ends of these answers, in the same order.
    :ivar last_event: number of the last event that was sent to the caller.
    :ivar resumes: attempt that began the stream that it takes up, or empty.
    :ivar began: software version that began that stream, empty if unknown.
    """

    request: str
    arrived: float
    version: int = -1
    route: str = ''
    pool: str = ''
    customer: str = ''
    tier: int = -1
    target: float = 0
    gap: float | None = None
    patience: float | None = None
    cost: float = 0
    content: int = 0
    parts: tuple[int, ...] = ()
    granted: float | None = None
    first: float | None = None
    longest_pause: float = 0
    servers: list[str] = dataclasses.field(default_factory=list)
    software: list[str] = dataclasses.field(default_factory=list)
    connections: list[str] = dataclasses.field(default_factory=list)
    framings: list[str] = dataclasses.field(default_factory=list)
    last_event: int | None = None
    resumes: str = ''
    began: str = ''

    def end_sending(
        self, connection: str, framing: str, last_event: int | None
    ) -> None:
        """Record the end of a sending; without an answer texts are empty."""
        self.connections.append(connection)
        self.framings.append(framing)
        self.last_event = last_event

    def log(
        self,
        event: logevents.Event,
        now: float,
        **outcome: object,
    ) -> None:
        """Log an event with all values recorded so far.

        :param now: in seconds on the loop's clock.
        """
        if not eventlog.enabled(event):
            return
        eventlog.emit(
            event,
            request=self.request,
            **outcome,
            version=self.version,
            route=self.route,
            pool=self.pool,
            customer=self.customer,
            tier=self.tier,
            cost=self.cost,
            target_ms=int(self.target * _MS),
            gap_ms=_ms(self.gap),
            patience_ms=_ms(self.patience),
            content=f'{self.content:016x}',
            parts=[f'{part:016x}' for part in self.parts[:_MAX_LOGGED_PARTS]],
            part_count=len(self.parts),
            granted_ms=_ms(self.granted),
            first_ms=_ms(self.first),
            longest_pause_ms=_ms(self.longest_pause),
            ms=_ms(now - self.arrived),
            servers=self.servers,
            software=self.software,
            connections=self.connections,
            framings=self.framings,
            last_event=self.last_event,
            resumes=self.resumes,
            began=self.began,
        )


def _ms(seconds: float | None) -> int | None:
    return None if seconds is None else int(seconds * _MS)
