"""Control hosts receive the crash cases of another coordinator."""

import asyncio
import typing

from geraniumweir.common import ids, timers, virtual
from geraniumweir.control import crash_cases, hosts, request_exchange
from geraniumweir.scheduling import (
    channel,
    crash_records,
    part_evidence,
    settings,
    suspects,
)
from geraniumweir.scheduling.ontime import leader
from geraniumweir.wire import memory

_REQUEST = ids.Fingerprint(7)
_POOL = ids.PoolName('pool')
_PART = ids.PromptPart(9)
_CUSTOMER = ids.CustomerName('household')
_DOMAIN = ids.FailureDomain('here')


class _Control:
    """A control host that may lead one pool."""

    def __init__(self, network: memory.MemoryNetwork, number: int) -> None:
        self.clock = timers.TimerService()
        self.host_id = ids.HostId(f'c{number}')
        self.address = ids.Address(f'10.0.0.{number}', 1)
        self.link = channel.Channel(network.join(self.host_id, self.address))
        self.known = hosts.ControlHosts()
        self.led: list[leader.OnTimePoolLeader] = []
        self.join()

    def join(self) -> None:
        """Start without any cases."""
        self.crash_cases = crash_cases.CrashCases()
        self.parts = part_evidence.PartEvidence()
        part_cases = crash_cases.PartCases(self.parts)
        part_cases.leads = lambda: bool(self.led)
        self.exchange = request_exchange.RequestExchange(
            self.link,
            self.known,
            self.clock,
            (self.crash_cases, part_cases),
        )
        self.crash_cases.leaders = lambda: self.led

    def meet(self, other: '_Control') -> None:
        """Register another control host."""
        self.link.learn(other.host_id, other.address)
        found = hosts.seed(other.host_id, other.address)
        self.known.register(found, self.clock.now())

    def coordinate(self) -> None:
        """Lead the pool, with the crash cases received here."""
        cfg = settings.LeaderSettings(_POOL, f'{self.host_id}/{_POOL}')
        made = leader.OnTimePoolLeader(cfg, self.clock.now, list)
        self.crash_cases.apply_to(made, self.clock.now())
        made.use_parts(self.parts)
        self.led = [made]

    def crash(self) -> None:
        """Record the crash of a server that ran only the request."""
        self.led[0].suspects.record_crash([_REQUEST], self.clock.now())

    def break_off(self, number: int, others: typing.Iterable[int] = ()) -> None:
        """Record that a server crashed under a request with the part.

        :param others: further parts of its prompt.
        """
        parts = (*map(ids.PromptPart, others), _PART)
        broken = crash_records.Broken(_CUSTOMER, _DOMAIN, parts, begun=False)
        start = ids.ServerId(f's{number}'), ids.Incarnation(0)
        self.parts.record_break(start, broken, self.clock.now())

    def part_verdict(
        self, customer: ids.CustomerName = _CUSTOMER
    ) -> part_evidence.Verdict:
        """Return the verdict about requests with the part."""
        return self.parts.verdict(customer, (_PART,), self.clock.now())

    def verdict(self) -> suspects.Verdict:
        """Return the verdict about the request."""
        return self.led[0].suspects.verdict(_REQUEST, self.clock.now())


def _run(
    work: typing.Callable[[_Control, _Control], typing.Awaitable[None]],
) -> None:
    async def on_bed() -> None:
        network = memory.MemoryNetwork()
        one, other = _Control(network, 1), _Control(network, 2)
        one.meet(other)
        other.meet(one)
        await work(one, other)

    virtual.run(on_bed())


