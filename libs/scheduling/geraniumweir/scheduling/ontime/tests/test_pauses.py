"""What servers get of a host that they asked for a pause."""

import asyncio
import dataclasses
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import notices, requests, settings
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play

_HOSTS = tuple(ids.HostId(name) for name in ('entry-1', 'entry-2', 'entry-3'))
_HELD_SECONDS = 0.05
_AWAY_SECONDS = 0.002
_PAUSE_SECONDS = 3


@dataclasses.dataclass(slots=True)
class _Pool:
    """A pool of servers of which some turn requests away.

    :ivar shedding: tells whether a server turns a request of a host away.
    :ivar got: hosts and times of the requests that a server got, by server.
    """

    servers: tuple[str, ...]
    shedding: typing.Callable[[str, ids.HostId], bool] = lambda *_: False
    pauses: dict[ids.HostId, dict[notices.ServerIncarnation, float]] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    got: dict[str, list[tuple[ids.HostId, float]]] = dataclasses.field(
        default_factory=dict,
    )
    denied: list[requests.Denial] = dataclasses.field(default_factory=list)

    def lead(self) -> leader.OnTimePoolLeader:
        known = [play.server(name) for name in self.servers]
        return leader.OnTimePoolLeader(
            settings.LeaderSettings(play.POOL),
            asyncio.get_running_loop().time,
            lambda: known,
            pauses=self._paused,
        )

    def ask_for_pause(self, server: str, host: ids.HostId) -> None:
        """Let a server want nothing from a host for a while."""
        start = (ids.ServerId(server), ids.Incarnation(1))
        until = asyncio.get_running_loop().time() + _PAUSE_SECONDS
        self.pauses.setdefault(host, {})[start] = until

    async def offer(
        self,
        led: leader.OnTimePoolLeader,
        rate: float,
        seconds: float,
        hosts: typing.Sequence[ids.HostId] = _HOSTS,
    ) -> None:
        """Let requests come evenly to hosts in turn, wait for their end."""
        async with asyncio.TaskGroup() as group:
            for number in range(int(rate * seconds)):
                host = hosts[number % len(hosts)]
                now = asyncio.get_running_loop().time()
                work = self.serve(led, f'{now}-{number}', host)
                group.create_task(work)
                await asyncio.sleep(1 / rate)

    async def serve(
        self,
        led: leader.OnTimePoolLeader,
        name: str,
        host: ids.HostId,
        **changes: typing.Any,
    ) -> requests.Grant | requests.Denial:
        """Ask until a server takes the request, or the coordinator denies."""
        started = asyncio.get_running_loop().time()
        while True:
            slot_request = play.slot_request(
                name, started, owner=host, **changes
            )
            answer = await led.request_slot(slot_request)
            if isinstance(answer, requests.Denial):
                self.denied.append(answer)
                return answer
            if await self._run(led, answer, host):
                return answer

    async def _run(
        self,
        led: leader.OnTimePoolLeader,
        grant: requests.Grant,
        host: ids.HostId,
    ) -> bool:
        now = asyncio.get_running_loop().time()
        self.got.setdefault(grant.server_id, []).append((host, now))
        away = self.shedding(grant.server_id, host)
        if away:
            self.ask_for_pause(grant.server_id, host)
        held = _AWAY_SECONDS if away else _HELD_SECONDS
        await asyncio.sleep(held)
        done = requests.Outcome.done
        outcome = requests.Outcome.turned_away if away else done
        led.release(
            requests.Release(grant.request_id, outcome, held, 100, held),
        )
        return not away

    def _paused(
        self, host: ids.HostId
    ) -> dict[notices.ServerIncarnation, float]:
        now = asyncio.get_running_loop().time()
        asked = self.pauses.get(host, {})
        return {start: until for start, until in asked.items() if now < until}


@pytest.mark.parametrize(('rate', 'others'), [(20, 0), (100, 100)])
def test_server_gets_nothing_from_the_host_that_it_asked(
    rate: float,
    others: int,
) -> None:
    """One that turns away a host alone serves the others meanwhile."""

    async def work() -> None:
        pool = _Pool(
            ('needy', 'sound'),
            lambda server, host: server == 'needy' and host == _HOSTS[0],
        )
        led = pool.lead()
        await pool.offer(led, rate, 12)
        assert not pool.denied
        asked = [host for host, _ in pool.got['needy'] if host == _HOSTS[0]]
        assert 1 <= len(asked) <= 12 / _PAUSE_SECONDS + 1
        assert len(pool.got['needy']) - len(asked) >= others

    virtual.run(work())


def test_requests_of_a_host_that_all_servers_paused_wait_for_the_first() -> (
    None
):
    """While their callers are there; those of other hosts pass them."""

    async def work() -> None:
        pool = _Pool(('a', 'b'))
        led = pool.lead()
        await pool.offer(led, 20, 1)
        pool.ask_for_pause('a', _HOSTS[0])
        await asyncio.sleep(1)
        pool.ask_for_pause('b', _HOSTS[0])
        now = asyncio.get_running_loop().time()
        first = asyncio.create_task(
            pool.serve(led, 'first', _HOSTS[0], patience=now + 5),
        )
        await asyncio.sleep(0.01)
        await pool.serve(led, 'second', _HOSTS[1])
        assert not first.done()
        grant = await first
        assert isinstance(grant, requests.Grant)
        assert grant.server_id == 'a'
        ended = asyncio.get_running_loop().time()
        assert now + 2 <= ended < now + 2.3

    virtual.run(work())


def test_host_that_all_servers_paused_for_too_long_refuses_at_once() -> None:
    """It tells when the first of them takes something again."""

    async def work() -> None:
        pool = _Pool(('a', 'b'))
        led = pool.lead()
        await pool.offer(led, 20, 1)
        for server in pool.servers:
            pool.ask_for_pause(server, _HOSTS[0])
        now = asyncio.get_running_loop().time()
        answer = await pool.serve(led, 'r', _HOSTS[0], patience=now + 2)
        assert isinstance(answer, requests.Denial)
        assert asyncio.get_running_loop().time() < now + 0.1
        assert answer.reason is requests.DenialReason.shed
        assert answer.retry_after_ms == pytest.approx(3000, abs=100)

    virtual.run(work())


def test_many_that_wait_for_paused_servers_hold_up_no_other_host() -> None:
    """They are more than a look tries in a row."""

    async def work() -> None:
        pool = _Pool(('a', 'b'))
        led = pool.lead()
        await pool.offer(led, 20, 1)
        for server in pool.servers:
            pool.ask_for_pause(server, _HOSTS[0])
        now = asyncio.get_running_loop().time()
        waiting = [
            asyncio.create_task(
                led.request_slot(
                    play.slot_request(
                        f'w{number}',
                        now,
                        owner=_HOSTS[0],
                        patience=now + 9,
                        target=now + 0.3,
                    ),
                ),
            )
            for number in range(300)
        ]
        await asyncio.sleep(0.01)
        answer = await pool.serve(led, 'other', _HOSTS[1])
        assert isinstance(answer, requests.Grant)
        assert asyncio.get_running_loop().time() < now + 0.5
        for task in waiting:
            task.cancel()

    virtual.run(work())
