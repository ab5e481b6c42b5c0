"""Orders to roll out in the replicated log."""

from geraniumweir.common import ids
from geraniumweir.configuration import commands, rollouts, state
from geraniumweir.rollout import orders
from geraniumweir.wire.gen.configuration import ttypes
from hypothesis import given
from hypothesis import strategies as st

_POOL = ids.PoolName('p')
_AGAIN_MS = 10_000


def _order(
    machine: state.SystemState,
    to: str,
    at_ms: int = 0,
) -> rollouts.Result:
    version = ids.SoftwareVersion(to)
    command = commands.order_rollout(_POOL, version, 12_000, _AGAIN_MS, at_ms)
    answer = machine.apply(machine.applied + 1, command)
    return rollouts.Result(commands.answers(answer)[0].rollout.result)


def _note(
    machine: state.SystemState,
    phase: orders.Phase = orders.Phase.canary,
    found: orders.State = orders.State.running,
    exposure: int = 0,
) -> bool:
    number = machine.rollouts.of_pool(_POOL).number
    note = ttypes.NoteRollout(number, phase, found, exposure, 0, 'why', 0)
    command = commands.note_rollout(note, 0)
    answer = machine.apply(machine.applied + 1, command)
    return commands.answers(answer)[0].note.taken


def test_order_that_comes_again_is_known() -> None:
    """Its answer was lost; it is acknowledged and changes nothing."""
    machine = state.SystemState()
    assert _order(machine, 'v2') is rollouts.Result.taken
    before = machine.snapshot()
    assert _order(machine, 'v2') is rollouts.Result.known
    assert machine.snapshot() == before


def test_order_that_comes_again_after_the_end_is_known() -> None:
    """Also where the version was rolled back meanwhile."""
    machine = state.SystemState()
    _order(machine, 'v2')
    _note(machine, found=orders.State.rolled_back)
    assert _order(machine, 'v2', _AGAIN_MS) is rollouts.Result.known


def test_version_that_was_rolled_back_may_be_ordered_later() -> None:
    """It is a new order then."""
    machine = state.SystemState()
    _order(machine, 'v2')
    _note(machine, found=orders.State.rolled_back)
    assert _order(machine, 'v2', _AGAIN_MS + 1) is rollouts.Result.taken
    assert machine.rollouts.of_pool(_POOL).state is orders.State.running


def test_another_version_waits_for_the_end() -> None:
    """Nothing changes; after the end it is taken."""
    machine = state.SystemState()
    _order(machine, 'v2')
    assert _order(machine, 'v3') is rollouts.Result.another_runs
    assert machine.rollouts.of_pool(_POOL).to == 'v2'
    _note(machine, found=orders.State.completed)
    assert _order(machine, 'v3') is rollouts.Result.taken


def test_note_of_an_ended_rollout_changes_nothing() -> None:
    """A coordinator that was replaced may still send one."""
    machine = state.SystemState()
    _order(machine, 'v2')
    assert _note(machine, found=orders.State.rolled_back)
    assert not _note(machine, found=orders.State.completed)
    assert machine.rollouts.of_pool(_POOL).state is orders.State.rolled_back


@given(st.lists(st.sampled_from(list(orders.Phase)), min_size=1))
def test_snapshot_carries_rollouts_and_progress_grows(
    phases: list[orders.Phase],
) -> None:
    """Whatever the order in which notes come."""
    machine = state.SystemState()
    _order(machine, 'v2')
    told = rollouts.progress(machine.rollouts.known())
    for number, phase in enumerate(phases):
        _note(machine, phase, exposure=number)
        now = rollouts.progress(machine.rollouts.known())
        assert now >= told
        told = now
    other = state.SystemState()
    other.restore(machine.snapshot(), machine.applied)
    assert other.rollouts.known() == machine.rollouts.known()
    assert other.snapshot() == machine.snapshot()
