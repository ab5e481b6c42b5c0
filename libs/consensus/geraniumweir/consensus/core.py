"""What the tasks and handlers of one recorder share.

Decisions are made in one go, without an ``await``; then the promise is made
durable; then it is checked that it still holds; and only then anyone is told.
"""

import asyncio
import dataclasses
import enum
import math
import random
import typing

import reactivex
from geraniumweir.common import logevents as events
from geraniumweir.common import ids, timers
from geraniumweir.consensus import (
    errors,
    logevents,
    machines,
    members,
    leadership,
    settings,
    watermarks,
)
from geraniumweir.store import entries, folder
from geraniumweir.wire import peers

Report = typing.Callable[..., None]


def report_nothing(_event: events.Event, **_fields: typing.Any) -> None:
    """Log nothing."""


class Role(enum.Enum):
    """What a recorder is at the moment."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'
    failed = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """What a recorder is given.

    :ivar cfg: sizes and times.
    :ivar peers: the way to other hosts.
    :ivar machine: gets the committed commands.
    :ivar rng: decides election timeouts.
    :ivar report: logs events.
    """

    cfg: settings.Settings
    peers: peers.Peers
    machine: machines.StateMachine
    rng: random.Random
    report: Report = report_nothing


@dataclasses.dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received.

    :ivar leader: who sends it.
    :ivar index: of the last entry that it covers.
    :ivar content: what came so far.
    :ivar lock: held while a piece is taken.
    """

    leader: str = ''
    index: int = 0
    content: bytearray = dataclasses.field(default_factory=bytearray)
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)


@dataclasses.dataclass(slots=True)
class LeaderContact:
    """What a recorder heard of leaders.

    :ivar committed: the highest index that one called committed.
    :ivar last_seen_at: when the last message arrived, in loop time.
    :ivar commit_seen_at: when one last told how much is committed, in loop time.
    :ivar caught_up_at: when one last told so and nothing committed wasn't
        applied here, in loop time.
    """

    committed: int
    last_seen_at: float = -math.inf
    commit_seen_at: float = -math.inf
    caught_up_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class SnapshotProgress:
    """How far a recorder is with its snapshots.

    :ivar in_progress: one is being taken.
    :ivar unsaved_bytes: of entries applied since it last took one.
    """

    in_progress: bool = False
    unsaved_bytes: int = 0


class Core:
    """The state of one recorder.

    :ivar env: what it was given.
    :ivar folder: its durable files.
    :ivar role: what it is at the moment.
    :ivar leader: the recorder it follows, or empty.
    :ivar reign: its own leadership, or None.
    :ivar history: who the recorders are.
    :ivar commit: all entries up to it are committed.
    :ivar applied: all entries up to it are in the state machine.
    :ivar election_timer_reset_at: when the election timeout began, in loop time.
    :ivar leader_contact: what leaders said.
    :ivar changes: what is applied.
    :ivar snapshot_progress: how far it is with its snapshots.
    :ivar incoming: what came so far of a snapshot that the leader sends.
    """

    def __init__(self, env: Environment, opened: folder.Folder) -> None:
        """Start as a follower with what the folder holds."""
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
        """The newest term known."""
        return self.folder.ballot.term

    @property
    def failure(self) -> str:
        """Why this recorder stopped for good, or empty."""
        return str(self._failure or '')

    def check_not_failed(self) -> None:
        """Make sure that this recorder still may promise anything.

        :raises errors.RecorderFailedError: when it may not.
        """
        failed = self._failure or self.folder.guarded.failure
        if failed is not None:
            self.fail(failed)
            raise errors.RecorderFailedError(str(failed)) from failed

    def fail(self, cause: BaseException) -> None:
        """Stop for good: lead no more, vote no more."""
        if self._failure is None:
            self.halt(cause)
            self.env.report(logevents.RECORDER_FAILED, reason=str(cause))

    def halt(self, cause: BaseException) -> None:
        """Promise nothing any more and end all tasks."""
        self._failure = cause
        self.end_leadership(str(cause))
        self.role = Role.failed
        for task in self._tasks:
            task.cancel()

    def spawn(
        self,
        work: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> asyncio.Task[typing.Any]:
        """Run a task of this recorder; its failure is the recorder's."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def append(self, batch: typing.Sequence[entries.Entry]) -> None:
        """Add entries to the log, making void what they replace.

        :raises errors.UnsafeError: when that would void a committed entry.
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
        """Follow in a newer term; do nothing when it is no newer."""
        if term <= self.term:
            return
        self.folder.ballot.cast(term)
        self.leader = members.RecorderId('')
        self.become_follower(reason)

    def become_follower(self, reason: str) -> None:
        """Be a follower in the current term."""
        self.end_leadership(reason)
        if self.role is not Role.failed:
            self.role = Role.follower
        self.election_timer_reset_at = self.timers.now()

    def end_leadership(self, reason: str) -> None:
        """Lead no more, if this recorder did."""
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
        """Tell whether a leader was heard within the election timeout."""
        if self.role is Role.leader:
            return True
        silence = self.timers.now() - self.leader_contact.last_seen_at
        return silence < self.env.cfg.election_min

    def update_caught_up(self) -> None:
        """Take that a message was heard or something was applied."""
        if self.applied.height >= self.leader_contact.committed:
            self.leader_contact.caught_up_at = (
                self.leader_contact.commit_seen_at
            )

    def staleness(self) -> float:
        """Give since when something committed may be missing, in seconds.

        To hear a leader isn't enough: entries count here once this disk has
        synced them, and a leader that hears no answers sends none.
        """
        if self.leadership is not None:
            started = self.applied.height >= self.leadership.start_index
            return 0 if started else math.inf
        return self.timers.now() - self.leader_contact.caught_up_at

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
    """Give what a recorder says once it was told to stop."""
    return errors.RecorderFailedError('stopped')


def register_addresses(
    peer_layer: peers.Peers, current: members.Members
) -> None:
    """Let the peer layer know where the recorders listen."""
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
