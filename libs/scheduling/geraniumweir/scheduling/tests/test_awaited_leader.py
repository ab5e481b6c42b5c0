"""Tests that no capacity denials are passed on during an election.

They guard against this failure: a coordinator stalled, and until the next one
was elected each of 195 entry hosts led its own requests, with a 195th of the
slots and quotas. In half a second they refused about 1,500 requests, most of
them as over quota, just before the next coordinator had room for them.
"""

import asyncio
import typing

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.scheduling import broker, channel, requests
from geraniumweir.wire import memory
from geraniumweir.wire.gen.scheduling import ttypes
from reactivex import subject

_ENTRY = ids.HostId('entry')
_NEXT = ids.HostId('next')
_AREA = ids.FailureDomain('all')
_POOL = ids.PoolName('pool')
_REASONS = requests.DenialReason


class _View:
    """View with the coordinators that the test sets."""

    def __init__(self) -> None:
        self.changes: subject.Subject[None] = subject.Subject()
        self.coordinators: list[ids.HostId] = []

    def live(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """List the coordinators."""
        return self.coordinators

    def owners(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return no hosts."""
        return []


class _NoOthers:
    """Directory without pools in other failure domains."""

    def others(self, _pool: ids.PoolName) -> typing.Sequence[typing.Any]:
        return ()


class _Bed:
    """Entry host that denies its own requests, and one that grants them."""

    def __init__(self, reason: requests.DenialReason) -> None:
        network = memory.MemoryNetwork()
        self.view = _View()
        self.is_due = True
        self.asked = 0
        self._denial = ttypes.Denial(reason.value, 2000)
        link = channel.Channel(
            network.join(_ENTRY, ids.Address('10.0.0.1', 1)),
        )
        other = network.join(_NEXT, ids.Address('10.0.0.2', 1))
        link.learn(_NEXT, ids.Address('10.0.0.2', 1))
        self.broker = broker.Broker(
            link,
            _AREA,
            self.view,
            _NoOthers(),
            timers.TimerService(),
            lambda: self.is_due,
        )
        link.handle(ttypes.Ask, self._deny)
        other.handle(ttypes.Ask, self._grant)

    def request_slot(self) -> asyncio.Task[requests.Grant | requests.Denial]:
        """Request a slot."""
        now = asyncio.get_running_loop().time()
        slot_request = requests.SlotRequest(
            ids.RequestId('r'),
            _ENTRY,
            _POOL,
            ids.CustomerName('customer'),
            ids.RuleName('rule'),
            ids.Tier.normal,
            now + 10,
        )
        return asyncio.create_task(self.broker.request_slot(slot_request))

    def elect(self) -> None:
        """Make the other host the coordinator."""
        self.is_due = False
        self.view.coordinators = [_NEXT]
        self.view.changes.on_next(None)

    async def _deny(
        self, _sender: ids.HostId, _ask: ttypes.Ask
    ) -> ttypes.AskReply:
        self.asked += 1
        return ttypes.AskReply(denial=self._denial)

    async def _grant(
        self, _sender: ids.HostId, _ask: ttypes.Ask
    ) -> ttypes.AskReply:
        return ttypes.AskReply(grant=ttypes.Grant('s', 1, '127.0.0.1:1'))


@pytest.mark.parametrize(
    'reason', [_REASONS.over_quota, _REASONS.shed, _REASONS.no_server]
)
def test_request_waits_for_the_next_leader(
    reason: requests.DenialReason,
) -> None:
    """The next leader has the slots and quota that this host lacks."""

    async def work() -> None:
        bed = _Bed(reason)
        asked = bed.request_slot()
        await asyncio.sleep(0.5)
        assert not asked.done()
        assert bed.asked < 15
        bed.elect()
        await asyncio.sleep(0.2)
        assert isinstance(asked.result(), requests.Grant)
        bed.broker.close()

    virtual.run(work())


def test_denial_that_holds_for_all_leaders_does_not_wait() -> None:
    """No leader would serve a request whose content crashes servers."""

    async def work() -> None:
        bed = _Bed(_REASONS.quarantined)
        answer = await bed.request_slot()
        assert isinstance(answer, requests.Denial)
        bed.broker.close()

    virtual.run(work())


def test_host_without_an_election_denies() -> None:
    """It denies at once, and waiting requests when the election fails."""

    async def work() -> None:
        bed = _Bed(_REASONS.over_quota)
        waiting = bed.request_slot()
        await asyncio.sleep(0.3)
        bed.is_due = False
        await asyncio.sleep(0.2)
        denial = waiting.result()
        assert isinstance(denial, requests.Denial)
        assert denial.reason is _REASONS.over_quota
        bed.broker.close()

    virtual.run(work())


def test_request_does_not_wait_for_an_election_beyond_its_limit() -> None:
    """It was requested again until its deadline, which its caller misses."""

    async def work() -> None:
        bed = _Bed(_REASONS.over_quota)
        answer = await bed.request_slot()
        assert isinstance(answer, requests.Denial)
        assert answer.reason is _REASONS.no_answer
        assert asyncio.get_running_loop().time() < 6
        bed.broker.close()

    virtual.run(work())
