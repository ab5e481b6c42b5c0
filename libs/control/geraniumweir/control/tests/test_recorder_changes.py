"""Which change of the recorders comes next."""

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


def test_spare_host_follows_the_log() -> None:
    """It is ready the moment a voter is lost."""
    change = recorder_changes.decide(_THREE, (_join('d'),), 3)
    assert change == recorder_changes.Learn(ids.HostId('d'), '')
    seats = (*_THREE, _seat('d', voter=False))
    assert recorder_changes.decide(seats, (), 3) is None


def test_voters_grow_to_the_number_that_is_wanted() -> None:
    """The failure domain with the fewest voters comes first."""
    joins = (_join('d', domain='a'), _join('e', domain='x'))
    assert recorder_changes.decide(_THREE, joins, 5) == _add('e')


def test_lost_voter_is_replaced_by_a_new_host() -> None:
    """The longest lost one goes."""
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


def test_lost_voter_stays_while_nobody_can_take_its_place() -> None:
    """It may come back with its disk."""
    seats = (
        _seat('a'),
        _seat('b'),
        _seat('c', _LOST),
        _seat('d', _LOST, voter=False),
    )
    assert recorder_changes.decide(seats, (), 3) is None


def test_emptied_folder_is_taken_in_at_once() -> None:
    """Its old identity will never vote again."""
    join = _join('c', identity='new')
    seats = (_seat('a'), _seat('b'), _seat('c', 0.1))
    assert recorder_changes.decide(seats, (join, _join('d')), 3) == _add('c')


def test_learner_that_is_lost_for_long_is_dropped() -> None:
    """It was replaced by another host for good."""
    gone = recorder_changes.REMOVE_LEARNER_SECONDS + 1
    seats = (*_THREE, _seat('d', gone, voter=False))
    change = recorder_changes.decide(seats, (), 3)
    assert change == recorder_changes.Remove(ids.HostId('d'))


def test_replacement_that_was_interrupted_goes_on() -> None:
    """A new leader finds the learner and the lost voter."""
    seats = (
        _seat('a'),
        _seat('b'),
        _seat('c', _LOST),
        _seat('d', voter=False),
    )
    assert recorder_changes.decide(seats, (), 3) == _replace('d', 'c')
