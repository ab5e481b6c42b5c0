"""Simulation of a load on a pool in virtual time."""

import asyncio
import dataclasses
import random
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.membership import servers
from geraniumweir.scheduling import requests, settings
from geraniumweir.scheduling.ontime import leader

POOL = ids.PoolName('pool')
_PERCENT = 100


def server(name: str, slots: int = 4) -> servers.Announcement:
    """Return a backend server."""
    return servers.Announcement(
        ids.ServerId(name),
        ids.Incarnation(1),
        ids.Address('127.0.0.1', 1),
        'engine',
        POOL,
        ids.FailureDomain('x'),
        slots=slots,
    )


def make_request(
    name: str, now: float, **changes: typing.Any
) -> requests.SlotRequest:
    """Return a slot request whose first token is due within 0.4 s."""
    slot_request = requests.SlotRequest(
        ids.RequestId(name),
        ids.HostId('entry'),
        POOL,
        ids.CustomerName('customer'),
        ids.RuleName('rule'),
        ids.Tier.normal,
        now + 10,
        prompt_tokens=100,
        max_tokens=100,
        likely_tokens=100,
        fingerprint=ids.Fingerprint(hash(name)),
        target=now + 0.4,
        patience=now + 2.4,
    )
    return dataclasses.replace(slot_request, **changes)


def make_leader(
    *announced_servers: servers.Announcement,
    now: typing.Callable[[], float],
) -> leader.OnTimePoolLeader:
    """Return a leader of some servers."""
    return leader.OnTimePoolLeader(
        settings.LeaderSettings(POOL), now, lambda: announced_servers
    )


@dataclasses.dataclass(slots=True)
class Load:
    """A load on a pool of servers that hold a slot for a fixed time.

    :ivar rate: requests a second, by second of the simulation.
    :ivar hold_seconds: time for which a request holds a slot.
    :ivar slots: slots of the only server of :func:`run`.
    :ivar target: seconds within which a first token is due.
    :ivar patience: seconds after which a caller without a first token leaves.
    :ivar rank: importance, 0 is the highest.
    :ivar tokens: output tokens of a request.
    :ivar given_up_ratio: fraction of the grants that their owners give up, as
        their callers have left meanwhile.
    """

    rate: typing.Sequence[float]
    hold_seconds: float = 0.5
    slots: int = 20
    target: float = 0.4
    patience: float = 2.4
    rank: int = 0
    tokens: int = 100
    given_up_ratio: float = 0


@dataclasses.dataclass(slots=True)
class Result:
    """Responses that callers got, by second of their first request.

    :ivar on_time: first tokens before their targets.
    :ivar first_requests: all callers.
    """

    on_time: dict[int, int] = dataclasses.field(default_factory=dict)
    first_requests: dict[int, int] = dataclasses.field(default_factory=dict)

    def share(self, first: int, last: int) -> float:
        """Return the percentage on time over a range of seconds.

        :param last: included.
        """
        seconds = range(first, last + 1)
        first_requests = sum(
            self.first_requests.get(second, 0) for second in seconds
        )
        on_time = sum(self.on_time.get(one, 0) for one in seconds)
        return _PERCENT * on_time / first_requests


def run(load: Load) -> Result:
    """Simulate a load on one server; refused callers retry once."""
    return run_loads({'': load}, [load.slots])['']


def run_loads(
    loads: typing.Mapping[str, Load],
    slots: typing.Sequence[int],
) -> dict[str, Result]:
    """Simulate several loads on one pool.

    :param slots: number of slots of each server, instead of those of the loads.
    """
    return virtual.run(_run(loads, slots))


async def _run(
    loads: typing.Mapping[str, Load],
    slots: typing.Sequence[int],
) -> dict[str, Result]:
    loop = asyncio.get_running_loop()
    announced_servers = [
        server(f'a{place}', one) for place, one in enumerate(slots)
    ]
    pool = make_leader(*announced_servers, now=loop.time)
    results = {name: Result() for name in loads}
    rng = random.Random(1)
    callers = []
    start = loop.time()
    for kind, load in loads.items():
        for second, rate in enumerate(load.rate):
            for number in range(int(rate)):
                due = start + second + rng.random()
                name = f'{kind}{second}-{number}'
                work = _caller(pool, load, results[kind], name, due)
                callers.append(asyncio.create_task(work))
    await asyncio.gather(*callers)
    return results


async def _caller(
    pool: leader.OnTimePoolLeader,
    load: Load,
    result: Result,
    name: str,
    due: float,
) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(due - loop.time())
    second = int(due)
    result.first_requests[second] = result.first_requests.get(second, 0) + 1
    for attempt in range(2):
        now = loop.time()
        slot_request = make_request(f'{name}.{attempt}', now)
        content = ids.Fingerprint(hash(name))
        slot_request = dataclasses.replace(
            slot_request,
            fingerprint=content,
            target=now + load.target,
            patience=now + load.patience,
            rank=load.rank,
            max_tokens=load.tokens,
            likely_tokens=load.tokens,
        )
        answer = await _request_slot(pool, slot_request)
        if isinstance(answer, requests.Grant):
            if _is_given_up(load, name):
                given_up = requests.Outcome.given_up
                pool.release(requests.Release(answer.request_id, given_up))
                return
            await _serve(pool, load, answer)
            if loop.time() - load.hold_seconds + 0.06 <= due + load.target:
                result.on_time[second] = result.on_time.get(second, 0) + 1
            return
        if answer is None:
            return
        await asyncio.sleep(min(answer.retry_after_ms / 1000, 3.3))


def _is_given_up(load: Load, name: str) -> bool:
    return random.Random(name).random() < load.given_up_ratio


async def _request_slot(
    pool: leader.OnTimePoolLeader,
    slot_request: requests.SlotRequest,
) -> requests.Grant | requests.Denial | None:
    try:
        async with asyncio.timeout_at(slot_request.patience):
            return await pool.request_slot(slot_request)
    except TimeoutError:
        return None


async def _serve(
    pool: leader.OnTimePoolLeader,
    load: Load,
    grant: requests.Grant,
) -> None:
    await asyncio.sleep(0.06)
    pool.progress(requests.Progress(grant.request_id, 0.06, 1))
    await asyncio.sleep(load.hold_seconds - 0.06)
    done = requests.Outcome.done
    pool.release(
        requests.Release(
            grant.request_id, done, 0.06, load.tokens, load.hold_seconds
        ),
    )
