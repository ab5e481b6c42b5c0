"""Tests of the broker and the leader service over real sockets."""

import asyncio
import contextlib
import typing

from geraniumweir.common import ids, timers
from geraniumweir.scheduling import (
    broker,
    channel,
    deadline_leader,
    remote,
    requests,
    settings,
)
from geraniumweir.scheduling.tests import world as worlds
from geraniumweir.wire import tcp

_DOMAIN = ids.FailureDomain('a')
_FIRST = ids.HostId('a-0')
_SECOND = ids.HostId('a-1')
_ANY = ids.Address('127.0.0.1', 0)


class _NoOthers:
    def others(self, _pool: ids.PoolName) -> list[typing.Any]:
        return []


class _Node:
    """Entry host with sockets; the first one leads initially."""

    def __init__(self, host_id: ids.HostId) -> None:
        self.peers = tcp.TcpPeers(host_id, _ANY)
        self.view = worlds.View({_DOMAIN: [_FIRST]})
        self.clock = timers.TimerService()
        link = channel.Channel(self.peers)
        self.broker = broker.Broker(
            link,
            _DOMAIN,
            self.view,
            _NoOthers(),
            self.clock,
        )
        self.service = remote.LeaderService(
            link,
            self.view,
            _DOMAIN,
            self._make_leader,
            self.clock,
        )

    async def serve(self, name: str, go_on: asyncio.Event) -> requests.Grant:
        """Request a slot, use it until the event is set, release it."""
        deadline = self.clock.now() + 30
        request = worlds.slot_request(self.peers.host_id, name, deadline)
        grant = await self.broker.request_slot(request)
        assert isinstance(grant, requests.Grant)
        await go_on.wait()
        done = requests.Outcome.done
        self.broker.release(requests.Release(request.request_id, done))
        return grant

    def _make_leader(
        self,
        pool: ids.PoolName,
        on_preempt: remote.OnPreempt,
    ) -> deadline_leader.DeadlinePoolLeader:
        return deadline_leader.DeadlinePoolLeader(
            settings.LeaderSettings(pool, takeover_seconds=1),
            self.clock.now,
            lambda: [worlds.server(_DOMAIN, 0)],
            on_preempt,
        )


@contextlib.asynccontextmanager
async def _nodes() -> typing.AsyncIterator[tuple[_Node, _Node]]:
    first = _Node(_FIRST)
    second = _Node(_SECOND)
    await first.peers.start()
    await second.peers.start()
    first.peers.learn(_SECOND, second.peers.address)
    second.peers.learn(_FIRST, first.peers.address)
    yield first, second
    for node in (first, second):
        node.broker.close()
        node.service.close()
        await node.peers.close()


def test_leader_moves_with_grants_open_and_requests_waiting() -> None:
    """Every message type is sent over sockets and decoded."""

    async def scenario() -> None:
        async with _nodes() as (first, second):
            go_on = asyncio.Event()
            tasks = [
                asyncio.create_task(second.serve(f'r{number}', go_on))
                for number in range(worlds.SLOTS + 3)
            ]
            while first.service.pools() != [worlds.POOL]:
                await asyncio.sleep(0)
            for node in (first, second):
                node.view.see(_DOMAIN, [_SECOND])
            go_on.set()
            grants = await asyncio.gather(*tasks)
            assert len(grants) == worlds.SLOTS + 3
            assert first.service.pools() == []
            assert second.service.pools() == [worlds.POOL]

    asyncio.run(scenario())
