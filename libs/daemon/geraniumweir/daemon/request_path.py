"""The parts that all requests of an entry host use."""

import dataclasses

from geraniumweir.backends import identity
from geraniumweir.daemon import claiming, inflight, meters, ports


@dataclasses.dataclass(slots=True)
class RequestPath:
    """The parts that all requests of an entry host use.

    :ivar claims: claims non-idempotent requests and records their outcomes.
    :ivar tracer: records the spans of requests.
    :ivar meter: counts requests and measures their latency.
    :ivar in_flight: the requests that were accepted and have not ended.
    :ivar echoes: the pools whose engines echo the request id sent to them.
    """

    claims: claiming.Claims = dataclasses.field(
        default_factory=claiming.LocalClaims,
    )
    tracer: ports.Tracer = dataclasses.field(default_factory=ports.NoTracer)
    meter: meters.RequestMeter = dataclasses.field(
        default_factory=meters.RequestMeter,
    )
    in_flight: inflight.InFlightRequests = dataclasses.field(
        default_factory=inflight.InFlightRequests,
    )
    echoes: identity.Echoes = dataclasses.field(
        default_factory=identity.Echoes,
    )
