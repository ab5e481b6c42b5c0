"""Composes a host that works together with others.

What it starts, it stops in the opposite order; :func:`farewell` comes before,
while calls in flight still end.
"""

import asyncio
import contextlib
import dataclasses
import os
import time

from geraniumweir.common import errors, eventlog, ids
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
    loggedclaims,
    logevents,
    neighbours,
    ordering,
    publishing,
    recording,
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
_SURE_PERIOD = 0.5
# Endings of claims that can't be logged by then become unknown in time.
_FAREWELL_SECONDS = 2.0


class BusyPeerAddressError(errors.GeraniumweirError):
    """The peer address can't be listened on."""

    code = 'GW-1502'


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The parts of a host that works together with others.

    :ivar layer: the peer layer itself, whose links a test may cut.
    :ivar recording: None where this host has no data folder.
    """

    host: entry_host.EntryHost
    layer: tcp.TcpPeers
    peers: channel.Channel
    members: membership.Membership
    neighbours: neighbours.Neighbours
    follower: following.Follower
    log: client.LogClient
    claimer: claims.Claimer
    orderer: ordering.Orderer
    states: hoststates.HostStates
    recording: recordings.Recording | None


async def join(
    host: entry_host.EntryHost,
    stack: contextlib.AsyncExitStack,
) -> Joined:
    """Let a host work together with others.

    :param stack: stops everything at the end.
    :raises BusyPeerAddressError: when the peer address is taken.
    :raises geraniumweir.store.errors.StoreError: when the data folder can't
        be used.
    """
    cfg = host.cfg
    layer = await _listen(cfg, stack)
    peer_layer = channel.Channel(layer)
    stack.push_async_callback(peer_layer.close)
    shelf = recording.open_shelf(cfg, stack)
    recorded = await recording.start(cfg, peer_layer, stack)
    members = _membership(host, peer_layer, recorded is not None)
    joined = _assemble(
        host,
        (layer, peer_layer),
        members,
        recorded,
        shelf,
    )
    _wire(joined, stack)
    await members.start()
    stack.callback(members.stop)
    following_task = asyncio.create_task(joined.follower.run())
    stack.callback(following_task.cancel)
    return joined


async def farewell(joined: Joined) -> None:
    """Leave: hand over the pools, then the log, then say farewell."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_FAREWELL_SECONDS):
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
        raise ValueError('a host without a peer address stands alone')
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
        # Grows with each start, also on a host without a disk.
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
    ways: tuple[tcp.TcpPeers, channel.Channel],
    members: membership.Membership,
    recorded: recordings.Recording | None,
    shelf: recording.Shelf | None,
) -> Joined:
    layer, peer_layer = ways
    log = client.LogClient(peer_layer, host.cfg.recorders)
    near = neighbours.Neighbours(members, host.cfg.recorders)
    follower = following.Follower(
        peer_layer,
        near,
        shelf,
        recorded,
        _read_document,
    )
    return Joined(
        host=host,
        layer=layer,
        peers=peer_layer,
        members=members,
        neighbours=near,
        follower=follower,
        log=log,
        claimer=claims.Claimer(host.cfg.host_id, log.propose, wall_ms),
        orderer=ordering.Orderer(
            ordering.issuer_of(host.cfg.host_id, members.me.incarnation),
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


def _wire(joined: Joined, stack: contextlib.AsyncExitStack) -> None:
    """Bind the parts to each other."""
    host = joined.host
    host.registry = joined.members.registry
    host.path.claims = loggedclaims.LoggedClaims(joined.claimer)
    # A pool leader is soft state: a new one takes the cases from here.
    heard = suspects.Suspects(0)
    host.links = _links(joined, heard, stack)
    publisher = publishing.Publisher(
        joined.members,
        host.links.service,
        host.timers,
        heard,
    )
    stack.callback(publisher.close)
    _follow(joined, stack)
    subscriptions = (
        joined.members.reported_events.subscribe(member_reports.log),
        joined.members.changes.subscribe(
            lambda _: joined.log.know(joined.neighbours.recorders()),
        ),
        joined.members.registry.changes.subscribe(
            lambda happened: _tell_leader(host, happened),
        ),
    )
    for subscription in subscriptions:
        stack.callback(subscription.dispose)


def _links(
    joined: Joined,
    heard: suspects.Suspects,
    stack: contextlib.AsyncExitStack,
) -> entry_host.Links:
    host = joined.host
    domain = host.cfg.failure_domain
    link = joined.peers
    view = neighbours.LeaderView(joined.members)
    directory = neighbours.Directory(joined.members)
    service = remote.LeaderService(
        link,
        view,
        domain,
        lambda pool, on_preempt: _make_leader(
            joined,
            pool,
            on_preempt,
            heard,
        ),
        host.timers,
    )
    stack.callback(service.close)
    asker = broker.Broker(link, domain, view, directory, host.timers)
    asker.on_preempt = host.preempt
    stack.callback(asker.close)
    reporter = reporting.Reporter(link, view, domain, service)
    return entry_host.Links(asker, service, reporter, joined.members.sharing)


def _make_leader(
    joined: Joined,
    pool: ids.PoolName,
    on_preempt: remote.OnPreempt,
    heard: suspects.Suspects,
) -> deadline_leader.DeadlinePoolLeader:
    host = joined.host
    me = joined.members.me
    cfg = leader_settings.LeaderSettings(
        pool,
        f'{me.host_id}/{me.incarnation}/{pool}',
        takeover_seconds=takeover.TAKEOVER_WINDOW_SECONDS,
    )
    made = deadline_leader.DeadlinePoolLeader(
        cfg,
        host.timers.now,
        lambda: host.servers_of(pool),
        on_preempt,
    )
    now = host.timers.now()
    made.suspects.merge(heard.export(now), now)
    return made


def _follow(joined: Joined, stack: contextlib.AsyncExitStack) -> None:
    host = joined.host
    host.put_in_force(joined.follower.in_force)
    host.sure = False
    news = joined.follower.changes.subscribe(
        lambda newest: _put_in_force(joined, newest),
    )
    stack.callback(news.dispose)
    ticks = host.timers.every(_SURE_PERIOD)
    checks = ticks.subscribe(lambda _: _note_sure(joined))
    stack.callback(checks.dispose)


def _put_in_force(joined: Joined, newest: document.InForce) -> None:
    joined.host.put_in_force(newest)
    joined.members.progress.raise_to(None, newest.version)
    eventlog.emit(logevents.IN_FORCE, version=newest.version)


def _note_sure(joined: Joined) -> None:
    joined.host.sure = not joined.follower.unsure


def _tell_leader(
    host: entry_host.EntryHost,
    happened: servers.ServerEvent,
) -> None:
    """Tell the pool leader on this host of what became of a server."""
    match happened:
        case servers.ServerCrashed(before, after):
            pool = after.pool
            found = host.led(pool)
            if found is not None:
                found.server_crashed(before.server_id, before.incarnation)
        case _:
            pool = happened.announcement.pool
            found = host.led(pool)
    if found is not None:
        found.grant_waiting()


async def _read_document(text: str) -> document.Document:
    # A long document takes a tenth of a second to check.
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
    """Give the wall clock, milliseconds since 1970."""
    return int(time.time() * _MS)
