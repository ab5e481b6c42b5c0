"""Accounting of response bytes that callers have not taken yet.

Load: many callers that read slowly at the same time. The bytes are bounded for
one response and for all responses of a host. The bound of the host is shared by
dynamic thresholds [1]_: a response may hold at most a multiple of what is still
free. While much is free, only its own bound limits a response; near the bound
of the host the largest responses are the first that may hold no more.

References
==========
.. [1] A. Choudhury, E. Hahne, "Dynamic queue length thresholds for
   shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2),
   1998.
"""

import dataclasses
import enum

# Bound for one response.
RESPONSE_BOUND = 1048576
# Bound for all responses of a host whose memory is not known: 64 MiB.
DEFAULT_BOUND = 67108864
# Every response may hold this much, so that a caller that reads at once does
# not wait for others. It is several events of a usual stream.
RESERVED = 4096
# A caller that takes nothing for this time loses its connection.
STALL_SECONDS = 30.0
# Multiple of the free bytes that a response may hold. A response may reach its
# own bound as long as an eighth of that is free.
_FREE_FACTOR = 8
# Part of a host's memory that held bytes may take.
_MEMORY_DIVISOR = 4


class Bound(enum.Enum):
    """The bound at which a response may hold no more bytes."""

    response = 'response'
    host = 'host'


@dataclasses.dataclass(slots=True, eq=False)
class HeldResponse:
    """Bytes of one response that its caller has not taken yet.

    :ivar size: number of these bytes.
    """

    size: int = 0
    _taken: int = -1
    _taken_at: float = 0

    def is_stalled(self, taken: int, now: float) -> bool:
        """Return whether its caller has taken nothing for too long.

        :param taken: bytes that the caller has taken since the start.
        :param now: in seconds.
        """
        if taken != self._taken:
            self._taken = taken
            self._taken_at = now
        return now - self._taken_at >= STALL_SECONDS

    def restart(self, now: float) -> None:
        """Measure from now on whether the caller stalls."""
        self._taken = -1
        self._taken_at = now


class HeldBytes:
    """Held bytes of all responses of a host.

    :ivar total: number of these bytes.

    >>> accounts = HeldBytes(bound=57344)
    >>> large, medium, small = (accounts.open() for _ in range(3))
    >>> accounts.resize(large, 32768)
    >>> accounts.resize(medium, 16384)
    >>> accounts.room(large), accounts.limiting_bound(large)
    (0, <Bound.host: 'host'>)
    >>> accounts.room(medium), accounts.room(small)
    (4096, 8192)
    """

    def __init__(
        self,
        bound: int = DEFAULT_BOUND,
        response_bound: int = RESPONSE_BOUND,
    ) -> None:
        """Initialize without responses.

        :param bound: for all responses.
        :param response_bound: for one response.
        """
        self.total = 0
        self._bound = bound
        self._response_bound = response_bound
        # Sum of what each response holds, at least its reserved bytes.
        self._charged = 0

    def open(self) -> HeldResponse:
        """Return the account of a response that begins."""
        self._charged += RESERVED
        return HeldResponse()

    def close(self, held: HeldResponse) -> None:
        """Remove the account of a response."""
        self.resize(held, 0)
        self._charged -= RESERVED

    def resize(self, held: HeldResponse, size: int) -> None:
        """Record how many bytes of a response are held now."""
        self.total += size - held.size
        self._charged += max(size, RESERVED) - max(held.size, RESERVED)
        held.size = size

    def room(self, held: HeldResponse) -> int:
        """Return how many more bytes of a response may be held."""
        own = self._response_bound - held.size
        return max(min(own, self._shared_room(held)), 0)

    def fits_whole(self, held: HeldResponse, size: int) -> bool:
        """Return whether so many more bytes of a response may be held at once.

        Of a response that is sent only when it is whole. An eighth of its size
        stays free for smaller ones.
        """
        if held.size + size <= RESERVED:
            return True
        free = self._bound - self._charged + max(RESERVED - held.size, 0)
        return _FREE_FACTOR * (free - size) >= size

    def limiting_bound(self, held: HeldResponse) -> Bound:
        """Return the bound that limits the room of a response."""
        own = self._response_bound - held.size
        if own <= self._shared_room(held):
            return Bound.response
        return Bound.host

    def _shared_room(self, held: HeldResponse) -> int:
        reserved = max(RESERVED - held.size, 0)
        free = self._bound - self._charged
        below_threshold = _FREE_FACTOR * free - held.size
        return max(reserved, min(free + reserved, below_threshold))


def bound_of(memory_bytes: int | None) -> int:
    """Return the bound for all responses of a host.

    :param memory_bytes: memory of the host, None if it isn't known.
    """
    if memory_bytes is None:
        return DEFAULT_BOUND
    return memory_bytes // _MEMORY_DIVISOR
