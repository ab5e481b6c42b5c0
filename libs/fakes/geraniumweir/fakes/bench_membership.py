"""What membership costs a host, counted in virtual time.

Hosts run on the in-memory network; every message is encoded as it would be on
the wire (thrift compact, in its envelope, with the length of the frame). Each
host has backend servers that announce themselves every second, and pools
whose summaries change, so the counts aren't those of an idle system only.
"""

import argparse
import asyncio
import dataclasses
import random
import time
import typing

import tabulate
from geraniumweir.common import ids, timers, virtual
from geraniumweir.fakes import countingpeers
from geraniumweir.membership import (
    hosts,
    membership,
    poolsummaries,
    servers,
    shared_state,
    suspicion,
)
from geraniumweir.wire import memory, peers

HOSTS_IN_DOMAIN = (2, 4, 8, 16, 24)
DOMAINS = (1, 2, 4, 8, 17)
HOSTS_PER_DOMAIN = 6
LETTER_HOSTS = 23
LETTER_DOMAINS = 17
WARM_SECONDS = 20
COUNTED_SECONDS = 30
SERVERS_PER_HOST = 4
POOLS_PER_DOMAIN = 8
_FIRST_INCARNATION = 0x18BCFE56800
_SEED = 20
_KILO = 1000
_LONGEST_WAIT_MS = 5000
_WAIT_STEP = 1.3
_FIRST_WAIT_MS = 200
_MAX_FREE = 4
_MODELS = 3
_FREE_CHANGES = 0.2


