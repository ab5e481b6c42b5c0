"""Tests that a request without its coordinator's answer is refused in time.

They guard against this failure: a coordinator froze for 7 s in a burst, and
2,474 of 4,203 callers in two seconds had no answer at their time limits.
"""

import asyncio
import collections
import dataclasses
import math
import typing

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.scheduling import (
    ask_limits,
    broker,
    channel,
    remote,
    requests,
    views,
)
from geraniumweir.scheduling.ontime.tests import play
from geraniumweir.wire import memory
from geraniumweir.wire.gen.scheduling import ttypes
from reactivex import subject

_ENTRY = ids.HostId('entry')
_FIRST = ids.HostId('c1')
_NEXT = ids.HostId('c2')
_AREA = ids.FailureDomain('all')
_REASONS = requests.DenialReason
# Of the first customer: time limits and patience of its routes, in seconds.
_PLAIN = (1.65, math.inf)
_PATIENT = (12.7, 3.38)
_HASTY = (3.1, 2.09)
_KINDS = (_PLAIN, _PATIENT, _HASTY)


class _View:
    """View with the coordinators that the test sets."""

    def __init__(self) -> None:
        self.changes: subject.Subject[None] = subject.Subject()
        self.coordinators = [_FIRST]

    def live(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """List the coordinators."""
        return self.coordinators

    def owners(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return no hosts."""
        return []

    def see(self, coordinator: ids.HostId) -> None:
        """Replace the coordinator."""
        self.coordinators = [coordinator]
        self.changes.on_next(None)


class _NoOthers:
    """Directory without pools in other failure domains."""

    def others(self, _pool: ids.PoolName) -> typing.Sequence[typing.Any]:
        return ()


class _Fifo:
    """Pool leader that grants its slots in the order of the requests.

    :ivar running: the granted requests.
    """

    def __init__(self, slots: int) -> None:
        self.running: set[ids.RequestId] = set()
        self._slots = slots
        self._waiting: dict[
            ids.RequestId, asyncio.Future[requests.Grant | requests.Denial]
        ] = {}

    async def request_slot(
        self, slot_request: requests.SlotRequest
    ) -> requests.Grant | requests.Denial:
        """Wait for a slot."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting[slot_request.request_id] = fut
        self.grant_waiting()
        return await fut

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Deny a waiting request."""
        fut = self._waiting.pop(request_id, None)
        if fut is not None:
            fut.set_result(requests.Denial(request_id, _REASONS.withdrawn))

    def release(self, release: requests.Release) -> None:
        """Free a slot."""
        self.running.discard(release.request_id)
        self.grant_waiting()

    def progress(self, _progress: requests.Progress) -> None:
        """Do nothing."""

    def adopt(self, grants: typing.Sequence[requests.OpenGrant]) -> None:
        """Take over grants."""
        self.running.update(one.grant.request_id for one in grants)

    def takeover_complete(self) -> None:
        """Do nothing."""

    def grant_waiting(self) -> None:
        """Grant free slots."""
        while self._waiting and len(self.running) < self._slots:
            request_id = next(iter(self._waiting))
            self.running.add(request_id)
            grant = requests.Grant(
                request_id,
                ids.ServerId('s'),
                ids.Incarnation(1),
                ids.Address('127.0.0.1', 1),
            )
            self._waiting.pop(request_id).set_result(grant)


class _Control:
    """Control host that leads pools and can stop doing so.

    :ivar runs: is unset while it answers nothing; what arrives meanwhile is
        handled when it runs again.
    :ivar hears: is unset while it answers no slot requests, but all else.
    """

    def __init__(
        self,
        network: memory.MemoryNetwork,
        host_id: ids.HostId,
        number: int,
        leader: views.PoolLeader,
    ) -> None:
        self.runs = asyncio.Event()
        self.runs.set()
        self.hears = asyncio.Event()
        self.hears.set()
        layer = network.join(host_id, ids.Address('10.0.0.1', number))
        view = _View()
        view.coordinators = [host_id]
        self.link = channel.Channel(layer)
        clock = timers.TimerService()
        self.service = remote.LeaderService(
            self.link,
            view,
            _AREA,
            lambda _pool, _on_preempt: leader,
            clock,
        )
        for kind in (ttypes.Ask, ttypes.Sync, ttypes.Withdraw, ttypes.Release):
            self._delay(layer, kind)

    def _delay(self, layer: memory.MemoryPeers, kind: type) -> None:
        """Let the handler of a message type wait while this host is stopped."""
        handler = layer._handlers[kind]  # noqa: SLF001

        async def handle(sender: ids.HostId, message: typing.Any) -> typing.Any:
            await self.runs.wait()
            if kind is ttypes.Ask:
                await self.hears.wait()
            return await handler(sender, message)

        layer.handle(kind, handle)


class _Entry:
    """Entry host that serves its requests as the gateway does.

    :ivar ends: answer of each request and the seconds until it came.
    :ivar runs: number of dispatches by request.
    """

    def __init__(
        self, network: memory.MemoryNetwork, host_id: ids.HostId, number: int
    ) -> None:
        self.host_id = host_id
        self.view = _View()
        self.link = channel.Channel(
            network.join(host_id, ids.Address('10.0.1.1', number)),
        )
        self.broker = broker.Broker(
            self.link, _AREA, self.view, _NoOthers(), timers.TimerService()
        )
        self.ends: dict[
            ids.RequestId, tuple[requests.Grant | requests.Denial, float]
        ] = {}
        self.runs: collections.Counter[str] = collections.Counter()

    async def serve(
        self, name: str, kind: tuple[float, float], seconds: float = 0.2
    ) -> requests.Grant | requests.Denial:
        """Request a slot and use it for some seconds."""
        start = asyncio.get_running_loop().time()
        slot_request = dataclasses.replace(
            play.make_request(
                f'{self.host_id}.{name}',
                start,
                deadline=start + kind[0],
                patience=start + kind[1],
                target=start + 0.5,
                streams=kind[1] < math.inf,
            ),
            owner=self.host_id,
        )
        answer = await self.broker.request_slot(slot_request)
        took = asyncio.get_running_loop().time() - start
        self.ends[slot_request.request_id] = (answer, took)
        if isinstance(answer, requests.Grant):
            self.runs[slot_request.request_id] += 1
            await asyncio.sleep(seconds)
            done = requests.Outcome.done
            self.broker.release(
                requests.Release(
                    slot_request.request_id, done, 0.1, 10, seconds
                )
            )
        return answer

    def start(
        self, name: str, kind: tuple[float, float], seconds: float = 0.2
    ) -> asyncio.Task[requests.Grant | requests.Denial]:
        """Serve a request in a task."""
        return asyncio.create_task(self.serve(name, kind, seconds))


class _Bed:
    """An entry host and its coordinator."""

    def __init__(self, slots: int = 2) -> None:
        self.network = memory.MemoryNetwork()
        self.leader = _Fifo(slots)
        self.first = _Control(self.network, _FIRST, 1, self.leader)
        self.entry = _Entry(self.network, _ENTRY, 1)

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


def _stop(control: _Control, fault: str) -> None:
    if fault == 'frozen':
        control.runs.clear()
    else:
        control.hears.clear()


def _resume(control: _Control) -> None:
    control.runs.set()
    control.hears.set()


@pytest.mark.parametrize('kind', _KINDS)
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


@pytest.mark.parametrize('kind', _KINDS)
def test_request_in_the_queue_of_a_frozen_coordinator_is_refused(
    kind: tuple[float, float],
) -> None:
    """That it was queued doesn't keep it waiting for a silent leader."""

    async def work() -> None:
        bed = _Bed(slots=1)
        running = bed.entry.start('running', _PATIENT, seconds=9)
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
        running = bed.entry.start('running', _PATIENT, seconds=9)
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
        first = bed.entry.start('first', _PATIENT, seconds=0.5)
        await asyncio.sleep(0.1)
        second = bed.entry.start('second', (6, math.inf))
        assert isinstance(await first, requests.Grant)
        assert isinstance(await second, requests.Grant)
        assert set(bed.entry.runs.values()) == {1}
        await asyncio.sleep(1)
        assert not bed.leader.running
        bed.close()

    virtual.run(work())


@pytest.mark.parametrize('kind', _KINDS)
def test_request_whose_answer_and_replies_are_lost_is_refused(
    kind: tuple[float, float],
) -> None:
    """Its grant is given back as soon as its withdrawal arrives."""

    async def work() -> None:
        bed = _Bed()
        bed.network.cut(_FIRST, _ENTRY)
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
        running = bed.entry.start('running', _PATIENT, seconds=4)
        await asyncio.sleep(0.1)
        waiting = bed.entry.start('r', _PLAIN)
        await asyncio.sleep(0.1)
        bed.network.cut(_ENTRY, _FIRST)
        bed.network.cut(_FIRST, _ENTRY)
        await waiting
        bed.check_refused('r', _PLAIN)
        bed.network.heal()
        bed.leader.release(
            requests.Release(
                ids.RequestId(f'{_ENTRY}.running'), requests.Outcome.given_up
            )
        )
        await asyncio.sleep(1.5)
        assert set(bed.entry.runs) == {f'{_ENTRY}.running'}
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
        sent_before = bed.network.sent[_ENTRY, 'Ask']
        answers = await asyncio.gather(*calls)
        assert all(isinstance(one, requests.Grant) for one in answers)
        took = [seconds for _, seconds in bed.entry.ends.values()]
        assert max(took) > 4
        # Those that waited for more than 2.6 s asked again each 0.3 s.
        assert bed.network.sent[_ENTRY, 'Ask'] - sent_before < 12
        bed.close()

    virtual.run(work())


def test_request_that_is_queued_to_the_end_is_refused_before_it() -> None:
    """A refusal at the deadline itself arrives after its caller has left."""

    async def work() -> None:
        bed = _Bed(slots=1)
        running = bed.entry.start('running', _PATIENT, seconds=9)
        await asyncio.sleep(0.1)
        for kind in _KINDS:
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
        silent = _Control(bed.network, _NEXT, 2, _Fifo(1))
        silent.runs.clear()
        running = bed.entry.start('running', _PATIENT, seconds=9)
        await asyncio.sleep(0.1)
        waiting = bed.entry.start('r', (12, math.inf))
        await asyncio.sleep(1)
        bed.entry.view.see(_NEXT)
        await waiting
        answer, took = bed.entry.ends[ids.RequestId(f'{_ENTRY}.r')]
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
        await bed.entry.start('plain', _PLAIN)
        await bed.entry.start('long', (3, math.inf))
        await bed.entry.start('patient', _PATIENT)
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


def _lose_answers(entry: _Entry) -> None:
    """Lose all messages with answers on their way to an entry host."""

    async def lose(_sender: ids.HostId, _answer: ttypes.Answer) -> typing.Any:
        await asyncio.Event().wait()

    entry.link.handle(ttypes.Answer, lose)
