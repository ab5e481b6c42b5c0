"""Which change of the recorders is decided next."""

from geraniumweir.common import ids
from geraniumweir.consensus import members
from geraniumweir.control import recorder_changes

_LOST = recorder_changes.LOST_SECONDS + 1


def _seat(
    name: str,
    silence: float = 0,
    *,
    voter: bool = True,
    domain: str = '',
) -> recorder_changes.RecorderStatus:
    member = members.Member(
        members.RecorderId(f'id-{name}'),
        ids.HostId(name),
        voter=voter,
    )
    return recorder_changes.RecorderStatus(
        member, ids.FailureDomain(domain or name), silence
    )


def _join(
    name: str,
    identity: str = '',
    domain: str = '',
) -> recorder_changes.Join:
    return recorder_changes.Join(
        ids.HostId(name),
        '',
        members.RecorderId(identity or f'id-{name}'),
        ids.FailureDomain(domain or name),
        0,
    )


_THREE = (_seat('a'), _seat('b'), _seat('c'))


def _add(name: str) -> recorder_changes.Add:
    return recorder_changes.Add(ids.HostId(name), '')


def _replace(name: str, lost: str) -> recorder_changes.Replace:
    return recorder_changes.Replace(ids.HostId(name), '', ids.HostId(lost))


def test_spare_host_becomes_a_learner() -> None:
    """It can replace a voter as soon as one is lost."""
    change = recorder_changes.decide(_THREE, (_join('d'),), 3)
    assert change == recorder_changes.Learn(ids.HostId('d'), '')
    seats = (*_THREE, _seat('d', voter=False))
    assert recorder_changes.decide(seats, (), 3) is None


def test_voters_are_added_up_to_the_wanted_number() -> None:
    """The failure domain with the fewest voters comes first."""
    joins = (_join('d', domain='a'), _join('e', domain='x'))
    assert recorder_changes.decide(_THREE, joins, 5) == _add('e')


def test_lost_voter_is_replaced_by_a_new_host() -> None:
    """The one that was lost for longest is replaced."""
    seats = (_seat('a'), _seat('b', _LOST), _seat('c', _LOST + 1))
    assert recorder_changes.decide(seats, (_join('d'),), 3) == _replace(
        'd', 'c'
    )


def test_lost_voter_is_replaced_by_a_learner_first() -> None:
    """It has the log already."""
    seats = (
        _seat('a'),
        _seat('b'),
        _seat('c', _LOST),
        _seat('e', voter=False),
    )
    assert recorder_changes.decide(seats, (_join('d'),), 3) == _replace(
        'e', 'c'
    )


def test_lost_voter_stays_while_no_host_can_replace_it() -> None:
    """It may come back with its disk."""
    seats = (
        _seat('a'),
        _seat('b'),
        _seat('c', _LOST),
        _seat('d', _LOST, voter=False),
    )
    assert recorder_changes.decide(seats, (), 3) is None


def test_voter_with_an_emptied_folder_is_added_again_at_once() -> None:
    """Its old identity will never vote again."""
    join = _join('c', identity='new')
    seats = (_seat('a'), _seat('b'), _seat('c', 0.1))
    assert recorder_changes.decide(seats, (join, _join('d')), 3) == _add('c')


def test_learner_that_is_lost_for_long_is_removed() -> None:
    """It was replaced by another host permanently."""
    gone = recorder_changes.REMOVE_LEARNER_SECONDS + 1
    seats = (*_THREE, _seat('d', gone, voter=False))
    change = recorder_changes.decide(seats, (), 3)
    assert change == recorder_changes.Remove(ids.HostId('d'))


def test_interrupted_replacement_continues() -> None:
    """A new leader finds the learner and the lost voter."""
    seats = (
        _seat('a'),
        _seat('b'),
        _seat('c', _LOST),
        _seat('d', voter=False),
    )
    assert recorder_changes.decide(seats, (), 3) == _replace('d', 'c')
