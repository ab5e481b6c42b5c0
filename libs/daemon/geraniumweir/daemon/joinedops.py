"""Operators' operations on a host that cooperates with others.

Changes of the system go through the replicated log, from any host.
"""

import asyncio
import dataclasses

from geraniumweir.common import errors as common_errors
from geraniumweir.common import ids
from geraniumweir.configuration import changes, commands, document, errors
from geraniumweir.configuration import reading
from geraniumweir.consensus import errors as log_errors
from geraniumweir.daemon import joined as joining
from geraniumweir.daemon import (
    membership_views,
    observing,
    operations,
    recorderrows,
    rows,
)
from geraniumweir.observe import tracefile
from geraniumweir.scheduling import home
from geraniumweir.wire.gen.configuration import ttypes

_TIMEOUT_SECONDS = 3.0
_MEMBERSHIP_CHANGE_SECONDS = 20.0


class JoinedOperations:
    """Implementation of :class:`operations.Operations` over the log."""

    def __init__(
        self,
        joined: joining.Joined,
        observed: observing.Observed,
    ) -> None:
        """Initialize from the parts of a host.

        :param observed: the host's metrics and tracing.
        """
        self._joined = joined
        self._host = joined.host
        self._observed = observed
        self._started_at = joined.host.timers.now()

    async def config(self, version: ids.Version | None) -> document.InForce:
        """Return a version, by default the one in force on this host."""
        in_force = self._host.in_force
        if version in {None, in_force.version}:
            return in_force
        found = self._state().find(ids.Version(version or 0))
        if found is None:
            raise operations.UnknownError(
                f'version {version} is not kept any more, or never was',
            )
        text = found.text()
        return document.InForce(found.version, reading.read(text), text)

    async def change(self, change: operations.Change) -> operations.Accepted:
        """Put a change in force; returns once a majority has it synced.

        A majority is checked for before the change is proposed: without one,
        the change was certainly not accepted.
        """
        checked = await asyncio.to_thread(reading.check, change.document)
        await _convert_errors(self._joined.log.read_barrier(_TIMEOUT_SECONDS))
        command = commands.change(
            change.change_id,
            change.base,
            change.document,
            joining.wall_ms(),
        )
        answer: ttypes.ChangeAnswer = commands.answers(
            await self._propose(command),
        )[0].change
        if not answer.accepted:
            raise errors.ConflictError(
                f'version {answer.version} is in force',
            )
        warnings = tuple(str(fault) for fault in checked.warnings)
        return operations.Accepted(ids.Version(answer.version), warnings)

    async def history(self) -> list[operations.HistoryRow]:
        """Return accepted changes, the oldest first; needs a data folder."""
        return [
            operations.HistoryRow(
                kept.version, kept.change_id, kept.at_ms / 1000
            )
            for kept in self._state().history()
        ]

    async def hosts(self) -> list[operations.HostRow]:
        """Return the entry hosts in this host's membership."""
        return await self._joined.states.rows()

    async def servers(self) -> list[operations.ServerRow]:
        """Return the backend servers of this host's failure domain."""
        now = self._host.timers.now()
        live = self._host.registry.live(now)
        return [rows.server_row(self._host, server) for server in live]

    async def pools(self) -> list[operations.PoolRow]:
        """Return the pools, also those known in other failure domains."""
        found = []
        for pool in self._host.in_force.document.pools:
            found.append(self._own_pool(pool))
            found.extend(
                rows.remote_pool_row(pool, summary)
                for summary in self._joined.members.pools.summaries(pool.name)
                if summary.failure_domain != self._host.cfg.failure_domain
            )
        return found

    async def status(self) -> operations.Status:
        """Return the state of this host."""
        kept = self._joined.recording
        leader = None
        index = 0
        if kept is not None:
            seen = kept.recorder.status()
            leader = seen.leader or None
            index = seen.applied
        return rows.joined_status(
            self._host,
            self._started_at,
            rows.LogView(leader, await self._majority(), index),
        )

    async def order(self, order: operations.Order) -> operations.OrderResult:
        """Send an order to a backend server of this failure domain."""
        server = self._host.server(order.server_id)
        if server is None:
            domain = self._host.cfg.failure_domain
            raise operations.UnknownError(
                f'no backend server {order.server_id!r} in {domain}; ask a '
                'host of its failure domain',
            )
        try:
            return await self._joined.order_sender.send(order, server)
        except log_errors.ConsensusError as exc:
            # A fencing number may have been reserved; the order was not sent.
            raise operations.NoMajorityError(
                exc.message,
                ids.Ran.no,
            ) from exc

    async def recorders(self) -> list[operations.RecorderRow]:
        """Return the recorders, as their leader sees them."""
        return await recorderrows.rows(
            self._joined.log,
            sorted(self._joined.neighbours.recorders()),
        )

    async def add_recorder(
        self,
        host_id: ids.HostId,
        address: ids.Address,
    ) -> None:
        """Add a recorder, as a learner until it has caught up."""
        self._joined.peers.learn(host_id, address)
        await _convert_errors(
            self._joined.log.add_recorder(
                host_id,
                str(address),
                _MEMBERSHIP_CHANGE_SECONDS,
            ),
        )

    async def remove_recorder(self, host_id: ids.HostId) -> None:
        """Remove a recorder."""
        await _convert_errors(
            self._joined.log.remove_recorder(
                host_id, _MEMBERSHIP_CHANGE_SECONDS
            ),
        )

    async def snapshot(self) -> operations.SnapshotResult:
        """Write a snapshot of this recorder's state, compacting its log."""
        kept = self._joined.recording
        if kept is None:
            raise operations.UnavailableError(
                'this host has no data folder; ask a recorder',
            )
        index = await kept.recorder.take_snapshot()
        size = len(kept.recorder.snapshot().state)
        return operations.SnapshotResult(index, size)

    async def trace(self, wanted: str) -> list[tracefile.SpanRecord]:
        """Return the spans of a request or trace id on this host."""
        return await self._observed.trace(self._host.cfg.trace_file, wanted)

    def metrics(self) -> str:
        """Return the metrics as Prometheus text."""
        return self._observed.meter.exposition()

    def _own_pool(self, pool: document.Pool) -> operations.PoolRow:
        row = rows.local_pool_row(self._host, pool)
        if row.leader is not None:
            return row
        cfg = self._host.cfg
        leader = home.leader_by_view(
            cfg.failure_domain,
            pool.name,
            membership_views.LeaderView(self._joined.members),
            cfg.host_id,
        )
        return dataclasses.replace(row, leader=leader)

    def _state(self) -> changes.Changes:
        kept = self._joined.recording
        if kept is None:
            raise operations.UnavailableError(
                'this host has no data folder; ask a recorder',
            )
        return kept.state

    async def _propose(self, command: bytes) -> bytes:
        return await _convert_errors(
            self._joined.log.propose(command, _TIMEOUT_SECONDS)
        )

    async def _majority(self) -> bool:
        try:
            await self._joined.log.read_barrier(1)
        except log_errors.ConsensusError:
            return False
        return True


async def _convert_errors(work: object) -> bytes:
    """Await a call of the log and convert its errors."""
    try:
        return await work
    except log_errors.ConsensusError as exc:
        raise _converted(exc) from exc
    except common_errors.GeraniumweirError as exc:
        raise operations.NoMajorityError(
            exc.message,
            ids.Ran.unknown,
        ) from exc


def _converted(
    exc: log_errors.ConsensusError,
) -> common_errors.GeraniumweirError:
    match exc:
        case log_errors.TooLargeError():
            return operations.TooLargeError(exc.message)
        case log_errors.RefusedError():
            return operations.NotNowError(exc.message)
    message = f'no majority of the recorders answered: {exc.message}'
    return operations.NoMajorityError(message, exc.ran)
