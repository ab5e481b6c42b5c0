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
_SECONDS = 5.0
# What a pool or a server is thought to do before it has shown it, in ends and
# in seconds for each.
_GUESS_ENDS = 1.0
_GUESS_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Occupancy:
    """Decaying counts of one server.

    :ivar slot_seconds: for which requests kept slots.
    :ivar ends: of requests.
    :ivar at: up to when it is counted, in seconds.

    >>> some = Occupancy()
    >>> some.passed(4, 0.5)
    >>> some.ended()
    >>> round(some.held(1), 1)
    1.5
    """

    slot_seconds: float = 0
    ends: float = 0
    at: float = 0

    def passed(self, running: int, now: float) -> None:
        """Take that so many requests ran since the last call.

        :param now: in seconds.
        """
        kept = math.exp((self.at - now) / _SECONDS)
        self.slot_seconds *= kept
        self.slot_seconds += running * _SECONDS * (1 - kept)
        self.ends *= kept
        self.at = now

    def ended(self) -> None:
        """Take that a request ended at the server."""
        self.ends += 1

    def held(self, usual: float) -> float:
        """Give the seconds for which a request keeps a slot.

        :param usual: of the pool.
        """
        known = self.slot_seconds + usual * _GUESS_ENDS
        return known / (self.ends + _GUESS_ENDS)


def usual(servers: typing.Iterable[Occupancy]) -> float:
    """Give the seconds for which a request keeps a slot of any of them."""
    whole = Occupancy()
    for server in servers:
        whole.slot_seconds += server.slot_seconds
        whole.ends += server.ends
    return whole.held(_GUESS_SECONDS)
