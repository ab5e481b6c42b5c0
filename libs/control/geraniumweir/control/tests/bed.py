"""Control hosts and an entry host that watches them, in virtual time."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import typing

from geraniumweir.common import ids, timers
from geraniumweir.configuration import recordings, state
from geraniumweir.consensus import core, recorder, settings
from geraniumweir.control import (
    coordinator_client,
    documents,
    enrolments,
    feed,
    hosts,
    leadership,
    logaccess,
    pool_servers,
    presence,
    recorders,
    watching,
)
from geraniumweir.rollout import orders
from geraniumweir.routing import tables
from geraniumweir.scheduling import channel, notices, recent_usage
from geraniumweir.store import folder, guard, memory_disk
from geraniumweir.wire import memory, peers, stream_network

# One control host in each failure domain, named as its domain.
DOMAINS = ('ant', 'bee', 'cow')
_SYNC_SECONDS = 0.005
_QUOTA_SECONDS = 8
_LEASE_SECONDS = 60


@dataclasses.dataclass(slots=True)
class Medium:
    """The disk of a control host.

    :ivar stalled_until: no write completes before this time, in seconds.
    """

    disk: memory_disk.MemoryDisk
    stalled_until: float = 0

    async def run(self, action: guard.Action[typing.Any]) -> typing.Any:
        """Perform an action after the disk's delay."""
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(self.stalled_until - now, _SYNC_SECONDS))
        return action()


class Network(typing.Protocol):
    """Connects the hosts of a bed."""

    def join(self, host_id: ids.HostId, where: ids.Address) -> peers.Peers:
        """Return the peer layer of a new host."""

    def cut(self, sender: ids.HostId, receiver: ids.HostId) -> None:
        """Lose all messages in one direction."""

    def heal(self) -> None:
        """Remove all partitions."""


class Streams:
    """Hosts that talk over connections, and to themselves directly.

    :ivar network: the connections.
    """

    def __init__(self) -> None:
        """Initialize without hosts."""
        self.network = stream_network.StreamNetwork()
        self.cut = self.network.cut
        self.heal = self.network.heal

    def join(self, host_id: ids.HostId, where: ids.Address) -> peers.Peers:
        """Return the peer layer of a new host."""
        return channel.Channel(self.network.join(host_id, where))


class Control:
    """The parts of a control host that store and publish the document."""

    def __init__(self, bed: 'Bed', domain: str) -> None:
        """Initialize without starting anything."""
        self.host_id = ids.HostId(domain)
        self.link = bed.network.join(self.host_id, address(domain))
        me = card(domain)
        known = hosts.ControlHosts()
        for other in DOMAINS:
            known.register(card(other), 0)
            self.link.learn(ids.HostId(other), address(other))
        first = {ids.HostId(name): address(name) for name in DOMAINS}
        place = recordings.Place(self.host_id, pathlib.Path(domain), first)
        self.known = known
        self.log = recorders.Recorders(
            self.link, place, known, me, len(DOMAINS)
        )
        access = logaccess.LogAccess(self.link, self.log, known)
        self.documents = documents.Documents(self.link, self.log, known, access)
        self.table = enrolments.Enrolments(self.host_id, _LEASE_SECONDS)
        self.leadership = leadership.Leadership(
            self.link, self.log, timers.TimerService(), _QUOTA_SECONDS
        )
        entry_hosts = self.leadership.entry_hosts
        self.rollouts: dict[ids.PoolName, orders.Rollout] = {}
        self.log.rollouts.subscribe(self._set_rollout)
        self.feed = feed.Feed(
            self.link,
            self.log,
            self.table,
            known,
            entry_hosts,
            lambda: list(self.rollouts.values()),
        )
        self.presence = presence.Presence(
            self.link, me, known, self.table, self.log, entry_hosts
        )
        self.presence.on_change = self.feed.notify
        self.leadership.server_notices.changes.subscribe(
            self.presence.handle_notice
        )

    def _set_rollout(self, found: orders.Rollout) -> None:
        self.rollouts[found.pool] = found
        self.feed.notify()

    def leads(self) -> bool:
        """Return whether it leads the log."""
        return self.log.is_leading()


