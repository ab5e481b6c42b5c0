"""Turns what an entry host knows into the rows that operators see."""

from geraniumweir.configuration import document
from geraniumweir.daemon import host as entry_host
from geraniumweir.daemon import operations, settings
from geraniumweir.membership import servers


def host_row(host: entry_host.EntryHost) -> operations.HostRow:
    """Describe a host that stands alone."""
    cfg = host.cfg
    state = operations.HostState.live
    if host.draining:
        state = operations.HostState.draining
    return operations.HostRow(
        cfg.host_id,
        cfg.failure_domain,
        cfg.region,
        state,
        host.in_force.version,
        sure=True,
        recorder=False,
        leads=tuple(sorted(host.leaders)),
    )


def status(host: entry_host.EntryHost, started: float) -> operations.Status:
    """Tell how a host that stands alone stands.

    :param started: on the timer service's clock, in seconds.
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
        uptime_seconds=host.timers.now() - started,
    )


def server_row(
    host: entry_host.EntryHost,
    server: servers.Announcement,
    running: int | None = None,
) -> operations.ServerRow:
    """Describe a backend server.

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


def pool_row(
    host: entry_host.EntryHost,
    pool: document.Pool,
) -> operations.PoolRow:
    """Describe a pool that this host leads, as one that stands alone does."""
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
    """Name how a backend server stands, the operators' word first."""
    if override.forbid:
        return 'forbidden'
    if override.drain:
        return 'drained'
    return server.state.value
