"""Learns from how granted work goes on and ends."""

import typing

from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import (
    fleet,
    paths,
    records,
    rests,
    state,
    trying,
)

# Answers are about half as long as the most that callers allow them to be.
_USUAL_PART = 0.5
# The server worked on it for as long as the request takes.
ANSWERED: typing.Final = frozenset(
    (requests.Outcome.done, requests.Outcome.answered_failure),
)
# Lengths differ a hundredfold; their mean is over some ten answers.
_LENGTH_WEIGHT = 0.1


def expected_tokens(
    leader: state.LeaderState, slot_request: requests.SlotRequest
) -> float:
    """Give the output tokens to expect: as said, as usual, or half."""
    most = slot_request.max_tokens or float('inf')
    usual = leader.lengths.get(
        slot_request.rule, slot_request.max_tokens * _USUAL_PART
    )
    return min(slot_request.likely_tokens or usual, most)


def first_token(
    leader: state.LeaderState,
    running: records.Running,
    seconds: float,
) -> None:
    """Take that the first token came, so many seconds after the grant."""
    if running.first_token is not None:
        return
    running.first_token = seconds
    server = fleet.server_of(leader, running)
    if server is None:
        return
    trying.first_came(leader, server, running)
    server.unborn.pop(running.slot_request.request_id, None)
    server.last_sign = leader.now()
    server.last_good = server.last_sign
    leader.learnt.learn_first(server.speed, running.read_tokens, seconds)
    server.condition.good()


def ended(
    leader: state.LeaderState,
    running: records.Running,
    release: requests.Release,
) -> None:
    """Take how work ended."""
    server = fleet.server_of(leader, running)
    if server is None:
        return
    trying.ended(leader, server, running, release)
    now = leader.now()
    match release.outcome:
        case requests.Outcome.done:
            _note_path(leader, running, server, _was_held_up(running, release))
            _whole(leader, server, running, release)
            server.condition.answered(well=True)
            server.last_good = now
            leader.suspects.record_success(running.slot_request.fingerprint)
        case requests.Outcome.answered_failure:
            server.condition.answered(well=False)
        case requests.Outcome.not_sent:
            _note_path(leader, running, server, held_up=True)
            rests.note(server, rests.Cause.unreachable, now, running)
        case requests.Outcome.turned_away:
            rests.note(server, rests.Cause.turned_away, now, running)
        case requests.Outcome.wrong_server:
            fleet.replaced(leader, server)
        case requests.Outcome.failed | requests.Outcome.crashed:
            _broke_off(leader, running, server)
        case (
            requests.Outcome.cancelled
            | requests.Outcome.preempted
            | requests.Outcome.given_up
        ):
            # Their owners ended them, the server did nothing.
            pass


def _broke_off(
    leader: state.LeaderState,
    running: records.Running,
    server: records.Server,
) -> None:
    now = leader.now()
    _note_path(leader, running, server, held_up=True)
    rests.note(server, rests.Cause.broke_off, now, running)
    server.broken.append((now, running.slot_request.fingerprint))
    leader.suspects.record_incomplete(
        running.slot_request.fingerprint,
        server.server_id,
        now,
    )


def _note_path(
    leader: state.LeaderState,
    running: records.Running,
    server: records.Server,
    held_up: bool,
) -> None:
    leader.path_quality.note(
        running.slot_request.failure_domain,
        server.announcement.failure_domain,
        held_up=held_up,
        now=leader.now(),
    )


def _was_held_up(
    running: records.Running,
    release: requests.Release,
) -> bool:
    if release.first_token is None:
        return False
    late = release.first_token - running.predicted
    return paths.is_stall(release.longest_gap) or paths.is_stall(late)


def _whole(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
    release: requests.Release,
) -> None:
    if release.first_token is not None:
        first_token(leader, running, release.first_token)
    first = running.first_token or 0
    leader.learnt.learn_end(
        server.speed,
        release.output_tokens,
        release.seconds - first,
    )
    # Taken for the engine's, a pause of the path keeps long prompts off it.
    if release.longest_gap and not fleet.path_holds_up(
        leader,
        running,
        server,
    ):
        server.speed.learn_gaps(release.usual_gap, release.longest_gap)
    rule = running.slot_request.rule
    usual = leader.lengths.get(rule, release.output_tokens)
    change = (release.output_tokens - usual) * _LENGTH_WEIGHT
    leader.lengths[rule] = usual + change
