"""Host cards: hosts as messages; fingerprints of rosters."""

import typing
import zlib

from geraniumweir.common import ids
from geraniumweir.membership import errors, hosts
from geraniumweir.wire.gen.membership import ttypes

_SIGN_BIT = 0x80000000
_MODULUS = 0x100000000
_MAX_NAME = 256


def write_host(host: hosts.Host) -> ttypes.HostCard:
    """Return the card of a host."""
    backend = host.backend_address
    return ttypes.HostCard(
        host_id=host.host_id,
        failure_domain=host.failure_domain,
        region=host.region,
        address=str(host.address),
        backend_address=None if backend is None else str(backend),
        incarnation=host.incarnation,
        roles=host.roles.value or None,
    )


def read_host(card: ttypes.HostCard) -> hosts.Host:
    """Return the host that a card describes.

    :raises errors.CardError: when a field is missing or invalid.
    """
    try:
        return _read(card)
    except (ValueError, TypeError, AttributeError) as exc:
        raise errors.CardError(f'unreadable host card: {exc}') from exc


def roster_hash(members: typing.Iterable[hosts.Host]) -> int:
    """Return a fingerprint of hosts that doesn't depend on their order.

    :returns: a signed 32-bit number, never 0.

    >>> roster_hash([]) == roster_hash(())
    True
    """
    lines = sorted(
        f'{host.host_id} {host.incarnation} {host.roles.value} {host.address}'
        for host in members
    )
    return signed_crc32('\n'.join(lines))


def signed_crc32(text: str) -> int:
    """Return the CRC-32 of a text as a signed 32-bit number, never 0.

    >>> signed_crc32('')
    1
    """
    crc = zlib.crc32(text.encode()) or 1
    return crc - _MODULUS if crc >= _SIGN_BIT else crc


def _read(card: ttypes.HostCard) -> hosts.Host:
    names = (card.host_id, card.failure_domain, card.region)
    if any(not name or len(name) > _MAX_NAME for name in names):
        raise ValueError('an empty or overlong name')
    backend = card.backend_address
    return hosts.Host(
        host_id=ids.HostId(card.host_id),
        failure_domain=ids.FailureDomain(card.failure_domain),
        region=ids.Region(card.region),
        address=ids.parse_address(card.address),
        incarnation=ids.Incarnation(int(card.incarnation)),
        backend_address=ids.parse_address(backend) if backend else None,
        roles=hosts.Role(card.roles or 0),
    )
