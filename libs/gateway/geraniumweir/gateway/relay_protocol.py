"""Headers between an entry host and one that dispatches a request for it.

The request keeps its method, target, headers and body, and the response its
status, headers and body. These headers are added on that hop only.
"""

import enum
import re
import typing

import multidict

# The backend server that the request was granted, by its id.
SERVER = 'Geraniumweir-Relay-Server'
# Number of this sending of the request to a server, from 1.
SENDING = 'Geraniumweir-Relay-Sending'
# What became of the request.
OUTCOME = 'Geraniumweir-Relay-Outcome'
# Hop-by-hop headers that end at a relay; RFC 9110, section 7.6.1.
_HOP_BY_HOP = frozenset(
    ('connection', 'keep-alive', 'transfer-encoding', 'te', 'upgrade')
)

_NUMBER = re.compile('[0-9]{1,9}', re.ASCII)
_OWN = frozenset(name.lower() for name in (SERVER, SENDING, OUTCOME))


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


def sending_of(headers: typing.Mapping[str, str]) -> int | None:
    """Return the number of the sending, 1 if none is stated.

    :returns: None if it is malformed.
    """
    text = headers.get(SENDING, '1')
    return int(text) if _NUMBER.fullmatch(text) else None


def forwarded(
    headers: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    """Return the headers that are not of this hop."""
    excluded = _HOP_BY_HOP | _OWN
    return multidict.CIMultiDict(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in excluded
    )
