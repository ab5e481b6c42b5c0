"""A backend server that starts again under its id holds and knows nothing."""

import asyncio
import dataclasses
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.membership import servers
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play


class _Pool:
    """A pool of one server of two slots, which starts again when told."""

    def __init__(self) -> None:
        self._live = [play.server('a', 2)]
        now = asyncio.get_running_loop().time
        cfg = leader.settings.LeaderSettings(play.POOL)
        self.leader = leader.OnTimePoolLeader(cfg, now, self._servers)

    def start_again(self) -> None:
        """Let the server be known by its next start."""
        before = self._live[0]
        born = ids.Incarnation(before.incarnation + 1)
        self._live = [dataclasses.replace(before, incarnation=born)]
        self.leader.grant_waiting()

    async def granted(
        self,
        name: str,
        **changes: typing.Any,
    ) -> requests.Grant:
        """Ask and be granted at once."""
        now = asyncio.get_running_loop().time()
        async with asyncio.timeout(0.01):
            found = await self.leader.request_slot(
                play.slot_request(name, now, **changes)
            )
        assert isinstance(found, requests.Grant)
        return found

    def end(self, name: str, how: requests.Outcome) -> None:
        """Give a grant back."""
        self.leader.release(requests.Release(ids.RequestId(name), how))

    def _servers(self) -> list[servers.Announcement]:
        return self._live


def test_new_start_has_all_its_slots() -> None:
    """What ran on the one before is lost and keeps none."""

    async def work() -> None:
        pool = _Pool()
        await pool.granted('1')
        await pool.granted('2')
        pool.start_again()
        grants = [await pool.granted('3'), await pool.granted('4')]
        assert {found.incarnation for found in grants} == {2}

    virtual.run(work())


def test_ends_of_the_start_before_count_for_nothing() -> None:
    """Two broken answers of it would let the new one rest."""

    async def work() -> None:
        pool = _Pool()
        await pool.granted('1')
        await pool.granted('2')
        pool.start_again()
        await pool.granted('3')
        pool.end('1', requests.Outcome.failed)
        pool.end('2', requests.Outcome.failed)
        await pool.granted('4')

    virtual.run(work())


def test_start_whose_address_was_taken_is_not_the_next_one() -> None:
    """The server answered as another one, and then came back."""

    async def work() -> None:
        pool = _Pool()
        await pool.granted('1')
        pool.end('1', requests.Outcome.wrong_server)
        pool.start_again()
        await pool.granted('2')

    virtual.run(work())


def test_request_that_crashes_each_start_is_quarantined() -> None:
    """Two starts were lost under it alone, without a broken answer."""

    async def work() -> None:
        pool = _Pool()
        mark = ids.Fingerprint(5)
        for number in range(2):
            await pool.granted(str(number), fingerprint=mark)
            pool.start_again()
            await asyncio.sleep(1)
        now = asyncio.get_running_loop().time()
        again = play.slot_request('again', now, fingerprint=mark)
        found = await pool.leader.request_slot(again)
        assert isinstance(found, requests.Denial)
        assert found.reason is requests.DenialReason.quarantined

    virtual.run(work())
