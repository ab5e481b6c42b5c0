"""Membership of the log: voters and learners after each membership entry.

A recorder is identified by the identity of its data folder, not by its host:
a host whose folder was emptied is a new recorder. A membership takes effect
as soon as its entry is appended, committed or not, and each change adds or
removes a single voter, so the majorities of consecutive memberships overlap.

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
    """A recorder that is a member of the log.

    :ivar identity: identity of its data folder.
    :ivar host_id: host of that folder.
    :ivar address: address of the host's peer layer, or empty.
    :ivar voter: False for a learner, which receives entries but has no vote.
    """

    identity: RecorderId
    host_id: ids.HostId
    address: str = ''
    voter: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """The membership of a log.

    :ivar cluster: identity of the log; a recorder belongs to only one.
    :ivar recorders: voters and learners.
    """

    cluster: str = ''
    recorders: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[Member, ...]:
        """Recorders that count for a majority."""
        return tuple(member for member in self.recorders if member.voter)

    @property
    def majority(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def accepts(self, cluster: str) -> bool:
        """Return whether a message belongs to this log or none is known yet."""
        return self.cluster in {'', cluster}

    def find(self, identity: RecorderId) -> Member | None:
        """Return the recorder with an identity, or None."""
        for member in self.recorders:
            if member.identity == identity:
                return member
        return None

    def on_host(self, host_id: ids.HostId) -> tuple[Member, ...]:
        """Return the recorders of a host."""
        return tuple(
            member for member in self.recorders if member.host_id == host_id
        )

    def is_voter(self, identity: RecorderId) -> bool:
        """Return whether a recorder is a voter."""
        member = self.find(identity)
        return member is not None and member.voter

    def with_member(self, member: Member) -> 'Members':
        """Return a membership with a recorder added or updated.

        >>> one = Member(RecorderId('a'), ids.HostId('h'), voter=False)
        >>> grown = Members('log').with_member(one)
        >>> grown.majority, len(grown.recorders)
        (1, 1)
        """
        others = self.without(member.identity).recorders
        return dataclasses.replace(self, recorders=(*others, member))

    def without(self, identity: RecorderId) -> 'Members':
        """Return a membership without a recorder."""
        others = tuple(
            member for member in self.recorders if member.identity != identity
        )
        return dataclasses.replace(self, recorders=others)


class History:
    """Memberships by the index of the entry that set them.

    Uncommitted entries can be truncated, so earlier memberships are retained.
    """

    def __init__(self, index: int, members: Members) -> None:
        """Initialize from a snapshot, or empty at index 0."""
        self._changes = [(index, members)]

    @property
    def current(self) -> Members:
        """The newest membership, in effect whether committed or not."""
        return self._changes[-1][1]

    @property
    def index(self) -> int:
        """Index of the entry that set the newest membership."""
        return self._changes[-1][0]

    def at(self, index: int) -> Members:
        """Return the membership in effect after an entry.

        :param index: index of the entry, at or after the history's start.
        """
        found = self._changes[0][1]
        for changed_at, members in self._changes:
            if changed_at <= index:
                found = members
        return found

    def record(self, index: int, members: Members) -> None:
        """Record the membership that an entry sets."""
        self._changes.append((index, members))

    def truncate_from(self, index: int) -> None:
        """Remove the memberships set by truncated entries.

        :param index: index of the first truncated entry.
        """
        self._changes = [
            change for change in self._changes if change[0] < index
        ]

    def discard_before(self, index: int) -> None:
        """Discard the memberships before the one in effect at an index."""
        start = (index, self.at(index))
        later = [change for change in self._changes if change[0] > index]
        self._changes = [start, *later]


def encode(members: Members) -> bytes:
    """Encode a membership for an entry or a snapshot."""
    rows = [to_wire(member) for member in members.recorders]
    return TSerialization.serialize(
        ttypes.Members(members.cluster, rows),
        _PROTOCOL,
    )


def decode(payload: bytes) -> Members:
    """Decode a membership; an empty payload gives an empty one.

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
    """Return the thrift struct of a recorder."""
    return ttypes.Recorder(
        member.identity,
        member.host_id,
        member.address,
        member.voter,
    )
