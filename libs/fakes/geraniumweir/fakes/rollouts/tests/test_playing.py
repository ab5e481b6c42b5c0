"""Kinds of versions beside troubles, each within what it may get."""

import pytest
from geraniumweir.fakes.rollouts import main, versions
from geraniumweir.rollout import orders

# Troubles and seeds with which requests last until the old servers stop.
_LASTING = (
    (versions.Trouble.calm, 5110),
    (versions.Trouble.burst, 5110),
    (versions.Trouble.old_fails, 5115),
    (versions.Trouble.new_broken, 5115),
)
_BAD = [kind for kind in versions.Kind if kind is not versions.Kind.good]


@pytest.mark.parametrize('trouble', list(versions.Trouble))
def test_good_version_completes_in_time(trouble: versions.Trouble) -> None:
    """Nothing is refused for it."""
    for found in main.plays(versions.Kind.good, trouble, [1]):
        assert found.state is orders.State.completed, found
        assert found.ended <= 12, found
        assert not found.refused, found


@pytest.mark.parametrize('kind', _BAD)
def test_bad_version_gets_no_more_than_it_may(kind: versions.Kind) -> None:
    """And nothing long after its 50th bad answer."""
    for trouble in (versions.Trouble.old_fails, versions.Trouble.takeover):
        for found in main.plays(kind, trouble, [1]):
            assert found.exposure <= 0.1 * found.requests + 50, found
            assert not found.after, found


def test_version_that_fails_at_full_servers_is_found_in_time() -> None:
    """Its few bad answers come where canaries of several routes rarely are."""
    calm = versions.Trouble.calm
    for found in main.plays(versions.Kind.loaded, calm, [206]):
        assert found.exposure <= 0.1 * found.requests + 50, found


def test_good_version_with_a_broken_server_completes() -> None:
    """Two slow answers of another server don't make it a bad one."""
    broken = versions.Trouble.new_broken
    for found in main.plays(versions.Kind.good, broken, [201]):
        assert found.state is orders.State.completed, found


@pytest.mark.parametrize(('trouble', 'seed'), _LASTING)
def test_no_request_runs_on_old_servers_when_these_stop(
    trouble: versions.Trouble, seed: int
) -> None:
    """It has ended, or moved to another server."""
    for found in main.plays(versions.Kind.good, trouble, [seed]):
        assert found.state is orders.State.completed, found
        assert found.ended <= 12, found
        assert not found.lost, found
        assert not found.refused, found


@pytest.mark.parametrize('seed', [5101, 5103, 5110, 5115])
def test_new_coordinator_takes_nothing_known_for_nothing_running(
    seed: int,
) -> None:
    """It takes over when requests run on old servers."""
    takeover = versions.Trouble.takeover
    for found in main.plays(versions.Kind.good, takeover, [seed]):
        assert found.ended <= 12, found
        assert not found.lost, found
