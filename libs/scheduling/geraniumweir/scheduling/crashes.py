"""Handling of crashes of backend servers and of the requests they ran."""

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    fleet,
    deadline_granting,
    placement,
    progressing,
    deadline_records,
    requests,
    shedding,
    deadline_state,
)

_RECENT_SECONDS = 120.0
_SAME_MOMENT_SECONDS = 0.5


def crashed(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
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
        server.last_progress_at - _SAME_MOMENT_SECONDS,
    )
    fingerprints.extend(mark for at, mark in server.failures if at >= recent)
    server.failures.clear()
    for running in lost:
        progressing.remove_running(leader, running)
    newly_quarantined = leader.suspects.record_crash(fingerprints, leader.now())
    placement.refresh(leader, server)
    _refuse_quarantined(leader, set(newly_quarantined))
    for running in lost:
        deadline_granting.unpark(leader, running.slot_request.rule)


def synced(leader: deadline_state.DeadlineLeaderState) -> None:
    """Update the live servers and handle the crashes this shows."""
    for server in fleet.sync(leader):
        current = server.announcement.incarnation
        crashed(leader, server, ids.Incarnation(current - 1))
        fleet.readmit(leader, server)


def _refuse_quarantined(
    leader: deadline_state.DeadlineLeaderState,
    newly_quarantined: set[ids.Fingerprint],
) -> None:
    if not newly_quarantined:
        return
    for waiting in list(leader.waiting.values()):
        if waiting.slot_request.fingerprint in newly_quarantined:
            shedding.deny(
                leader,
                waiting,
                requests.DenialReason.quarantined,
            )