class Entry:
    """An entry host: its watcher, coordinator client and servers."""

    def __init__(self, bed: 'Bed', domain: str, name: str) -> None:
        """Initialize without starting anything."""
        self.host_id = ids.HostId(name)
        link = bed.network.join(self.host_id, address(name))
        self.watcher = _watcher(link, domain)
        clock = timers.TimerService()
        self.server_notices = notices.Notices(clock)
        self.coordinator = coordinator_client.CoordinatorClient(
            link,
            ids.FailureDomain(domain),
            self.watcher.hosts,
            lambda _: recent_usage.RecentUsage(0, {}),
            self.server_notices,
        )
        self.watcher.leaves.subscribe(
            lambda start: self.server_notices.apply(
                notices.leaving(start, self.host_id, clock.now()),
            ),
        )
        self.pool_servers = pool_servers.PoolServers(
            self.watcher.servers,
            lambda: None,
            server_notices=self.server_notices,
        )

    def receive_notice(
        self, start: notices.ServerIncarnation, content: notices.Content
    ) -> None:
        """Receive an answer to a request that was sent a moment ago."""
        now = asyncio.get_running_loop().time()
        self.server_notices.apply(
            notices.Notice(*start, content, self.host_id, now - 0.01, now),
        )


class Bed:
    """Three control hosts, and entry hosts that watch them.

    :ivar media: the disks, by failure domain.
    """

    def __init__(self, network: Network | None = None) -> None:
        """Initialize without starting anything."""
        self.network = network or memory.MemoryNetwork()
        self.media = {
            domain: Medium(memory_disk.MemoryDisk()) for domain in DOMAINS
        }
        self.controls = {domain: Control(self, domain) for domain in DOMAINS}
        self._running: list[asyncio.Task[typing.Any]] = []

    async def start(self) -> Control:
        """Start all control hosts; return the one that leads."""
        for control in self.controls.values():
            for work in (control.log.run(), control.presence.run()):
                self._running.append(asyncio.create_task(work))
        while not any(one.leads() for one in self.controls.values()):
            await asyncio.sleep(0.05)
        return next(one for one in self.controls.values() if one.leads())

    def partition(self, one: str, other: str) -> None:
        """Drop all messages between two hosts."""
        self.network.cut(ids.HostId(one), ids.HostId(other))
        self.network.cut(ids.HostId(other), ids.HostId(one))

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in self._running:
            task.cancel()

    def watch(
        self,
        domain: str,
        name: str = 'entry',
        *,
        silent: int = 0,
    ) -> watching.Watcher:
        """Start a watcher in an entry host of a failure domain.

        :param silent: number of further control hosts that it has registered
            and that never answer.
        """
        host_id = ids.HostId(name)
        watcher = _watcher(self.network.join(host_id, address(name)), domain)
        for number in range(silent):
            lost = f'a{number}'
            self.network.join(ids.HostId(lost), address(lost))
            self.network.cut(host_id, ids.HostId(lost))
            watcher.hosts.register(card(lost), 0)
        self._running.append(asyncio.create_task(watcher.run()))
        return watcher

    def enter(self, domain: str, name: str) -> Entry:
        """Start an entry host of a failure domain with a coordinator client."""
        entry = Entry(self, domain, name)
        for work in (entry.watcher.run(), entry.coordinator.run()):
            self._running.append(asyncio.create_task(work))
        return entry

    @contextlib.asynccontextmanager
    async def opened(
        self,
        place: recordings.Place,
        link: peers.Peers,
    ) -> typing.AsyncIterator[recordings.Recording]:
        """Open a recorder as :func:`recordings.opened` does, in memory."""
        medium = self.media[str(place.folder)]
        found = await folder.open_folder(medium.disk, medium.run)
        machine = state.SystemState()
        env = core.Environment(
            settings.Settings(place.host_id),
            link,
            machine,
            random.Random(place.host_id),
        )
        log_recorder = recorder.Recorder(env, found, place.first)
        log_recorder.start()
        try:
            yield recordings.Recording(log_recorder, machine)
        finally:
            log_recorder.kill()


def _watcher(link: peers.Peers, domain: str) -> watching.Watcher:
    watcher = watching.Watcher(
        link,
        ids.FailureDomain(domain),
        lambda: {ids.HostId(one): address(one) for one in DOMAINS},
        read,
    )
    for one in DOMAINS:
        watcher.hosts.register(card(one), 0)
        link.learn(ids.HostId(one), address(one))
    return watcher


def address(name: str) -> ids.Address:
    """Return the address of a host."""
    return ids.Address('10.0.0.1', sum(name.encode()))


def card(domain: str) -> hosts.ControlHost:
    """Return the control host of a failure domain."""
    where = address(domain)
    return hosts.ControlHost(
        ids.HostId(domain), where, where, ids.FailureDomain(domain)
    )


def read(content: bytes) -> tables.Document:
    """Return a document whose content begins with its version."""
    return tables.Document(ids.Version(int(content.split(maxsplit=1)[0])))


async def publish(control: Control, version: int) -> None:
    """Store a version at a control host; returns once acknowledged."""
    content = str(version).encode()
    await control.documents.publish(ids.Version(version), content)
