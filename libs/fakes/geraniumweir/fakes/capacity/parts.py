"""A part of what a role costs, and sums of parts."""

import dataclasses
import typing

from geraniumweir.fakes.capacity import letter


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """What one duty costs a host.

    :ivar module: the code that carries it.
    :ivar messages: sent a second.
    :ivar octets: bytes sent a second, with headers.
    :ivar processor: seconds of processor time a second.
    :ivar memory: in bytes.
    """

    duty: str
    module: str
    messages: float = 0
    octets: float = 0
    processor: float = 0
    memory: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Total:
    """A sum of parts, as in :class:`Part`."""

    messages: float
    octets: float
    processor: float
    memory: float

    def missed(self) -> list[str]:
        """Name the limits of the letter that the sum is over.

        >>> Total(0, letter.BYTES + 1, 0, 0).missed()
        ['bytes']
        """
        found = {
            'processor time': self.processor > letter.PROCESSOR,
            'bytes': self.octets > letter.BYTES,
            'memory': self.memory > letter.MEMORY,
        }
        return [name for name, is_over in found.items() if is_over]


def total(parts: typing.Sequence[Part]) -> Total:
    """Sum parts up."""
    return Total(
        sum(part.messages for part in parts),
        sum(part.octets for part in parts),
        sum(part.processor for part in parts),
        sum(part.memory for part in parts),
    )
