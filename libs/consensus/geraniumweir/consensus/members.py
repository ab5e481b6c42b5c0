"""Who the recorders are, after each entry of the log that says so.

A recorder is named by the identity of its data folder, not by its host: an
emptied folder is another recorder. Changes hold as soon as they are in the
log, committed or not, and each adds or removes one voter only, so any two
majorities that follow each other overlap.

References
==========
.. [1] D. Ongaro, PhD thesis, chapter 4, "Cluster membership changes".
"""

import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.wire.gen.consensus import ttypes
from thrift import TSerialization
from thrift.protocol import TCompactProtocol

RecorderId = typing.NewType('RecorderId', str)

_PROTOCOL = TCompactProtocol.TCompactProtocolAcceleratedFactory()


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One recorder.

    :ivar identity: of its data folder.
    :ivar host_id: where that folder is.
    :ivar address: where the host's peer layer listens, or empty.
    :ivar voter: False for a learner, which only gets the entries.
    """

    identity: RecorderId
    host_id: ids.HostId
    address: str = ''
    voter: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """All recorders.

    :ivar cluster: names the log; a recorder takes part in one only.
    :ivar recorders: voters and learners.
    """

    cluster: str = ''
    recorders: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[Member, ...]:
        """Those that count for a majority."""
        return tuple(member for member in self.recorders if member.voter)

    @property
    def majority(self) -> int:
        """How many voters must agree."""
        return len(self.voters) // 2 + 1

    def accepts(self, cluster: str) -> bool:
        """Tell whether a message is of this log, or this is none yet."""
        return self.cluster in {'', cluster}

    def find(self, identity: RecorderId) -> Member | None:
        """Give a recorder by its identity."""
        for member in self.recorders:
            if member.identity == identity:
                return member
        return None

    def on_host(self, host_id: ids.HostId) -> tuple[Member, ...]:
        """Give the recorders that were added on a host."""
        return tuple(
            member for member in self.recorders if member.host_id == host_id
        )

    def is_voter(self, identity: RecorderId) -> bool:
        """Tell whether a recorder votes."""
        member = self.find(identity)
        return member is not None and member.voter

    def with_member(self, member: Member) -> 'Members':
        """Add a recorder, or put it in the place of its old entry.

        >>> one = Member(RecorderId('a'), ids.HostId('h'), voter=False)
        >>> grown = Members('log').with_member(one)
        >>> grown.majority, len(grown.recorders)
        (1, 1)
        """
        others = self.without(member.identity).recorders
        return dataclasses.replace(self, recorders=(*others, member))

    def without(self, identity: RecorderId) -> 'Members':
        """Remove a recorder."""
        others = tuple(
            member for member in self.recorders if member.identity != identity
        )
        return dataclasses.replace(self, recorders=others)


class History:
    """The recorders after each entry that changed them.

    The log's end can become void, so the earlier ones are kept.
    """

    def __init__(self, index: int, members: Members) -> None:
        """Start from a snapshot, or from nothing at index 0."""
        self._changes = [(index, members)]

    @property
    def current(self) -> Members:
        """The newest ones, which hold whether committed or not."""
        return self._changes[-1][1]

    @property
    def index(self) -> int:
        """The entry that brought the newest ones."""
        return self._changes[-1][0]

    def at(self, index: int) -> Members:
        """Give the recorders after an entry.

        :param index: no earlier than what the history starts from.
        """
        found = self._changes[0][1]
        for changed_at, members in self._changes:
            if changed_at <= index:
                found = members
        return found

    def record(self, index: int, members: Members) -> None:
        """Note a change."""
        self._changes.append((index, members))

    def void_from(self, index: int) -> None:
        """Forget the changes of void entries."""
        self._changes = [
            change for change in self._changes if change[0] < index
        ]

    def forget_before(self, index: int) -> None:
        """Start from a later entry."""
        start = (index, self.at(index))
        later = [change for change in self._changes if change[0] > index]
        self._changes = [start, *later]


def encode(members: Members) -> bytes:
    """Write recorders for an entry or a snapshot."""
    rows = [to_wire(member) for member in members.recorders]
    return TSerialization.serialize(
        ttypes.Members(members.cluster, rows),
        _PROTOCOL,
    )


def decode(payload: bytes) -> Members:
    """Read what :func:`encode` wrote; nothing gives no recorders.

    >>> decode(encode(Members('log'))).cluster
    'log'
    """
    if not payload:
        return Members()
    read = TSerialization.deserialize(ttypes.Members(), payload, _PROTOCOL)
    rows = tuple(
        Member(row.identity, row.host_id, row.address, row.voter)
        for row in read.recorders
    )
    return Members(read.cluster, rows)


def to_wire(member: Member) -> ttypes.Recorder:
    """Make the struct of a recorder."""
    return ttypes.Recorder(
        member.identity,
        member.host_id,
        member.address,
        member.voter,
    )