@dataclasses.dataclass(slots=True)
class Node:
    """One host of the bench."""

    member: membership.Membership
    peers: countingpeers.CountingPeers
    number: int
    leads: bool
    waits: dict[int, float] = dataclasses.field(default_factory=dict)
    free: dict[tuple[int, int], int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What hosts sent and received in a second.

    :ivar messages: sent, mean of all hosts.
    :ivar sent: bytes, mean of all hosts.
    :ivar least_sent: bytes of the host that sent least, never a delegate.
    :ivar most_sent: bytes of the host that sent most, always a delegate.
    :ivar most_packets: the same with the headers of TCP over IPv4.
    :ivar most_received: bytes of the host that received most.
    :ivar least_packets: as ``most_packets``, of the host that sent least.
    :ivar most_received_packets: bytes with headers.
    :ivar processor: seconds of processor time, mean of all hosts.
    """

    messages: float
    sent: float
    least_sent: float
    most_sent: float
    most_packets: float
    most_received: float
    least_packets: float
    most_received_packets: float
    processor: float


async def measure(
    domains: int,
    per_domain: int,
    *,
    loaded: bool,
    announcing: int = SERVERS_PER_HOST,
) -> Cost:
    """Run hosts and count what they send.

    :param loaded: with backend servers and pools, or without.
    :param announcing: backend servers that announce to each host.
    """
    chance = random.Random(_SEED)  # noqa: S311
    scale = _Scale()
    nodes = await start(
        memory.MemoryNetwork(_SEED),
        domains,
        per_domain,
        suspicion.Timing(),
        scale.weigh,
    )
    used = float(0)
    for second in range(WARM_SECONDS + COUNTED_SECONDS):
        if second == WARM_SECONDS:
            _check_whole(nodes)
            _reset(nodes)
            used = scale.others_used()
        if loaded:
            _load(nodes, chance, announcing)
        await asyncio.sleep(1)
    used = scale.others_used() - used
    return _cost([node.peers for node in nodes], used)


class _Scale:
    """Weighs messages and keeps the time that it takes out of the rest."""

    def __init__(self) -> None:
        self._used = float(0)

    def weigh(self, message: peers.Message) -> int:
        start = time.process_time()
        size = countingpeers.framed_size(message)
        self._used += time.process_time() - start
        return size

    def others_used(self) -> float:
        return time.process_time() - self._used


async def start(
    network: memory.MemoryNetwork,
    domains: int,
    per_domain: int,
    timing: suspicion.Timing | None = None,
    weigh: typing.Callable[[peers.Message], int] = countingpeers.framed_size,
) -> list[Node]:
    """Start the hosts within a second, all with the first one as seed."""
    nodes: list[Node] = []
    used = timing or suspicion.Timing()
    for number in range(domains * per_domain):
        node = _node(network, number, per_domain, used, weigh)
        nodes.append(node)
        await node.member.start()
        await asyncio.sleep(1 / (domains * per_domain))
    return nodes


def _node(
    network: memory.MemoryNetwork,
    number: int,
    per_domain: int,
    timing: suspicion.Timing,
    weigh: typing.Callable[[peers.Message], int],
) -> Node:
    domain = number // per_domain
    address = ids.Address('10.0.0.1', number + 1)
    host = hosts.Host(
        ids.HostId(f'host-{number:03}'),
        ids.FailureDomain(f'domain-{domain:02}'),
        ids.Region('region'),
        address,
        ids.Incarnation(_FIRST_INCARNATION + number),
        address,
    )
    layer = countingpeers.CountingPeers(
        network.join(host.host_id, address), weigh
    )
    seeds = (ids.Address('10.0.0.1', 1),)
    options = shared_state.Options(seeds, timing, number)
    member = membership.Membership(
        host,
        layer,
        timers.TimerService(),
        options,
    )
    return Node(member, layer, number, leads=number % per_domain == 0)


def _load(
    nodes: typing.Iterable[Node],
    chance: random.Random,
    announcing: int,
) -> None:
    for node in nodes:
        for slot in range(announcing):
            node.member.sharing.announce(_announcement(node, slot))
        if node.leads:
            _publish(node, chance)


def _publish(node: Node, chance: random.Random) -> None:
    # Waits and free slots wander; a fifth of the free slots changes a second.
    for pool in range(POOLS_PER_DOMAIN):
        factor = chance.uniform(1 / _WAIT_STEP, _WAIT_STEP)
        wait = node.waits.get(pool, _FIRST_WAIT_MS) * factor
        node.waits[pool] = min(wait, _LONGEST_WAIT_MS)
        for model in range(_MODELS):
            if chance.random() < _FREE_CHANGES:
                node.free[(pool, model)] = chance.randrange(_MAX_FREE)
        node.member.pools.publish(_summary(node, pool))


def _announcement(node: Node, slot: int) -> servers.Announcement:
    me = node.member.me
    return servers.Announcement(
        ids.ServerId(f'server-{node.number:03}-{slot}'),
        ids.Incarnation(1),
        ids.Address('10.1.0.1', 1),
        'engine',
        ids.PoolName('pool'),
        me.failure_domain,
    )


def _summary(node: Node, pool: int) -> poolsummaries.PoolSummary:
    me = node.member.me
    models = range(_MODELS)
    return poolsummaries.PoolSummary(
        me.failure_domain,
        ids.PoolName(f'pool-{pool}'),
        me.host_id,
        tuple((f'model-{model}', _MAX_FREE) for model in models),
        (int(node.waits[pool]),) * len(ids.Tier),
        tuple(node.free.get((pool, model), 0) for model in models),
        ids.Tier.low,
    )


def _check_whole(nodes: list[Node]) -> None:
    for node in nodes:
        seen = len(node.member.all_live())
        if seen != len(nodes):
            name = node.member.me.host_id
            raise RuntimeError(f'{name} sees {seen} of {len(nodes)} hosts')


def _reset(nodes: list[Node]) -> None:
    for node in nodes:
        node.peers.reset()


def _cost(counted: list[countingpeers.CountingPeers], used: float) -> Cost:
    messages = [one.messages for one in counted]
    sent = [one.sent_bytes for one in counted]
    packets = [_packets(one.sent_bytes, one.messages) for one in counted]
    got = [_packets(one.received_bytes, one.received) for one in counted]
    total = Cost(
        sum(messages) / len(messages),
        sum(sent) / len(sent),
        min(sent),
        max(sent),
        max(packets),
        max(one.received_bytes for one in counted),
        min(packets),
        max(got),
        used / len(counted),
    )
    by_second = (one / COUNTED_SECONDS for one in dataclasses.astuple(total))
    return Cost(*by_second)


def _packets(framed: int, messages: int) -> int:
    return framed + messages * countingpeers.PACKET_HEADER_BYTES


def _row(domains: int, per_domain: int, *, loaded: bool) -> list[object]:
    cost = virtual.run(measure(domains, per_domain, loaded=loaded))
    return [
        domains,
        per_domain,
        'yes' if loaded else 'no',
        cost.messages,
        cost.sent / _KILO,
        cost.least_sent / _KILO,
        cost.most_sent / _KILO,
        cost.most_packets / _KILO,
        cost.most_received / _KILO,
    ]


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--letter',
        action='store_true',
        help='also 17 domains of 23 hosts; takes minutes',
    )
    opts = parser.parse_args()
    sizes = [(1, count, False) for count in HOSTS_IN_DOMAIN]
    sizes += [(1, count, True) for count in HOSTS_IN_DOMAIN]
    sizes += [(count, HOSTS_PER_DOMAIN, False) for count in DOMAINS]
    sizes += [(count, HOSTS_PER_DOMAIN, True) for count in DOMAINS]
    if opts.letter:
        sizes.append((LETTER_DOMAINS, LETTER_HOSTS, True))
    rows = [
        _row(domains, per_domain, loaded=loaded)
        for domains, per_domain, loaded in sizes
    ]
    headers = [
        'domains',
        'hosts in each',
        'load',
        'messages/s',
        'sent KB/s',
        'least sent',
        'most sent',
        'with headers',
        'most received',
    ]
    print(tabulate.tabulate(rows, headers, floatfmt='.2f'))  # noqa: WPS421


if __name__ == '__main__':
    main()
