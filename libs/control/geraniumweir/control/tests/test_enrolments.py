"""Backend servers' reports: order, leaving, silence, agreement of hosts."""

import dataclasses

from geraniumweir.common import ids
from geraniumweir.control import enrolments
from hypothesis import strategies as st
from hypothesis import stateful

_ONE = ids.HostId('a')
_TWO = ids.HostId('b')
_LEASE = 4.0


def _report(sequence: int, **changes: object) -> enrolments.Enrolment:
    enrolment = enrolments.Enrolment(
        server_id=ids.ServerId('s'),
        pool=ids.PoolName('pool'),
        address=ids.Address('10.0.0.1', 8080),
        failure_domain=ids.FailureDomain('x'),
        slots=4,
        sequence=sequence,
    )
    return dataclasses.replace(enrolment, **changes)


def _table(host: ids.HostId = _ONE) -> enrolments.Enrolments:
    return enrolments.Enrolments(host, _LEASE)


def test_late_report_changes_nothing() -> None:
    """One that was overtaken by leaving does not make the server ready."""
    table = _table()
    table.report(_report(1), 0)
    leaving = enrolments.State.leaving
    assert table.report(_report(3, state=leaving), 1)
    assert not table.report(_report(2), 2)
    assert table.get(ids.ServerId('s')).state is leaving


def test_leaving_is_final() -> None:
    """A newer report of ready in the same incarnation is wrong."""
    table = _table()
    table.report(_report(1, state=enrolments.State.leaving), 0)
    table.report(_report(2), 1)
    assert table.get(ids.ServerId('s')).state is enrolments.State.leaving


def test_delayed_report_does_not_bring_a_gone_server_back() -> None:
    """It arrived after the end was announced and was sent before."""
    table = _table()
    table.report(_report(1), 0)
    assert table.mark_gone(ids.ServerId('s'), 1) is not None
    table.report(_report(2), 5)
    assert table.get(ids.ServerId('s')).state is enrolments.State.gone


def test_silent_server_is_not_silent_after_its_next_report() -> None:
    """It is kept meanwhile: it may be partitioned from control hosts only."""
    table = _table()
    table.report(_report(1), 0)
    assert not table.expire(_LEASE)
    assert table.expire(_LEASE + 1)
    assert table.get(ids.ServerId('s')).silent
    assert table.report(_report(2), 6)
    assert not table.get(ids.ServerId('s')).silent


def test_silent_server_is_evicted_in_the_end() -> None:
    """No host has seen it any more."""
    table = _table()
    table.report(_report(1), 0)
    table.expire(_LEASE + 1)
    table.expire(_LEASE + 2 + enrolments.EVICT_SILENT_SECONDS)
    assert table.get(ids.ServerId('s')) is None


def test_server_that_reports_to_another_host_is_not_silent() -> None:
    """The other host publishes when the server begins to report there."""
    one, two = _table(_ONE), _table(_TWO)
    one.report(_report(1), 0)
    two.merge(_report(1), 0, _ONE)
    assert two.report(_report(2), 1)
    one.merge(two.get(ids.ServerId('s')), 1, _TWO)
    assert not one.expire(_LEASE + 1)


def test_servers_of_an_absent_host_fall_silent() -> None:
    """No other host would ever mark them."""
    table = _table()
    table.merge(_report(1), 0, _TWO)
    assert not table.expire(60)
    assert table.expire(61, frozenset((_TWO,)))


def test_reader_receives_only_changes() -> None:
    """Reports with the same content are no change."""
    table = _table()
    table.report(_report(1), 0)
    seen = table.revision
    table.report(_report(2), 1)
    assert not table.changed_since(seen)
    table.report(_report(3, slots=2), 2)
    assert [found.slots for found in table.changed_since(seen)] == [2]


class Agreement(stateful.RuleBasedStateMachine):
    """Hosts that exchanged everything agree, in whatever order."""

    def __init__(self) -> None:
        """Start with two hosts and one incarnation of a server."""
        super().__init__()
        self.now = float(0)
        self.sequence = 0
        self.tables = {_ONE: _table(_ONE), _TWO: _table(_TWO)}
        self.said_gone = False

    @stateful.rule(host=st.sampled_from([_ONE, _TWO]), leaving=st.booleans())
    def report(self, host: ids.HostId, leaving: bool) -> None:
        """The server reports to one of them."""
        self.sequence += 1
        state = enrolments.State.ready
        if leaving:
            state = enrolments.State.leaving
        self.tables[host].report(_report(self.sequence, state=state), self.now)

    @stateful.rule(host=st.sampled_from([_ONE, _TWO]))
    def leave(self, host: ids.HostId) -> None:
        """The server announces its end to one of them."""
        self.tables[host].mark_gone(ids.ServerId('s'), self.now)

    @stateful.rule(seconds=st.floats(0, 10))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.now += seconds
        for table in self.tables.values():
            table.expire(self.now)

    @stateful.rule()
    def exchange(self) -> None:
        """Each sends the other all enrolments, twice."""
        for _ in range(2):
            for sender, receiver in ((_ONE, _TWO), (_TWO, _ONE)):
                for found in self.tables[sender].known():
                    self.tables[receiver].merge(found, self.now, sender)
        first, second = self.tables.values()
        assert first.digest() == second.digest()


TestAgreement = Agreement.TestCase
