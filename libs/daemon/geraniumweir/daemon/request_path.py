"""The parts that serve calls at one entry host."""

import dataclasses

from geraniumweir.backends import identity
from geraniumweir.daemon import claiming, inflight, meters, ports


@dataclasses.dataclass(slots=True)
class RequestPath:
    """What all calls of an entry host share.

    :ivar claims: makes and ends the claims of non-idempotent calls.
    :ivar tracer: takes the spans of calls.
    :ivar meter: counts calls as they end.
    :ivar in_flight: the calls that were taken and have not ended.
    :ivar echoes: the pools whose engines echo our request ids.
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
