"""Errors of the replicated log.

What became of a command is told by the class: with :class:`NotLeaderError`,
:class:`NoQuorumError` and :class:`RefusedError` it was certainly not taken;
with :class:`UncertainError` it may have been, or may still be.
"""

from geraniumweir.common import errors, ids


class ConsensusError(errors.GeraniumweirError):
    """The replicated log can't do what was asked."""

    code = 'GW-5101'
    ran = ids.Ran.no


class NotLeaderError(ConsensusError):
    """Another recorder leads; nothing was taken."""

    code = 'GW-5102'

    def __init__(
        self,
        message: str,
        leader: ids.HostId,
        address: str = '',
    ) -> None:
        """Keep the hint.

        :param leader: the host that leads as far as is known.
        :param address: where it listens, or empty.
        """
        super().__init__(message)
        self.leader = leader
        self.address = address


class NoQuorumError(ConsensusError):
    """No majority of the recorders can be reached; nothing was taken."""

    code = 'GW-5103'


class UncertainError(ConsensusError):
    """The command may have been taken, or may still be."""

    code = 'GW-5104'
    ran = ids.Ran.unknown


class RecorderFailedError(ConsensusError):
    """This recorder stopped for good, most likely as its disk failed."""

    code = 'GW-5105'


class RefusedError(ConsensusError):
    """A change of recorders is not possible as things stand."""

    code = 'GW-5106'


class CompactedError(ConsensusError):
    """The entries asked for are only in a snapshot any more."""

    code = 'GW-5107'


class UnsafeError(ConsensusError):
    """A rule that agreement rests on was broken; the recorder stops."""

    code = 'GW-5108'
