"""The share of the quotas that a control host grants, from pings alone."""

import asyncio

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.control import leadership
from geraniumweir.wire import memory
from geraniumweir.wire.gen.control import ttypes

_HERE = ids.HostId('control')
_DOMAIN = ids.FailureDomain('x')
_SECONDS = 8
_ENTRY_HOSTS = ('e1', 'e2')


class _Log:
    """A log whose leader the test sets."""

    def __init__(self, leader: ids.HostId) -> None:
        self.leader_id = leader

    def leader(self) -> ids.HostId:
        """Return the leader."""
        return self.leader_id

    def is_leading(self) -> bool:
        """Return whether it is this host."""
        return self.leader_id == _HERE

    def leads_since(self, _at: float) -> bool:
        """Return whether this host leads."""
        return self.is_leading()


class _Bed:
    """A control host and two entry hosts that ping it."""

    def __init__(self, leader: str) -> None:
        network = memory.MemoryNetwork()
        address = ids.Address('10.0.0.1', 1)
        layer = network.join(_HERE, address)
        self.log = _Log(ids.HostId(leader))
        self.leadership = leadership.Leadership(
            layer,
            self.log,
            timers.TimerService(),
            _SECONDS,
        )
        self._links = {}
        for number, name in enumerate(_ENTRY_HOSTS, 2):
            link = network.join(
                ids.HostId(name),
                ids.Address(f'10.0.0.{number}', 1),
            )
            link.learn(_HERE, address)
            self._links[name] = link

    async def let_ping(self, seconds: float, *names: str) -> None:
        """Let some of the entry hosts ping for some seconds."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            for name in names:
                ping = ttypes.Ping(_DOMAIN, leaving=False, share=0.5)
                await self._links[name].call(_HERE, ping, 1)
            await asyncio.sleep(0.2)


@pytest.mark.parametrize('first', [_HERE, ''])
def test_share_granted_during_a_partition_returns_gradually(first: str) -> None:
    """Whether the host leads from its start or stands in first."""

    async def work() -> None:
        bed = _Bed(first)
        await bed.let_ping(2, *_ENTRY_HOSTS)
        bed.log.leader_id = _HERE
        await bed.let_ping(2, *_ENTRY_HOSTS)
        assert bed.leadership.share() == 1
        await bed.let_ping(6, 'e1')
        assert bed.leadership.share() == pytest.approx(0.5)
        await bed.let_ping(0.4, *_ENTRY_HOSTS)
        assert bed.leadership.share() * 10 < 7
        await bed.let_ping(_SECONDS, *_ENTRY_HOSTS)
        assert bed.leadership.share() == 1
        bed.leadership.close()

    virtual.run(work())


def test_new_coordinator_grants_whole_quotas() -> None:
    """Entry hosts that move to it were not partitioned from each other."""

    async def work() -> None:
        bed = _Bed('another')
        await bed.let_ping(1, *_ENTRY_HOSTS)
        await asyncio.sleep(3)
        bed.log.leader_id = _HERE
        await asyncio.sleep(0.2)
        await bed.let_ping(0.4, *_ENTRY_HOSTS)
        assert bed.leadership.share() == 1
        bed.leadership.close()

    virtual.run(work())
