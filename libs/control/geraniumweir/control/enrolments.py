"""Backend servers by their own reports, as stored on a control host.

A server may start again under its id; its incarnations are told apart by their
start times. A later incarnation replaces all that was stored of the one before;
a delayed report of an earlier one changes nothing. Within an incarnation the
sequence decides which report is newer; the states leaving and gone are final. A
server that stops reporting is kept and marked silent: it may be partitioned
from control hosts alone and still work.

Every change gets a revision, so that a reader receives only what is new.
"""

import dataclasses
import enum
import itertools
import typing

import xxhash
from geraniumweir.common import ids
from geraniumweir.control import bucket_digests
from geraniumweir.scheduling import notices
from geraniumweir.wire.gen.control import ttypes

# A silent server that no host has seen for this long is removed: longer than
# any partition that must be survived (7 s).
EVICT_SILENT_SECONDS = 30.0
# A server that has gone is kept this long, so that a delayed report does not
# bring it back.
EVICT_GONE_SECONDS = 120.0
# Digests are sent as signed 64-bit numbers.
_DIGEST_SHIFT = 1
_NO_HOSTS: typing.Final[frozenset[ids.HostId]] = frozenset()
# Start time of a server that does not report one: earlier than any other.
UNKNOWN_START_MS = 0
_NO_ADDRESS: typing.Final = ids.Address('0.0.0.0', 0)


class State(enum.IntEnum):
    """The last reported state of a server; only grows in an incarnation."""

    ready = 1
    leaving = 2
    gone = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Enrolment:
    """One incarnation of a backend server.

    :ivar sequence: grows with each report of the incarnation.
    :ivar silent: no report arrived for longer than a lease.
    :ivar born: when it was started, in Unix milliseconds.
    :ivar version: of its software, empty if it does not report one.
    :ivar cold: it is still slow after its start.
    """

    server_id: ids.ServerId
    pool: ids.PoolName
    address: ids.Address
    failure_domain: ids.FailureDomain
    slots: int
    sequence: int
    state: State = State.ready
    silent: bool = False
    models: tuple[str, ...] = ()
    born: int = UNKNOWN_START_MS
    version: ids.SoftwareVersion = ids.SoftwareVersion('')
    cold: bool = False

    @property
    def start(self) -> notices.ServerIncarnation:
        """The server's id and incarnation."""
        return self.server_id, ids.Incarnation(self.born)

    def to_wire(self) -> ttypes.Enrolment:
        """Return the thrift struct."""
        return ttypes.Enrolment(
            server_id=self.server_id,
            pool=self.pool,
            address=str(self.address),
            failure_domain=self.failure_domain,
            slots=self.slots,
            sequence=self.sequence,
            state=int(self.state),
            silent=self.silent,
            models=list(self.models),
            born=self.born,
            version=self.version,
            cold=self.cold,
        )


@dataclasses.dataclass(slots=True)
class _Row:
    """An enrolment and what this host stores about it.

    :ivar revision: of its last change.
    :ivar last_seen_at: when it last arrived, in seconds.
    :ivar sender: the control host to which the server reports.
    :ivar bucket: in which hosts compare it.
    :ivar digest: of what they compare.
    """

    enrolment: Enrolment
    revision: int
    last_seen_at: float
    sender: ids.HostId
    bucket: int
    digest: int


