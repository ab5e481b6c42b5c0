"""Differential test of the state machine against plain dicts."""

import typing

import hypothesis
import pytest
from geraniumweir.configuration import claimtable, commands, errors, state
from geraniumweir.wire import framing
from geraniumweir.wire.gen.configuration import ttypes
from hypothesis import stateful, strategies

_BOUNDS = state.Bounds(
    answers=6,
    claims=claimtable.Bounds(
        most=4,
        longest_ms=100,
        shortest_ms=20,
        longest_ttl_ms=50,
    ),
)
_NAMES = strategies.sampled_from(('a', 'b', 'c', 'd', 'e', 'f'))
_REQUESTS = strategies.sampled_from(('r1', 'r2', 'r3'))


class _Model:
    """The slow, obvious version."""

    def __init__(self) -> None:
        self.now = 0
        self.documents: list[bytes] = []
        self.first_answers: dict[str, tuple[bool, int]] = {}
        self.claims: dict[str, dict[str, typing.Any]] = {}

    def pass_time(self, at_ms: int) -> None:
        self.now = max(self.now, at_ms)
        running_out = sorted(
            (claim['until'], key)
            for key, claim in self.claims.items()
            if claim['state'] == 'running' and claim['until'] <= self.now
        )
        for _, key in running_out:
            self._end(key, 'unknown')
        for key, claim in list(self.claims.items()):
            if claim['state'] != 'running' and claim['ended'] <= self.now - 100:
                self.claims.pop(key)

    def change(self, change_id: str, base: int, text: bytes) -> typing.Any:
        known = self.first_answers.get(change_id)
        if known is not None:
            return known
        is_accepted = base == len(self.documents)
        if is_accepted:
            self.documents.append(text)
        self.first_answers[change_id] = (is_accepted, len(self.documents))
        while len(self.first_answers) > 6:
            self.first_answers.pop(next(iter(self.first_answers)))
        return is_accepted, len(self.documents)

    def claim(self, key: str, request_id: str, print_: int, ttl: int) -> str:
        if key not in self.claims:
            if len(self.claims) >= 4 and not self._evict():
                return 'full'
            self.claims[key] = {
                'request_id': request_id,
                'fingerprint': print_,
                'state': 'running',
                'until': self.now + min(ttl, 50),
            }
            return 'granted'
        known = self.claims[key]
        if known['fingerprint'] != print_:
            return 'key_reused'
        if known['state'] == 'running' and known['request_id'] == request_id:
            return 'granted'
        return str(known['state'])

    def finish(self, key: str, request_id: str, outcome: str) -> bool:
        known = self.claims.get(key)
        if known is None or known['request_id'] != request_id:
            return False
        if outcome == 'not_run':
            if known['state'] != 'done':
                self.claims.pop(key)
        elif known['state'] == 'running':
            self._end(key, outcome)
        elif outcome == 'done':
            known['state'] = 'done'
        return True

    def _end(self, key: str, how: str) -> None:
        """End a claim; the dict's order is the order of the ends."""
        claim = self.claims.pop(key)
        self.claims[key] = claim | {'state': how, 'ended': self.now}

    def _evict(self) -> bool:
        ended = [
            (claim['ended'], key)
            for key, claim in self.claims.items()
            if claim['state'] != 'running' and claim['ended'] <= self.now - 20
        ]
        if not ended:
            return False
        oldest = min(ended)[0]
        # Of claims that ended in one moment the log's order decides.
        self.claims.pop(next(key for end, key in ended if end == oldest))
        return True


