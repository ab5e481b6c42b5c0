"""A server that starts again under its id: which start is believed."""

import dataclasses

from geraniumweir.common import ids
from geraniumweir.control import enrolments
from geraniumweir.wire.gen.control import ttypes
from hypothesis import strategies as st
from hypothesis import stateful

_SERVER = ids.ServerId('s')
_HOSTS = (ids.HostId('a'), ids.HostId('b'), ids.HostId('c'))
_LEASE = 4.0
_STARTS = st.integers(1, 3)


def _report(
    born: int, sequence: int, **changes: object
) -> enrolments.Enrolment:
    said = enrolments.Enrolment(
        server_id=_SERVER,
        pool=ids.PoolName('pool'),
        address=ids.Address('10.0.0.1', 8080),
        failure_domain=ids.FailureDomain('x'),
        slots=4,
        sequence=sequence,
        born=born,
    )
    return dataclasses.replace(said, **changes)


def _table() -> enrolments.Enrolments:
    return enrolments.Enrolments(_HOSTS[0], _LEASE)


def test_later_start_replaces_one_that_left() -> None:
    """Its counts begin anew, and its leave was of the start before."""
    table = _table()
    leaving = enrolments.State.leaving
    table.report(_report(1, 90, state=leaving, slots=8), 0)
    assert table.report(_report(2, 1), 1)
    found = table.get(_SERVER)
    assert found == _report(2, 1)


def test_earlier_start_that_comes_late_changes_nothing() -> None:
    """Whatever its sequence."""
    table = _table()
    table.report(_report(2, 1), 0)
    assert not table.report(_report(1, 99), 1)
    late = _report(1, 99, state=enrolments.State.gone)
    assert not table.merge(late, 1, _HOSTS[1])
    assert table.get(_SERVER) == _report(2, 1)


def test_leave_ends_the_start_that_it_names() -> None:
    """One of the start before comes late, after the next one reported."""
    table = _table()
    table.report(_report(2, 1), 0)
    assert table.mark_gone(_SERVER, 1, 1) is None
    assert table.mark_gone(_SERVER, 1, 2) is not None
    assert table.report(_report(3, 1), 2)
    assert table.get(_SERVER).state is enrolments.State.ready


def test_first_report_that_comes_after_the_leave_brings_nobody_back() -> None:
    """A cut held it up; new work would reach a server that is going."""
    table, other = _table(), enrolments.Enrolments(_HOSTS[1], _LEASE)
    gone = table.mark_gone(_SERVER, 0, None)
    assert gone is not None
    other.merge(gone, 0, _HOSTS[0])
    for host in (table, other):
        host.report(_report(0, 1), 2)
        assert host.get(_SERVER).state is enrolments.State.gone
    assert table.report(_report(7, 1), 3)
    assert table.get(_SERVER).state is enrolments.State.ready


def test_start_outlasts_the_way_between_hosts() -> None:
    """Also what a control host keeps over a restart goes this way."""
    said = _report(1_800_000_000_000, 3)
    assert enrolments.from_wire(said.to_wire()) == said


def test_unreadable_entry_leaves_the_others() -> None:
    """Another host, or a file, holds one that makes no sense."""
    good = _report(1, 1).to_wire()
    bad = ttypes.Enrolment(server_id='t', address='nowhere', state=1)
    worse = ttypes.Enrolment()
    found = enrolments.parse_readable([bad, good, worse], 'b')
    assert found == [_report(1, 1)]


class Starts(stateful.RuleBasedStateMachine):
    """Three hosts agree on the last start, whatever comes late or is lost."""

    def __init__(self) -> None:
        """Start with hosts that know nothing."""
        super().__init__()
        self.now = float(0)
        self.tables = {
            host: enrolments.Enrolments(host, 5.0) for host in _HOSTS
        }
        self.newest = 0
        self.left: set[int] = set()

    @stateful.rule(
        host=st.sampled_from(_HOSTS),
        born=_STARTS,
        sequence=st.integers(0, 5),
        leaving=st.booleans(),
    )
    def report(
        self,
        host: ids.HostId,
        born: int,
        sequence: int,
        leaving: bool,
    ) -> None:
        """A report of some start reaches a host, in any order."""
        state = enrolments.State.ready
        if leaving:
            state = enrolments.State.leaving
            self.left.add(born)
        self.tables[host].report(_report(born, sequence, state=state), self.now)
        self.newest = max(self.newest, born)

    @stateful.rule(host=st.sampled_from(_HOSTS), born=_STARTS)
    def leave(self, host: ids.HostId, born: int) -> None:
        """A farewell of some start reaches a host."""
        if self.tables[host].mark_gone(_SERVER, self.now, born):
            self.left.add(born)
            self.newest = max(self.newest, born)

    @stateful.rule(
        teller=st.sampled_from(_HOSTS),
        hearer=st.sampled_from(_HOSTS),
    )
    def tell(self, teller: ids.HostId, hearer: ids.HostId) -> None:
        """One tells another; others may be cut off meanwhile."""
        for found in self.tables[teller].known():
            self.tables[hearer].merge(found, self.now, teller)

    @stateful.rule(host=st.sampled_from(_HOSTS))
    def restart(self, host: ids.HostId) -> None:
        """A host starts again with what it kept."""
        kept = [found.to_wire() for found in self.tables[host].known()]
        table = enrolments.Enrolments(host, 5.0)
        for found in enrolments.parse_readable(kept, 'file'):
            table.merge(found, self.now, host)
        self.tables[host] = table

    @stateful.rule(seconds=st.floats(0, 2))
    def wait(self, seconds: float) -> None:
        """Time goes by; nobody is forgotten within the play."""
        self.now = min(self.now + seconds, enrolments.EVICT_SILENT_SECONDS)
        for table in self.tables.values():
            table.expire(self.now)

    @stateful.rule()
    def all_tell(self) -> None:
        """After all told all, they agree, and on the last start."""
        for _ in _HOSTS:
            for teller in _HOSTS:
                for hearer in _HOSTS:
                    self.tell(teller, hearer)
        assert len({table.digest() for table in self.tables.values()}) == 1
        for table in self.tables.values():
            self._check(table.get(_SERVER))

    def _check(self, found: enrolments.Enrolment | None) -> None:
        if found is None:
            assert not self.newest
            return
        assert found.born == self.newest
        if found.state is not enrolments.State.ready:
            assert found.born in self.left


TestStarts = Starts.TestCase
