"""A backend server that restarts under its id has lost all its requests."""

import asyncio
import dataclasses
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.membership import servers
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play


class _Pool:
    """A pool of one server of two slots that restarts on demand."""

    def __init__(self) -> None:
        self._live = [play.server('a', 2)]
        now = asyncio.get_running_loop().time
        cfg = leader.settings.LeaderSettings(play.POOL)
        self.leader = leader.OnTimePoolLeader(cfg, now, self._servers)

    def restart(self) -> None:
        """Announce the next incarnation of the server."""
        before = self._live[0]
        next_incarnation = ids.Incarnation(before.incarnation + 1)
        self._live = [dataclasses.replace(before, incarnation=next_incarnation)]
        self.leader.grant_waiting()

    async def granted(
        self,
        name: str,
        **changes: typing.Any,
    ) -> requests.Grant:
        """Request a slot and return the immediate grant."""
        now = asyncio.get_running_loop().time()
        async with asyncio.timeout(0.01):
            found = await self.leader.request_slot(
                play.make_request(name, now, **changes)
            )
        assert isinstance(found, requests.Grant)
        return found

    def end(self, name: str, outcome: requests.Outcome) -> None:
        """Release a grant."""
        self.leader.release(requests.Release(ids.RequestId(name), outcome))

    def _servers(self) -> list[servers.Announcement]:
        return self._live


def test_new_incarnation_has_all_its_slots() -> None:
    """Requests of the old one are lost and hold no slots."""

    async def work() -> None:
        pool = _Pool()
        await pool.granted('1')
        await pool.granted('2')
        pool.restart()
        grants = [await pool.granted('3'), await pool.granted('4')]
        assert {found.incarnation for found in grants} == {2}

    virtual.run(work())


def test_failures_of_the_old_incarnation_start_no_cooldown() -> None:
    """Two of them would start a cooldown of the new one."""

    async def work() -> None:
        pool = _Pool()
        await pool.granted('1')
        await pool.granted('2')
        pool.restart()
        await pool.granted('3')
        pool.end('1', requests.Outcome.failed)
        pool.end('2', requests.Outcome.failed)
        await pool.granted('4')

    virtual.run(work())


def test_server_whose_address_was_taken_can_return() -> None:
    """Another server answered at its address before it restarted."""

    async def work() -> None:
        pool = _Pool()
        await pool.granted('1')
        pool.end('1', requests.Outcome.wrong_server)
        pool.restart()
        await pool.granted('2')

    virtual.run(work())


def test_request_that_crashes_each_incarnation_is_quarantined() -> None:
    """Two incarnations ended under it alone, without an incomplete response."""

    async def work() -> None:
        pool = _Pool()
        content = ids.Fingerprint(5)
        for number in range(2):
            await pool.granted(str(number), fingerprint=content)
            pool.restart()
            await asyncio.sleep(1)
        now = asyncio.get_running_loop().time()
        again = play.make_request('again', now, fingerprint=content)
        found = await pool.leader.request_slot(again)
        assert isinstance(found, requests.Denial)
        assert found.reason is requests.DenialReason.quarantined

    virtual.run(work())
