"""What membership costs a host by the number of failure domains."""

from geraniumweir.fakes import bench_membership
from geraniumweir.fakes.slopes import membership, results

_DOMAINS = (1, 2, 4, 8, 17)


def main() -> None:
    """Measure and print."""
    rows = {
        size: membership.costs(size, bench_membership.HOSTS_PER_DOMAIN)
        for size in _DOMAINS
    }
    results.write(
        results.columns('domains', 'domains', membership.UNITS, rows),
    )


if __name__ == '__main__':
    main()