class Enrolments:
    """All backend servers that one control host has in memory.

    :ivar revision: of the last change.
    """

    def __init__(self, host_id: ids.HostId, lease_seconds: float) -> None:
        """Initialize without servers.

        :param host_id: this host's.
        :param lease_seconds: longest pause between reports.
        """
        self.revision = 0
        self._me = host_id
        self._lease_seconds = lease_seconds
        # Ordered by revision.
        self._rows: dict[ids.ServerId, _Row] = {}
        self._buckets = bucket_digests.BucketDigests()
        self._departing: set[ids.ServerId] = set()
        self._digest: int | None = None

    def report(self, reported: Enrolment, now: float) -> bool:
        """Apply a server's own report.

        :returns: whether other control hosts must be notified: of the change,
            or that the server reports here now.
        """
        known = self._rows.get(reported.server_id)
        if known is not None and _recency(known.enrolment) > _recency(reported):
            return False
        moved = known is None or known.sender != self._me
        return self._apply_report(reported, now, self._me) or moved

    def mark_gone(
        self,
        server_id: ids.ServerId,
        now: float,
        born: int | None = None,
    ) -> Enrolment | None:
        """Record that a server said that it is going.

        An unknown server is recorded all the same: a partition may have delayed
        its first report until after this.
        """
        known = self._rows.get(server_id)
        before = (
            _placeholder(server_id, born) if known is None else known.enrolment
        )
        if before.state is State.gone:
            return None
        if born is not None and born != before.born:
            return None
        gone = dataclasses.replace(before, state=State.gone)
        self._store(gone, now, self._me)
        return gone

    def mark_leaving(
        self,
        server_id: ids.ServerId,
        born: int,
        now: float,
    ) -> Enrolment | None:
        """Record that an incarnation told an entry host that it leaves.

        :returns: the change to publish, or None if there is none.
        """
        known = self._rows.get(server_id)
        if known is None or known.enrolment.born < born:
            before, sender = _placeholder(server_id, born), self._me
        else:
            before, sender = known.enrolment, known.sender
        if before.born != born or before.state is not State.ready:
            return None
        leaving = dataclasses.replace(before, state=State.leaving)
        self._store(leaving, now, sender)
        return leaving

    def merge(
        self, received: Enrolment, now: float, sender: ids.HostId
    ) -> bool:
        """Apply an enrolment of another control host.

        Within an incarnation the higher sequence decides whether the server is
        silent; at equal sequences silence is the newer state.

        :returns: whether it changed anything.
        """
        known = self._rows.get(received.server_id)
        if known is None or _recency(received) > _recency(known.enrolment):
            return self._apply_report(received, now, sender)
        before = known.enrolment
        if received.born < before.born:
            return False
        same = received.sequence == before.sequence
        merged = dataclasses.replace(
            before,
            state=max(before.state, received.state),
            silent=before.silent or (same and received.silent),
        )
        if merged == before:
            return False
        self._store(merged, now, known.sender)
        return True

    def expire(
        self,
        now: float,
        absent: frozenset[ids.HostId] = _NO_HOSTS,
    ) -> list[Enrolment]:
        """Mark silent servers and remove old ones.

        :param absent: unreachable control hosts; servers that reported there
            have had a lease's time to report elsewhere.
        :returns: those that became silent.
        """
        newly_silent = []
        for server_id, row in list(self._rows.items()):
            if _is_expired(row, now):
                self.remove(server_id)
            elif self._is_overdue(row, now, absent):
                silent = dataclasses.replace(row.enrolment, silent=True)
                self._store(silent, now, row.sender)
                newly_silent.append(silent)
        return newly_silent

    def remove(self, server_id: ids.ServerId) -> None:
        """Remove a server."""
        self._pop(server_id)
        self._departing.discard(server_id)
        self._digest = None

    def get(self, server_id: ids.ServerId) -> Enrolment | None:
        """Return a server's enrolment, None if it is unknown."""
        row = self._rows.get(server_id)
        return None if row is None else row.enrolment

    def known(self) -> list[Enrolment]:
        """Return all enrolments, also of gone servers, ordered by id."""
        return [row.enrolment for _, row in sorted(self._rows.items())]

    def changed_since(self, revision: int) -> list[Enrolment]:
        """Return those that changed after a revision, the newest first."""
        newest_first = itertools.takewhile(
            lambda row: row.revision > revision,
            reversed(self._rows.values()),
        )
        return [row.enrolment for row in newest_first]

    def bucket_digests(self) -> bytes:
        """Return digests by bucket, for a host that has other servers."""
        return self._buckets.to_bytes()

    def differing_buckets(self, digests: bytes) -> list[int]:
        """Return the buckets in which another host has other servers."""
        return self._buckets.differing(digests)

    def in_buckets(self, buckets: typing.Collection[int]) -> list[Enrolment]:
        """Return all enrolments of some buckets."""
        wanted = frozenset(buckets)
        if not wanted:
            return []
        return [
            row.enrolment for row in self._rows.values() if row.bucket in wanted
        ]

    def departing_since(self, revision: int) -> list[Enrolment]:
        """Return those that leave or are gone and changed after a revision."""
        rows = (self._rows[server_id] for server_id in self._departing)
        return [row.enrolment for row in rows if row.revision > revision]

    def digest(self) -> int:
        """Return a number that is equal on hosts with equal enrolments."""
        if self._digest is None:
            text = repr([_content(found) for found in self.known()])
            digest = xxhash.xxh3_64_intdigest(text.encode())
            self._digest = digest >> _DIGEST_SHIFT
        return self._digest

    def _is_overdue(
        self,
        row: _Row,
        now: float,
        absent: frozenset[ids.HostId],
    ) -> bool:
        found = row.enrolment
        if found.silent or found.state is State.gone:
            return False
        if row.sender == self._me:
            return now - row.last_seen_at > self._lease_seconds
        return row.sender in absent

    def _apply_report(
        self, reported: Enrolment, now: float, sender: ids.HostId
    ) -> bool:
        known = self._rows.get(reported.server_id)
        if known is None or reported.born > known.enrolment.born:
            self._store(reported, now, sender)
            return True
        before = known.enrolment
        state = max(before.state, reported.state)
        merged = reported
        if state is not reported.state:
            merged = dataclasses.replace(reported, state=state)
        if _compared(merged) != _compared(before):
            self._store(merged, now, sender)
            return True
        # Only the sequence is newer: readers need no update.
        known.enrolment = merged
        known.last_seen_at = now
        known.sender = sender
        return False

    def _store(self, found: Enrolment, now: float, sender: ids.HostId) -> None:
        self.revision += 1
        self._pop(found.server_id)
        row = _Row(
            enrolment=found,
            revision=self.revision,
            last_seen_at=now,
            sender=sender,
            bucket=bucket_digests.bucket_of(found.server_id),
            digest=bucket_digests.digest_of(repr(_compared(found))),
        )
        self._rows[found.server_id] = row
        self._buckets.toggle(row.bucket, row.digest)
        self._digest = None
        if found.state is State.ready:
            self._departing.discard(found.server_id)
        else:
            self._departing.add(found.server_id)

    def _pop(self, server_id: ids.ServerId) -> None:
        row = self._rows.pop(server_id, None)
        if row is not None:
            self._buckets.toggle(row.bucket, row.digest)


