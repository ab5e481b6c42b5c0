"""Tests that a request without its coordinator's answer is refused in time.

They guard against this failure: a coordinator froze for 7 s in a burst, and
2,474 of 4,203 callers in two seconds had no answer at their time limits.
"""

import asyncio
import math
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import ask_limits, requests
from geraniumweir.scheduling.ontime.tests import play
from geraniumweir.scheduling.tests import ask_bed
from geraniumweir.wire import memory
from geraniumweir.wire.gen.scheduling import ttypes

_REASONS = requests.DenialReason


class _Bed:
    """An entry host and its coordinator."""

    def __init__(self, slots: int = 2) -> None:
        self.network = memory.MemoryNetwork()
        self.leader = ask_bed.Fifo(slots)
        self.first = ask_bed.Control(
            self.network, ask_bed.FIRST, 1, self.leader
        )
        self.entry = ask_bed.Entry(self.network, ask_bed.ENTRY, 1)

    def close(self) -> None:
        """Stop all hosts."""
        self.entry.broker.close()
        self.first.service.close()

    def check_refused(
        self, name: str, kind: tuple[float, float]
    ) -> requests.Denial:
        """Check that a request was refused while its caller can use that."""
        request_id = ids.RequestId(f'{self.entry.host_id}.{name}')
        denial, took = self.entry.ends[request_id]
        assert isinstance(denial, requests.Denial)
        assert denial.reason is _REASONS.no_answer
        limit = min(kind[1] - 0.25, kind[0] / 2)
        assert took < limit + 0.001
        assert 0 < denial.retry_after_ms / 1000 <= (kind[0] - took) / 2 + 0.001
        assert not self.entry.runs[request_id]
        return denial


def _stop(control: ask_bed.Control, fault: str) -> None:
    if fault == 'frozen':
        control.runs.clear()
    else:
        control.hears.clear()


def _resume(control: ask_bed.Control) -> None:
    control.runs.set()
    control.hears.set()


@pytest.mark.parametrize('kind', ask_bed.KINDS)
@pytest.mark.parametrize('fault', ['frozen', 'deaf'])
def test_request_without_an_answer_is_refused_in_time(
    fault: str, kind: tuple[float, float]
) -> None:
    """Of a coordinator that takes all bytes, and one that answers the rest.

    When it runs again, it handles what it got and keeps nothing of it.
    """

    async def work() -> None:
        bed = _Bed()
        _stop(bed.first, fault)
        await bed.entry.start('r', kind)
        bed.check_refused('r', kind)
        await asyncio.sleep(5)
        _resume(bed.first)
        # An owner without requests is taken for silent after 4 s.
        await asyncio.sleep(6)
        assert not bed.entry.runs
        assert not bed.leader.running
        assert isinstance(await bed.entry.start('s', kind), requests.Grant)
        bed.close()

    virtual.run(work())


@pytest.mark.parametrize('kind', ask_bed.KINDS)
def test_request_in_the_queue_of_a_frozen_coordinator_is_refused(
    kind: tuple[float, float],
) -> None:
    """That it was queued doesn't keep it waiting for a silent leader."""

    async def work() -> None:
        bed = _Bed(slots=1)
        running = bed.entry.start('running', ask_bed.PATIENT, seconds=9)
        await asyncio.sleep(0.1)
        waiting = bed.entry.start('r', kind)
        await asyncio.sleep(0.1)
        bed.first.runs.clear()
        await waiting
        bed.check_refused('r', kind)
        running.cancel()
        bed.close()

    virtual.run(work())


def test_freeze_after_a_confirmation_still_ends_in_time() -> None:
    """A wait that was extended ends 0.7 s after the last answer."""

    async def work() -> None:
        bed = _Bed(slots=1)
        running = bed.entry.start('running', ask_bed.PATIENT, seconds=9)
        await asyncio.sleep(0.1)
        started = asyncio.get_running_loop().time()
        waiting = bed.entry.start('r', (6, math.inf))
        await asyncio.sleep(4)
        assert not waiting.done()
        bed.first.runs.clear()
        denial = await waiting
        assert isinstance(denial, requests.Denial)
        assert denial.reason is _REASONS.no_answer
        assert asyncio.get_running_loop().time() < started + 4.75
        running.cancel()
        bed.close()

    virtual.run(work())


def test_lost_answer_is_found_by_asking_again() -> None:
    """The grant comes with the reply, and the request runs once."""

    async def work() -> None:
        bed = _Bed(slots=1)
        _lose_answers(bed.entry)
        first = bed.entry.start('first', ask_bed.PATIENT, seconds=0.5)
        await asyncio.sleep(0.1)
        second = bed.entry.start('second', (6, math.inf))
        assert isinstance(await first, requests.Grant)
        assert isinstance(await second, requests.Grant)
        assert set(bed.entry.runs.values()) == {1}
        await asyncio.sleep(1)
        assert not bed.leader.running
        bed.close()

    virtual.run(work())


