"""Requests that crash the servers that run them are quarantined in time."""

import asyncio
import dataclasses
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play

_CONTENT = ids.Fingerprint(7)
_LEASE_SECONDS = 1.5
_RESTART_SECONDS = 0.8


class _Pool:
    """A pool whose servers stop reporting on demand."""

    def __init__(self, *names: str) -> None:
        self._live = {
            name: dataclasses.replace(
                play.server(name), address=ids.Address('127.0.0.1', port)
            )
            for port, name in enumerate(names, 1)
        }
        self._number = 0
        self._ended: set[str] = set()
        self._now = asyncio.get_running_loop().time
        cfg = leader.settings.LeaderSettings(play.POOL)
        self.leader = leader.OnTimePoolLeader(
            cfg,
            self._now,
            lambda: list(self._live.values()),
        )

    async def send(
        self,
        outcome: requests.Outcome,
        content: ids.Fingerprint = _CONTENT,
    ) -> str | None:
        """Send a request that ends with the given outcome.

        :returns: the server that got it, None if it was refused.
        """
        self._number += 1
        slot_request = play.make_request(
            str(self._number), self._now(), fingerprint=content
        )
        answer = await self.leader.request_slot(slot_request)
        if isinstance(answer, requests.Denial):
            assert answer.reason is requests.DenialReason.quarantined
            return None
        if answer.server_id in self._ended:
            self._release(slot_request, requests.Outcome.not_sent)
            return await self.send(outcome, content)
        self._release(slot_request, outcome)
        return answer.server_id

    def _release(
        self, slot_request: requests.SlotRequest, outcome: requests.Outcome
    ) -> None:
        self.leader.release(requests.Release(slot_request.request_id, outcome))

    async def restart(self, name: str) -> None:
        """Start a server again, under another id at the same address.

        What was known of it stays announced: its lease has not ended.
        """
        await asyncio.sleep(_RESTART_SECONDS)
        new = f'{name}+'
        address = self._live[name].address
        started = dataclasses.replace(play.server(new), address=address)
        self._live[new] = started
        self._ended.add(name)
        self.leader.grant_waiting()

    async def expire(self, name: str) -> None:
        """Keep a server silent until its lease has ended."""
        await asyncio.sleep(_LEASE_SECONDS)
        self._live.pop(name)
        self.leader.grant_waiting()


def _run(work: typing.Callable[[], typing.Awaitable[None]]) -> None:
    async def on_loop() -> None:
        await work()

    virtual.run(on_loop())


def test_request_under_which_two_servers_ended_is_refused() -> None:
    """Its owners got incomplete responses before."""

    async def work() -> None:
        pool = _Pool('a', 'b', 'c')
        for _ in range(2):
            server = await pool.send(requests.Outcome.failed)
            assert server is not None
            await pool.expire(server)
        assert await pool.send(requests.Outcome.failed) is None
        other = ids.Fingerprint(8)
        assert await pool.send(requests.Outcome.done, other) is not None

    _run(work)


def test_good_answers_since_clear_an_incomplete_one() -> None:
    """The incomplete response before them had another cause."""

    async def work() -> None:
        pool = _Pool('a', 'b', 'c')
        for number in range(2):
            server = await pool.send(requests.Outcome.failed)
            assert server is not None
            await asyncio.sleep(1)
            good = None
            while good != server:
                content = ids.Fingerprint(100 + number)
                good = await pool.send(requests.Outcome.done, content)
                await asyncio.sleep(0.1)
            await pool.expire(server)
        assert await pool.send(requests.Outcome.done) is not None

    _run(work)


def test_content_that_ended_well_since_is_not_suspected() -> None:
    """Many callers send the same content."""

    async def work() -> None:
        pool = _Pool('a', 'b', 'c')
        for _ in range(2):
            server = await pool.send(requests.Outcome.failed)
            assert server is not None
            assert await pool.send(requests.Outcome.done) is not None
            await pool.expire(server)
        assert await pool.send(requests.Outcome.done) is not None

    _run(work)


def test_servers_that_leave_cause_no_suspicion() -> None:
    """None of their responses was incomplete."""

    async def work() -> None:
        pool = _Pool('a', 'b', 'c')
        for name in ('a', 'b'):
            await pool.send(requests.Outcome.done)
            await pool.expire(name)
        assert await pool.send(requests.Outcome.done) == 'c'

    _run(work)


def test_end_long_after_an_incomplete_answer_causes_no_suspicion() -> None:
    """The server didn't end because of that request."""

    async def work() -> None:
        pool = _Pool('a', 'b', 'c')
        for _ in range(2):
            server = await pool.send(requests.Outcome.failed)
            assert server is not None
            await asyncio.sleep(20)
            await pool.expire(server)
        assert await pool.send(requests.Outcome.done) is not None

    _run(work)


def test_request_repeated_at_once_is_found_among_others() -> None:
    """Other requests on both servers were incomplete at the same moment."""

    async def work() -> None:
        pool = _Pool('a', 'b', 'c', 'd')
        ended = set()
        for beside in range(10, 12):
            ended.add(await pool.send(requests.Outcome.failed))
            await pool.send(requests.Outcome.failed, ids.Fingerprint(beside))
        for server in ended:
            assert server is not None
            await pool.expire(server)
        assert await pool.send(requests.Outcome.failed) is None
        for beside in range(10, 12):
            content = ids.Fingerprint(beside)
            assert await pool.send(requests.Outcome.done, content) is not None

    _run(work)


def test_request_is_found_though_what_ran_beside_it_breaks_off_first() -> None:
    """So on the second server, too; it looks like a network partition."""

    async def work() -> None:
        pool = _Pool('a', 'b', 'c', 'd')
        ended = set()
        for beside in range(10, 12):
            await pool.send(requests.Outcome.failed, ids.Fingerprint(beside))
            ended.add(await pool.send(requests.Outcome.failed))
            await asyncio.sleep(0.5)
        for server in ended:
            assert server is not None
            await pool.expire(server)
        assert await pool.send(requests.Outcome.failed) is None

    _run(work)


def test_restart_under_another_id_is_found_to_be_a_crash() -> None:
    """Its lease ends seconds later, and each retry ends one more server."""

    async def work() -> None:
        pool = _Pool('a', 'b', 'c', 'd')
        for _ in range(2):
            server = await pool.send(requests.Outcome.failed)
            assert server is not None
            await pool.restart(server)
        assert await pool.send(requests.Outcome.failed) is None
        other = ids.Fingerprint(8)
        assert await pool.send(requests.Outcome.done, other) is not None

    _run(work)


def test_other_server_at_an_address_suspects_no_answered_request() -> None:
    """Only responses that were incomplete since the last good one count."""

    async def work() -> None:
        pool = _Pool('a', 'b', 'c', 'd')
        for name in ('a', 'b'):
            await pool.send(requests.Outcome.done)
            await pool.restart(name)
        assert await pool.send(requests.Outcome.done) is not None

    _run(work)
