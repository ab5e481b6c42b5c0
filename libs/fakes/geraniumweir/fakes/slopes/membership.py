"""What membership costs a host, counted in virtual time.

Bytes are with 52 of headers for each message. The processor time is that of
the logic alone; a message over sockets is in :mod:`wire`.
"""

from geraniumweir.common import virtual
from geraniumweir.fakes import bench_membership
from geraniumweir.fakes.slopes import results
from geraniumweir.wire import memory as memory_network

_HOSTS = (2, 4, 8, 16, 24)
UNITS = {
    'messages': 'messages/s sent, mean',
    'ordinary_sent': 'B/s sent, host that sends least',
    'busiest_sent': 'B/s sent, host that sends most',
    'busiest_received': 'B/s received, host that receives most',
    'processor': 's/s, mean',
}


def main() -> None:
    """Measure and print."""
    by_hosts = {size: costs(1, size) for size in _HOSTS}
    memory = [(size, _memory(size)) for size in _HOSTS]
    results.write(
        results.columns('membership.hosts', 'hosts', UNITS, by_hosts)
        + [results.slope('membership.memory', 'B a host', 'hosts', memory)],
    )


def _memory(hosts: int) -> float:
    """Give what one host keeps, with its timers and the network's parts."""
    network = memory_network.MemoryNetwork(1)
    kept, _ = results.memory(
        lambda: virtual.run(bench_membership.start(network, 1, hosts)),
    )
    return kept / hosts


def costs(
    domains: int,
    per_domain: int,
    announcing: int = bench_membership.SERVERS_PER_HOST,
) -> dict[str, float]:
    """Run hosts under load.

    :param announcing: backend servers that announce to each host.
    """
    cost = virtual.run(
        bench_membership.measure(
            domains,
            per_domain,
            loaded=True,
            announcing=announcing,
        ),
    )
    return {
        'messages': cost.messages,
        'ordinary_sent': cost.least_packets,
        'busiest_sent': cost.most_packets,
        'busiest_received': cost.most_received_packets,
        'processor': cost.processor,
    }


if __name__ == '__main__':
    main()
