"""Hosts on an in-memory network that tests can stall, crash and restart."""

import asyncio
import dataclasses
import functools
import typing

import reactivex
from geraniumweir.common import ids, timers
from geraniumweir.membership import hosts, membership, servers, shared_state
from geraniumweir.wire import memory, peers
from reactivex import disposable


class StallingTimers(timers.TimerService):
    """Timers whose ticks stop during a stall; the last one fires at its end."""

    def __init__(self) -> None:
        super().__init__()
        self.stalled = False
        self._missed: dict[int, typing.Callable[[], None]] = {}

    def every(self, period: float) -> reactivex.Observable[int]:
        source = super().every(period)

        def subscribe(observer: typing.Any, scheduler: typing.Any = None):
            def tick(count: int) -> None:
                if self.stalled:
                    self._missed[id(observer)] = functools.partial(
                        observer.on_next,
                        count,
                    )
                else:
                    observer.on_next(count)

            return source.subscribe(tick) or disposable.Disposable()

        return reactivex.create(subscribe)

    def resume(self) -> None:
        self.stalled = False
        missed = list(self._missed.values())
        self._missed.clear()
        for call in missed:
            call()


class StallingPeers:
    """Peer layer whose received messages wait until a stall ends."""

    def __init__(self, inner: memory.MemoryPeers) -> None:
        self.host_id = inner.host_id
        self.inner = inner
        self.running = asyncio.Event()
        self.running.set()

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self.inner, name)

    def handle(self, message_type: type, handler: peers.Handler) -> None:
        async def late(sender: ids.HostId, message: typing.Any) -> typing.Any:
            await self.running.wait()
            return await handler(sender, message)

        self.inner.handle(message_type, late)


@dataclasses.dataclass
class Process:
    """One incarnation of a host."""

    member: membership.Membership
    peers: StallingPeers
    timers: StallingTimers
    events: list[hosts.HostEvent] = dataclasses.field(default_factory=list)
    crashes: list[servers.ServerEvent] = dataclasses.field(
        default_factory=list,
    )

    def stall(self) -> None:
        self.timers.stalled = True
        self.peers.running.clear()

    def resume(self) -> None:
        self.timers.resume()
        self.peers.running.set()

    def left(self) -> list[hosts.HostLeft]:
        return [one for one in self.events if isinstance(one, hosts.HostLeft)]


class Cluster:
    """Simulated hosts by name; ``a0`` is host 0 of the domain ``a``."""

    def __init__(self, seed: int = 0) -> None:
        self.network = memory.MemoryNetwork(seed=seed)
        self.processes: dict[str, Process] = {}
        self._addresses: dict[str, ids.Address] = {}
        self._incarnations = 0

    def __getitem__(self, name: str) -> membership.Membership:
        return self.processes[name].member

    async def start(self, name: str, *seeds: str) -> Process:
        """Start a host, or a new incarnation of it."""
        self._incarnations += 1
        number = len(self._addresses) + 1
        address = self._addresses.setdefault(
            name,
            ids.Address('127.0.0.1', number),
        )
        host = hosts.Host(
            ids.HostId(name),
            ids.FailureDomain(name[0]),
            ids.Region('r'),
            address,
            ids.Incarnation(self._incarnations),
            ids.Address('127.0.0.2', number),
        )
        layer = StallingPeers(
            self.network.join(ids.HostId(name), address),
        )
        clock = StallingTimers()
        options = shared_state.Options(
            seeds=tuple(self._addresses[seed] for seed in seeds),
            seed=number,
        )
        member = membership.Membership(host, layer, clock, options)
        process = Process(member, layer, clock)
        member.changes.subscribe(process.events.append)
        member.registry.changes.subscribe(process.crashes.append)
        self.processes[name] = process
        await member.start()
        return process

    def crash(self, name: str) -> None:
        """Crash a host: it stops without a farewell."""
        self.processes.pop(name).member.stop()
        self.network.leave(ids.HostId(name))

    def partition(
        self, left: typing.Iterable[str], right: typing.Iterable[str]
    ):
        """Block all links between two groups, in both directions."""
        for one in left:
            for other in right:
                self.network.cut(ids.HostId(one), ids.HostId(other))
                self.network.cut(ids.HostId(other), ids.HostId(one))

    def views(self, domain: str) -> set[str]:
        """Return the distinct views that the hosts of a domain have of it."""
        return {
            live_names(process.member, domain)
            for name, process in self.processes.items()
            if name[0] == domain
        }


def live_names(member: membership.Membership, domain: str) -> str:
    """Return the ids of a domain's live hosts in the view of one host."""
    live = member.live(ids.FailureDomain(domain))
    return ' '.join(host.host_id for host in live)


async def start_domain(count: int, seed: int = 0) -> Cluster:
    """Start one domain and wait until its views have converged."""
    cluster = Cluster(seed)
    await cluster.start('a00')
    for number in range(1, count):
        await cluster.start(f'a{number:02}', 'a00')
    await asyncio.sleep(3)
    return cluster


def clear_events(cluster: Cluster) -> None:
    """Discard the events so far."""
    for process in cluster.processes.values():
        process.events.clear()


async def start_domains(*names: str, count: int = 2, seed: int = 0) -> Cluster:
    """Start domains joined through one seed and wait for convergence."""
    cluster = Cluster(seed)
    first = f'{names[0]}0'
    for name in names:
        for number in range(count):
            host = f'{name}{number}'
            seeds = [] if host == first else [first]
            await cluster.start(host, *seeds)
    await asyncio.sleep(5)
    return cluster
