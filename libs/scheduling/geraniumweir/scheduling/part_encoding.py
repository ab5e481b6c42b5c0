"""Encoding of crashes and of trials of prompt parts, for other control hosts.

See Also
========
geraniumweir.scheduling.part_evidence
"""

import binascii
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    crash_records,
    part_evidence,
    part_trials,
    translation,
)
from geraniumweir.wire.gen.scheduling import ttypes

Refused = typing.Iterable[part_evidence.RefusedPart]


def pack_crashes(
    crashes: typing.Iterable[crash_records.Crash], now: float
) -> list[ttypes.ServerCrash]:
    """Return the structs of crashes."""
    return [
        ttypes.ServerCrash(
            *crash.start,
            float(now - crash.at),
            crash.log_ratio,
            crash.confirmed,
            [
                ttypes.CrashedPart(translation.signed(part), sorted(customers))
                for part, customers in crash.parts.items()
            ],
            sorted(crash.domains),
            crash.unbegun,
            crash.left_out or None,
        )
        for crash in crashes
    ]


def unpack_crashes(
    crashes: typing.Iterable[ttypes.ServerCrash], now: float
) -> list[crash_records.Crash]:
    """Read the structs of crashes."""
    return [
        crash_records.Crash(
            (
                ids.ServerId(crash.server_id),
                ids.Incarnation(crash.incarnation),
            ),
            now - crash.age,
            crash.log_ratio,
            crash.confirmed,
            {
                ids.PromptPart(translation.unsigned(found.part)): frozenset(
                    map(ids.CustomerName, found.customers)
                )
                for found in crash.parts
            },
            set(map(ids.FailureDomain, crash.domains)),
            crash.unbegun,
            crash.left_out or 0,
        )
        for crash in crashes
    ]


def pack_refused(refused: Refused, now: float) -> list[ttypes.PartTrials]:
    """Return the structs of refused parts."""
    return [
        ttypes.PartTrials(
            translation.signed(found.part),
            float(found.trials.next_at - now),
            found.trials.crashed,
            found.trials.by_customer,
            sorted(found.customers),
        )
        for found in refused
    ]


def unpack_refused(
    structs: typing.Iterable[ttypes.PartTrials], now: float
) -> list[part_evidence.RefusedPart]:
    """Read the structs of refused parts."""
    return [
        part_evidence.RefusedPart(
            ids.PromptPart(translation.unsigned(one.part)),
            part_trials.Trials(
                next_at=now + one.next_in,
                crashed=one.crashed,
                by_customer=one.by_customer,
            ),
            frozenset(map(ids.CustomerName, one.customers)),
        )
        for one in structs
    ]


def digest(refused: Refused) -> int:
    """Return a number that differs, most likely, for other refused parts.

    >>> digest([])
    0
    """
    lines = sorted(
        f'{found.part} {found.trials.crashed} {sorted(found.customers)}'
        for found in refused
    )
    signed = binascii.crc32('\n'.join(lines).encode()).to_bytes(4, 'big')
    return int.from_bytes(signed, 'big', signed=True)
