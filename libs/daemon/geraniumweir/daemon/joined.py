"""Composes an entry host that cooperates with other hosts.

Parts are stopped in the reverse order of their start. :func:`leave_system`
runs before that, once the requests in flight have ended or timed out.
"""

import asyncio
import contextlib
import dataclasses
import os
import time

from geraniumweir.common import background, errors, eventlog, ids
from geraniumweir.configuration import (
    claims,
    document,
    following,
    reading,
    recordings,
)
from geraniumweir.consensus import client
from geraniumweir.daemon import (
    hoststates,
    logged_claims,
    logevents,
    membership_views,
    server_orders,
    publishing,
    host_storage,
    settings,
)
from geraniumweir.daemon import host as entry_host
from geraniumweir.membership import hosts, membership, servers, shared_state
from geraniumweir.membership import reports as member_reports
from geraniumweir.scheduling import (
    broker,
    channel,
    deadline_leader,
    remote,
    reporting,
    suspects,
    takeover,
)
from geraniumweir.scheduling import settings as leader_settings
from geraniumweir.wire import tcp

_MS = 1000
_SURE_CHECK_SECONDS = 0.5
# Claims whose outcome is not logged by then later count as unknown.
_CLAIM_DRAIN_SECONDS = 2.0


class BusyPeerAddressError(errors.GeraniumweirError):
    """Listening on the peer address failed."""

    code = 'GW-1502'


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The parts of a host that cooperates with others.

    :ivar layer: the transport below ``peers``, whose links a test may cut.
    :ivar neighbours: the hosts to fetch configuration versions from.
    :ivar recording: the recorder, or None on a host without a data folder.
    """

    host: entry_host.EntryHost
    layer: tcp.TcpPeers
    peers: channel.Channel
    members: membership.Membership
    neighbours: membership_views.Neighbours
    follower: following.Follower
    log: client.LogClient
    claimer: claims.Claimer
    order_sender: server_orders.OrderSender
    states: hoststates.HostStates
    recording: recordings.Recording | None


async def join(
    host: entry_host.EntryHost,
    stack: contextlib.AsyncExitStack,
) -> Joined:
    """Connect a host to the others and start its parts.

    :param stack: stops all parts at the end.
    :raises BusyPeerAddressError: when listening on the peer address fails.
    :raises geraniumweir.store.errors.StoreError: when the data folder can't
        be used.
    """
    cfg = host.cfg
    layer = await _listen(cfg, stack)
    peer_layer = channel.Channel(layer)
    stack.push_async_callback(peer_layer.close)
    version_store = host_storage.open_version_store(cfg, stack)
    recorded = await host_storage.start_recorder(cfg, peer_layer, stack)
    members = _membership(host, peer_layer, recorded is not None)
    joined = _assemble(
        host,
        (layer, peer_layer),
        members,
        recorded,
        version_store,
    )
    _connect_parts(joined, stack)
    await members.start()
    stack.callback(members.stop)
    stack.callback(background.start(joined.follower.run).cancel)
    return joined


async def leave_system(joined: Joined) -> None:
    """Log the outcomes of open claims, then announce the departure."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_CLAIM_DRAIN_SECONDS):
            await joined.claimer.drained()
    await joined.members.leave()


async def _listen(
    cfg: settings.Settings,
    stack: contextlib.AsyncExitStack,
) -> tcp.TcpPeers:
    address = _peer_address(cfg)
    peer_layer = tcp.TcpPeers(
        cfg.host_id,
        address,
        delay=cfg.test_link_delay,
    )
    try:
        await peer_layer.start()
    except OSError as exc:
        reason = os.strerror(exc.errno or 0)
        message = f'can not listen on {address}: {reason}'
        raise BusyPeerAddressError(message) from exc
    stack.push_async_callback(peer_layer.close)
    for host_id, where in cfg.recorders.items():
        if host_id != cfg.host_id:
            peer_layer.learn(host_id, where)
    return peer_layer


def _peer_address(cfg: settings.Settings) -> ids.Address:
    if cfg.peer_address is None:
        raise ValueError('a host without a peer address is standalone')
    return cfg.peer_address


def _membership(
    host: entry_host.EntryHost,
    peer_layer: channel.Channel,
    records: bool,
) -> membership.Membership:
    cfg = host.cfg
    me = hosts.Host(
        cfg.host_id,
        cfg.failure_domain,
        cfg.region,
        _peer_address(cfg),
        # The wall clock grows from start to start, also without a disk.
        ids.Incarnation(int(time.time() * _MS)),
        cfg.backend_address,
        hosts.Role.recorder if records else hosts.Role.none,
    )
    others = (*cfg.peers, *cfg.recorders.values())
    seeds = tuple(one for one in others if one != cfg.peer_address)
    options = shared_state.Options(seeds=seeds)
    return membership.Membership(me, peer_layer, host.timers, options)


