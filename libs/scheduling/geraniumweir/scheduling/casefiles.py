"""Suspects' cases as bytes, to be spread to all entry hosts.

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
    """Write cases.

    >>> case = suspects.Case(ids.Fingerprint(7), 2, 1.0, 60.0, True)
    >>> read(write([case])) == [case]
    True
    """
    packed = [
        ttypes.Case(
            translation.signed(case.fingerprint),
            case.crashes,
            float(case.score),
            float(case.seconds),
            case.quarantined,
        )
        for case in cases
    ]
    return framing.encode(ttypes.Cases(packed))


def read(payload: bytes) -> list[suspects.Case]:
    """Read cases.

    :raises geraniumweir.wire.errors.FrameError: when they can't be read.
    """
    return [
        suspects.Case(
            ids.Fingerprint(translation.unsigned(case.fingerprint)),
            case.crashes,
            case.score,
            case.seconds,
            case.quarantined,
        )
        for case in framing.decode(ttypes.Cases, payload).cases or ()
    ]
