"""Kinds of versions beside troubles, each within what it may get."""

import pytest
from geraniumweir.fakes.rollouts import main, versions
from geraniumweir.rollout import orders

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
