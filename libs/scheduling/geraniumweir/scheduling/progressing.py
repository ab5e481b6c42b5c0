"""Records progress and ends of granted requests, and samples from them."""

from geraniumweir.scheduling import (
    affinity,
    deadline_granting,
    deadline_records,
    deadline_state,
    estimating,
    fleet,
    placement,
    recent_usage,
    requests,
    stragglers,
    waitlist,
)

_STEPS_BETWEEN_REPORTS = 20


def progress(
    leader: deadline_state.DeadlineLeaderState, update: requests.Progress
) -> None:
    """Record the progress of a granted request."""
    running = leader.running.get(update.request_id)
    if running is None:
        return
    server = leader.servers.get(running.grant.server_id)
    if server is None:
        return
    advanced = update.output_tokens > running.output_tokens
    if update.first_token is not None and running.first_token is None:
        _record_first_token(leader, server, running, update.first_token)
        advanced = True
    if not advanced:
        return
    running.output_tokens = max(running.output_tokens, update.output_tokens)
    _record_progress(leader, server, running)


def release(
    leader: deadline_state.DeadlineLeaderState, ended: requests.Release
) -> None:
    """Release a grant and grant the free slot."""
    running = leader.running.get(ended.request_id)
    if running is None:
        return
    server = leader.servers.get(running.grant.server_id)
    remove_running(leader, running)
    if server is None:
        deadline_granting.unpark(leader, running.slot_request.rule)
        return
    _correct_charge(leader, running, ended.outcome)
    match ended.outcome:
        case requests.Outcome.done | requests.Outcome.answered_failure:
            _record_end(leader, server, running, ended)
        case (
            requests.Outcome.not_sent
            | requests.Outcome.turned_away
            | requests.Outcome.wrong_server
        ):
            server.health.stall(leader.now())
        case requests.Outcome.failed | requests.Outcome.crashed:
            _record_failure(leader, server, running)
        case (
            requests.Outcome.cancelled
            | requests.Outcome.preempted
            | requests.Outcome.given_up
        ):
            pass
    placement.refresh(leader, server)
    deadline_granting.unpark(leader, running.slot_request.rule)
    deadline_granting.fill(leader, server)


def _record_failure(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    running: deadline_records.Running,
) -> None:
    """Record that a server answered with an error or a truncated response."""
    now = leader.now()
    request_fingerprint = running.slot_request.fingerprint
    server.failures.append((now, request_fingerprint))
    server.health.record_failure(now)
    leader.suspects.record_incomplete(
        request_fingerprint, server.server_id, now
    )


def remove_running(
    leader: deadline_state.DeadlineLeaderState,
    running: deadline_records.Running,
) -> None:
    """Remove a grant from all counts."""
    slot_request = running.slot_request
    leader.running.pop(slot_request.request_id)
    leader.running_by_tier[slot_request.tier] -= 1
    leader.running_fingerprints[slot_request.fingerprint] -= 1
    if not leader.running_fingerprints[slot_request.fingerprint]:
        leader.running_fingerprints.pop(slot_request.fingerprint)
    leader.rules[slot_request.rule].running -= 1
    waitlist.discard_idle_rule(leader, slot_request.rule)
    orphans = leader.orphans.get(running.grant.server_id, {})
    orphans.pop(slot_request.request_id, None)
    server = leader.servers.get(running.grant.server_id)
    if server is not None:
        fleet.detach(leader, server, running)


def _record_first_token(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    running: deadline_records.Running,
    seconds: float,
) -> None:
    running.first_token = seconds
    affinity.end_warming(server, running)
    fleet.end_prefill(leader, server, running)
    rate = _rates(leader, server, running).prefill
    tokens = _tokens_before(running, rate)
    leader.speeds.add_prefill_sample(
        server.server_id,
        server.kind.hardware,
        running.slot_request.model,
        (seconds, tokens),
    )
    usual = leader.speeds.of_kind(
        server.kind.hardware, running.slot_request.model
    )
    server.limit.observe(seconds, usual.prefill * tokens, leader.now())
    server.health.record_duration(seconds, rate * tokens, leader.now())
    placement.refresh(leader, server)


def _tokens_before(running: deadline_records.Running, rate: float) -> float:
    """Return the tokens prefilled before a first token, the own included."""
    ahead = running.ahead / rate if rate else 0
    return running.uncached + ahead + estimating.FIXED_TOKENS


def _record_progress(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    running: deadline_records.Running,
) -> None:
    server.last_progress_at = leader.now()
    step = _rates(leader, server, running).decode * _STEPS_BETWEEN_REPORTS
    running.due = leader.now() + stragglers.stall_timeout(step)
    if running.stuck:
        running.stuck = False
        server.stuck -= 1
        deadline_granting.watch_progress(leader, running)
        placement.refresh(leader, server)


def _record_end(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    running: deadline_records.Running,
    ended: requests.Release,
) -> None:
    first_token = running.first_token or ended.first_token
    if first_token is None and not ended.output_tokens:
        first_token = ended.seconds
    if running.first_token is None and first_token is not None:
        running.first_token = first_token
        _sample_late_first_token(leader, server, running)
    if ended.output_tokens:
        slot_request = running.slot_request
        leader.lengths.add_sample(
            slot_request.rule, slot_request.customer, ended.output_tokens
        )
        _sample_decode(leader, server, running, ended)
    leader.suspects.record_completion(running.slot_request.fingerprint)
    server.last_progress_at = leader.now()
    server.health.record_success()


def _sample_late_first_token(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    running: deadline_records.Running,
) -> None:
    """Sample a first token that was only reported with the end."""
    rate = _rates(leader, server, running).prefill
    tokens = _tokens_before(running, rate)
    leader.speeds.add_prefill_sample(
        server.server_id,
        server.kind.hardware,
        running.slot_request.model,
        (running.first_token or 0, tokens),
    )


def _sample_decode(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    running: deadline_records.Running,
    ended: requests.Release,
) -> None:
    seconds = ended.seconds - (running.first_token or 0)
    steps = ended.output_tokens - 1
    if steps < 1 or seconds <= 0:
        return
    expected = _rates(leader, server, running).decode * steps
    leader.speeds.add_decode_sample(
        server.server_id,
        server.kind.hardware,
        running.slot_request.model,
        (seconds, steps),
    )
    usual = leader.speeds.of_kind(
        server.kind.hardware, running.slot_request.model
    )
    server.limit.observe(seconds, usual.decode * steps, leader.now())
    server.health.record_duration(seconds, expected, leader.now())


def _correct_charge(
    leader: deadline_state.DeadlineLeaderState,
    running: deadline_records.Running,
    outcome: requests.Outcome,
) -> None:
    """Charge the customer for the time used in place of the prediction."""
    used = leader.now() - running.granted
    if outcome in recent_usage.NOT_SERVED:
        used = 0
    slot_request = running.slot_request
    flow = (slot_request.tier, slot_request.customer)
    leader.queue.charge(flow, (used - running.cost) / slot_request.share)


def _rates(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    running: deadline_records.Running,
) -> estimating.Rates:
    return leader.speeds.of_server(
        server.server_id,
        server.kind.hardware,
        running.slot_request.model,
    )
