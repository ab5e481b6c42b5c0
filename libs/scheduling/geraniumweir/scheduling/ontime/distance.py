"""Preference for servers in the failure domain of the caller's entry host.

Load: equal servers in several failure domains. A request that is served in
another one takes two link delays longer, and its prompt and its answer cross
the border between them. Both count as seconds in which it holds a slot, up to a
fraction of the hold time. That isn't weighed by how scarce free slots are: as
servers fill up, room counts for more than distance, and a slow engine nearby
never goes before the last slot of a fast one far away.

The leader knows the domain of each request and of each server, and no state is
kept but an index of servers, which is made anew with each look-up of them.
"""

import itertools
import random
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import records

Index = typing.Mapping[ids.FailureDomain, typing.Sequence[records.Server]]

# One-way delay between failure domains, in seconds; 0.9 and 3.5 ms are known.
_LINK_SECONDS = 0.0035
# There and back.
_LINKS = 2
# Bytes of a prompt token, and of an answer's event with its frame.
_PROMPT_TOKEN_BYTES = 4
_EVENT_BYTES = 200
# What a byte between failure domains counts for, in seconds: an entry host with
# 5 Mbit/s carries some six requests at a time.
_SECONDS_PER_BYTE = 1e-5
# Upper bound of what a request saves, as a fraction of its hold time. With 0.67
# the last of six slots of a fast engine would cost as much as an empty engine
# in the caller's domain that takes 4.4 times as long; of seven slots, with
# 0.41.
_MAX_SAVED_FRACTION = 0.4
# Number of servers of the caller's domain that are looked at for free slots.
_MAX_NEARBY = 16


def index(servers: typing.Iterable[records.Server]) -> Index:
    """Return the servers by failure domain."""
    found: dict[ids.FailureDomain, list[records.Server]] = {}
    for server in servers:
        domain = server.announcement.failure_domain
        found.setdefault(domain, []).append(server)
    return found


def nearby(
    by_domain: Index,
    slot_request: requests.SlotRequest,
    rng: random.Random,
) -> list[records.Server]:
    """List some servers in a request's failure domain, from a random start.

    There are none where all servers are in one domain or the request's domain
    is unknown.
    """
    servers = by_domain.get(slot_request.failure_domain, ())
    if not servers or len(by_domain) == 1 or not slot_request.failure_domain:
        return []
    first = rng.randrange(len(servers))
    number = min(_MAX_NEARBY, len(servers))
    return list(
        itertools.islice(itertools.cycle(servers), first, first + number)
    )


def saved_fraction(
    waiting: records.Waiting,
    server: records.Server,
    hold_seconds: float,
) -> float:
    """Return what a server in the request's domain would save.

    :param hold_seconds: seconds for which the request holds a slot.
    :returns: fraction of the hold time; 0 for a server in the domain, or if one
        of the domains is unknown.
    """
    if not _crosses(waiting.slot_request, server) or hold_seconds <= 0:
        return 0
    crossing_bytes = (
        _PROMPT_TOKEN_BYTES * waiting.slot_request.prompt_tokens
        + _EVENT_BYTES * waiting.tokens
    )
    saved_seconds = _LINKS * _LINK_SECONDS + _SECONDS_PER_BYTE * crossing_bytes
    return min(saved_seconds / hold_seconds, _MAX_SAVED_FRACTION)


def count_crossing(servers: typing.Iterable[records.Server]) -> int:
    """Count the running requests that are served in another domain."""
    return sum(
        _crosses(one.slot_request, server)
        for server in servers
        for one in server.running.values()
    )


def _crosses(
    slot_request: requests.SlotRequest, server: records.Server
) -> bool:
    caller = slot_request.failure_domain
    domain = server.announcement.failure_domain
    return bool(caller and domain and caller != domain)
