"""The log against a plain list, with crashes between write and sync."""

import asyncio

import hypothesis
from geraniumweir.store import (
    entries,
    errors,
    folder,
    guard,
    memory_disk,
    snapshots,
)
from hypothesis import stateful
from hypothesis import strategies as st

_SMALL_SEGMENT = 150


class LogMachine(stateful.RuleBasedStateMachine):
    """Appends, overwrites, compacts and crashes at any disk operation."""

    @stateful.initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Open an empty folder."""
        self.loop = asyncio.Runner()
        self.disk = memory_disk.MemoryDisk(seed)
        # What the log holds now, and what was ever promised to be durable.
        self.model: list[entries.Entry] = []
        self.promised: list[entries.Entry] = []
        self.voided_at: int | None = None
        self.vote = (0, '')
        self.promised_vote = (0, '')
        self.snapshot_index = 0
        self.term = 1
        self.open()

    def open(self) -> None:
        """Open the folder as it is."""
        self.folder = self.loop.run(
            folder.open_folder(
                self.disk,
                guard.VirtualDelay(0),
                _SMALL_SEGMENT,
                lambda: 'recorder',
            ),
        )

    @stateful.rule(count=st.integers(1, 4), size=st.integers(0, 60))
    def append(self, count: int, size: int) -> None:
        """Add entries."""
        batch = [
            entries.Entry(
                len(self.model) + 1 + place,
                self.term,
                0,
                bytes([place]) * size,
            )
            for place in range(count)
        ]
        self.folder.log.append(batch)
        self.model += batch

    @stateful.rule(back=st.integers(1, 6))
    def overwrite(self, back: int) -> None:
        """Make the last entries void, as a new leader does."""
        index = max(len(self.model) + 1 - back, self.snapshot_index + 1)
        self.term += 1
        entry = entries.Entry(index, self.term, 1, b'overwritten')
        self.folder.log.append([entry])
        self.model = [*self.model[: index - 1], entry]
        # Until the next sync either the old end or the new one is there.
        first = self.voided_at or index
        self.voided_at = min(first, index)

    @stateful.rule()
    def sync(self) -> None:
        """Have a promise."""
        self.loop.run(self.folder.log.sync())
        self.promised = list(self.model)
        self.voided_at = None
        assert self.folder.log.synced_index == len(self.model)

    @stateful.rule(back=st.integers(0, 3))
    def compact(self, back: int) -> None:
        """Save a snapshot of a durable part and drop the entries."""
        index = len(self.promised) - back
        if self.voided_at or index <= self.snapshot_index:
            return
        state = entries.encode(self.promised[:index])
        term = self.promised[index - 1].term
        taken = snapshots.Snapshot(index, term, b'members', state)
        self.loop.run(self.folder.snapshots.save(taken))
        self.loop.run(self.folder.log.compact_to(index))
        self.snapshot_index = index

    @stateful.rule(term=st.integers(0, 3), candidate=st.sampled_from('xy'))
    def cast(self, term: int, candidate: str) -> None:
        """Vote and have a promise."""
        self.vote = (self.vote[0] + term, candidate)
        self.folder.ballot.cast(*self.vote)
        self.loop.run(self.folder.ballot.wait_durable())
        self.promised_vote = self.vote

    @stateful.rule()
    def crash(self) -> None:
        """Cut the power with unsynced entries pending."""
        self.recover()

    @stateful.rule(operations=st.integers(0, 8), snapshot=st.booleans())
    def crash_inside(self, operations: int, *, snapshot: bool) -> None:
        """Cut the power inside a sync or a snapshot."""
        self.disk.operations_left = operations
        try:
            if snapshot:
                self.compact(0)
            self.sync()
            self.cast(1, 'z')
        except errors.StoreFailedError:
            pass
        self.recover()

    def recover(self) -> None:
        """Check that the next process finds every promise kept."""
        self.disk = self.disk.crash()
        self.open()
        found = self._contents()
        kept = len(self.promised)
        if self.voided_at:
            kept = min(kept, self.voided_at - 1)
        assert found[:kept] == self.promised[:kept]
        assert found in (
            self.model[: len(found)],
            self.promised[: len(found)],
        )
        ballot = self.folder.ballot
        vote = (ballot.term, ballot.candidate)
        assert vote in {self.promised_vote, self.vote}
        self.vote = vote
        self.promised_vote = vote
        self.snapshot_index = self.folder.snapshots.newest.index
        self.model = found
        self.promised = list(found)
        self.voided_at = None

    def teardown(self) -> None:
        """Let the loop go."""
        self.loop.close()

    def _contents(self) -> list[entries.Entry]:
        log = self.folder.log
        newest = self.folder.snapshots.newest
        before = entries.decode(newest.state)
        behind = log.read(newest.index, log.last.index)
        return before + behind


TestLogMachine = LogMachine.TestCase
TestLogMachine.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)
