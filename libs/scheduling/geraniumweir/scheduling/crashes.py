"""Takes crashes of backend servers and what they say of their requests."""

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
_SAME_MOMENT = 0.5


def crashed(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
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
    together = [running.slot_request.fingerprint for running in lost]
    recent = max(
        leader.now() - _RECENT_SECONDS,
        server.last_progress_at - _SAME_MOMENT,
    )
    together.extend(mark for at, mark in server.failures if at >= recent)
    server.failures.clear()
    for running in lost:
        progressing.remove_running(leader, running)
    condemned = leader.suspects.record_crash(together, leader.now())
    placement.refresh(leader, server)
    _refuse_condemned(leader, set(condemned))
    for running in lost:
        deadline_granting.unpark(leader, running.slot_request.rule)


def synced(leader: deadline_state.DeadlineLeaderState) -> None:
    """Follow the live servers and take the crashes that show."""
    for server in fleet.sync(leader):
        current = server.announcement.incarnation
        crashed(leader, server, ids.Incarnation(current - 1))
        fleet.readmit(leader, server)


def _refuse_condemned(
    leader: deadline_state.DeadlineLeaderState,
    condemned: set[ids.Fingerprint],
) -> None:
    if not condemned:
        return
    for waiting in list(leader.waiting.values()):
        if waiting.slot_request.fingerprint in condemned:
            shedding.deny(
                leader,
                waiting,
                requests.DenialReason.quarantined,
            )
