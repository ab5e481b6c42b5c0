"""A recorder: one replica of the log.

This is the library's interface for a host with a data folder.
"""

import reactivex
from geraniumweir.common import ids
from geraniumweir.consensus import (
    applying,
    bootstrap,
    core,
    handlers,
    leadership_transfer,
    leading,
    machines,
    members,
    membership_change,
    serving,
    voting,
)
from geraniumweir.store import entries, snapshots
from geraniumweir.store import folder as folders

_TIMEOUT_SECONDS = 2.0


class Recorder:
    """Replica of the log that votes and can lead.

    A recorder outside the current membership (a new folder, or one that was
    removed) is passive until an operator adds it.
    """

    def __init__(
        self,
        env: core.Environment,
        opened: folders.Folder,
        first: bootstrap.InitialRecorders,
    ) -> None:
        """Initialize without starting any task.

        :param env: dependencies of the recorder.
        :param opened: the open data folder.
        :param first: addresses of the initial recorders of the log, by host.
        """
        self.core = core.Core(env, opened)
        self._first = first

    @property
    def changes(self) -> reactivex.Observable[machines.Change]:
        """Notifications of all that is applied, in log order."""
        return self.core.changes

    def start(self) -> None:
        """Restore the state, register the handlers and start the tasks."""
        this = self.core
        applying.restore(this)
        handlers.register(this)
        this.spawn(applying.apply_committed(this))
        this.spawn(voting.run_election_timer(this))
        this.spawn(bootstrap.bootstrap_log(this, self._first))

    async def stop(self) -> None:
        """Transfer leadership, then stop.

        Afterwards, :meth:`geraniumweir.store.guard.OneThread.close` waits for
        the last write; the disk may be closed after that.
        """
        await leadership_transfer.transfer_leadership(self.core)
        self.kill()

    def kill(self) -> None:
        """Stop immediately, as in a crash."""
        self.core.halt(core.stopped_error())

    async def propose(
        self,
        command: bytes,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> bytes:
        """Append a command to the log and wait until it is applied.

        :param timeout: in seconds.
        :returns: the state machine's answer, once the command is synced on a
            majority and applied here.
        :raises errors.TooLargeError: when it could not be replicated.
        :raises errors.NotLeaderError: when another recorder is the leader.
        :raises errors.NoQuorumError: when no leader is known; the command
            was not appended.
        :raises errors.UncertainError: when the command may have been
            committed.
        :raises errors.RecorderFailedError: when this recorder has failed.
        """
        return await leading.propose(self.core, command, timeout)

    async def read_barrier(self, timeout: float = _TIMEOUT_SECONDS) -> int:
        """Wait until all that was committed before the call is applied.

        A read of the state machine afterwards is linearizable.

        :param timeout: in seconds.
        :returns: the read index, which the state machine has reached.
        :raises errors.NotLeaderError: when another recorder is the leader.
        :raises errors.NoQuorumError: when no majority answered in time.
        """
        return await serving.barrier(self.core, timeout)

    async def add_recorder(
        self,
        host_id: ids.HostId,
        address: str = '',
        timeout: float = _TIMEOUT_SECONDS,
    ) -> None:
        """Add the recorder of a host, replacing an earlier one of that host.

        :raises errors.RefusedError: when another change is in progress, or
            the host doesn't answer.
        :raises errors.UncertainError: when it takes too long; a repeated call
            continues where this one ended.
        """
        await membership_change.add(self.core, host_id, address, timeout)

    async def remove_recorder(
        self,
        host_id: ids.HostId,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> None:
        """Remove the recorder of a host.

        :raises errors.RefusedError: when the remaining recorders that answer
            form no majority.
        """
        await membership_change.remove(self.core, host_id, timeout)

    async def take_snapshot(self) -> int:
        """Take a snapshot now, compact the log, and return its index."""
        self.core.check_not_failed()
        return await applying.take_snapshot(self.core)

    async def add_learner(
        self,
        host_id: ids.HostId,
        address: str,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> None:
        """Add the recorder of a host as a learner, which has no vote.

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
        """Add the recorder of a host, replacing that of a lost host.

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
        """Reason why this recorder failed or was stopped, or empty."""
        return self.core.failure

    def is_leading(self) -> bool:
        """Return whether this recorder considers itself the leader."""
        return self.core.role is core.Role.leader

    def leader(self) -> ids.HostId:
        """Return the host of the live leader, or empty."""
        return serving.current_leader(self.core)

    def is_current(self) -> bool:
        """Return whether the applied state is current.

        It is when all entries committed up to a minimum election timeout ago
        are applied here: messages of the leader may be lost for that time
        before another one is elected.
        """
        return self.core.staleness() < self.core.env.cfg.election_min

    def status(self) -> serving.Status:
        """Return the status of the log as seen by this recorder."""
        return serving.status(self.core)

    def read_entries(self, after: int, limit: int) -> list[entries.Entry]:
        """Return committed entries after an index.

        :raises errors.CompactedError: when they were compacted.
        """
        return serving.read_entries(self.core, after, limit)

    def snapshot(self) -> snapshots.Snapshot:
        """Return the newest snapshot; its index is 0 when there is none."""
        return self.core.folder.snapshots.newest
