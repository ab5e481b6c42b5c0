"""Errors of the replicated log.

The class says what happened to a command. After :class:`NotLeaderError`,
:class:`NoQuorumError`, :class:`RefusedError` and :class:`TooLargeError` it was
certainly not appended to the log; after :class:`UncertainError` it may have
been committed, or may still be.
"""

from geraniumweir.common import errors, ids
from geraniumweir.wire import framing


class ConsensusError(errors.GeraniumweirError):
    """An operation on the replicated log failed."""

    code = 'GW-5101'
    ran = ids.Ran.no


class NotLeaderError(ConsensusError):
    """Another recorder is the leader; nothing was appended."""

    code = 'GW-5102'

    def __init__(
        self,
        message: str,
        leader: ids.HostId,
        address: str = '',
    ) -> None:
        """Initialize with a hint at the leader.

        :param leader: host of the last known leader.
        :param address: address of its peer layer, or empty.
        """
        super().__init__(message)
        self.leader = leader
        self.address = address


class NoQuorumError(ConsensusError):
    """No majority of voters, or no leader, is reachable; nothing was done."""

    code = 'GW-5103'


class UncertainError(ConsensusError):
    """The command may have been committed, or may still be."""

    code = 'GW-5104'
    ran = ids.Ran.unknown


class RecorderFailedError(ConsensusError):
    """This recorder stopped permanently, most likely as its disk failed."""

    code = 'GW-5105'


class RefusedError(ConsensusError):
    """A membership change is not possible in the current state."""

    code = 'GW-5106'


class CompactedError(ConsensusError):
    """The requested entries were compacted into a snapshot."""

    code = 'GW-5107'


class TooLargeError(ConsensusError):
    """A command exceeds the size that the log accepts."""

    code = 'GW-5109'


class UnsafeError(ConsensusError):
    """A safety rule of the consensus was violated; the recorder stops."""

    code = 'GW-5108'


def check_size(command: bytes) -> None:
    """Check that a command can be replicated, in a message of its own.

    :raises TooLargeError: when it can't.
    """
    if len(command) > framing.MAX_PAYLOAD_BYTES:
        raise TooLargeError(
            f'a command of {len(command)} bytes; the log accepts up to'
            f' {framing.MAX_PAYLOAD_BYTES}'
        )