def _placeholder(server_id: ids.ServerId, born: int | None) -> Enrolment:
    """Return the enrolment of a server that never reported."""
    return Enrolment(
        server_id=server_id,
        pool=ids.PoolName(''),
        address=_NO_ADDRESS,
        failure_domain=ids.FailureDomain(''),
        slots=0,
        sequence=-1,
        born=born or UNKNOWN_START_MS,
    )


def _recency(found: Enrolment) -> tuple[int, int]:
    """Return a key that grows with newer enrolments of a server."""
    return found.born, found.sequence


def _content(found: Enrolment) -> tuple[str, int, int, bool]:
    """Return what control hosts compare at each exchange."""
    return (found.server_id, found.born, int(found.state), found.silent)


def _compared(found: Enrolment) -> list[typing.Any]:
    """Return what differs where a host lacks an update.

    The sequence is left out: it grows with each report at one host only.
    """
    return [
        found.server_id,
        found.pool,
        found.address,
        found.failure_domain,
        found.slots,
        int(found.state),
        found.silent,
        found.models,
        found.born,
        found.version,
        found.cold,
    ]


def _is_expired(row: _Row, now: float) -> bool:
    if row.enrolment.state is State.gone:
        return now - row.last_seen_at > EVICT_GONE_SECONDS
    return (
        row.enrolment.silent and now - row.last_seen_at > EVICT_SILENT_SECONDS
    )
