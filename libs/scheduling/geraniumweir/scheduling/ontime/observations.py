"""Updates of the estimates from the progress and end of granted requests."""

import typing

from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import (
    canary_requests,
    cooldowns,
    fleet,
    part_checks,
    paths,
    records,
    state,
)

# Outputs are about half as long as the maximum that callers set.
_USUAL_LENGTH_RATIO = 0.5
# Outcomes for which the server worked on the request for its full duration.
ANSWERED: typing.Final = frozenset(
    (requests.Outcome.done, requests.Outcome.answered_failure),
)
# A request whose caller leaves counts as unanswered if it waited this many
# times as long as predicted.
_UNANSWERED_FACTOR = 8.0
# So many of them in a row show a hang; one may have been lost on its way.
_UNANSWERED_IN_ROW = 2
# Output lengths differ a hundredfold; their mean is over some ten responses.
_LENGTH_WEIGHT = 0.1


def expected_tokens(
    leader: state.OnTimeLeaderState, slot_request: requests.SlotRequest
) -> float:
    """Return the output tokens to expect.

    The caller's own estimate, or else the usual length for its rule, or else
    half of the maximum.
    """
    most = slot_request.max_tokens or float('inf')
    usual = leader.output_lengths.get(
        slot_request.rule, slot_request.max_tokens * _USUAL_LENGTH_RATIO
    )
    return min(slot_request.likely_tokens or usual, most)


def hold_time(
    leader: state.OnTimeLeaderState,
) -> typing.Callable[[requests.SlotRequest, float], float]:
    """Return a predictor of the time for which a request holds a slot.

    It takes the request and its expected output tokens, and predicts seconds
    on a usual server. Plain requests are equal.
    """
    pool = leader.estimates.pool
    fixed_seconds, seconds_per_token = pool.first_token_line.fit()
    seconds_per_output_token = leader.estimates.decode(pool)
    return lambda slot_request, tokens: (
        fixed_seconds
        + seconds_per_token * slot_request.prompt_tokens
        + seconds_per_output_token * tokens
    )


def record_first_token(
    leader: state.OnTimeLeaderState,
    running: records.Running,
    seconds: float,
) -> None:
    """Record that the first token came.

    :param seconds: from the grant to the first token.
    """
    if running.first_token is not None:
        return
    running.first_token = seconds
    part_checks.record_begin(leader, running, leader.now())
    server = fleet.server_of(leader, running)
    if server is None:
        return
    canary_requests.first_token_arrived(leader, server, running)
    server.prefilling.pop(running.slot_request.request_id, None)
    server.last_first_token_at = leader.now()
    server.last_success_at = server.last_first_token_at
    leader.estimates.add_first_token(server.speed, running.read_tokens, seconds)
    server.condition.record_success()


def record_unanswered(
    leader: state.OnTimeLeaderState,
    running: records.Running,
    outcome: requests.Outcome,
) -> None:
    """Record the end of a request whose caller left without an answer.

    Callers of short requests leave before these count as stuck, and new ones
    take their slots. So a server hangs, too, if it answers nothing while two
    requests in a row wait several times as long as predicted.
    """
    server = fleet.server_of(leader, running)
    if server is None or outcome is not requests.Outcome.cancelled:
        return
    now = leader.now()
    waited = now - running.granted_at
    if running.first_token is not None or (
        waited < running.predicted * _UNANSWERED_FACTOR
    ):
        return
    if server.last_success_at > running.granted_at:
        server.unanswered_in_row = 0
        return
    server.unanswered_in_row += 1
    if server.unanswered_in_row >= _UNANSWERED_IN_ROW:
        server.unanswered_in_row = 0
        cooldowns.record_fault(server, cooldowns.Cause.hung, now)


def record_end(
    leader: state.OnTimeLeaderState,
    running: records.Running,
    release: requests.Release,
) -> None:
    """Record the end of a granted request."""
    server = fleet.server_of(leader, running)
    if server is None:
        return
    canary_requests.answer_ended(leader, server, running, release)
    now = leader.now()
    match release.outcome:
        case requests.Outcome.done:
            _record_path(
                leader, running, server, _was_delayed(running, release)
            )
            _record_complete_response(leader, server, running, release)
            server.condition.record_answer(well=True)
            server.last_success_at = now
            leader.suspects.record_completion(running.slot_request.fingerprint)
        case requests.Outcome.answered_failure:
            server.condition.record_answer(well=False)
        case requests.Outcome.not_sent:
            _record_path(leader, running, server, delayed=True)
            cooldowns.record_fault(
                server, cooldowns.Cause.unreachable, now, running
            )
        case requests.Outcome.turned_away:
            _record_rejection(leader, running, server)
        case requests.Outcome.wrong_server:
            fleet.server_replaced(leader, server)
        case requests.Outcome.failed | requests.Outcome.crashed:
            _record_truncation(leader, running, server)
        case _:
            # Ended by their owners; that says nothing about the server.
            pass


def _record_rejection(
    leader: state.OnTimeLeaderState,
    running: records.Running,
    server: records.Server,
) -> None:
    now = leader.now()
    if server.rejection_budget is not None:
        server.rejection_budget.record(now)
    cooldowns.record_fault(server, cooldowns.Cause.turned_away, now, running)


def _record_truncation(
    leader: state.OnTimeLeaderState,
    running: records.Running,
    server: records.Server,
) -> None:
    now = leader.now()
    _record_path(leader, running, server, delayed=True)
    cooldowns.record_fault(server, cooldowns.Cause.broke_off, now, running)
    server.incomplete_answers.append((now, running.slot_request.fingerprint))
    leader.suspects.record_incomplete(
        running.slot_request.fingerprint,
        server.server_id,
        now,
    )


def _record_path(
    leader: state.OnTimeLeaderState,
    running: records.Running,
    server: records.Server,
    delayed: bool,
) -> None:
    leader.path_quality.record(
        running.slot_request.failure_domain,
        server.announcement.failure_domain,
        delayed=delayed,
        now=leader.now(),
    )


def _was_delayed(
    running: records.Running,
    release: requests.Release,
) -> bool:
    if release.first_token is None:
        return False
    late = release.first_token - running.predicted
    return paths.is_loss_pause(release.longest_gap) or paths.is_loss_pause(late)


def _record_complete_response(
    leader: state.OnTimeLeaderState,
    server: records.Server,
    running: records.Running,
    release: requests.Release,
) -> None:
    if release.first_token is not None:
        record_first_token(leader, running, release.first_token)
    if not running.slot_request.streams:
        held_seconds = leader.now() - running.granted_at
        leader.travel.record(held_seconds, release.seconds)
    first = running.first_token or 0
    leader.estimates.add_response(
        server.speed,
        release.output_tokens,
        release.seconds - first,
    )
    # A pause caused by the path must not count as one of the engine: it would
    # keep long prompts off the server.
    if release.longest_gap and not fleet.path_delays(
        leader,
        running,
        server,
    ):
        server.speed.add_gaps(release.usual_gap, release.longest_gap)
    rule = running.slot_request.rule
    usual = leader.output_lengths.get(rule, release.output_tokens)
    change = (release.output_tokens - usual) * _LENGTH_WEIGHT
    leader.output_lengths[rule] = usual + change
