"""What membership costs a host, counted in virtual time.

Bytes are with 52 of headers for each message. The processor time is that of
the logic alone; a message over sockets is in :mod:`wire`.
"""

from geraniumweir.common import virtual
from geraniumweir.fakes import bench_membership
from geraniumweir.fakes.slopes import results
from geraniumweir.wire import memory as memory_network

_HOSTS = (2, 4, 8, 16, 24)
_DOMAINS = (1, 2, 4, 8, 17)
_ANNOUNCING = (1, 4, 8, 12)
_BIG_DOMAIN = 23
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
    by_domains = {
        size: costs(size, bench_membership.HOSTS_PER_DOMAIN)
        for size in _DOMAINS
    }
    by_servers = {
        size: costs(1, _BIG_DOMAIN, size) for size in _ANNOUNCING
    }
    memory = [(size, _memory(size)) for size in _HOSTS]
    results.write(
        results.columns('membership.hosts', 'hosts', UNITS, by_hosts)
        + results.columns('membership.domains', 'domains', UNITS, by_domains)
        + results.columns('membership.servers', 'servers', UNITS, by_servers)
        + [results.slope('membership.memory', 'B a host', 'hosts', memory)],
    )


def _memory(hosts: int) -> float:
    """Give what one host keeps, with its timers and the network's parts."""
    network = memory_network.MemoryNetwork(1)

    def started() -> list[bench_membership.Node]:
        return virtual.run(bench_membership.start(network, 1, hosts))

    return results.memory(started)[0] / hosts


def costs(
    domains: int,
    per_domain: int,
    announcing: int = bench_membership.SERVERS_PER_HOST,
) -> dict[str, float]:
    """Run hosts twice: bytes counted, and processor time alone.

    :param announcing: backend servers that announce to each host.
    """
    counted, used = (
        virtual.run(
            bench_membership.measure(
                domains,
                per_domain,
                loaded=True,
                announcing=announcing,
                weighed=weighed,
            ),
        )
        for weighed in (True, False)
    )
    return {
        'messages': counted.messages,
        'ordinary_sent': counted.least_packets,
        'busiest_sent': counted.most_packets,
        'busiest_received': counted.most_received_packets,
        'processor': used.processor,
    }


if __name__ == '__main__':
    main()
