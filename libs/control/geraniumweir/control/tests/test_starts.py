"""Incarnations of a server under one id: which one counts."""

import dataclasses

from geraniumweir.common import ids
from geraniumweir.control import enrolment_codec, enrolments
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
    enrolment = enrolments.Enrolment(
        server_id=_SERVER,
        pool=ids.PoolName('pool'),
        address=ids.Address('10.0.0.1', 8080),
        failure_domain=ids.FailureDomain('x'),
        slots=4,
        sequence=sequence,
        born=born,
    )
    return dataclasses.replace(enrolment, **changes)


def _table() -> enrolments.Enrolments:
    return enrolments.Enrolments(_HOSTS[0], _LEASE)


def test_later_incarnation_replaces_one_that_left() -> None:
    """Its counts start anew, and its leave was of the earlier incarnation."""
    table = _table()
    leaving = enrolments.State.leaving
    table.report(_report(1, 90, state=leaving, slots=8), 0)
    assert table.report(_report(2, 1), 1)
    found = table.get(_SERVER)
    assert found == _report(2, 1)


def test_delayed_report_of_an_earlier_incarnation_changes_nothing() -> None:
    """Whatever its sequence."""
    table = _table()
    table.report(_report(2, 1), 0)
    assert not table.report(_report(1, 99), 1)
    late = _report(1, 99, state=enrolments.State.gone)
    assert not table.merge(late, 1, _HOSTS[1])
    assert table.get(_SERVER) == _report(2, 1)


def test_leave_ends_only_the_incarnation_that_it_names() -> None:
    """One of an earlier incarnation arrives after the next one's report."""
    table = _table()
    table.report(_report(2, 1), 0)
    assert table.mark_gone(_SERVER, 1, 1) is None
    assert table.mark_gone(_SERVER, 1, 2) is not None
    assert table.report(_report(3, 1), 2)
    assert table.get(_SERVER).state is enrolments.State.ready


def test_first_report_after_the_leave_does_not_bring_a_server_back() -> None:
    """A partition delayed it; new requests would reach a leaving server."""
    table, other = _table(), enrolments.Enrolments(_HOSTS[1], _LEASE)
    gone = table.mark_gone(_SERVER, 0, None)
    assert gone is not None
    other.merge(gone, 0, _HOSTS[0])
    for host in (table, other):
        host.report(_report(0, 1), 2)
        assert host.get(_SERVER).state is enrolments.State.gone
    assert table.report(_report(7, 1), 3)
    assert table.get(_SERVER).state is enrolments.State.ready


def test_later_incarnation_counts_its_sequence_from_the_start() -> None:
    """Its reports would be taken for old ones, and it would fall silent."""
    table = _table()
    table.report(_report(1, 1000), 0)
    table.report(_report(2, 1), 1)
    table.report(_report(2, 2), 1 + _LEASE)
    assert not table.expire(2 + _LEASE)
    assert table.get(_SERVER) == _report(2, 2)


def test_late_leave_told_to_an_entry_host_changes_nothing() -> None:
    """An answer of the earlier incarnation was on its way meanwhile."""
    table = _table()
    table.report(_report(2, 1), 0)
    assert table.mark_leaving(_SERVER, 1, 1) is None
    assert table.get(_SERVER) == _report(2, 1)


def test_silence_of_an_earlier_incarnation_is_not_taken_over() -> None:
    """Another control host marks it after the next one reported here."""
    table = _table()
    table.report(_report(2, 1), 0)
    silent = _report(1, 50, silent=True)
    assert not table.merge(silent, 1, _HOSTS[1])
    assert table.get(_SERVER) == _report(2, 1)


def test_later_incarnation_is_merged_over_a_silent_one() -> None:
    """It reported to another control host, with a lower sequence."""
    table = _table()
    table.report(_report(1, 1000), 0)
    assert table.expire(_LEASE + 1)
    assert table.merge(_report(2, 1), _LEASE + 2, _HOSTS[1])
    assert table.get(_SERVER) == _report(2, 1)


def test_delayed_report_does_not_keep_a_server_from_falling_silent() -> None:
    """Reports of the earlier incarnation say nothing about the later one."""
    table = _table()
    table.report(_report(2, 1), 0)
    table.report(_report(1, 99), _LEASE)
    assert [found.born for found in table.expire(_LEASE + 1)] == [2]


def test_incarnation_is_unchanged_by_encoding() -> None:
    """The file of a control host has the same form."""
    enrolment = _report(1_800_000_000_000, 3)
    assert enrolment_codec.from_wire(enrolment.to_wire()) == enrolment


def test_malformed_entry_does_not_affect_the_others() -> None:
    """Another host, or a file, contains a malformed one."""
    good = _report(1, 1).to_wire()
    bad = ttypes.Enrolment(server_id='t', address='nowhere', state=1)
    worse = ttypes.Enrolment()
    found = enrolment_codec.parse_readable([bad, good, worse], 'b')
    assert found == [_report(1, 1)]


class Starts(stateful.RuleBasedStateMachine):
    """Three hosts agree on the last incarnation despite delays and losses."""

    def __init__(self) -> None:
        """Start with hosts without servers."""
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
        """A report of some incarnation reaches a host, in any order."""
        state = enrolments.State.ready
        if leaving:
            state = enrolments.State.leaving
            self.left.add(born)
        self.tables[host].report(_report(born, sequence, state=state), self.now)
        self.newest = max(self.newest, born)

    @stateful.rule(host=st.sampled_from(_HOSTS), born=_STARTS)
    def leave(self, host: ids.HostId, born: int) -> None:
        """The end of some incarnation is announced to a host."""
        if self.tables[host].mark_gone(_SERVER, self.now, born):
            self.left.add(born)
            self.newest = max(self.newest, born)

    @stateful.rule(
        sender=st.sampled_from(_HOSTS),
        receiver=st.sampled_from(_HOSTS),
    )
    def send(self, sender: ids.HostId, receiver: ids.HostId) -> None:
        """One host sends all its enrolments to another."""
        for found in self.tables[sender].known():
            self.tables[receiver].merge(found, self.now, sender)

    @stateful.rule(host=st.sampled_from(_HOSTS))
    def restart(self, host: ids.HostId) -> None:
        """A host restarts with its stored enrolments."""
        kept = [found.to_wire() for found in self.tables[host].known()]
        table = enrolments.Enrolments(host, 5.0)
        for found in enrolment_codec.parse_readable(kept, 'file'):
            table.merge(found, self.now, host)
        self.tables[host] = table

    @stateful.rule(seconds=st.floats(0, 2))
    def wait(self, seconds: float) -> None:
        """Time passes; no server is evicted within the test."""
        self.now = min(self.now + seconds, enrolments.EVICT_SILENT_SECONDS)
        for table in self.tables.values():
            table.expire(self.now)

    @stateful.rule()
    def all_send(self) -> None:
        """After a full exchange all hosts agree on the last incarnation."""
        for _ in _HOSTS:
            for sender in _HOSTS:
                for receiver in _HOSTS:
                    self.send(sender, receiver)
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
