"""State shared by the tasks and handlers of one recorder.

Each decision is made without an ``await``; then it is made durable; then it is
checked whether it still holds, as others may have run meanwhile; only then is
it answered or sent.
"""

import asyncio
import dataclasses
import enum
import math
import random
import typing

import reactivex
from geraniumweir.common import ids, timers
from geraniumweir.common import logevents as events
from geraniumweir.consensus import (
    errors,
    leadership,
    logevents,
    machines,
    members,
    settings,
    watermarks,
)
from geraniumweir.store import entries, folder
from geraniumweir.wire import peers

Report = typing.Callable[..., None]


def report_nothing(_event: events.Event, **_fields: typing.Any) -> None:
    """Log nothing."""


class Role(enum.Enum):
    """Role of a recorder in the current term."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'
    failed = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Dependencies of a recorder.

    :ivar cfg: limits and timeouts.
    :ivar peers: peer layer, which reaches other hosts.
    :ivar machine: state machine that applies the committed commands.
    :ivar rng: source of the randomized election timeouts.
    :ivar report: function that logs an event.
    """

    cfg: settings.Settings
    peers: peers.Peers
    machine: machines.StateMachine
    rng: random.Random
    report: Report = report_nothing


@dataclasses.dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received.

    :ivar leader: identity of the recorder that sends it.
    :ivar index: index of the last entry that it covers.
    :ivar content: bytes received so far.
    :ivar lock: held while a chunk is handled.
    """

    leader: str = ''
    index: int = 0
    content: bytearray = dataclasses.field(default_factory=bytearray)
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)


@dataclasses.dataclass(slots=True)
class LeaderContact:
    """Information received from leaders.

    :ivar committed: highest commit index received.
    :ivar last_seen_at: when the last message arrived, in loop time.
    :ivar commit_seen_at: when the last commit index arrived, in loop time.
    :ivar caught_up_at: when the newest commit index arrived up to which all
        entries are known to be applied here, in loop time.
    """

    committed: int
    last_seen_at: float = -math.inf
    commit_seen_at: float = -math.inf
    caught_up_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class SnapshotProgress:
    """Progress of a recorder's own snapshots.

    :ivar in_progress: whether a snapshot is being taken.
    :ivar unsaved_bytes: payload of the entries applied since the last
        snapshot was begun, in bytes.
    """

    in_progress: bool = False
    unsaved_bytes: int = 0


class Core:
    """The state of one recorder.

    :ivar env: its dependencies.
    :ivar folder: its durable files.
    :ivar role: its role in the current term.
    :ivar leader: identity of the current leader, or empty.
    :ivar leadership: its state as leader, or None while it doesn't lead.
    :ivar history: memberships of the log.
    :ivar commit: commit index; all entries up to it are committed.
    :ivar applied: last applied index; the state machine has all entries up
        to it.
    :ivar election_timer_reset_at: when the election timeout was last
        restarted, in loop time.
    :ivar leader_contact: information received from leaders.
    :ivar changes: notifications of what is applied.
    :ivar snapshot_progress: progress of its own snapshots.
    :ivar incoming: a snapshot that it receives from the leader.
    """

    def __init__(self, env: Environment, opened: folder.Folder) -> None:
        """Initialize as a follower with the content of the data folder."""
        newest = opened.snapshots.newest
        self.env = env
        self.folder = opened
        self.timers = timers.TimerService()
        self.role = Role.follower
        self.leader = members.RecorderId('')
        self.leadership: leadership.LeaderState | None = None
        self.history = _read_history(opened)
        self.commit = watermarks.Watermark(newest.index)
        self.applied = watermarks.Watermark(newest.index)
        self.election_timer_reset_at = self.timers.now()
        self.leader_contact = LeaderContact(committed=newest.index)
        self.changes: reactivex.Subject[machines.Change] = reactivex.Subject()
        self.snapshot_progress = SnapshotProgress()
        self.incoming = IncomingSnapshot()
        self._failure: BaseException | None = None
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    @property
    def identity(self) -> members.RecorderId:
        """The identity of this recorder."""
        return members.RecorderId(self.folder.identity)

    @property
    def term(self) -> int:
        """The current term: the newest one known."""
        return self.folder.vote_store.term

    @property
    def failure(self) -> str:
        """Reason why this recorder failed or was stopped, or empty."""
        return str(self._failure or '')

    def check_not_failed(self) -> None:
        """Check that this recorder still runs and its disk hasn't failed.

        :raises errors.RecorderFailedError: when it failed or was stopped.
        """
        failed = self._failure or self.folder.guarded.failure
        if failed is not None:
            self.fail(failed)
            raise errors.RecorderFailedError(str(failed)) from failed

    def fail(self, cause: BaseException) -> None:
        """Stop permanently after a failure, and log it once."""
        if self._failure is None:
            self.halt(cause)
            self.env.report(logevents.RECORDER_FAILED, reason=str(cause))

    def halt(self, cause: BaseException) -> None:
        """Stop permanently: end leadership and cancel all tasks."""
        self._failure = cause
        self.end_leadership(str(cause))
        self.role = Role.failed
        for task in self._tasks:
            task.cancel()

    def spawn(
        self,
        work: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> asyncio.Task[typing.Any]:
        """Run a task; an exception in it fails the recorder."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def append(self, batch: typing.Sequence[entries.Entry]) -> None:
        """Append entries to the log, truncating the entries they replace.

        :raises errors.UnsafeError: when a committed entry would be replaced.
        """
        if not batch:
            return
        first = batch[0].index
        if first <= self.commit.height:
            raise errors.UnsafeError(f'entry {first} is committed already')
        if first <= self.folder.log.last.index:
            self.history.truncate_from(first)
        self.folder.log.append(batch)
        for entry in batch:
            if entry.kind == machines.Kind.members:
                self._enter_members(entry)

    def enter_term(self, term: int, reason: str) -> None:
        """Become a follower in a newer term; do nothing in any other."""
        if term <= self.term:
            return
        self.folder.vote_store.set_vote(term)
        self.leader = members.RecorderId('')
        self.become_follower(reason)

    def become_follower(self, reason: str) -> None:
        """Become a follower in the current term."""
        self.end_leadership(reason)
        if self.role is not Role.failed:
            self.role = Role.follower
        self.election_timer_reset_at = self.timers.now()

    def end_leadership(self, reason: str) -> None:
        """Step down, if this recorder is the leader."""
        if self.leadership is None:
            return
        ended = self.leadership
        self.leadership = None
        self.leader = members.RecorderId('')
        ended.end(reason)
        self.env.report(
            logevents.STEPPED_DOWN,
            term=ended.term,
            reason=reason,
        )

    def has_live_leader(self) -> bool:
        """Return whether this leads or a leader was recently in contact."""
        if self.role is Role.leader:
            return True
        silence = self.timers.now() - self.leader_contact.last_seen_at
        return silence < self.env.cfg.election_min

    def update_caught_up(self) -> None:
        """Update the staleness after a leader's message or an applied entry."""
        if self.applied.height >= self.leader_contact.committed:
            self.leader_contact.caught_up_at = (
                self.leader_contact.commit_seen_at
            )

    def staleness(self) -> float:
        """Return for how long committed entries may be missing, in seconds.

        Contact with a leader isn't enough: entries are applied here only once
        this disk has synced them, and a leader that receives no answers sends
        no entries. A leader is as stale as its contact with a majority, which
        may follow another one since.
        """
        now = self.timers.now()
        if self.leadership is None:
            return now - self.leader_contact.caught_up_at
        if self.applied.height < self.leadership.start_index:
            return math.inf
        followed_at = self.leadership.majority_contact(
            self.history.current, self.identity, now
        )
        return now - followed_at

    def _enter_members(self, entry: entries.Entry) -> None:
        current = members.decode(entry.payload)
        self.history.record(entry.index, current)
        register_addresses(self.env.peers, current)
        self.env.report(
            logevents.MEMBERS_CHANGED,
            index=entry.index,
            recorders=[member.host_id for member in current.recorders],
        )

    def _handle_task_end(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        failed = task.exception()
        if failed is not None:
            self.fail(failed)


def stopped_error() -> errors.RecorderFailedError:
    """Return the error of a recorder that was stopped deliberately."""
    return errors.RecorderFailedError('stopped')


def register_addresses(
    peer_layer: peers.Peers, current: members.Members
) -> None:
    """Register the addresses of the recorders with the peer layer."""
    for member in current.recorders:
        if member.address:
            peer_layer.learn(member.host_id, ids.parse_address(member.address))


def _read_history(opened: folder.Folder) -> members.History:
    newest = opened.snapshots.newest
    history = members.History(newest.index, members.decode(newest.members))
    log = opened.log
    for entry in log.read(newest.index, log.last.index):
        if entry.kind == machines.Kind.members:
            history.record(entry.index, members.decode(entry.payload))
    return history