def _assemble(
    host: entry_host.EntryHost,
    layers: tuple[tcp.TcpPeers, channel.Channel],
    members: membership.Membership,
    recorded: recordings.Recording | None,
    version_store: host_storage.VersionStore | None,
) -> Joined:
    layer, peer_layer = layers
    log = client.LogClient(peer_layer, host.cfg.recorders)
    neighbour_view = membership_views.Neighbours(members, host.cfg.recorders)
    follower = following.Follower(
        peer_layer,
        neighbour_view,
        version_store,
        recorded,
        _read_document,
    )
    return Joined(
        host=host,
        layer=layer,
        peers=peer_layer,
        members=members,
        neighbours=neighbour_view,
        follower=follower,
        log=log,
        claimer=claims.Claimer(host.cfg.host_id, log.propose, wall_ms),
        order_sender=server_orders.OrderSender(
            server_orders.issuer_name(host.cfg.host_id, members.me.incarnation),
            log.propose,
            host.session,
        ),
        states=hoststates.HostStates(
            host,
            peer_layer,
            members,
            lambda: _is_recorder(host, recorded),
        ),
        recording=recorded,
    )


def _connect_parts(joined: Joined, stack: contextlib.AsyncExitStack) -> None:
    """Connect the parts to each other."""
    host = joined.host
    host.registry = joined.members.registry
    host.path.claims = logged_claims.LoggedClaims(joined.claimer)
    # A pool leader keeps its state in memory only; a new one gets the
    # suspects' cases from here.
    received_cases = suspects.Suspects(0)
    host.links = _links(joined, received_cases, stack)
    publisher = publishing.Publisher(
        joined.members,
        host.links.service,
        host.timers,
        received_cases,
    )
    stack.callback(publisher.close)
    _follow(joined, stack)
    subscriptions = (
        joined.members.reported_events.subscribe(member_reports.log),
        joined.members.changes.subscribe(
            lambda _: joined.log.add_hosts(joined.neighbours.recorders()),
        ),
        joined.members.registry.changes.subscribe(
            lambda event: _notify_leader(host, event),
        ),
    )
    for subscription in subscriptions:
        stack.callback(subscription.dispose)


def _links(
    joined: Joined,
    received_cases: suspects.Suspects,
    stack: contextlib.AsyncExitStack,
) -> entry_host.Links:
    host = joined.host
    domain = host.cfg.failure_domain
    link = joined.peers
    view = membership_views.LeaderView(joined.members)
    directory = membership_views.Directory(joined.members)
    service = remote.LeaderService(
        link,
        view,
        domain,
        lambda pool, on_preempt: _make_leader(
            joined,
            pool,
            on_preempt,
            received_cases,
        ),
        host.timers,
    )
    stack.callback(service.close)
    pool_broker = broker.Broker(link, domain, view, directory, host.timers)
    pool_broker.on_preempt = host.preempt
    stack.callback(pool_broker.close)
    reporter = reporting.Reporter(link, view, domain, service)
    return entry_host.Links(
        pool_broker, service, reporter, joined.members.sharing
    )


def _make_leader(
    joined: Joined,
    pool: ids.PoolName,
    on_preempt: remote.OnPreempt,
    received_cases: suspects.Suspects,
) -> deadline_leader.DeadlinePoolLeader:
    host = joined.host
    me = joined.members.me
    cfg = leader_settings.LeaderSettings(
        pool,
        f'{me.host_id}/{me.incarnation}/{pool}',
        takeover_seconds=takeover.TAKEOVER_WINDOW_SECONDS,
    )
    new_leader = deadline_leader.DeadlinePoolLeader(
        cfg,
        host.timers.now,
        lambda: host.servers_of(pool),
        on_preempt,
    )
    now = host.timers.now()
    new_leader.suspects.merge(received_cases.export(now), now)
    return new_leader


def _follow(joined: Joined, stack: contextlib.AsyncExitStack) -> None:
    host = joined.host
    host.put_in_force(joined.follower.in_force)
    host.sure = False
    change_subscription = joined.follower.changes.subscribe(
        lambda newest: _put_in_force(joined, newest),
    )
    stack.callback(change_subscription.dispose)
    ticks = host.timers.every(_SURE_CHECK_SECONDS)
    checks = ticks.subscribe(lambda _: _update_sure(joined))
    stack.callback(checks.dispose)


def _put_in_force(joined: Joined, newest: document.InForce) -> None:
    joined.host.put_in_force(newest)
    joined.members.progress.raise_to(None, newest.version)
    eventlog.emit(logevents.IN_FORCE, version=newest.version)


def _update_sure(joined: Joined) -> None:
    joined.host.sure = not joined.follower.unsure


def _notify_leader(
    host: entry_host.EntryHost,
    event: servers.ServerEvent,
) -> None:
    """Notify the pool leader on this host of a change of a server."""
    match event:
        case servers.ServerCrashed(before, after):
            pool = after.pool
            found = host.led(pool)
            if found is not None:
                found.server_crashed(before.server_id, before.incarnation)
        case _:
            pool = event.announcement.pool
            found = host.led(pool)
    if found is not None:
        found.grant_waiting()


async def _read_document(text: str) -> document.Document:
    # Checking a long document takes 0.1 s, too long for the event loop.
    return await asyncio.to_thread(reading.read, text)


def _is_recorder(
    host: entry_host.EntryHost,
    recorded: recordings.Recording | None,
) -> bool:
    if recorded is None:
        return False
    rows = recorded.recorder.status().recorders
    return any(row.member.host_id == host.cfg.host_id for row in rows)


def wall_ms() -> int:
    """Return the wall clock in milliseconds since 1970."""
    return int(time.time() * _MS)
