"""How often entry hosts ping their coordinator."""

# Two messages of about 150 bytes each, so 1.5 KB a second.
_MIN_SECONDS = 0.2
# Longest pause: a lost coordinator is found by the missed answer after it.
_MAX_SECONDS = 0.4
# With hundreds of entry hosts, pings take at most about this many messages a
# second of the coordinator, which handles them all in one thread.
_MAX_PER_SECOND = 750


def period_seconds(host_count: int) -> float:
    """Return the seconds between two pings of an entry host.

    :param host_count: number of entry hosts.

    >>> period_seconds(6), period_seconds(225), period_seconds(390)
    (0.2, 0.3, 0.4)
    """
    return min(max(host_count / _MAX_PER_SECOND, _MIN_SECONDS), _MAX_SECONDS)
