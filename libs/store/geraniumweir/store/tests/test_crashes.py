"""The log compared with a plain list, with crashes at any operation."""

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
    """Random appends, overwrites, compactions and crashes of a log."""

    @stateful.initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Open an empty folder."""
        self.loop = asyncio.Runner()
        self.disk = memory_disk.MemoryDisk(seed)
        # Entries of the log, and those known to be durable.
        self.model: list[entries.Entry] = []
        self.durable: list[entries.Entry] = []
        self.truncated_at: int | None = None
        self.vote = (0, '')
        self.durable_vote = (0, '')
        self.snapshot_index = 0
        self.term = 1
        self.open()

    def open(self) -> None:
        """Open the folder with its current content."""
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
        """Append entries."""
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
        """Replace the last entries, as a new leader does."""
        index = max(len(self.model) + 1 - back, self.snapshot_index + 1)
        self.term += 1
        entry = entries.Entry(index, self.term, 1, b'overwritten')
        self.folder.log.append([entry])
        self.model = [*self.model[: index - 1], entry]
        # Until the next sync, a crash leaves the old or the new entries.
        first = self.truncated_at or index
        self.truncated_at = min(first, index)

    @stateful.rule()
    def sync(self) -> None:
        """Sync the log; all entries are durable afterwards."""
        self.loop.run(self.folder.log.sync())
        self.durable = list(self.model)
        self.truncated_at = None
        assert self.folder.log.synced_index == len(self.model)

    @stateful.rule(back=st.integers(0, 3))
    def compact(self, back: int) -> None:
        """Save a snapshot of durable entries and compact the log."""
        index = len(self.durable) - back
        if self.truncated_at or index <= self.snapshot_index:
            return
        state = entries.encode(self.durable[:index])
        term = self.durable[index - 1].term
        taken = snapshots.Snapshot(index, term, b'members', state)
        self.loop.run(self.folder.snapshots.save(taken))
        self.loop.run(self.folder.log.compact_to(index))
        self.snapshot_index = index

    @stateful.rule(term=st.integers(0, 3), candidate=st.sampled_from('xy'))
    def cast(self, term: int, candidate: str) -> None:
        """Vote, and wait until the vote is durable."""
        self.vote = (self.vote[0] + term, candidate)
        self.folder.vote_store.set_vote(*self.vote)
        self.loop.run(self.folder.vote_store.wait_durable())
        self.durable_vote = self.vote

    @stateful.rule()
    def crash(self) -> None:
        """Simulate a power failure with unsynced entries."""
        self.recover()

    @stateful.rule(operations=st.integers(0, 8), snapshot=st.booleans())
    def crash_inside(self, operations: int, *, snapshot: bool) -> None:
        """Simulate a power failure during a sync or a snapshot."""
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
        """Check that the next process finds all that was durable."""
        self.disk = self.disk.crash()
        self.open()
        found = self._contents()
        kept = len(self.durable)
        if self.truncated_at:
            kept = min(kept, self.truncated_at - 1)
        assert found[:kept] == self.durable[:kept]
        assert found in (
            self.model[: len(found)],
            self.durable[: len(found)],
        )
        vote_store = self.folder.vote_store
        vote = (vote_store.term, vote_store.candidate)
        assert vote in {self.durable_vote, self.vote}
        self.vote = vote
        self.durable_vote = vote
        self.snapshot_index = self.folder.snapshots.newest.index
        self.model = found
        self.durable = list(found)
        self.truncated_at = None

    def teardown(self) -> None:
        """Close the event loop."""
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
