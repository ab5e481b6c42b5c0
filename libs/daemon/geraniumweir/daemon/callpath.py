"""The parts that serve calls at one entry host."""

import dataclasses

from geraniumweir.backends import identity
from geraniumweir.daemon import claiming, inflight, meters, ports


@dataclasses.dataclass(slots=True)
class CallPath:
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
    meter: meters.CallMeter = dataclasses.field(
        default_factory=meters.CallMeter,
    )
    in_flight: inflight.InFlight = dataclasses.field(
        default_factory=inflight.InFlight,
    )
    echoes: identity.Echoes = dataclasses.field(
        default_factory=identity.Echoes,
    )
