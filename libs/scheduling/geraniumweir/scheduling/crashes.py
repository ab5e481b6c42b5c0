"""Takes crashes of backend servers and what they say of their requests."""

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    fleet,
    granting,
    placement,
    progressing,
    records,
    requests,
    shedding,
    state,
)

_RECENT_SECONDS = 120.0
_SAME_MOMENT_SECONDS = 0.5


def crashed(
    leader: state.LeaderState,
    server: records.Server,
    incarnation: ids.Incarnation,
) -> None:
    """Take that an incarnation of a server is gone.

    What ran on it is suspected, also what failed there since its last sign
    of life: owners see a broken connection sooner than the crash is known.

    :param incarnation: the newest that is gone; told again, it is ignored.
    """
    if incarnation <= server.crashed:
        return
    server.crashed = incarnation
    lost = [
        running
        for running in server.running.values()
        if running.grant.incarnation <= incarnation
    ]
    fingerprints = [running.slot_request.fingerprint for running in lost]
    recent = max(
        leader.now() - _RECENT_SECONDS,
        server.last_good - _SAME_MOMENT_SECONDS,
    )
    fingerprints.extend(mark for at, mark in server.failures if at >= recent)
    server.failures.clear()
    for running in lost:
        progressing.drop(leader, running)
    quarantined = leader.suspects.record_crash(fingerprints, leader.now())
    placement.refresh(leader, server)
    _refuse_quarantined(leader, set(quarantined))
    for running in lost:
        granting.unpark(leader, running.slot_request.rule)


def synced(leader: state.LeaderState) -> None:
    """Follow the live servers and take the crashes that show."""
    for server in fleet.sync(leader):
        current = server.announcement.incarnation
        crashed(leader, server, ids.Incarnation(current - 1))
        fleet.restarted(leader, server)


def _refuse_quarantined(
    leader: state.LeaderState,
    quarantined: set[ids.Fingerprint],
) -> None:
    if not quarantined:
        return
    for waiting in list(leader.waiting.values()):
        if waiting.slot_request.fingerprint in quarantined:
            shedding.refuse(
                leader,
                waiting,
                requests.DenialReason.quarantined,
            )
