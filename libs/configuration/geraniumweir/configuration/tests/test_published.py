"""Documents that carry their own version: the highest one wins."""

from geraniumweir.common import ids
from geraniumweir.configuration import commands, state
from geraniumweir.wire.gen.configuration import ttypes
from hypothesis import given
from hypothesis import strategies as st


def _publish(
    machine: state.SystemState,
    index: int,
    version: int,
    document: bytes = b'',
) -> ttypes.PublishAnswer:
    command = commands.publish(ids.Version(version), document, 0)
    return commands.answers(machine.apply(index, command))[0].publish


def test_other_content_under_the_version_held_changes_nothing() -> None:
    """It is answered like a repeat and never read back."""
    machine = state.SystemState()
    assert _publish(machine, 1, 7, b'first').taken
    again = _publish(machine, 2, 7, b'other')
    assert (again.taken, again.version) == (False, 7)
    assert machine.published.newest().content() == b'first'


def test_snapshot_carries_the_document() -> None:
    """A recorder that jumps ahead by a snapshot has it."""
    machine = state.SystemState()
    _publish(machine, 1, 7, b'first')
    other = state.SystemState()
    other.restore(machine.snapshot(), 1)
    assert other.published.newest() == machine.published.newest()
    assert other.snapshot() == machine.snapshot()


def test_snapshot_of_an_older_build_has_none() -> None:
    """The fields are optional, so an older snapshot can be read."""
    machine = state.SystemState()
    machine.restore(state.SystemState().snapshot())
    assert machine.published.newest() is None


@given(st.lists(st.integers(min_value=0, max_value=9), min_size=1))
def test_newest_is_the_first_of_the_highest_version(
    versions: list[int],
) -> None:
    """Whatever the order and the repeats."""
    machine = state.SystemState()
    for index, version in enumerate(versions):
        _publish(machine, index + 1, version, str(index).encode())
    newest = machine.published.newest()
    assert newest.version == max(versions)
    assert newest.content() == str(versions.index(max(versions))).encode()
