"""What further failure domains cost the delegates of large ones.

A delegate serves the hosts of its domain that follow it, so its cost grows
with both; here four domains stand beside one.
"""

from geraniumweir.fakes.slopes import membership, results

_HOSTS = (6, 12, 18, 23)
_DOMAINS = 4


def main() -> None:
    """Measure and print."""
    one = {size: membership.costs(1, size) for size in _HOSTS}
    four = {size: membership.costs(_DOMAINS, size) for size in _HOSTS}
    results.write(
        results.columns('delegates.one', 'hosts', membership.UNITS, one)
        + results.columns('delegates.four', 'hosts', membership.UNITS, four),
    )


if __name__ == '__main__':
    main()
