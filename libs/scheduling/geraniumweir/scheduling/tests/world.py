"""Hosts in virtual time, with an exact count of dispatched requests."""

import asyncio
import collections
import dataclasses
import typing

import reactivex
from geraniumweir.common import ids, timers
from geraniumweir.membership import servers
from geraniumweir.scheduling import (
    broker,
    channel,
    deadline_leader,
    remote,
    rendezvous,
    requests,
    settings,
    takeover,
    views,
)
from geraniumweir.wire import memory

POOL = ids.PoolName('lm-advisori')
SLOTS = 2


class View:
    """View of the live hosts on one host, set by the test."""

    def __init__(
        self, hosts: dict[ids.FailureDomain, list[ids.HostId]]
    ) -> None:
        self.changes: reactivex.Subject[None] = reactivex.Subject()
        self.hosts = hosts

    def live(self, domain: ids.FailureDomain) -> list[ids.HostId]:
        return self.hosts.get(domain, [])

    def owners(self, domain: ids.FailureDomain) -> list[ids.HostId]:
        return self.live(domain)

    def see(self, domain: ids.FailureDomain, hosts: list[ids.HostId]) -> None:
        self.hosts[domain] = hosts
        self.changes.on_next(None)


@dataclasses.dataclass
class Host:
    """Entry host with its broker and its pool leaders."""

    host_id: ids.HostId
    domain: ids.FailureDomain
    view: View
    link: channel.Channel
    broker: broker.Broker
    service: remote.LeaderService
    calls: set[asyncio.Task[typing.Any]] = dataclasses.field(
        default_factory=set,
    )


