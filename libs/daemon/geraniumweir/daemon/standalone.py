"""Operators' operations on a standalone host, without recorders.

The configuration is kept in memory: an accepted change is in force at once and
is lost when the process ends. Operations that need a recorder are refused as
unavailable.
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
    """The configurations accepted since the start of the process."""

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

    def store(
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
    """Implementation of :class:`operations.Operations` without other hosts."""

    def __init__(
        self,
        host: entry_host.EntryHost,
        observed: observing.Observed,
    ) -> None:
        """Initialize with the version that the host has in force.

        :param observed: the host's metrics and tracing.
        """
        self._host = host
        self._observed = observed
        self._started_at = host.timers.now()
        self._versions = _Versions(host.in_force)

    async def config(self, version: ids.Version | None) -> document.InForce:
        """Return a version that this host still stores."""
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
        self._versions.store(change.change_id, in_force, accepted)
        return accepted

    async def history(self) -> list[operations.HistoryRow]:
        """Return the changes since the start."""
        return self._versions.rows

    async def hosts(self) -> list[operations.HostRow]:
        """Return the row of this host."""
        return [rows.host_row(self._host)]

    async def servers(self) -> list[operations.ServerRow]:
        """Return the backend servers whose lease is valid."""
        now = self._host.timers.now()
        live = self._host.registry.live(now)
        return [rows.server_row(self._host, server) for server in live]

    async def pools(self) -> list[operations.PoolRow]:
        """Return the pools of the configuration."""
        doc = self._host.in_force.document
        return [rows.pool_row(self._host, pool) for pool in doc.pools]

    async def status(self) -> operations.Status:
        """Return the state of this host."""
        return rows.status(self._host, self._started_at)

    async def order(self, order: operations.Order) -> operations.OrderResult:
        """Refuse, as there are no fencing numbers without recorders."""
        raise _no_recorders()

    async def recorders(self) -> list[operations.RecorderRow]:
        """Return no recorders."""
        return []

    async def add_recorder(
        self,
        host_id: ids.HostId,
        address: ids.Address,
    ) -> None:
        """Refuse, as there are no recorders."""
        raise _no_recorders()

    async def remove_recorder(self, host_id: ids.HostId) -> None:
        """Refuse, as there are no recorders."""
        raise _no_recorders()

    async def snapshot(self) -> operations.SnapshotResult:
        """Refuse, as there are no recorders."""
        raise _no_recorders()

    async def trace(self, wanted: str) -> list[tracefile.SpanRecord]:
        """Return spans of the host's trace file."""
        return await self._observed.trace(self._host.cfg.trace_file, wanted)

    def metrics(self) -> str:
        """Return the metrics as Prometheus text."""
        return self._observed.meter.exposition()


def _no_recorders() -> operations.UnavailableError:
    return operations.UnavailableError(
        'this host stands alone, without recorders',
    )
