"""Adoption of grants of another leader, and release of those of lost hosts."""

import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    deadline_granting,
    deadline_records,
    deadline_state,
    estimating,
    fleet,
    progressing,
    requests,
    shedding,
    stragglers,
    waitlist,
)


def adopt(
    leader: deadline_state.DeadlineLeaderState, taken: requests.OpenGrant
) -> None:
    """Adopt a grant in use that another leader gave."""
    request_id = taken.slot_request.request_id
    if request_id in leader.running:
        return
    waiting = leader.waiting.get(request_id)
    if waiting is not None:
        waitlist.dequeue(leader, waiting)
        waitlist.cancel_reservation(leader, waiting)
        waiting.fut.set_result(taken.grant)
    running = _running(leader, taken)
    deadline_granting.count_running(leader, running)
    server_id = taken.grant.server_id
    server = leader.servers.get(server_id)
    if server is None:
        orphans = leader.orphans.setdefault(server_id, {})
        orphans[request_id] = running
    else:
        fleet.attach(leader, server, running)
        leader.prefixes.record_grant(server_id, taken.slot_request.blocks)


def owner_gone(
    leader: deadline_state.DeadlineLeaderState, owner: ids.HostId
) -> None:
    """Release the grants and deny the requests of a lost entry host."""
    for waiting in _of_owner(leader.waiting.values(), owner):
        shedding.deny(leader, waiting, requests.DenialReason.withdrawn)
    for running in _of_owner(leader.running.values(), owner):
        progressing.release(
            leader,
            requests.Release(
                running.slot_request.request_id,
                requests.Outcome.cancelled,
            ),
        )


_Owned = typing.TypeVar(
    '_Owned', deadline_records.Waiting, deadline_records.Running
)


def _of_owner(
    owned: typing.Iterable[_Owned],
    owner: ids.HostId,
) -> list[_Owned]:
    return [one for one in owned if one.slot_request.owner == owner]


def _running(
    leader: deadline_state.DeadlineLeaderState,
    taken: requests.OpenGrant,
) -> deadline_records.Running:
    expected = estimating.expected_length(leader.lengths, taken.slot_request)
    # Its progress until now is unknown, so it may run until its deadline
    # before it counts as stalled.
    left = max(taken.slot_request.deadline - leader.now(), 0)
    return deadline_records.Running(
        slot_request=taken.slot_request,
        grant=taken.grant,
        granted=leader.now() - taken.age,
        expected=expected,
        uncached=taken.slot_request.prompt_tokens,
        ahead=0,
        prefill=0,
        concurrent=1,
        cost=0,
        due=leader.now() + stragglers.stall_timeout(0) + left,
        first_token=taken.first_token,
        output_tokens=taken.output_tokens,
    )
