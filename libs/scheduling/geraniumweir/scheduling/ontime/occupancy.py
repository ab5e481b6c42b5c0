"""Time for which a request holds a slot of a server.

Durations differ a hundredfold, and short requests end first. So the mean over
ended requests is too short while long ones still run: for some seconds after
each start of a leader, and after each burst. Slot time divided by the number of
ends counts running requests, too [1]_.

References
==========
.. [1] B. Epstein, M. Sobel, "Life Testing", Journal of the American
   Statistical Association 48(263), 1953: total time on test.
"""

import dataclasses
import math
import typing

# Time constant of the counts: several times the duration of a long request, no
# longer than a burst.
_WINDOW_SECONDS = 5.0
# Initial guess for a pool or a server, in ends and in seconds for each.
_GUESS_ENDS = 1.0
_GUESS_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Occupancy:
    """Decaying counts of one server.

    :ivar slot_seconds: time for which requests held slots.
    :ivar ends: number of ended requests.
    :ivar counted_at: time up to which slot time is counted, in seconds.

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
        """Add the slot time since the last call.

        :param running: number of requests that ran since then.
        :param now: in seconds.
        """
        decay = math.exp((self.counted_at - now) / _WINDOW_SECONDS)
        self.slot_seconds *= decay
        self.slot_seconds += running * _WINDOW_SECONDS * (1 - decay)
        self.ends *= decay
        self.counted_at = now

    def record_end(self) -> None:
        """Count a request that ended."""
        self.ends += 1

    def hold_seconds(self, pool_hold_seconds: float) -> float:
        """Return the seconds for which a request holds a slot.

        :param pool_hold_seconds: the same for the pool.
        """
        total_seconds = self.slot_seconds + pool_hold_seconds * _GUESS_ENDS
        return total_seconds / (self.ends + _GUESS_ENDS)


def pool_hold_seconds(servers: typing.Iterable[Occupancy]) -> float:
    """Return the seconds for which a request holds a slot of any server."""
    total = Occupancy()
    for server in servers:
        total.slot_seconds += server.slot_seconds
        total.ends += server.ends
    return total.hold_seconds(_GUESS_SECONDS)
