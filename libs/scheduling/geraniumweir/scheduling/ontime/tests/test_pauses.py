"""Requests of a host to servers that asked it for a pause."""

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
_REJECTION_SECONDS = 0.002
_PAUSE_SECONDS = 3


@dataclasses.dataclass(slots=True)
class _Pool:
    """A pool of servers of which some reject requests.

    :ivar rejects: returns whether a server rejects a request of a host.
    :ivar pauses: ends of pauses, by host and server.
    :ivar received: hosts and times of the requests, by server.
    :ivar denied: all denials of the leader.
    """

    servers: tuple[str, ...]
    rejects: typing.Callable[[str, ids.HostId], bool] = lambda *_: False
    pauses: dict[ids.HostId, dict[notices.ServerIncarnation, float]] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    received: dict[str, list[tuple[ids.HostId, float]]] = dataclasses.field(
        default_factory=dict,
    )
    denied: list[requests.Denial] = dataclasses.field(default_factory=list)

    def make_leader(self) -> leader.OnTimePoolLeader:
        known = [play.server(name) for name in self.servers]
        return leader.OnTimePoolLeader(
            settings.LeaderSettings(play.POOL),
            asyncio.get_running_loop().time,
            lambda: known,
            pauses=self._current_pauses,
        )

    def start_pause(self, server: str, host: ids.HostId) -> None:
        """Make a server ask a host for a pause."""
        start = (ids.ServerId(server), ids.Incarnation(1))
        until = asyncio.get_running_loop().time() + _PAUSE_SECONDS
        self.pauses.setdefault(host, {})[start] = until

    async def send_evenly(
        self,
        pool_leader: leader.OnTimePoolLeader,
        rate: float,
        seconds: float,
        hosts: typing.Sequence[ids.HostId] = _HOSTS,
    ) -> None:
        """Send requests evenly from hosts in turn and wait for their end."""
        async with asyncio.TaskGroup() as group:
            for number in range(int(rate * seconds)):
                host = hosts[number % len(hosts)]
                now = asyncio.get_running_loop().time()
                work = self.request_until_answered(
                    pool_leader, f'{now}-{number}', host
                )
                group.create_task(work)
                await asyncio.sleep(1 / rate)

    async def request_until_answered(
        self,
        pool_leader: leader.OnTimePoolLeader,
        name: str,
        host: ids.HostId,
        **changes: typing.Any,
    ) -> requests.Grant | requests.Denial:
        """Request slots until a server accepts or the leader denies."""
        started = asyncio.get_running_loop().time()
        while True:
            slot_request = play.make_request(
                name, started, owner=host, **changes
            )
            answer = await pool_leader.request_slot(slot_request)
            if isinstance(answer, requests.Denial):
                self.denied.append(answer)
                return answer
            if await self._run(pool_leader, answer, host):
                return answer

    async def _run(
        self,
        pool_leader: leader.OnTimePoolLeader,
        grant: requests.Grant,
        host: ids.HostId,
    ) -> bool:
        now = asyncio.get_running_loop().time()
        self.received.setdefault(grant.server_id, []).append((host, now))
        rejected = self.rejects(grant.server_id, host)
        if rejected:
            self.start_pause(grant.server_id, host)
        hold_seconds = _REJECTION_SECONDS if rejected else _HELD_SECONDS
        await asyncio.sleep(hold_seconds)
        done = requests.Outcome.done
        outcome = requests.Outcome.turned_away if rejected else done
        pool_leader.release(
            requests.Release(
                grant.request_id, outcome, hold_seconds, 100, hold_seconds
            ),
        )
        return not rejected

    def _current_pauses(
        self, host: ids.HostId
    ) -> dict[notices.ServerIncarnation, float]:
        now = asyncio.get_running_loop().time()
        asked = self.pauses.get(host, {})
        return {start: until for start, until in asked.items() if now < until}


@pytest.mark.parametrize(('rate', 'others'), [(20, 0), (100, 100)])
def test_server_gets_nothing_from_a_host_that_it_paused(
    rate: float,
    others: int,
) -> None:
    """A server that rejects only one host still serves the others."""

    async def work() -> None:
        pool = _Pool(
            ('needy', 'sound'),
            lambda server, host: server == 'needy' and host == _HOSTS[0],
        )
        pool_leader = pool.make_leader()
        await pool.send_evenly(pool_leader, rate, 12)
        assert not pool.denied
        asked = [
            host for host, _ in pool.received['needy'] if host == _HOSTS[0]
        ]
        assert 1 <= len(asked) <= 12 / _PAUSE_SECONDS + 1
        assert len(pool.received['needy']) - len(asked) >= others

    virtual.run(work())


def test_requests_wait_for_the_first_server_whose_pause_ends() -> None:
    """Their callers have time to wait; those of other hosts go before them."""

    async def work() -> None:
        pool = _Pool(('a', 'b'))
        pool_leader = pool.make_leader()
        await pool.send_evenly(pool_leader, 20, 1)
        pool.start_pause('a', _HOSTS[0])
        await asyncio.sleep(1)
        pool.start_pause('b', _HOSTS[0])
        now = asyncio.get_running_loop().time()
        first = asyncio.create_task(
            pool.request_until_answered(
                pool_leader, 'first', _HOSTS[0], patience=now + 5
            ),
        )
        await asyncio.sleep(0.01)
        await pool.request_until_answered(pool_leader, 'second', _HOSTS[1])
        assert not first.done()
        grant = await first
        assert isinstance(grant, requests.Grant)
        assert grant.server_id == 'a'
        ended = asyncio.get_running_loop().time()
        assert now + 2 <= ended < now + 2.3

    virtual.run(work())


def test_requests_are_refused_at_once_when_all_pauses_are_too_long() -> None:
    """The denial carries the time until the first pause ends."""

    async def work() -> None:
        pool = _Pool(('a', 'b'))
        pool_leader = pool.make_leader()
        await pool.send_evenly(pool_leader, 20, 1)
        for server in pool.servers:
            pool.start_pause(server, _HOSTS[0])
        now = asyncio.get_running_loop().time()
        answer = await pool.request_until_answered(
            pool_leader, 'r', _HOSTS[0], patience=now + 2
        )
        assert isinstance(answer, requests.Denial)
        assert asyncio.get_running_loop().time() < now + 0.1
        assert answer.reason is requests.DenialReason.shed
        assert answer.retry_after_ms == pytest.approx(3000, abs=100)

    virtual.run(work())


def test_requests_for_paused_servers_do_not_delay_other_hosts() -> None:
    """They are more than the requests that a cycle tries in a row."""

    async def work() -> None:
        pool = _Pool(('a', 'b'))
        pool_leader = pool.make_leader()
        await pool.send_evenly(pool_leader, 20, 1)
        for server in pool.servers:
            pool.start_pause(server, _HOSTS[0])
        now = asyncio.get_running_loop().time()
        waiting = [
            asyncio.create_task(
                pool_leader.request_slot(
                    play.make_request(
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
        answer = await pool.request_until_answered(
            pool_leader, 'other', _HOSTS[1]
        )
        assert isinstance(answer, requests.Grant)
        assert asyncio.get_running_loop().time() < now + 0.5
        for task in waiting:
            task.cancel()

    virtual.run(work())
