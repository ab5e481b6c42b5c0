"""How often entry hosts ping their coordinator, or search for one."""

# Two messages of about 150 bytes each, so 1.5 KB a second.
_MIN_SECONDS = 0.2
# Longest pause: a lost coordinator is found by the missed answer after it.
_MAX_SECONDS = 0.4
# With hundreds of entry hosts, pings take at most about this many messages a
# second of the coordinator, which handles them all in one thread.
_MAX_PER_SECOND = 750
# While an election is awaited, each ping goes to all control hosts. They need
# their threads to elect a leader.
_MIN_SEARCH_SECONDS = 0.1
_MAX_SEARCH_SECONDS = 0.8
_MAX_SEARCHES_PER_SECOND = 375


def period_seconds(host_count: int) -> float:
    """Return the seconds between two pings of an entry host.

    :param host_count: number of entry hosts.

    >>> period_seconds(6), period_seconds(225), period_seconds(390)
    (0.2, 0.3, 0.4)
    """
    return min(max(host_count / _MAX_PER_SECOND, _MIN_SECONDS), _MAX_SECONDS)


def search_period_seconds(host_count: int) -> float:
    """Return the seconds between two searches while no host coordinates.

    :param host_count: number of entry hosts.

    >>> search_period_seconds(6), search_period_seconds(300)
    (0.1, 0.8)
    """
    period = max(host_count / _MAX_SEARCHES_PER_SECOND, _MIN_SEARCH_SECONDS)
    return min(period, _MAX_SEARCH_SECONDS)
