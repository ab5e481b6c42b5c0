"""Ids and small value types that cross library borders.

Each id is a distinct type to the type checker and a plain string or integer
at run time, so it goes into messages and logs as it is.
"""

import dataclasses
import enum
import ipaddress
import typing

HostId = typing.NewType('HostId', str)
FailureDomain = typing.NewType('FailureDomain', str)
Region = typing.NewType('Region', str)
CustomerName = typing.NewType('CustomerName', str)
PoolName = typing.NewType('PoolName', str)
RuleName = typing.NewType('RuleName', str)
ServerId = typing.NewType('ServerId', str)
RequestId = typing.NewType('RequestId', str)
ChangeId = typing.NewType('ChangeId', str)
Fingerprint = typing.NewType('Fingerprint', int)
BlockHash = typing.NewType('BlockHash', int)
Version = typing.NewType('Version', int)
Incarnation = typing.NewType('Incarnation', int)
# Of what a backend server runs, as its operator names it.
SoftwareVersion = typing.NewType('SoftwareVersion', str)
StreamKey = typing.NewType('StreamKey', int)
CustomerKey = typing.NewType('CustomerKey', int)
# Of a part of a prompt, whatever parts stand before it.
PromptPart = typing.NewType('PromptPart', int)

_MAX_PORT = 65535


class Tier(enum.IntEnum):
    """Importance of a request; the smallest number is served first."""

    urgent = 0
    high = 1
    normal = 2
    low = 3


class Ran(enum.Enum):
    """Whether any byte of a call can have reached a backend server."""

    yes = 'yes'
    no = 'no'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and a port.

    >>> parse_address('127.0.0.1:80').port
    80
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Write the address the way settings and messages hold it."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Read ``IP:PORT``.

    :param text: the address; IPv6 in square brackets.
    :raises ValueError: when it is no IP number with a port.

    >>> str(parse_address('[::1]:8080'))
    '[::1]:8080'
    >>> parse_address('localhost:80')
    Traceback (most recent call last):
    ...
    ValueError: 'localhost:80' is not IP:PORT with a numeric IP address
    """
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(_not_an_address(text)) from None
    if not port.isascii() or not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError(_not_an_address(text))
    return Address(host, int(port))


def _not_an_address(text: typing.Any) -> str:
    return f'{text!r} is not IP:PORT with a numeric IP address'
