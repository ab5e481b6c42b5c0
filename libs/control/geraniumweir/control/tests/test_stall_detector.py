"""A coordinator that stalled coordinates nothing until it is confirmed."""

import asyncio
import typing

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.control import leadership, pool_coordination
from geraniumweir.wire import memory
from geraniumweir.wire.gen.control import ttypes

_HERE = ids.HostId('control')
_OTHER = ids.HostId('other')
_ENTRY = ids.HostId('entry')
_NO_HOST = ids.HostId('')
_DOMAIN = ids.FailureDomain('x')
_ADDRESS = ids.Address('10.0.0.1', 1)


class _Log:
    """The log as a stalled host sees it."""

    def __init__(self) -> None:
        self.leader_id = _HERE
        self.contact = float('inf')

    def leader(self) -> ids.HostId:
        """Return the leader."""
        return self.leader_id

    def is_leading(self) -> bool:
        """Return whether this host leads, by its own state."""
        return self.leader_id == _HERE

    def leads_since(self, since: float) -> bool:
        """Return whether a majority followed since then."""
        return self.is_leading() and self.contact >= since


class _Bed:
    """A control host that coordinates, and an entry host that pings it."""

    def __init__(self) -> None:
        network = memory.MemoryNetwork()
        self.log = _Log()
        self.leadership = leadership.Leadership(
            network.join(_HERE, _ADDRESS),
            typing.cast(typing.Any, self.log),
            timers.TimerService(),
            8,
        )
        self._entry = network.join(_ENTRY, ids.Address('10.0.0.2', 1))
        self._entry.learn(_HERE, _ADDRESS)

    def freeze(self, seconds: float) -> None:
        """Stall the machine; the log has had no contact since."""
        loop = asyncio.get_running_loop()
        self.log.contact = loop.time()
        typing.cast(virtual.VirtualTimeLoop, loop).freeze(seconds)

    async def ping(self) -> ttypes.Pong:
        """Ask the control host whether it coordinates."""
        ping = ttypes.Ping(_DOMAIN, leaving=False, share=0.5)
        return await self._entry.call(_HERE, ping, 1)

    def coordinator(self) -> ids.HostId:
        """Return the coordinator as the control host sees it."""
        return self.leadership.live(pool_coordination.ALL_DOMAINS)[0]


def _run(work: typing.Callable[[_Bed], typing.Awaitable[None]]) -> None:
    async def on_bed() -> None:
        bed = _Bed()
        await asyncio.sleep(1)
        await work(bed)
        bed.leadership.close()

    virtual.run(on_bed())


@pytest.mark.parametrize('seconds', [0.6, 1, 6, 60])
def test_coordinator_that_stalled_grants_nothing_afterwards(
    seconds: float,
) -> None:
    """Its clock shows that it may have been replaced."""

    async def work(bed: _Bed) -> None:
        bed.freeze(seconds)
        assert bed.coordinator() == _NO_HOST
        pong = await bed.ping()
        assert not pong.leads
        assert not pong.stands_in

    _run(work)


def test_stalled_coordinator_continues_once_a_majority_follows() -> None:
    """The stall was shorter than an election."""

    async def work(bed: _Bed) -> None:
        bed.freeze(0.7)
        assert bed.coordinator() == _NO_HOST
        bed.log.contact = asyncio.get_running_loop().time()
        assert bed.coordinator() == _HERE
        assert (await bed.ping()).leads

    _run(work)


def test_stalled_coordinator_drops_its_queues_when_it_lost_the_lead() -> None:
    """Subscribers are notified although it sees no leader yet."""

    async def work(bed: _Bed) -> None:
        seen = []
        bed.leadership.changes.subscribe(
            lambda _: seen.append(bed.coordinator()),
        )
        bed.freeze(6)
        bed.log.leader_id = _NO_HOST
        await asyncio.sleep(0.25)
        assert seen
        assert set(seen) == {_NO_HOST}
        bed.log.leader_id = _OTHER
        await asyncio.sleep(0.2)
        assert bed.coordinator() == _OTHER

    _run(work)


def test_stalled_host_stands_in_when_no_host_leads_for_long() -> None:
    """Its side of a partition is served all the same."""

    async def work(bed: _Bed) -> None:
        bed.freeze(6)
        bed.log.leader_id = _NO_HOST
        await asyncio.sleep(1.3)
        assert bed.coordinator() == _HERE
        assert (await bed.ping()).stands_in

    _run(work)


def test_short_pauses_do_not_count_as_stalls() -> None:
    """Pauses shorter than any election change nothing."""

    async def work(bed: _Bed) -> None:
        for _ in range(10):
            bed.freeze(0.4)
            assert bed.coordinator() == _HERE
            await asyncio.sleep(0.05)

    _run(work)
