"""State of a leader and the replication progress of its followers."""

import asyncio
import dataclasses
import math
import typing

from geraniumweir.consensus import errors, members, proposal_times

_Work = typing.Coroutine[typing.Any, typing.Any, typing.Any]


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of one other recorder.

    :ivar member: the recorder.
    :ivar next_index: index of the next entry to send.
    :ivar match: match index; all entries up to it are durable there.
    :ivar started_at: when this leader began to send to it, in loop time.
    :ivar last_contact_at: when the newest message that it answered was sent,
        in loop time.
    :ivar probing: True until an answer shows where its log matches.
    :ivar replaced: whether its host has another data folder now.
    :ivar in_flight: number of messages not answered yet.
    :ivar sent_commit: the commit index it was last sent.
    :ivar oversize_index: index of the last entry that was too large to be
        sent, or 0.
    :ivar send_due: whether a message is due even without new entries.
    :ivar wakeup: set when the sending task must check for work.
    """

    member: members.Member
    next_index: int
    match: int = 0
    started_at: float = -math.inf
    last_contact_at: float = -math.inf
    probing: bool = True
    replaced: bool = False
    in_flight: int = 0
    sent_commit: int = 0
    oversize_index: int = 0
    send_due: bool = False
    wakeup: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def request_send(self) -> None:
        """Request a message even without new entries."""
        self.send_due = True
        self.wakeup.set()

    def reset_next_index(self) -> None:
        """Probe again, from the entry after the match index."""
        self.probing = True
        self.next_index = self.match + 1


class LeaderState:
    """State of a leader in one term.

    :ivar term: the term.
    :ivar start_index: index of its first entry; once that is committed, all
        entries before it are, too.
    :ivar progress: replication progress of the other recorders.
    :ivar waiters: futures of pending proposals, by index.
    :ivar proposals: times of the steps of pending proposals.
    :ivar appended: set when the log has grown.
    :ivar transferring: whether leadership is being transferred; proposals
        are rejected meanwhile.
    :ivar membership_lock: held during a membership change.
    :ivar ended: whether the leader has stepped down.
    """

    def __init__(self, term: int, start_index: int) -> None:
        """Initialize without followers."""
        self.term = term
        self.start_index = start_index
        self.progress: dict[members.RecorderId, Progress] = {}
        self.waiters: dict[int, asyncio.Future[bytes]] = {}
        self.proposals = proposal_times.OpenProposals()
        self.appended = asyncio.Event()
        self.transferring = False
        self.membership_lock = asyncio.Lock()
        self.ended = False
        self._changed = asyncio.Event()
        self._senders: dict[members.RecorderId, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[typing.Any]] = []
        self._messages: set[asyncio.Task[typing.Any]] = set()

    def add_task(self, task: asyncio.Task[typing.Any]) -> None:
        """Register a task to cancel when leadership ends."""
        self._tasks.append(task)

    def add_message_task(self, task: asyncio.Task[typing.Any]) -> None:
        """Register a message exchange to cancel when leadership ends."""
        self._messages.add(task)
        task.add_done_callback(self._messages.discard)

    def add_sender(
        self,
        progress: Progress,
        task: asyncio.Task[None],
    ) -> None:
        """Register the task that sends entries to a recorder."""
        self.progress[progress.member.identity] = progress
        self._senders[progress.member.identity] = task

    def remove_sender(self, identity: members.RecorderId) -> None:
        """Stop sending to a recorder."""
        self.progress.pop(identity, None)
        sender = self._senders.pop(identity, None)
        if sender is not None:
            sender.cancel()

    def record_contact(self, progress: Progress, sent_at: float) -> None:
        """Record that a recorder answered a message.

        :param sent_at: when the message was sent, in loop time.
        """
        progress.last_contact_at = max(progress.last_contact_at, sent_at)
        self.notify()

    def majority_contact(
        self, current: members.Members, own: members.RecorderId, now: float
    ) -> float:
        """Return the time up to which a majority is known to have followed.

        :param current: the members of the log.
        :param own: identity of the leader.
        :param now: in loop time.
        :returns: when the messages that a majority answered were sent, in loop
            time; that of the slowest recorder of the fastest majority.
        """
        times = [
            now
            if member.identity == own
            else self.progress[member.identity].last_contact_at
            for member in current.voters
        ]
        times.sort(reverse=True)
        return times[current.majority - 1]

    def notify(self) -> None:
        """Resume all calls of :meth:`wait_for_change`."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait for an answer, a higher commit index or the end."""
        await self._changed.wait()

    def end(self, reason: str) -> None:
        """Cancel all tasks, and fail pending proposals as uncertain."""
        self.ended = True
        for task in (*self._tasks, *self._senders.values(), *self._messages):
            task.cancel()
        self.notify()
        for fut in self.waiters.values():
            if not fut.done():
                fut.set_exception(
                    errors.UncertainError(f'leads no more: {reason}'),
                )
        self.waiters.clear()
