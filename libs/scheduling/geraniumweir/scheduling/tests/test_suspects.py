"""Tests of suspects before a crash is known and after a quarantine."""

from geraniumweir.common import ids
from geraniumweir.scheduling import suspects

_POISON = ids.Fingerprint(66)
_ONE, _TWO = ids.ServerId('one'), ids.ServerId('two')
_QUARANTINE = 300.0
_RECOVERY = 0.5


def test_second_incomplete_stream_waits_for_its_explanation() -> None:
    """The first makes a suspect at once; the second delays the content."""
    known = suspects.Suspects(_QUARANTINE)
    known.record_incomplete(_POISON, _ONE, 0)
    assert known.verdict(_POISON, 0) is suspects.Verdict.suspect
    assert not known.awaits_explanation(_POISON, 0)
    known.record_incomplete(_POISON, _TWO, 2)
    assert known.awaits_explanation(_POISON, 3)
    assert not known.awaits_explanation(_POISON, 60)
    assert known.verdict(_POISON, 60) is suspects.Verdict.clear


def test_incomplete_streams_on_several_servers_are_a_partition() -> None:
    """No content is suspected when half of the servers are unreachable."""
    known = suspects.Suspects(_QUARANTINE)
    marks = [ids.Fingerprint(number) for number in range(1, 5)]
    for mark, server in zip(marks, (_ONE, _TWO, _ONE, _TWO), strict=True):
        known.record_incomplete(mark, server, 10)
    assert {known.verdict(mark, 10) for mark in marks} == {
        suspects.Verdict.clear,
    }


def test_crash_after_a_supposed_partition_uses_the_evidence() -> None:
    """Streams of two crashed servers ended early at the same time."""
    known = suspects.Suspects(_QUARANTINE)
    neighbours = [ids.Fingerprint(1), ids.Fingerprint(2)]
    for neighbour, server in zip(neighbours, (_ONE, _TWO), strict=True):
        known.record_incomplete(neighbour, server, 0)
        known.record_incomplete(_POISON, server, 0)
    for neighbour in neighbours:
        assert known.verdict(neighbour, 1) is suspects.Verdict.clear
        known.record_crash(known.unexplained([neighbour, _POISON]), 2)
    assert known.verdict(_POISON, 2) is suspects.Verdict.quarantined


def test_partition_neither_holds_nor_suspects_what_it_interrupted() -> None:
    """Not once its content is sent again, either."""
    known = suspects.Suspects(_QUARANTINE)
    for mark, server in ((1, _ONE), (2, _TWO), (3, _ONE)):
        known.record_incomplete(ids.Fingerprint(mark), server, 0)
    for mark in range(1, 4):
        content = ids.Fingerprint(mark)
        assert not known.awaits_explanation(content, 1)
        known.record_completion(content)
        assert not known.unexplained([content])


def test_old_evidence_of_a_partition_is_not_used_against_content() -> None:
    """The servers would have been found crashed by then."""
    known = suspects.Suspects(_QUARANTINE)
    known.record_incomplete(_POISON, _ONE, 0)
    known.record_incomplete(ids.Fingerprint(1), _TWO, 0)
    known.record_incomplete(_POISON, _TWO, 20)
    assert not known.awaits_explanation(_POISON, 20)


def test_late_crash_blames_content_that_did_not_complete_since() -> None:
    """A concurrent request that completed elsewhere stays cleared."""
    known = suspects.Suspects(_QUARANTINE)
    neighbour = ids.Fingerprint(1)
    for mark in (_POISON, neighbour):
        known.record_incomplete(mark, _ONE, 0)
    known.record_completion(neighbour)
    known.record_crash([_POISON, neighbour], 5)
    assert known.verdict(neighbour, 5) is suspects.Verdict.clear
    assert known.verdict(_POISON, 5) is suspects.Verdict.suspect


def test_quarantine_doubles_each_time() -> None:
    """One crash after a quarantine suffices for one twice as long."""
    known = suspects.Suspects(_QUARANTINE)
    known.record_crash([_POISON], 0)
    known.record_crash([_POISON], 0)
    now = float(0)
    for doublings in range(3):
        end = now + _QUARANTINE * 2**doublings
        verdict = known.verdict(_POISON, end - _RECOVERY)
        assert verdict is suspects.Verdict.quarantined
        now = end + _RECOVERY
        assert known.verdict(_POISON, now) is suspects.Verdict.suspect
        known.record_crash([_POISON], now)


def test_another_hosts_case_does_not_lengthen_a_quarantine() -> None:
    """Cases exchanged after its end leave a suspect on both sides."""
    one, two = suspects.Suspects(_QUARANTINE), suspects.Suspects(_QUARANTINE)
    one.record_crash([_POISON], 0)
    one.record_crash([_POISON], 0)
    two.merge(one.export(0), 0)
    later = _QUARANTINE + 1
    two.merge(one.export(later), later)
    assert two.verdict(_POISON, later) is suspects.Verdict.suspect
