"""A coordinator that froze coordinates nothing until it is followed again."""

import asyncio
import typing

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.control import pool_coordination, leadership
from geraniumweir.wire import memory
from geraniumweir.wire.gen.control import ttypes

_HERE = ids.HostId('control')
_OTHER = ids.HostId('other')
_ENTRY = ids.HostId('entry')
_NOBODY = ids.HostId('')
_DOMAIN = ids.FailureDomain('x')
_ADDRESS = ids.Address('10.0.0.1', 1)


class _Log:
    """A log as a host that froze sees it."""

    def __init__(self) -> None:
        self.told = _HERE
        self.contact = float('inf')

    def leader(self) -> ids.HostId:
        """Return who leads."""
        return self.told

    def is_leading(self) -> bool:
        """Return whether it is this host, as far as it knows."""
        return self.told == _HERE

    def leads_since(self, at: float) -> bool:
        """Return whether a majority followed since then."""
        return self.is_leading() and self.contact >= at


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
        """Freeze the machine; nothing is known of the log since."""
        loop = asyncio.get_running_loop()
        self.log.contact = loop.time()
        typing.cast(virtual.VirtualTimeLoop, loop).freeze(seconds)

    async def ping(self) -> ttypes.Pong:
        """Ask the control host whether it coordinates."""
        ping = ttypes.Ping(_DOMAIN, leaving=False, share=0.5)
        return await self._entry.call(_HERE, ping, 1)

    def coordinator(self) -> ids.HostId:
        """Return whom the control host takes for the coordinator."""
        return self.leadership.live(pool_coordination.ALL_DOMAINS)[0]


def _run(work: typing.Callable[[_Bed], typing.Awaitable[None]]) -> None:
    async def on_bed() -> None:
        bed = _Bed()
        await asyncio.sleep(1)
        await work(bed)
        bed.leadership.close()

    virtual.run(on_bed())


@pytest.mark.parametrize('seconds', [0.6, 1, 6, 60])
def test_frozen_coordinator_grants_nothing_when_it_wakes(
    seconds: float,
) -> None:
    """It knows by its own clock that it may have been replaced."""

    async def work(bed: _Bed) -> None:
        bed.freeze(seconds)
        assert bed.coordinator() == _NOBODY
        pong = await bed.ping()
        assert not pong.leads
        assert not pong.stands_in

    _run(work)


def test_it_goes_on_once_a_majority_follows_it() -> None:
    """It froze for less than an election took."""

    async def work(bed: _Bed) -> None:
        bed.freeze(0.7)
        assert bed.coordinator() == _NOBODY
        bed.log.contact = asyncio.get_running_loop().time()
        assert bed.coordinator() == _HERE
        assert (await bed.ping()).leads

    _run(work)


def test_its_queues_go_when_it_leads_no_more() -> None:
    """Whoever follows it there is told so, though it hears no leader yet."""

    async def work(bed: _Bed) -> None:
        seen = []
        bed.leadership.changes.subscribe(
            lambda _: seen.append(bed.coordinator()),
        )
        bed.freeze(6)
        bed.log.told = _NOBODY
        await asyncio.sleep(0.25)
        assert seen
        assert set(seen) == {_NOBODY}
        bed.log.told = _OTHER
        await asyncio.sleep(0.2)
        assert bed.coordinator() == _OTHER

    _run(work)


def test_it_stands_in_where_nobody_leads_for_long() -> None:
    """Its side of a cut is served all the same."""

    async def work(bed: _Bed) -> None:
        bed.freeze(6)
        bed.log.told = _NOBODY
        await asyncio.sleep(1.3)
        assert bed.coordinator() == _HERE
        assert (await bed.ping()).stands_in

    _run(work)


def test_host_that_is_only_slow_goes_on() -> None:
    """Pauses shorter than any election change nothing."""

    async def work(bed: _Bed) -> None:
        for _ in range(10):
            bed.freeze(0.4)
            assert bed.coordinator() == _HERE
            await asyncio.sleep(0.05)

    _run(work)