def test_second_crash_after_a_coordinator_change_quarantines_the_request() -> (
    None
):
    """The first crash was seen by the previous coordinator."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        one.crash()
        await asyncio.sleep(0.5)
        one.led = []
        other.coordinate()
        assert other.verdict() is suspects.Verdict.suspect
        other.crash()
        assert other.verdict() is suspects.Verdict.quarantined

    _run(work)


def test_request_stays_quarantined_after_a_coordinator_change() -> None:
    """Also where the new coordinator already led the pool."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        other.coordinate()
        one.crash()
        one.crash()
        await asyncio.sleep(0.5)
        assert other.verdict() is suspects.Verdict.quarantined

    _run(work)


def test_crash_that_is_published_twice_counts_once() -> None:
    """Published by both, also to one that led before."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        one.crash()
        await asyncio.sleep(0.5)
        other.coordinate()
        await asyncio.sleep(0.5)
        one.coordinate()
        await asyncio.sleep(0.5)
        assert one.verdict() is suspects.Verdict.suspect
        assert other.verdict() is suspects.Verdict.suspect

    _run(work)


def test_cleared_request_is_clear_after_a_coordinator_change() -> None:
    """The others are notified when a case is cleared."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        one.crash()
        await asyncio.sleep(0.5)
        one.led[0].suspects.record_completion(_REQUEST)
        await asyncio.sleep(0.5)
        other.coordinate()
        assert other.verdict() is suspects.Verdict.clear

    _run(work)


def test_crashes_of_a_part_under_several_coordinators_add_up() -> None:
    """Each sees some of the crashes that show the part."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        one.break_off(1)
        await asyncio.sleep(0.5)
        one.break_off(2)
        await asyncio.sleep(0.5)
        one.led = []
        other.coordinate()
        assert other.part_verdict() is part_evidence.Verdict.trial
        for number in (3, 4):
            other.break_off(number)
            await asyncio.sleep(0.5)
        assert other.part_verdict() is part_evidence.Verdict.refused

    _run(work)


def test_part_that_is_answered_is_clear_after_a_coordinator_change() -> None:
    """The others hear that its crashes are explained otherwise."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        for number in range(4):
            one.break_off(number)
            await asyncio.sleep(0.5)
        other.coordinate()
        assert other.part_verdict() is part_evidence.Verdict.refused
        other.led = []
        start = ids.ServerId('sound'), ids.Incarnation(0)
        one.parts.record_begin(start, (_PART,), one.clock.now())
        await asyncio.sleep(0.5)
        other.coordinate()
        assert other.part_verdict() is part_evidence.Verdict.clear

    _run(work)


def test_two_coordinators_do_not_publish_the_same_evidence_in_turn() -> None:
    """During a partition of others, both lead and hear each other."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        other.coordinate()
        one.break_off(1)
        await asyncio.sleep(0.5)
        revisions = one.parts.revision, other.parts.revision
        await asyncio.sleep(2)
        assert (one.parts.revision, other.parts.revision) == revisions
        assert other.parts.crashes.crashes(other.clock.now())

    _run(work)


def test_coordinator_that_started_after_the_last_crash_knows_of_it() -> None:
    """It asks the other control hosts when it begins to coordinate."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        for number in range(4):
            one.break_off(number)
            await asyncio.sleep(0.5)
        one.led = []
        one.join()
        assert one.part_verdict() is part_evidence.Verdict.clear
        one.exchange.ask()
        await asyncio.sleep(0.5)
        one.coordinate()
        assert one.part_verdict() is part_evidence.Verdict.refused

    _run(work)


def test_parts_of_long_prompts_are_exchanged() -> None:
    """The largest message with them still fits into a frame."""

    async def work(one: _Control, other: _Control) -> None:
        one.coordinate()
        for number in range(6):
            first = 10 + 5000 * number
            one.break_off(number, range(first, first + 4000))
            await asyncio.sleep(0.5)
        other.coordinate()
        await asyncio.sleep(1)
        assert other.part_verdict() is part_evidence.Verdict.refused
        left_out, known = (
            {
                crash.start: crash.left_out
                for crash in control.parts.crashes.crashes(control.clock.now())
            }
            for control in (one, other)
        )
        assert left_out == known

    _run(work)
