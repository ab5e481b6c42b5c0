"""Operations of a host that stands alone, without recorders.

It keeps its configuration in memory: what it accepts is in force at once and
is gone with the process. What needs a recorder is refused as unavailable.
"""

import dataclasses
import time

from geraniumweir.common import ids
from geraniumweir.configuration import document, errors, reading
from geraniumweir.daemon import host as entry_host
from geraniumweir.daemon import observing, operations, rows
from geraniumweir.observe import tracefile

_MAX_VERSIONS = 200


class _Versions:
    """The configurations that were accepted since the start."""

    def __init__(self, first: document.InForce) -> None:
        self._by_number = {first.version: first}
        self._accepted: dict[ids.ChangeId, operations.Accepted] = {}
        self.rows: list[operations.HistoryRow] = []

    def get(self, version: ids.Version) -> document.InForce:
        found = self._by_number.get(version)
        if found is None:
            raise operations.UnknownError(f'there is no version {version}')
        return found

    def repeated(
        self,
        change_id: ids.ChangeId,
    ) -> operations.Accepted | None:
        first = self._accepted.get(change_id)
        if first is None:
            return None
        return dataclasses.replace(first, repeated=True)

    def keep(
        self,
        change_id: ids.ChangeId,
        in_force: document.InForce,
        accepted: operations.Accepted,
    ) -> None:
        version = in_force.version
        self._by_number[version] = in_force
        if len(self._by_number) > _MAX_VERSIONS:
            self._by_number.pop(min(self._by_number))
        row = operations.HistoryRow(version, change_id, time.time())
        self.rows.append(row)
        self._accepted[change_id] = accepted


class StandaloneOperations:
    """Implements :class:`operations.Operations` for one host alone."""

    def __init__(
        self,
        host: entry_host.EntryHost,
        observed: observing.Observed,
    ) -> None:
        """Start with what the host has in force.

        :param observed: its metrics and its tracer.
        """
        self._host = host
        self._observed = observed
        self._started_at = host.timers.now()
        self._versions = _Versions(host.in_force)

    async def config(self, version: ids.Version | None) -> document.InForce:
        """Give a version that this host still holds."""
        if version is None:
            return self._host.in_force
        return self._versions.get(version)

    async def change(self, change: operations.Change) -> operations.Accepted:
        """Put a change in force on this host."""
        repeated = self._versions.repeated(change.change_id)
        if repeated is not None:
            return repeated
        checked = reading.check(change.document)
        before = self._host.in_force.version
        if change.base != before:
            raise errors.ConflictError(f'version {before} is in force')
        version = ids.Version(before + 1)
        in_force = document.InForce(version, checked.document, change.document)
        self._host.put_in_force(in_force)
        warnings = tuple(str(fault) for fault in checked.warnings)
        accepted = operations.Accepted(version, warnings)
        self._versions.keep(change.change_id, in_force, accepted)
        return accepted

    async def history(self) -> list[operations.HistoryRow]:
        """List the changes since the start."""
        return self._versions.rows

    async def hosts(self) -> list[operations.HostRow]:
        """Give this host."""
        return [rows.host_row(self._host)]

    async def servers(self) -> list[operations.ServerRow]:
        """List the backend servers whose lease holds."""
        now = self._host.timers.now()
        live = self._host.registry.live(now)
        return [rows.server_row(self._host, server) for server in live]

    async def pools(self) -> list[operations.PoolRow]:
        """List the pools of the configuration."""
        doc = self._host.in_force.document
        return [rows.pool_row(self._host, pool) for pool in doc.pools]

    async def status(self) -> operations.Status:
        """Tell how this host stands."""
        return rows.status(self._host, self._started_at)

    async def order(self, order: operations.Order) -> operations.OrderResult:
        """Refuse: there are no fencing numbers without recorders."""
        raise _no_recorders()

    async def recorders(self) -> list[operations.RecorderRow]:
        """Give none."""
        return []

    async def add_recorder(
        self,
        host_id: ids.HostId,
        address: ids.Address,
    ) -> None:
        """Refuse."""
        raise _no_recorders()

    async def remove_recorder(self, host_id: ids.HostId) -> None:
        """Refuse."""
        raise _no_recorders()

    async def snapshot(self) -> operations.SnapshotResult:
        """Refuse."""
        raise _no_recorders()

    async def trace(self, wanted: str) -> list[tracefile.SpanRecord]:
        """Read the host's trace file, off the event loop."""
        return await self._observed.trace(self._host.cfg.trace_file, wanted)

    def metrics(self) -> str:
        """Write the metrics as Prometheus text."""
        return self._observed.meter.exposition()


def _no_recorders() -> operations.UnavailableError:
    return operations.UnavailableError(
        'this host stands alone, without recorders',
    )
