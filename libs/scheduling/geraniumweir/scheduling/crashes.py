"""Handling of crashes of backend servers and of the requests they ran."""

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
    """Handle the crash of an incarnation of a server.

    The requests that ran on it become suspects, and so do those that failed
    there since the server was last seen: owners notice a closed connection
    before the crash is known.

    :param incarnation: the newest that has ended; a repeat is ignored.
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
    newly_quarantined = leader.suspects.record_crash(fingerprints, leader.now())
    placement.refresh(leader, server)
    _refuse_quarantined(leader, set(newly_quarantined))
    for running in lost:
        granting.unpark(leader, running.slot_request.rule)


def synced(leader: state.LeaderState) -> None:
    """Update the live servers and handle the crashes this shows."""
    for server in fleet.sync(leader):
        current = server.announcement.incarnation
        crashed(leader, server, ids.Incarnation(current - 1))
        fleet.restarted(leader, server)


def _refuse_quarantined(
    leader: state.LeaderState,
    newly_quarantined: set[ids.Fingerprint],
) -> None:
    if not newly_quarantined:
        return
    for waiting in list(leader.waiting.values()):
        if waiting.slot_request.fingerprint in newly_quarantined:
            shedding.refuse(
                leader,
                waiting,
                requests.DenialReason.quarantined,
            )