class StateMachineTest(stateful.RuleBasedStateMachine):
    """Racing changes, resends and claims, with snapshots between."""

    def __init__(self) -> None:
        """Start both versions empty."""
        super().__init__()
        self.state = state.SystemState(_BOUNDS)
        self.log: list[bytes] = []
        self.model = _Model()

    @stateful.rule(
        change_id=_NAMES | strategies.uuids().map(str),
        behind=strategies.integers(-1, 1),
        at_ms=strategies.integers(0, 300),
    )
    def change(self, change_id: str, behind: int, at_ms: int) -> None:
        """Propose a change on the version in force, or beside it."""
        base = len(self.model.documents) - behind
        text = f'{change_id} {base}'
        command = commands.change(change_id, base, text, at_ms)
        answer = self._apply(command, at_ms)[0].change
        expected = self.model.change(change_id, base, text.encode())
        assert (answer.accepted, answer.version) == expected

    @stateful.rule(
        wanted=strategies.lists(
            strategies.tuples(
                _NAMES,
                _REQUESTS,
                strategies.integers(0, 1),
                strategies.integers(1, 80),
            ),
            max_size=4,
        ),
        later=strategies.integers(-30, 30),
    )
    def claim(
        self,
        wanted: list[tuple[str, str, int, int]],
        later: int,
    ) -> None:
        """Claim keys, many in one command."""
        steps = [
            ttypes.Step(claim=ttypes.Claim('c', key, req, print_, 'h', ttl))
            for key, req, print_, ttl in wanted
        ]
        at_ms = self.model.now + later
        found = self._apply(commands.build(steps, at_ms), at_ms)
        results = [claimtable.Result(one.claim.result).name for one in found]
        assert results == [self.model.claim(*claim) for claim in wanted]

    @stateful.rule(
        key=_NAMES,
        request_id=_REQUESTS,
        outcome=strategies.sampled_from(claimtable.Outcome),
    )
    def finish(
        self,
        key: str,
        request_id: str,
        outcome: claimtable.Outcome,
    ) -> None:
        """End a claim, also one that is another's or none."""
        step = ttypes.Step(finish=ttypes.Finish('c', key, request_id, outcome))
        found = self._apply(commands.build([step], 0), 0)
        expected = self.model.finish(key, request_id, outcome.name)
        assert found[0].finish.known == expected

    @stateful.rule()
    def restart(self) -> None:
        """Go on from a snapshot."""
        snapshot = self.state.snapshot()
        self.state = state.SystemState(_BOUNDS)
        self.state.restore(snapshot, len(self.log))
        assert self.state.snapshot() == snapshot

    @stateful.invariant()
    def newest_is_the_last_accepted(self) -> None:
        """No accepted change is lost and no older version comes back."""
        texts = self.model.documents
        history = self.state.history()
        kept = [one.version for one in history]
        assert kept == list(range(1, len(texts) + 1))
        assert [one.text().encode() for one in history] == texts

    def teardown(self) -> None:
        """Replaying the whole log gives the same bytes."""
        replayed = state.SystemState(_BOUNDS)
        for index, command in enumerate(self.log, start=1):
            replayed.apply(index, command)
        assert replayed.snapshot() == self.state.snapshot()

    def _apply(self, command: bytes, at_ms: int) -> list[ttypes.StepAnswer]:
        self.log.append(command)
        self.model.pass_time(at_ms)
        return commands.answers(self.state.apply(len(self.log), command))


TestStateMachine = StateMachineTest.TestCase
TestStateMachine.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)


def test_repeat_gets_the_first_answer_hundreds_of_changes_later() -> None:
    """A resend is answered from memory, with its default bound."""
    machine = state.SystemState()
    for number in range(600):
        machine.apply(number + 1, commands.change(f'c{number}', number, 'x', 0))
    again = commands.change('c3', 3, 'x', 0)
    answer = commands.answers(machine.apply(601, again))[0].change
    assert (answer.accepted, answer.version) == (True, 4)
    assert machine.newest().version == 600


def test_full_table_refuses_and_keeps_what_runs() -> None:
    """Past the bound a new claim is refused; a running one stays."""
    bounds = state.Bounds(claims=claimtable.Bounds(most=2))
    machine = state.SystemState(bounds)

    def claim(key: str, request_id: str) -> claimtable.Result:
        asked = ttypes.Claim('c', key, request_id, 1, 'h', 1000)
        command = commands.build([ttypes.Step(claim=asked)], 0)
        found = commands.answers(machine.apply(1, command))
        return claimtable.Result(found[0].claim.result)

    assert claim('a', 'r1') is claimtable.Result.granted
    assert claim('b', 'r2') is claimtable.Result.granted
    assert claim('d', 'r3') is claimtable.Result.full
    assert claim('a', 'r4') is claimtable.Result.running


def test_new_issuer_waits_out_the_longest_lease() -> None:
    """Numbers grow; only a change of issuer must wait."""
    machine = state.SystemState()

    def reserve(issuer: str, lease_ms: int) -> tuple[int, int]:
        command = commands.reserve_fence(issuer, lease_ms, 0)
        fence = commands.answers(machine.apply(1, command))[0].fence
        return fence.number, fence.wait_ms

    assert reserve('one', 500) == (1, 0)
    assert reserve('one', 500) == (2, 0)
    assert reserve('two', 100) == (3, 500)
    assert reserve('three', 100) == (4, 500)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(strategies.binary(max_size=60))
def test_garbage_changes_nothing(garbage: bytes) -> None:
    """Bytes that are no command can't stop or change the recorders."""
    machine = state.SystemState()
    before = machine.snapshot()
    answer = machine.apply(1, garbage)
    if framing.decode(ttypes.CommandAnswer, answer).invalid:
        assert machine.snapshot() == before
    with pytest.raises(errors.SnapshotError):
        machine.restore(garbage)
