"""Encoding of enrolments for other hosts.

Long lists are compressed: control hosts send them to hundreds of entry hosts
that start at the same time.
"""

import typing
import zlib

from geraniumweir.common import eventlog, ids
from geraniumweir.control import enrolments, logevents
from geraniumweir.wire import errors, framing
from geraniumweir.wire.gen.control import ttypes

_COMPRESSION_LEVEL = 1
# Largest list that is decompressed; 1,400 servers take 100 kB.
_MAX_UNPACKED_BYTES = 4 * 1024 * 1024


def pack(found: typing.Iterable[enrolments.Enrolment]) -> bytes:
    """Return a compressed list."""
    rows = [one.to_wire() for one in found]
    return zlib.compress(
        framing.encode(ttypes.Enrolled(rows)), _COMPRESSION_LEVEL
    )


def unpack(packed: bytes, sender: str) -> list[enrolments.Enrolment]:
    """Return the readable enrolments of a compressed list.

    :param sender: the host that it comes from, for the log.
    :returns: no enrolments if the list is malformed as a whole.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, _MAX_UNPACKED_BYTES)
        received = framing.decode(ttypes.Enrolled, content)
    except (zlib.error, errors.FrameError) as exc:
        eventlog.emit(
            logevents.SERVER_UNREADABLE, teller=sender, reason=str(exc)
        )
        return []
    return parse_readable(received.servers or (), sender)


def from_wire(found: ttypes.Enrolment) -> enrolments.Enrolment:
    """Return what a thrift struct describes.

    :raises ValueError: when the address or the state is malformed.
    """
    return enrolments.Enrolment(
        server_id=ids.ServerId(found.server_id),
        pool=ids.PoolName(found.pool),
        address=ids.parse_address(found.address),
        failure_domain=ids.FailureDomain(found.failure_domain),
        slots=found.slots,
        sequence=found.sequence,
        state=enrolments.State(found.state),
        silent=found.silent,
        models=tuple(found.models or ()),
        born=found.born or enrolments.UNKNOWN_START_MS,
        version=ids.SoftwareVersion(found.version or ''),
        cold=bool(found.cold),
    )


def parse_readable(
    received: typing.Iterable[ttypes.Enrolment],
    sender: str,
) -> list[enrolments.Enrolment]:
    """Return what structs describe; log and skip malformed ones.

    :param sender: the host or file that they come from, for the log.
    """
    found = []
    for one in received:
        try:
            found.append(from_wire(one))
        except (ValueError, TypeError, AttributeError) as exc:
            eventlog.emit(
                logevents.SERVER_UNREADABLE,
                teller=sender,
                reason=str(exc),
            )
    return found
