"""Decision time by waiting requests and servers.

Prints, for each size, the median time of an ask that has to wait, of a
release that grants the next request, and of an ask that finds a free server,
each with its ratio to the smallest size in the same run. Run it with
``python -m geraniumweir.fakes.bench_decisions``.
"""

import asyncio
import dataclasses
import itertools
import random
import statistics
import sys
import time
import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.scheduling import deadline_leader
from geraniumweir.scheduling import requests, settings

_WAITING = (10, 100, 1000, 10000)
_SERVERS = (10, 100, 1400)
_SLOTS = 8
_KV_TOKENS = 200000
_ROUNDS = 400
_HARDWARE = ('first', 'second', 'third')
_CUSTOMERS = 40
_RULES = 20
_BLOCKS = 16
_LONGEST_PROMPT = 6400
_DEADLINES = (900.0, 1800.0)
_MICRO = 1000000.0
_POOL = ids.PoolName('pool')


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Median microseconds of decisions at one size."""

    waiting: int
    servers: int
    ask: float
    release: float
    free: float


def measure(waiting: int, count: int) -> Figures:
    """Measure one size.

    :param waiting: requests in the queue.
    :param count: backend servers, all of them busy.
    """
    return asyncio.run(_measure(waiting, count))


async def _measure(waiting: int, count: int) -> Figures:
    now = asyncio.get_running_loop().time()
    asks = make_asks(random.Random(waiting * count), now)
    leader = make_leader(waiting, count)
    free, granted = fill_servers(leader, asks, count * _SLOTS)
    asked, released = _busy(leader, asks, waiting, granted[:_ROUNDS])
    return Figures(
        waiting,
        count,
        _median(asked),
        _median(released),
        _median(free),
    )


def _busy(
    leader: deadline_leader.DeadlinePoolLeader,
    asks: typing.Iterator[requests.SlotRequest],
    waiting: int,
    granted: list[ids.RequestId],
) -> tuple[list[float], list[float]]:
    """Time asks and releases while all servers are busy."""
    held = [begin(leader, next(asks)) for _ in range(waiting)]
    more, released = rounds(leader, zip(granted, asks))
    for coro, _, _ in held + more:
        coro.close()
    return [seconds for _, _, seconds in more], released


def rounds(
    leader: deadline_leader.DeadlinePoolLeader,
    coming: typing.Iterable[tuple[ids.RequestId, requests.SlotRequest]],
) -> tuple[list['_Began'], list[float]]:
    """Let one more wait, then end a grant, and so on.

    :param coming: the grant to end and the ask.
    :returns: what was begun, and the seconds of each release.
    """
    held = []
    released = []
    for request_id, ask in coming:
        held.append(begin(leader, ask))
        released.append(release(leader, request_id))
    return held, released


def _median(seconds: list[float]) -> float:
    return statistics.median(seconds) * _MICRO


def make_leader(waiting: int, count: int) -> deadline_leader.DeadlinePoolLeader:
    live = [_server(number) for number in range(count)]
    return deadline_leader.DeadlinePoolLeader(
        settings.LeaderSettings(_POOL, queue_limit=waiting * 2 + _ROUNDS),
        asyncio.get_running_loop().time,
        lambda: live,
        _ignore,
    )


def fill_servers(
    leader: deadline_leader.DeadlinePoolLeader,
    asks: typing.Iterator[requests.SlotRequest],
    slots: int,
) -> tuple[list[float], list[ids.RequestId]]:
    free: list[float] = []
    granted: list[ids.RequestId] = []
    for ask in itertools.islice(asks, slots):
        _, grant, seconds = begin(leader, ask)
        if grant is not None:
            free.append(seconds)
            granted.append(grant.request_id)
    return free, granted


_Began = tuple[
    typing.Coroutine[typing.Any, typing.Any, typing.Any],
    requests.Grant | None,
    float,
]


def begin(
    leader: deadline_leader.DeadlinePoolLeader, ask: requests.SlotRequest
) -> _Began:
    """Run an ask until it waits or is granted, and time that."""
    coro = leader.request_slot(ask)
    began = time.process_time()
    grant = None
    try:
        coro.send(None)
    except StopIteration as exc:
        grant = exc.value
    return coro, grant, time.process_time() - began


def release(
    leader: deadline_leader.DeadlinePoolLeader, request_id: ids.RequestId
) -> float:
    done = requests.Release(
        request_id,
        requests.Outcome.done,
        first_token=0.1,
        output_tokens=100,
        seconds=2,
    )
    began = time.process_time()
    leader.release(done)
    return time.process_time() - began


def make_asks(
    dice: random.Random, now: float
) -> typing.Iterator[requests.SlotRequest]:
    for number in itertools.count():
        start = dice.randrange(_RULES)
        yield requests.SlotRequest(
            request_id=ids.RequestId(f'request-{number}'),
            owner=ids.HostId('host'),
            pool=_POOL,
            customer=ids.CustomerName(f'customer-{number % _CUSTOMERS}'),
            rule=ids.RuleName(f'rule-{start}'),
            tier=dice.choice(list(ids.Tier)),
            deadline=now + dice.uniform(*_DEADLINES),
            model='advisor',
            prompt_tokens=dice.randrange(1, _LONGEST_PROMPT),
            blocks=tuple(
                ids.BlockHash(start + _RULES * block)
                for block in range(1, _BLOCKS)
            ),
            fingerprint=ids.Fingerprint(number + 1),
        )


def _server(number: int) -> servers.Announcement:
    return servers.Announcement(
        server_id=ids.ServerId(f'server-{number}'),
        incarnation=ids.Incarnation(1),
        address=ids.Address('127.0.0.1', 1),
        kind='engine',
        pool=_POOL,
        failure_domain=ids.FailureDomain('domain'),
        models=('advisor',),
        hardware=_HARDWARE[number % len(_HARDWARE)],
        slots=_SLOTS,
        kv_tokens=_KV_TOKENS,
        can_cancel=True,
    )


def _ignore(_preempt: requests.Preempt) -> None:
    """Leave the stream."""


def main() -> None:
    """Print the table."""
    least: Figures | None = None
    sys.stdout.write('waiting servers   ask us  ratio  release us  ratio')
    sys.stdout.write('  free us  ratio\n')
    for waiting, count in itertools.product(_WAITING, _SERVERS):
        figures = measure(waiting, count)
        least = least or figures
        sys.stdout.write(
            f'{waiting:7} {count:7} '
            f'{figures.ask:8.0f} {figures.ask / least.ask:6.2f} '
            f'{figures.release:11.0f} '
            f'{figures.release / least.release:6.2f} '
            f'{figures.free:8.0f} {figures.free / least.free:6.2f}\n',
        )


if __name__ == '__main__':
    main()
