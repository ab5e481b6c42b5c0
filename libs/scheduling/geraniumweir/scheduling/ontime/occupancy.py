"""How long a request keeps a slot of a server.

Requests differ a hundredfold, and the short ones end first. So the mean over
those that have ended is too short for as long as the long ones run: for some
seconds after each start of a leader, and after each burst. Time on slots by
number of ends counts those that still run too [1]_.

References
==========
.. [1] B. Epstein, M. Sobel, "Life Testing", Journal of the American
   Statistical Association 48(263), 1953: total time on test.
"""

import dataclasses
import math
import typing

# Counts are over about so many seconds: several times what a long request
# takes, no longer than a burst.
_WINDOW_SECONDS = 5.0
# What a pool or a server is thought to do before it has shown it, in ends and
# in seconds for each.
_GUESS_ENDS = 1.0
_GUESS_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Occupancy:
    """Decaying counts of one server.

    :ivar slot_seconds: for which requests kept slots.
    :ivar ends: of requests.
    :ivar counted_at: up to when it is counted, in seconds.

    >>> some = Occupancy()
    >>> some.advance(4, 0.5)
    >>> some.record_end()
    >>> round(some.hold_seconds(1), 1)
    1.5
    """

    slot_seconds: float = 0
    ends: float = 0
    counted_at: float = 0

    def advance(self, running: int, now: float) -> None:
        """Take that so many requests ran since the last call.

        :param now: in seconds.
        """
        decay = math.exp((self.counted_at - now) / _WINDOW_SECONDS)
        self.slot_seconds *= decay
        self.slot_seconds += running * _WINDOW_SECONDS * (1 - decay)
        self.ends *= decay
        self.counted_at = now

    def record_end(self) -> None:
        """Take that a request ended at the server."""
        self.ends += 1

    def hold_seconds(self, pool_hold_seconds: float) -> float:
        """Give the seconds for which a request keeps a slot.

        :param pool_hold_seconds: of the pool.
        """
        total_seconds = self.slot_seconds + pool_hold_seconds * _GUESS_ENDS
        return total_seconds / (self.ends + _GUESS_ENDS)


def pool_hold_seconds(servers: typing.Iterable[Occupancy]) -> float:
    """Give the seconds for which a request keeps a slot of any of them."""
    total = Occupancy()
    for server in servers:
        total.slot_seconds += server.slot_seconds
        total.ends += server.ends
    return total.hold_seconds(_GUESS_SECONDS)
