"""Headers between an entry host and one that dispatches a request for it.

The request keeps its method, target, headers and body, and the response its
status, headers and body. These headers are added on that hop only.
"""

import enum

import multidict

# The backend server that the request was granted, by its id.
SERVER = 'Geraniumweir-Relay-Server'
# What became of the request.
OUTCOME = 'Geraniumweir-Relay-Outcome'
# Hop-by-hop headers that end at a relay; RFC 9110, section 7.6.1.
_HOP_BY_HOP = frozenset(
    ('connection', 'keep-alive', 'transfer-encoding', 'te', 'upgrade')
)


class Outcome(enum.Enum):
    """What became of a request at a relay.

    :cvar answered: the response is the server's.
    :cvar declined: the relay did not try to send it.
    :cvar unreachable: the relay couldn't connect to the server either.
    :cvar failed: it was sent and may have run; no response came.
    """

    answered = 'answered'
    declined = 'declined'
    unreachable = 'unreachable'
    failed = 'failed'


def forwarded(
    headers: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    """Return the headers that are not of this hop."""
    excluded = _HOP_BY_HOP | {SERVER.lower(), OUTCOME.lower()}
    return multidict.CIMultiDict(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in excluded
    )
