"""Two entry hosts, one of which leads a pool, over any peer layer."""

import asyncio
import typing

from geraniumweir.common import ids, timers
from geraniumweir.membership import servers
from geraniumweir.scheduling import (
    broker,
    channel,
    deadline_leader,
    remote,
    requests,
    settings,
)
from geraniumweir.wire import peers

LEADER = ids.HostId('leader')
OWNER = ids.HostId('owner')
_DOMAIN = ids.FailureDomain('a')
_POOL = ids.PoolName('lm-advisori')
_SLOTS = 100000
_BLOCKS = 8
_HASH = 0xFEDCBA9876543210
_PROMPT_TOKENS = 400
_DEADLINE_SECONDS = 900.0
_FIRST_TOKEN = 0.1
_TOKENS = 20
_SECONDS = 0.2


class _View:
    """All that each host sees is the leader."""

    def __init__(self) -> None:
        self.changes: typing.Any = _Silent()

    def live(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        return [LEADER]

    def owners(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        return [LEADER]


class _Silent:
    def subscribe(self, _on_next: typing.Any) -> '_Silent':
        return self

    def dispose(self) -> None:
        """End nothing."""


class _NoOthers:
    def others(self, _pool: ids.PoolName) -> list[typing.Any]:
        return []


class Pair:
    """A broker on one host, the leader's service on the other."""

    def __init__(self, owner: peers.Peers, leading: peers.Peers) -> None:
        """Set both up; the peer layers are started already."""
        self._clock = timers.TimerService()
        self.broker = self._broker(owner)
        self._passive = self._broker(leading)
        link = channel.Channel(leading)
        self._service = remote.LeaderService(
            link,
            _View(),
            _DOMAIN,
            self._make_leader,
            self._clock,
        )

    async def cycles(self, count: int, callers: int) -> None:
        """Ask, tell of progress once and release, many times.

        :param callers: how many do so at a time.
        """
        numbers = iter(range(count))
        await asyncio.gather(*(self._repeat(numbers) for _ in range(callers)))

    def close(self) -> None:
        """Stop the periodic work."""
        self.broker.close()
        self._passive.close()
        self._service.close()

    async def _repeat(self, numbers: typing.Iterator[int]) -> None:
        for number in numbers:
            await self._cycle(ids.RequestId(f'{number:032x}'))

    async def _cycle(self, request_id: ids.RequestId) -> None:
        answer = await self.broker.request_slot(
            _ask(request_id, self._clock.now())
        )
        if isinstance(answer, requests.Denial):
            raise RuntimeError(f'denied: {answer.reason}')
        self.broker.progress(requests.Progress(request_id, _FIRST_TOKEN, 10))
        self.broker.release(
            requests.Release(
                request_id,
                requests.Outcome.done,
                _FIRST_TOKEN,
                _TOKENS,
                _SECONDS,
            ),
        )

    def _broker(self, layer: peers.Peers) -> broker.Broker:
        link = channel.Channel(layer)
        return broker.Broker(link, _DOMAIN, _View(), _NoOthers(), self._clock)

    def _make_leader(
        self,
        pool: ids.PoolName,
        on_preempt: remote.OnPreempt,
    ) -> deadline_leader.DeadlinePoolLeader:
        return deadline_leader.DeadlinePoolLeader(
            settings.LeaderSettings(pool),
            self._clock.now,
            lambda: [_SERVER],
            on_preempt,
        )


_SERVER = servers.Announcement(
    server_id=ids.ServerId('server'),
    incarnation=ids.Incarnation(1),
    address=ids.Address('127.0.0.1', 1),
    kind='engine',
    pool=_POOL,
    failure_domain=_DOMAIN,
    slots=_SLOTS,
)


def _ask(request_id: ids.RequestId, now: float) -> requests.SlotRequest:
    return requests.SlotRequest(
        request_id=request_id,
        owner=OWNER,
        pool=_POOL,
        customer=ids.CustomerName('liceo-volta'),
        rule=ids.RuleName('quick lookups'),
        tier=ids.Tier.normal,
        deadline=now + _DEADLINE_SECONDS,
        prompt_tokens=_PROMPT_TOKENS,
        blocks=tuple(
            ids.BlockHash(_HASH + number) for number in range(_BLOCKS)
        ),
        fingerprint=ids.Fingerprint(_HASH),
    )
