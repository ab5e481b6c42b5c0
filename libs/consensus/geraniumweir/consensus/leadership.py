"""The state of a leader for as long as it leads."""

import asyncio
import dataclasses
import math
import typing

from geraniumweir.consensus import errors, members

_Work = typing.Coroutine[typing.Any, typing.Any, typing.Any]


@dataclasses.dataclass(slots=True)
class Progress:
    """How far one other recorder is.

    :ivar member: which one.
    :ivar next_index: the entry to send next.
    :ivar match: all entries up to it are durable there.
    :ivar started_at: when this leader began to send to it.
    :ivar last_contact_at: when the last message that it answered was sent.
    :ivar probing: True until it is known where to go on.
    :ivar replaced: its host has another data folder now.
    :ivar in_flight: messages without an answer yet.
    :ivar sent_commit: the commit index it was last sent.
    :ivar send_due: something is to be sent even without new entries.
    :ivar wakeup: set when the task that sends has a look to take.
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
    send_due: bool = False
    wakeup: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def request_send(self) -> None:
        """Have a message sent soon."""
        self.send_due = True
        self.wakeup.set()

    def reset_next_index(self) -> None:
        """Start again from what is known to be there."""
        self.probing = True
        self.next_index = self.match + 1


class LeaderState:
    """One leader's term.

    :ivar term: in which it leads.
    :ivar start_index: its first entry; once that is committed, all before it
        are.
    :ivar progress: of the other recorders.
    :ivar waiters: proposals that wait for their answer, by index.
    :ivar appended: set when the log has grown.
    :ivar transferring: leadership is being handed on; nothing new is taken.
    :ivar membership_lock: held during a change of recorders.
    """

    def __init__(self, term: int, start_index: int) -> None:
        """Start without followers."""
        self.term = term
        self.start_index = start_index
        self.progress: dict[members.RecorderId, Progress] = {}
        self.waiters: dict[int, asyncio.Future[bytes]] = {}
        self.appended = asyncio.Event()
        self.transferring = False
        self.membership_lock = asyncio.Lock()
        self.ended = False
        self._changed = asyncio.Event()
        self._senders: dict[members.RecorderId, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[typing.Any]] = []
        self._messages: set[asyncio.Task[typing.Any]] = set()

    def add_task(self, task: asyncio.Task[typing.Any]) -> None:
        """End a task with the reign."""
        self._tasks.append(task)

    def add_message_task(self, task: asyncio.Task[typing.Any]) -> None:
        """End the wait for an answer with the reign."""
        self._messages.add(task)
        task.add_done_callback(self._messages.discard)

    def add_sender(
        self,
        progress: Progress,
        task: asyncio.Task[None],
    ) -> None:
        """Have a recorder's entries sent by a task."""
        self.progress[progress.member.identity] = progress
        self._senders[progress.member.identity] = task

    def remove_sender(self, identity: members.RecorderId) -> None:
        """Send a recorder nothing any more."""
        self.progress.pop(identity, None)
        sender = self._senders.pop(identity, None)
        if sender is not None:
            sender.cancel()

    def record_contact(self, progress: Progress, sent_at: float) -> None:
        """Note that a message was answered.

        :param sent_at: when the message was sent, in loop time.
        """
        progress.last_contact_at = max(progress.last_contact_at, sent_at)
        self.notify()

    def notify(self) -> None:
        """Wake those that wait for a move."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait until a message is answered, an entry committed, or the end."""
        await self._changed.wait()

    def end(self, reason: str) -> None:
        """Stop all tasks; what waits for an answer stays uncertain."""
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