@pytest.mark.parametrize('kind', ask_bed.KINDS)
def test_request_whose_answer_and_replies_are_lost_is_refused(
    kind: tuple[float, float],
) -> None:
    """Its grant is given back as soon as its withdrawal arrives."""

    async def work() -> None:
        bed = _Bed()
        bed.network.cut(ask_bed.FIRST, ask_bed.ENTRY)
        await bed.entry.start('r', kind)
        bed.check_refused('r', kind)
        await asyncio.sleep(0.1)
        assert not bed.leader.running
        bed.close()

    virtual.run(work())


def test_grant_that_arrives_after_the_refusal_is_given_back() -> None:
    """It says so itself, even if the withdrawal is lost."""

    async def work() -> None:
        bed = _Bed(slots=1)
        running = bed.entry.start('running', ask_bed.PATIENT, seconds=4)
        await asyncio.sleep(0.1)
        waiting = bed.entry.start('r', ask_bed.PLAIN)
        await asyncio.sleep(0.1)
        bed.network.cut(ask_bed.ENTRY, ask_bed.FIRST)
        bed.network.cut(ask_bed.FIRST, ask_bed.ENTRY)
        await waiting
        bed.check_refused('r', ask_bed.PLAIN)
        bed.network.heal()
        bed.leader.release(
            requests.Release(
                ids.RequestId(f'{ask_bed.ENTRY}.running'),
                requests.Outcome.given_up,
            )
        )
        await asyncio.sleep(1.5)
        assert set(bed.entry.runs) == {f'{ask_bed.ENTRY}.running'}
        assert not bed.leader.running
        running.cancel()
        bed.close()

    virtual.run(work())


def test_slow_queue_that_works_is_not_cut_short() -> None:
    """Requests wait in it beyond their limits and are granted in order."""

    async def work() -> None:
        bed = _Bed(slots=1)
        calls = [
            bed.entry.start(f'r{number}', (6, math.inf), seconds=1)
            for number in range(5)
        ]
        await asyncio.sleep(0.1)
        sent_before = bed.network.sent[ask_bed.ENTRY, 'Ask']
        answers = await asyncio.gather(*calls)
        assert all(isinstance(one, requests.Grant) for one in answers)
        took = [seconds for _, seconds in bed.entry.ends.values()]
        assert max(took) > 4
        # Those that waited for more than 2.6 s asked again each 0.3 s.
        assert bed.network.sent[ask_bed.ENTRY, 'Ask'] - sent_before < 12
        bed.close()

    virtual.run(work())


def test_request_that_is_queued_to_the_end_is_refused_before_it() -> None:
    """A refusal at the deadline itself arrives after its caller has left."""

    async def work() -> None:
        bed = _Bed(slots=1)
        running = bed.entry.start('running', ask_bed.PATIENT, seconds=9)
        await asyncio.sleep(0.1)
        for kind in ask_bed.KINDS:
            answer = await bed.entry.start(f'{kind}', kind)
            assert isinstance(answer, requests.Denial)
            assert answer.reason is _REASONS.too_late
            took = bed.entry.ends[answer.request_id][1]
            assert min(kind) - 0.11 < took < min(kind) - 0.09
        running.cancel()
        bed.close()

    virtual.run(work())


def test_moved_request_is_not_queued_at_the_next_coordinator() -> None:
    """It counted as queued there, and was repeated up to its deadline."""

    async def work() -> None:
        bed = _Bed(slots=1)
        silent = ask_bed.Control(bed.network, ask_bed.NEXT, 2, ask_bed.Fifo(1))
        silent.runs.clear()
        running = bed.entry.start('running', ask_bed.PATIENT, seconds=9)
        await asyncio.sleep(0.1)
        waiting = bed.entry.start('r', (12, math.inf))
        await asyncio.sleep(1)
        bed.entry.view.see(ask_bed.NEXT)
        await waiting
        answer, took = bed.entry.ends[ids.RequestId(f'{ask_bed.ENTRY}.r')]
        assert isinstance(answer, requests.Denial)
        assert answer.reason is _REASONS.no_answer
        assert took < 5
        running.cancel()
        silent.service.close()
        bed.close()

    virtual.run(work())


def test_retry_time_lasts_until_another_coordinator_grants() -> None:
    """Two seconds after the last answer, or half of the time left."""

    async def work() -> None:
        bed = _Bed()
        bed.first.runs.clear()
        await bed.entry.start('plain', ask_bed.PLAIN)
        await bed.entry.start('long', (3, math.inf))
        await bed.entry.start('patient', ask_bed.PATIENT)
        retries = [
            answer.retry_after_ms
            for answer, _ in bed.entry.ends.values()
            if isinstance(answer, requests.Denial)
        ]
        assert retries == pytest.approx([413, 500, 200], abs=2)
        bed.close()

    virtual.run(work())


def test_stream_beyond_its_patience_is_requested_all_the_same() -> None:
    """Its caller is still connected, so its patience isn't known."""

    def begin(patience: float) -> ask_limits.Wait:
        return ask_limits.begin(
            play.make_request('r', 0, deadline=10, patience=patience), 3
        )

    assert begin(2) == begin(math.inf)
    assert begin(2).ends_at > 9


def _lose_answers(entry: ask_bed.Entry) -> None:
    """Lose all messages with answers on their way to an entry host."""

    async def lose(_sender: ids.HostId, _answer: ttypes.Answer) -> typing.Any:
        await asyncio.Event().wait()

    entry.link.handle(ttypes.Answer, lose)
