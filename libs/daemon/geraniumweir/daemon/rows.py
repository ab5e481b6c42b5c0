"""Builds the rows that operators see from an entry host's state."""

import dataclasses

from geraniumweir.common import ids
from geraniumweir.configuration import document
from geraniumweir.daemon import host as entry_host
from geraniumweir.daemon import operations, settings
from geraniumweir.membership import poolsummaries, servers


def host_state(*, draining: bool) -> operations.HostState:
    """Return the state of a host that answers."""
    if draining:
        return operations.HostState.draining
    return operations.HostState.live


def host_row(host: entry_host.EntryHost) -> operations.HostRow:
    """Return the row of a standalone host."""
    cfg = host.cfg
    return operations.HostRow(
        cfg.host_id,
        cfg.failure_domain,
        cfg.region,
        host_state(draining=host.draining),
        host.in_force.version,
        sure=True,
        recorder=False,
        leads=tuple(host.leads()),
    )


def status(host: entry_host.EntryHost, started_at: float) -> operations.Status:
    """Return the state of a standalone host.

    :param started_at: start time on the timer service's clock, in seconds.
    """
    cfg = host.cfg
    return operations.Status(
        host_id=cfg.host_id,
        failure_domain=cfg.failure_domain,
        region=cfg.region,
        program=settings.VERSION,
        version=host.in_force.version,
        sure=True,
        draining=host.draining,
        log_leader=None,
        majority=None,
        log_index=0,
        uptime_seconds=host.timers.now() - started_at,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LogView:
    """The replicated log as one host sees it.

    :ivar leader: the recorder that leads the log, or None where unknown.
    :ivar majority: whether a majority of the recorders answers.
    :ivar index: index of the newest entry applied here.
    """

    leader: ids.HostId | None
    majority: bool
    index: int


def joined_status(
    host: entry_host.EntryHost,
    started_at: float,
    log: LogView,
) -> operations.Status:
    """Return the state of a host that cooperates with others.

    :param started_at: start time on the timer service's clock, in seconds.
    """
    return dataclasses.replace(
        status(host, started_at),
        sure=host.sure,
        log_leader=log.leader,
        majority=log.majority,
        log_index=log.index,
    )


def server_row(
    host: entry_host.EntryHost,
    server: servers.Announcement,
    running: int | None = None,
) -> operations.ServerRow:
    """Return the row of a backend server.

    :param running: open grants, where this host leads the server's pool.
    """
    override = host.in_force.document.override(server.server_id)
    return operations.ServerRow(
        server_id=server.server_id,
        incarnation=server.incarnation,
        pool=server.pool,
        failure_domain=server.failure_domain,
        address=str(server.address),
        state=server_state(server, override),
        slots=server.slots,
        running=running,
    )


def local_pool_row(
    host: entry_host.EntryHost,
    pool: document.Pool,
) -> operations.PoolRow:
    """Return the row of a pool in this host's failure domain."""
    row = pool_row(host, pool)
    found = host.led(pool.name)
    if found is None:
        return dataclasses.replace(row, leader=None)
    summary = found.summary()
    return dataclasses.replace(
        row,
        waiting=sum(wait.waiting for wait in summary.waits),
        running=sum(wait.running for wait in summary.waits),
        lowest_tier=summary.lowest_served,
    )


def remote_pool_row(
    pool: document.Pool,
    summary: poolsummaries.PoolSummary,
) -> operations.PoolRow:
    """Return the row of a pool in another failure domain, by its summary."""
    return operations.PoolRow(
        pool=pool.name,
        kind=pool.kind,
        failure_domain=summary.failure_domain,
        leader=summary.leader,
        servers=0,
        lowest_tier=summary.lowest_tier,
    )


def pool_row(
    host: entry_host.EntryHost,
    pool: document.Pool,
) -> operations.PoolRow:
    """Return the row of a pool that this host leads."""
    cfg = host.cfg
    return operations.PoolRow(
        pool=pool.name,
        kind=pool.kind,
        failure_domain=cfg.failure_domain,
        leader=cfg.host_id,
        servers=len(host.servers_of(pool.name)),
    )


def server_state(
    server: servers.Announcement,
    override: document.ServerOverride,
) -> str:
    """Return the state of a backend server.

    The operators' override has precedence over the announced state.
    """
    if override.forbid:
        return 'forbidden'
    if override.drain:
        return 'drained'
    return server.state.value
