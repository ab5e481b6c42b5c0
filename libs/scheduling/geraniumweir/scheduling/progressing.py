"""Learns from how granted work goes on and ends."""

from geraniumweir.scheduling import (
    affinity,
    fleet,
    granting,
    learning,
    placement,
    recent_usage,
    records,
    requests,
    state,
    stragglers,
    waitlist,
)

_STEPS_BETWEEN_REPORTS = 20


def progress(leader: state.LeaderState, news: requests.Progress) -> None:
    """Take how granted work goes on."""
    running = leader.running.get(news.request_id)
    if running is None:
        return
    server = leader.servers.get(running.grant.server_id)
    if server is None:
        return
    moved = news.output_tokens > running.output_tokens
    if news.first_token is not None and running.first_token is None:
        _first_token(leader, server, running, news.first_token)
        moved = True
    if not moved:
        return
    running.output_tokens = max(running.output_tokens, news.output_tokens)
    _moves(leader, server, running)


def release(leader: state.LeaderState, ended: requests.Release) -> None:
    """Take back a grant and serve who waits."""
    running = leader.running.get(ended.request_id)
    if running is None:
        return
    server = leader.servers.get(running.grant.server_id)
    drop(leader, running)
    if server is None:
        granting.unpark(leader, running.slot_request.rule)
        return
    _correct_charge(leader, running, ended.outcome)
    match ended.outcome:
        case requests.Outcome.done | requests.Outcome.answered_failure:
            _learn_end(leader, server, running, ended)
        case (
            requests.Outcome.not_sent
            | requests.Outcome.turned_away
            | requests.Outcome.wrong_server
        ):
            server.health.stall(leader.now())
        case requests.Outcome.failed | requests.Outcome.crashed:
            _failed(leader, server, running)
        case (
            requests.Outcome.cancelled
            | requests.Outcome.preempted
            | requests.Outcome.given_up
        ):
            pass
    placement.refresh(leader, server)
    granting.unpark(leader, running.slot_request.rule)
    granting.fill(leader, server)


def _failed(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
) -> None:
    """Take that a server answered with an error or broke off."""
    now = leader.now()
    mark = running.slot_request.fingerprint
    server.failures.append((now, mark))
    server.health.failed(now)
    leader.suspects.record_incomplete(mark, server.server_id, now)


def drop(leader: state.LeaderState, running: records.Running) -> None:
    """Take a grant out of all counts."""
    slot_request = running.slot_request
    leader.running.pop(slot_request.request_id)
    leader.running_by_tier[slot_request.tier] -= 1
    leader.running_prints[slot_request.fingerprint] -= 1
    if not leader.running_prints[slot_request.fingerprint]:
        leader.running_prints.pop(slot_request.fingerprint)
    leader.rules[slot_request.rule].running -= 1
    waitlist.forget_idle_rule(leader, slot_request.rule)
    orphans = leader.orphans.get(running.grant.server_id, {})
    orphans.pop(slot_request.request_id, None)
    server = leader.servers.get(running.grant.server_id)
    if server is not None:
        fleet.detach(leader, server, running)


def _first_token(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
    seconds: float,
) -> None:
    running.first_token = seconds
    affinity.warmed(server, running)
    fleet.born(leader, server, running)
    rate = _rates(leader, server, running).prefill
    tokens = _tokens_before(running, rate)
    leader.speeds.learn_prefill(
        server.server_id,
        server.kind.hardware,
        running.slot_request.model,
        (seconds, tokens),
    )
    usual = leader.speeds.of_kind(
        server.kind.hardware, running.slot_request.model
    )
    server.limit.observe(seconds, usual.prefill * tokens, leader.now())
    server.health.compare(seconds, rate * tokens, leader.now())
    placement.refresh(leader, server)


def _tokens_before(running: records.Running, rate: float) -> float:
    """Give the tokens prefilled before a first token, its own included."""
    ahead = running.ahead / rate if rate else 0
    return running.uncached + ahead + learning.FIXED_TOKENS


def _moves(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
) -> None:
    server.last_good = leader.now()
    step = _rates(leader, server, running).decode * _STEPS_BETWEEN_REPORTS
    running.due = leader.now() + stragglers.patience(step)
    if running.stuck:
        running.stuck = False
        server.stuck -= 1
        granting.watch_progress(leader, running)
        placement.refresh(leader, server)


def _learn_end(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
    ended: requests.Release,
) -> None:
    first_token = running.first_token or ended.first_token
    if first_token is None and not ended.output_tokens:
        first_token = ended.seconds
    if running.first_token is None and first_token is not None:
        running.first_token = first_token
        _learn_late_first_token(leader, server, running)
    if ended.output_tokens:
        slot_request = running.slot_request
        leader.lengths.learn(
            slot_request.rule, slot_request.customer, ended.output_tokens
        )
        _learn_decode(leader, server, running, ended)
    leader.suspects.record_success(running.slot_request.fingerprint)
    server.last_good = leader.now()
    server.health.good()


def _learn_late_first_token(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
) -> None:
    """Learn a first token that was heard of only at the end."""
    rate = _rates(leader, server, running).prefill
    tokens = _tokens_before(running, rate)
    leader.speeds.learn_prefill(
        server.server_id,
        server.kind.hardware,
        running.slot_request.model,
        (running.first_token or 0, tokens),
    )


def _learn_decode(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
    ended: requests.Release,
) -> None:
    seconds = ended.seconds - (running.first_token or 0)
    steps = ended.output_tokens - 1
    if steps < 1 or seconds <= 0:
        return
    expected = _rates(leader, server, running).decode * steps
    leader.speeds.learn_decode(
        server.server_id,
        server.kind.hardware,
        running.slot_request.model,
        (seconds, steps),
    )
    usual = leader.speeds.of_kind(
        server.kind.hardware, running.slot_request.model
    )
    server.limit.observe(seconds, usual.decode * steps, leader.now())
    server.health.compare(seconds, expected, leader.now())


def _correct_charge(
    leader: state.LeaderState,
    running: records.Running,
    outcome: requests.Outcome,
) -> None:
    """Charge the customer what was used in place of what was predicted."""
    used = leader.now() - running.granted
    if outcome in recent_usage.NOT_SERVED:
        used = 0
    slot_request = running.slot_request
    flow = (slot_request.tier, slot_request.customer)
    leader.queue.charge(flow, (used - running.cost) / slot_request.share)


def _rates(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
) -> learning.Rates:
    return leader.speeds.of_server(
        server.server_id,
        server.kind.hardware,
        running.slot_request.model,
    )
