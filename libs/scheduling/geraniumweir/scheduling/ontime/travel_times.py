"""Requests beyond a server's slots that keep it busy while messages travel.

Load: a plain service whose requests all wait for slots and take hardly longer
than the way of a grant to the server and of its release back. A grant holds a
slot for all that time, but the request is at the server only for a part of it.
So with as many grants as slots some slots are always idle.

Servers queue a few requests. A server gets as many beyond its slots as are on
their way by Little's law [1]_, and the square root of that for their variation,
so that mostly at least as many are there as it has slots. While new requests
leave slots free, or where a server doesn't queue, it gets none.

References
==========
.. [1] J. D. C. Little, "A Proof for the Queuing Formula: L = λW", Operations
   Research 9(3), 1961.
"""

import dataclasses
import math

from geraniumweir.scheduling.ontime import speeds

# Upper bound as a fraction of the slots: a server queues a few requests.
_MAX_FRACTION = 0.5


@dataclasses.dataclass(slots=True)
class TravelTimes:
    """Time for which requests of a pool hold slots but aren't at a server.

    :ivar seconds: mean time from the grants of plain requests to their
        releases, without the time at the server.

    >>> some = TravelTimes()
    >>> for _ in range(100):
    ...     some.record(held_seconds=0.05, server_seconds=0.03)
    >>> some.requests_on_way(6, server_seconds=0.03)
    3
    >>> some.requests_on_way(6, server_seconds=1)
    0
    """

    seconds: speeds.DecayingMean = dataclasses.field(
        default_factory=speeds.DecayingMean
    )

    def record(self, held_seconds: float, server_seconds: float) -> None:
        """Record the end of a plain request.

        :param held_seconds: from the grant to the release.
        :param server_seconds: from the dispatch to the end.
        """
        self.seconds.add(max(held_seconds - server_seconds, 0))

    def requests_on_way(self, slots: int, server_seconds: float) -> int:
        """Return the requests that may be on their way for a busy server.

        :param server_seconds: usual time from the dispatch to the end.
        """
        on_way = slots * self.seconds.get(0) / server_seconds
        return int(min(on_way + math.sqrt(on_way), slots * _MAX_FRACTION))
