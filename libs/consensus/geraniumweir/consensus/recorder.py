"""A recorder: one host's part in the replicated log.

This is the face of the library for a host with a data folder.
"""

import reactivex
from geraniumweir.common import ids
from geraniumweir.consensus import (
    applying,
    membership_change,
    core,
    bootstrap,
    leadership_transfer,
    handlers,
    leading,
    machines,
    members,
    serving,
    voting,
)
from geraniumweir.store import entries
from geraniumweir.store import folder as folders
from geraniumweir.store import snapshots

_TIMEOUT_SECONDS = 2.0


class Recorder:
    """Keeps a copy of the log and takes part in its elections.

    A recorder that isn't among the current recorders (a new folder, or one
    that was removed) only waits to be added.
    """

    def __init__(
        self,
        env: core.Environment,
        opened: folders.Folder,
        first: bootstrap.InitialRecorders,
    ) -> None:
        """Start nothing yet.

        :param env: what the recorder is given.
        :param opened: the open data folder.
        :param first: the first recorders of the log, by host id.
        """
        self.core = core.Core(env, opened)
        self._first = first

    @property
    def changes(self) -> reactivex.Observable[machines.Change]:
        """Everything applied to the state machine, in order."""
        return self.core.changes

    def start(self) -> None:
        """Restore the state, answer messages and take part."""
        this = self.core
        applying.restore(this)
        handlers.register(this)
        this.spawn(applying.apply_committed(this))
        this.spawn(voting.run_election_timer(this))
        this.spawn(bootstrap.bootstrap_log(this, self._first))

    async def stop(self) -> None:
        """Hand leadership on, then stop.

        After this :meth:`geraniumweir.store.guard.OneThread.close` waits for
        the last write, and then the disk may be closed.
        """
        await leadership_transfer.transfer_leadership(self.core)
        self.kill()

    def kill(self) -> None:
        """Stop at once, as a crash does."""
        self.core.halt(core.stopped_error())

    async def propose(
        self,
        command: bytes,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> bytes:
        """Have a command applied on all recorders.

        :param timeout: in seconds.
        :returns: the state machine's answer, once a majority has the command
            synced.
        :raises errors.NotLeaderError: when another recorder leads.
        :raises errors.NoQuorumError: when nobody leads; it wasn't taken.
        :raises errors.UncertainError: when it may have been taken.
        :raises errors.RecorderFailedError: when this one stopped for good.
        """
        return await leading.propose(self.core, command, timeout)

    async def read_barrier(self, timeout: float = _TIMEOUT_SECONDS) -> int:
        """Make sure that the state machine has all that was answered before.

        :param timeout: in seconds.
        :returns: the index that the state machine has reached.
        :raises errors.NotLeaderError: when another recorder leads.
        :raises errors.NoQuorumError: when no majority answered in time.
        """
        return await serving.barrier(self.core, timeout)

    async def add_recorder(
        self,
        host_id: ids.HostId,
        address: str = '',
        timeout: float = _TIMEOUT_SECONDS,
    ) -> None:
        """Add the recorder on a host, or put a new one in its place.

        :raises errors.RefusedError: when another change is under way, or the
            host doesn't answer.
        :raises errors.UncertainError: when it takes too long; a repeat goes
            on where this one ended.
        """
        await membership_change.add(self.core, host_id, address, timeout)

    async def remove_recorder(
        self,
        host_id: ids.HostId,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> None:
        """Remove the recorder on a host.

        :raises errors.RefusedError: when the others that answer are no
            majority.
        """
        await membership_change.remove(self.core, host_id, timeout)

    async def take_snapshot(self) -> int:
        """Write a snapshot now and compact the log; gives its index."""
        self.core.check_not_failed()
        return await applying.take_snapshot(self.core)

    async def add_learner(
        self,
        host_id: ids.HostId,
        address: str,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> None:
        """Let the data folder of a host follow the log without a vote.

        :raises errors.RefusedError: as :meth:`add_recorder`.
        :raises errors.UncertainError: as :meth:`add_recorder`.
        """
        await membership_change.add_as_learner(
            self.core, host_id, address, timeout
        )

    async def replace_recorder(
        self,
        host_id: ids.HostId,
        address: str,
        lost: ids.HostId,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> None:
        """Put the recorder on a host in the place of a lost host's.

        :raises errors.RefusedError: as :meth:`add_recorder`.
        :raises errors.UncertainError: as :meth:`add_recorder`.
        """
        await membership_change.add(self.core, host_id, address, timeout, lost)

    @property
    def identity(self) -> members.RecorderId:
        """The identity of the data folder."""
        return self.core.identity

    @property
    def failure(self) -> str:
        """Why this recorder stopped for good, or empty."""
        return self.core.failure

    def is_leading(self) -> bool:
        """Tell whether this recorder leads, as far as it knows."""
        return self.core.role is core.Role.leader

    def leader(self) -> ids.HostId:
        """Give the host whose recorder leads and is heard, or empty."""
        return serving.current_leader(self.core)

    def is_current(self) -> bool:
        """Tell whether all that was committed a moment ago is applied here.

        The moment is the shortest election timeout: as many messages of the
        leader as may be lost before another one is elected.
        """
        return self.core.staleness() < self.core.env.cfg.election_min

    def status(self) -> serving.Status:
        """Tell how this recorder sees things."""
        return serving.status(self.core)

    def read_entries(self, after: int, limit: int) -> list[entries.Entry]:
        """Give committed entries behind an index.

        :raises errors.CompactedError: when only a snapshot has them any more.
        """
        return serving.read_entries(self.core, after, limit)

    def snapshot(self) -> snapshots.Snapshot:
        """Give the newest snapshot; index 0 when there is none."""
        return self.core.folder.snapshots.newest
