"""Which change of the recorders comes next."""

from geraniumweir.common import ids
from geraniumweir.consensus import members
from geraniumweir.control import growing

_LONG = growing.LOST_SECONDS + 1


def _seat(
    name: str,
    silence: float = 0,
    *,
    voter: bool = True,
    domain: str = '',
) -> growing.Seat:
    member = members.Member(
        members.RecorderId(f'id-{name}'),
        ids.HostId(name),
        voter=voter,
    )
    return growing.Seat(member, ids.FailureDomain(domain or name), silence)


def _join(
    name: str,
    identity: str = '',
    domain: str = '',
) -> growing.Join:
    return growing.Join(
        ids.HostId(name),
        '',
        members.RecorderId(identity or f'id-{name}'),
        ids.FailureDomain(domain or name),
        0,
    )


_THREE = (_seat('a'), _seat('b'), _seat('c'))


def _add(name: str) -> growing.Add:
    return growing.Add(ids.HostId(name), '')


def _replace(name: str, lost: str) -> growing.Replace:
    return growing.Replace(ids.HostId(name), '', ids.HostId(lost))


def test_spare_host_follows_the_log() -> None:
    """It is ready the moment a voter is lost."""
    change = growing.decide(_THREE, (_join('d'),), 3)
    assert change == growing.Learn(ids.HostId('d'), '')
    seats = (*_THREE, _seat('d', voter=False))
    assert growing.decide(seats, (), 3) is None


def test_voters_grow_to_the_number_that_is_wanted() -> None:
    """The failure domain with the fewest voters comes first."""
    joins = (_join('d', domain='a'), _join('e', domain='x'))
    assert growing.decide(_THREE, joins, 5) == _add('e')


def test_lost_voter_is_replaced_by_a_new_host() -> None:
    """The longest lost one goes."""
    seats = (_seat('a'), _seat('b', _LONG), _seat('c', _LONG + 1))
    assert growing.decide(seats, (_join('d'),), 3) == _replace('d', 'c')


def test_lost_voter_is_replaced_by_a_learner_first() -> None:
    """It has the log already."""
    seats = (
        _seat('a'),
        _seat('b'),
        _seat('c', _LONG),
        _seat('e', voter=False),
    )
    assert growing.decide(seats, (_join('d'),), 3) == _replace('e', 'c')


def test_lost_voter_stays_while_nobody_can_take_its_place() -> None:
    """It may come back with its disk."""
    seats = (
        _seat('a'),
        _seat('b'),
        _seat('c', _LONG),
        _seat('d', _LONG, voter=False),
    )
    assert growing.decide(seats, (), 3) is None


def test_emptied_folder_is_taken_in_at_once() -> None:
    """Its old identity will never vote again."""
    join = _join('c', identity='new')
    seats = (_seat('a'), _seat('b'), _seat('c', 0.1))
    assert growing.decide(seats, (join, _join('d')), 3) == _add('c')


def test_learner_that_is_lost_for_long_is_dropped() -> None:
    """It was replaced by another host for good."""
    gone = growing.DROP_SECONDS + 1
    seats = (*_THREE, _seat('d', gone, voter=False))
    change = growing.decide(seats, (), 3)
    assert change == growing.Remove(ids.HostId('d'))


def test_replacement_that_was_interrupted_goes_on() -> None:
    """A new leader finds the learner and the lost voter."""
    seats = (
        _seat('a'),
        _seat('b'),
        _seat('c', _LONG),
        _seat('d', voter=False),
    )
    assert growing.decide(seats, (), 3) == _replace('d', 'c')
