"""Encoding of suspects' cases as bytes, to be published to all entry hosts.

See Also
========
geraniumweir.scheduling.suspects
"""

import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import suspects, translation
from geraniumweir.wire import framing
from geraniumweir.wire.gen.scheduling import ttypes


def write(cases: typing.Iterable[suspects.Case]) -> bytes:
    """Return the encoded cases.

    >>> case = suspects.Case(ids.Fingerprint(7), 2, 1.0, 60.0, True)
    >>> read(write([case])) == [case]
    True
    """
    return framing.encode(ttypes.Cases(pack(cases)))


def pack(cases: typing.Iterable[suspects.Case]) -> list[ttypes.Case]:
    """Return the structs of cases."""
    return [
        ttypes.Case(
            translation.signed(case.fingerprint),
            case.crashes,
            float(case.score),
            float(case.seconds),
            case.quarantined,
            case.origin,
        )
        for case in cases
    ]


def read(payload: bytes) -> list[suspects.Case]:
    """Read cases.

    :raises geraniumweir.wire.errors.FrameError: when they can't be read.
    """
    return unpack(framing.decode(ttypes.Cases, payload).cases or ())


def unpack(cases: typing.Iterable[ttypes.Case]) -> list[suspects.Case]:
    """Read the structs of cases."""
    return [
        suspects.Case(
            ids.Fingerprint(translation.unsigned(case.fingerprint)),
            case.crashes,
            case.score,
            case.seconds,
            case.quarantined,
            case.origin or '',
        )
        for case in cases
    ]