class World:
    """Hosts, servers and counts of the requests.

    :ivar answers: answers by request id.
    :ivar dispatched: number of dispatches by request id.
    :ivar running: current number of requests on each server.
    :ivar max_running: highest number on each server at any time.
    """

    def __init__(
        self,
        domains: dict[str, tuple[int, int]],
        seed: int = 1,
    ) -> None:
        """Initialize and start the hosts.

        :param domains: number of hosts and of servers by failure domain.
        """
        self.network = memory.MemoryNetwork(seed)
        self.hosts: dict[ids.HostId, Host] = {}
        self.answers: dict[str, requests.Grant | requests.Denial] = {}
        self.dispatched: collections.Counter[str] = collections.Counter()
        self.running: collections.Counter[str] = collections.Counter()
        self.max_running: collections.Counter[str] = collections.Counter()
        self.summaries: dict[str, requests.PoolSummary] = {}
        self._clock = timers.TimerService()
        self._servers = {
            ids.FailureDomain(domain): [
                server(domain, number) for number in range(sizes[1])
            ]
            for domain, sizes in domains.items()
        }
        self._names = {
            ids.FailureDomain(domain): [
                ids.HostId(f'{domain}-{number}') for number in range(sizes[0])
            ]
            for domain, sizes in domains.items()
        }
        for domain, names in self._names.items():
            for host_id in names:
                self.start(host_id, domain)

    def start(self, host_id: ids.HostId, domain: ids.FailureDomain) -> Host:
        """Start or restart a host."""
        address = ids.Address('127.0.0.1', len(self.hosts) + 1)
        link = channel.Channel(self.network.join(host_id, address))
        view = View({name: list(of) for name, of in self._names.items()})

        def make_leader(
            pool: ids.PoolName,
            on_preempt: remote.OnPreempt,
        ) -> deadline_leader.DeadlinePoolLeader:
            cfg = settings.LeaderSettings(
                pool=pool,
                takeover_seconds=takeover.TAKEOVER_WINDOW_SECONDS,
            )
            live = lambda: self._servers[domain]  # noqa: E731
            return deadline_leader.DeadlinePoolLeader(
                cfg, self._clock.now, live, on_preempt
            )

        host = Host(
            host_id,
            domain,
            view,
            link,
            broker.Broker(
                link,
                domain,
                view,
                _Directory(self, domain),
                self._clock,
            ),
            remote.LeaderService(link, view, domain, make_leader, self._clock),
        )
        self.hosts[host_id] = host
        return host

    async def kill(self, host_id: ids.HostId) -> None:
        """Stop a host without notification, with its callers."""
        host = self.hosts.pop(host_id)
        self.network.leave(host_id)
        calls = tuple(host.calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        host.broker.close()
        host.service.close()
        await host.link.close()

    def see(self, domain: str, hosts: list[ids.HostId]) -> None:
        """Set the live hosts of a failure domain in every host's view."""
        for host in self.hosts.values():
            host.view.see(ids.FailureDomain(domain), list(hosts))

    def leader_of(self, domain: str) -> Host:
        """Return the leader by the actual list of hosts."""
        name = ids.FailureDomain(domain)
        live = [found for found in self._names[name] if found in self.hosts]
        found = rendezvous.leader_of(name, POOL, live)
        assert found is not None
        return self.hosts[found]

    def others(self, host: Host) -> list[Host]:
        """List the other hosts of a host's failure domain."""
        return [
            found
            for found in self.hosts.values()
            if found.domain == host.domain and found is not host
        ]

    def call(
        self,
        host: Host,
        name: str,
        *,
        tier: ids.Tier = ids.Tier.normal,
        seconds: float = 0.5,
        deadline: float = 30,
    ) -> asyncio.Task[typing.Any]:
        """Serve one request at a host, as the daemon does."""
        request = slot_request(
            host.host_id,
            name,
            self._clock.now() + deadline,
            tier,
        )
        task = asyncio.create_task(self._serve(host, request, seconds))
        host.calls.add(task)
        task.add_done_callback(host.calls.discard)
        return task

    def granted(self) -> list[str]:
        """List the requests that got a grant."""
        return [
            name
            for name, answer in self.answers.items()
            if isinstance(answer, requests.Grant)
        ]

    def entry_count(self) -> int:
        """Return the number of entries of all leaders, granted or waiting."""
        return sum(
            len(found.entries)
            for host in self.hosts.values()
            for found in host.service._pools.values()
        )

    async def _serve(
        self,
        host: Host,
        slot_request: requests.SlotRequest,
        seconds: float,
    ) -> None:
        answer = await host.broker.request_slot(slot_request)
        self.answers[slot_request.request_id] = answer
        if isinstance(answer, requests.Denial):
            return
        name = answer.server_id
        self.dispatched[slot_request.request_id] += 1
        self.running[name] += 1
        self.max_running[name] = max(self.max_running[name], self.running[name])
        try:
            await asyncio.sleep(seconds)
        finally:
            self.running[name] -= 1
        host.broker.release(
            requests.Release(
                slot_request.request_id,
                requests.Outcome.done,
                first_token=seconds / 2,
                output_tokens=10,
                seconds=seconds,
            ),
        )


class _Directory:
    """Directory of other failure domains' pools, with summaries of the test."""

    def __init__(self, world: World, domain: ids.FailureDomain) -> None:
        self._world = world
        self._domain = domain

    def others(self, pool: ids.PoolName) -> list[views.RemotePool]:
        domains = {host.domain for host in self._world.hosts.values()}
        return [
            views.RemotePool(
                domain,
                self._world.leader_of(domain).host_id,
                self._world.summaries.get(domain, requests.PoolSummary(pool)),
            )
            for domain in sorted(domains - {self._domain})
        ]


def server(domain: str, number: int) -> servers.Announcement:
    """Return a backend server."""
    return servers.Announcement(
        server_id=ids.ServerId(f'{domain}-server-{number}'),
        incarnation=ids.Incarnation(1),
        address=ids.Address('127.0.0.1', 1000 + number),
        kind='service',
        pool=POOL,
        failure_domain=ids.FailureDomain(domain),
        slots=SLOTS,
    )


def slot_request(
    owner: ids.HostId,
    name: str,
    deadline: float,
    tier: ids.Tier = ids.Tier.normal,
) -> requests.SlotRequest:
    """Return a slot request with a block hash that needs all 64 bits."""
    return requests.SlotRequest(
        request_id=ids.RequestId(name),
        owner=owner,
        pool=POOL,
        customer=ids.CustomerName('liceo-volta'),
        rule=ids.RuleName('lookups'),
        tier=tier,
        deadline=deadline,
        blocks=(ids.BlockHash(2**64 - 1),),
    )
