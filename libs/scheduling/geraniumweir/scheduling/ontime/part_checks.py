"""Refusals and trials of requests with parts that may crash servers.

See Also
========
geraniumweir.scheduling.part_evidence
"""

from geraniumweir.common import eventlog
from geraniumweir.scheduling import (
    crash_records,
    logevents,
    part_evidence,
    requests,
)
from geraniumweir.scheduling.ontime import records, state

_MS = 1000
_Verdict = part_evidence.Verdict


def verdict(
    leader: state.OnTimeLeaderState,
    slot_request: requests.SlotRequest,
    now: float,
) -> _Verdict:
    """Return what may be done with a request."""
    if not slot_request.parts or leader.parts.is_empty():
        return _Verdict.clear
    return leader.parts.verdict(slot_request.customer, slot_request.parts, now)


def denial(
    leader: state.OnTimeLeaderState,
    slot_request: requests.SlotRequest,
    now: float,
) -> requests.Denial | None:
    """Return the denial of a request that would crash its server."""
    if verdict(leader, slot_request, now) is not _Verdict.refused:
        return None
    leading = leader.parts.leading_parts(
        slot_request.customer, slot_request.parts, now
    )
    for part in leader.parts.refuse(leading, now):
        eventlog.emit(
            logevents.PART_REFUSED,
            part=f'{part:016x}',
            pool=leader.pool,
            crashes=len(leader.parts.crashes.counted(part, now)),
            customer=slot_request.customer,
        )
    seconds = leader.parts.retry_seconds(
        slot_request.customer, slot_request.parts, now
    )
    return requests.Denial(
        slot_request.request_id,
        requests.DenialReason.quarantined,
        int(seconds * _MS),
    )


def refuse_crashing(leader: state.OnTimeLeaderState, now: float) -> None:
    """Refuse waiting requests that would crash their servers."""
    if leader.parts.is_empty():
        return
    for waiting in list(leader.waiting.values()):
        denied = denial(leader, waiting.slot_request, now)
        if denied is not None:
            seconds = denied.retry_after_ms / _MS
            state.refuse(leader, waiting, denied.reason, seconds)


def must_wait(
    leader: state.OnTimeLeaderState,
    waiting: records.Waiting,
    now: float,
) -> bool:
    """Return whether another request tries the parts of a request."""
    found = verdict(leader, waiting.slot_request, now)
    return found in {_Verdict.waits, _Verdict.refused}


def record_grant(
    leader: state.OnTimeLeaderState,
    slot_request: requests.SlotRequest,
    now: float,
) -> None:
    """Record a request that is sent to a server, if it is a trial."""
    if verdict(leader, slot_request, now) is _Verdict.trial:
        leader.parts.begin_trial(
            slot_request.request_id,
            slot_request.customer,
            slot_request.parts,
            now,
        )


def record_begin(
    leader: state.OnTimeLeaderState,
    running: records.Running,
    now: float,
) -> None:
    """Record that an answer began: its parts crash no servers."""
    slot_request = running.slot_request
    for part in leader.parts.record_begin(
        running.start, slot_request.parts, now
    ):
        eventlog.emit(
            logevents.PART_CLEARED, part=f'{part:016x}', pool=leader.pool
        )
    leader.parts.end_trial(slot_request.request_id, slot_request.parts)


def record_end(
    leader: state.OnTimeLeaderState,
    running: records.Running,
    release: requests.Release,
) -> None:
    """Record the end of a request."""
    now = leader.now()
    slot_request = running.slot_request
    has_begun = (running.first_token, release.first_token) != (None, None)
    match release.outcome:
        case requests.Outcome.failed | requests.Outcome.crashed:
            broken = crash_records.Broken(
                slot_request.customer,
                slot_request.failure_domain,
                slot_request.parts,
                has_begun,
                running.granted_at,
            )
            leader.parts.record_break(running.start, broken, now)
        case requests.Outcome.done:
            leader.parts.crashes.record_answer(running.start, now)
        case _:
            # Says nothing about a crash.
            pass
    leader.parts.end_trial(slot_request.request_id, slot_request.parts)
