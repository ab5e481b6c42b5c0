"""A recorder: one host's part in the replicated log.

This is the face of the library for a host with a data folder.
"""

import asyncio
import typing

import reactivex
from geraniumweir.common import ids
from geraniumweir.consensus import (
    applying,
    changing,
    core,
    errors,
    following,
    founding,
    handing,
    leading,
    logevents,
    machines,
    serving,
    voting,
)
from geraniumweir.store import entries
from geraniumweir.store import errors as store_errors
from geraniumweir.store import folder as folders
from geraniumweir.store import snapshots
from geraniumweir.wire import peers
from geraniumweir.wire.gen.consensus import ttypes

_Handler = typing.Callable[
    [typing.Any],
    typing.Awaitable[typing.Any],
]
_TIMEOUT = 2.0


class Recorder:
    """Keeps a copy of the log and takes part in its elections.

    A recorder that isn't among the current recorders (a new folder, or one
    that was removed) only waits to be added.
    """

    def __init__(
        self,
        env: core.Surroundings,
        opened: folders.Folder,
        first: founding.First,
    ) -> None:
        """Start nothing yet.

        :param env: what the recorder is given.
        :param opened: the open data folder.
        :param first: the first recorders of the log, by host id.
        """
        self._this = core.Core(env, opened)
        self._first = first
        self._incoming = following.Incoming()
        self._pieces = asyncio.Lock()

    @property
    def changes(self) -> reactivex.Observable[machines.Change]:
        """Everything applied to the state machine, in order."""
        return self._this.changes

    def start(self) -> None:
        """Restore the state, answer messages and take part."""
        this = self._this
        newest = this.folder.snapshots.newest
        if newest.index:
            this.env.machine.restore(newest.state)
        if this.folder.cut:
            this.env.report(logevents.TAIL_CUT, lost=this.folder.cut)
        self._handle_recorders(this.env.peers)
        self._handle_hosts(this.env.peers)
        this.spawn(applying.apply_committed(this))
        this.spawn(voting.watch(this))
        this.spawn(founding.found(this, self._first))

    async def stop(self) -> None:
        """Hand leadership on, then stop; the folder may be closed after."""
        await handing.hand_on(self._this)
        self.kill()

    def kill(self) -> None:
        """Stop at once, as a crash does."""
        self._this.end_reign('stopped')
        self._this.cancel_tasks()

    async def propose(
        self,
        command: bytes,
        timeout: float = _TIMEOUT,
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
        return await leading.propose(self._this, command, timeout)

    async def read_barrier(self, timeout: float = _TIMEOUT) -> int:
        """Make sure that the state machine has all that was answered before.

        :param timeout: in seconds.
        :returns: the index that the state machine has reached.
        :raises errors.NotLeaderError: when another recorder leads.
        :raises errors.NoQuorumError: when no majority answered in time.
        """
        return await serving.barrier(self._this, timeout)

    async def add_recorder(
        self,
        host_id: ids.HostId,
        address: str = '',
        timeout: float = _TIMEOUT,
    ) -> None:
        """Add the recorder on a host, or put a new one in its place.

        :raises errors.RefusedError: when another change is under way, or the
            host doesn't answer.
        :raises errors.UncertainError: when it takes too long; a repeat goes
            on where this one ended.
        """
        await changing.add(self._this, host_id, address, timeout)

    async def remove_recorder(
        self,
        host_id: ids.HostId,
        timeout: float = _TIMEOUT,
    ) -> None:
        """Remove the recorder on a host.

        :raises errors.RefusedError: when the others that answer are no
            majority.
        """
        await changing.remove(self._this, host_id, timeout)

    async def take_snapshot(self) -> int:
        """Write a snapshot now and compact the log; gives its index."""
        self._this.check_sound()
        return await applying.take_snapshot(self._this)

    def status(self) -> serving.Status:
        """Tell how this recorder sees things."""
        return serving.status(self._this)

    def read_entries(self, after: int, limit: int) -> list[entries.Entry]:
        """Give committed entries behind an index.

        :raises errors.CompactedError: when only a snapshot has them any more.
        """
        return serving.read_entries(self._this, after, limit)

    def snapshot(self) -> snapshots.Snapshot:
        """Give the newest snapshot; index 0 when there is none."""
        return self._this.folder.snapshots.newest

    def _handle_recorders(self, way: peers.Peers) -> None:
        this = self._this
        self._handle(
            way,
            ttypes.AskVote,
            lambda ask: voting.answer_vote(this, ask),
        )
        self._handle(
            way,
            ttypes.AppendEntries,
            lambda message: following.take_entries(this, message),
        )
        self._handle(way, ttypes.SnapshotPiece, self._take_piece)
        self._handle(way, ttypes.CampaignNow, self._take_over)
        self._handle(way, ttypes.Identify, self._identify)

    def _handle_hosts(self, way: peers.Peers) -> None:
        this = self._this
        self._handle(
            way,
            ttypes.Propose,
            lambda ask: serving.answer_propose(this, ask),
        )
        self._handle(
            way,
            ttypes.AskBarrier,
            lambda ask: serving.answer_barrier(this, ask),
        )
        self._handle(
            way,
            ttypes.ChangeRecorders,
            lambda ask: serving.answer_change(this, ask),
        )
        self._handle(way, ttypes.ReadEntries, self._read_entries)
        self._handle(way, ttypes.FetchSnapshot, self._fetch_snapshot)
        self._handle(way, ttypes.AskStatus, self._ask_status)

    def _handle(
        self,
        way: peers.Peers,
        message_type: type,
        handler: _Handler,
    ) -> None:
        async def guarded(
            _sender: ids.HostId,
            message: peers.Message,
        ) -> peers.Message | None:
            try:
                return await handler(message)
            except (store_errors.StoreError, errors.UnsafeError) as exc:
                self._this.fail(exc)
                raise errors.RecorderFailedError(exc.message) from exc

        way.handle(message_type, guarded)

    async def _take_piece(
        self,
        piece: ttypes.SnapshotPiece,
    ) -> ttypes.PieceAnswer:
        async with self._pieces:
            return await following.take_piece(
                self._this,
                piece,
                self._incoming,
            )

    async def _take_over(self, ask: ttypes.CampaignNow) -> None:
        await handing.take_over(self._this, ask)

    async def _identify(self, _ask: ttypes.Identify) -> ttypes.Identified:
        self._this.check_sound()
        return founding.identified(self._this)

    async def _read_entries(
        self,
        ask: ttypes.ReadEntries,
    ) -> ttypes.EntriesAnswer:
        return serving.answer_entries(self._this, ask)

    async def _fetch_snapshot(
        self,
        ask: ttypes.FetchSnapshot,
    ) -> ttypes.SnapshotContent:
        return serving.answer_snapshot(self._this, ask)

    async def _ask_status(
        self,
        _ask: ttypes.AskStatus,
    ) -> ttypes.StatusAnswer:
        return serving.answer_status(self._this)
