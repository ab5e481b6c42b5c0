"""What membership costs a host by the backend servers that announce to it."""

from geraniumweir.fakes import bench_membership
from geraniumweir.fakes.slopes import membership, results

_ANNOUNCING = (1, 4, 8, 12)


def main() -> None:
    """Measure and print."""
    rows = {
        size: membership.costs(1, bench_membership.LETTER_HOSTS, size)
        for size in _ANNOUNCING
    }
    results.write(
        results.columns('leases', 'servers', membership.UNITS, rows),
    )


if __name__ == '__main__':
    main()
