"""Plays a load on a pool in virtual time and counts what callers get."""

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
    """Make a backend server."""
    return servers.Announcement(
        ids.ServerId(name),
        ids.Incarnation(1),
        ids.Address('127.0.0.1', 1),
        'engine',
        POOL,
        ids.FailureDomain('x'),
        slots=slots,
    )


def slot_request(
    name: str, now: float, **changes: typing.Any
) -> requests.SlotRequest:
    """Make an ask whose first token is due within 0.4 s."""
    made = requests.SlotRequest(
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
    return dataclasses.replace(made, **changes)


def make(
    *known: servers.Announcement,
    now: typing.Callable[[], float],
) -> leader.OnTimePoolLeader:
    """Make a leader of some servers."""
    return leader.OnTimePoolLeader(
        settings.LeaderSettings(POOL), now, lambda: known
    )


@dataclasses.dataclass(slots=True)
class Load:
    """A load on a pool of servers that hold a slot for a fixed time.

    :ivar rate: requests a second, by second of the play.
    :ivar held: seconds that a request keeps a slot.
    :ivar target: seconds within which a first token is due.
    :ivar patience: seconds after which a caller without one leaves.
    :ivar rank: importance, 0 is the highest.
    :ivar tokens: of an output.
    :ivar given_up: part of the grants that their owners give up, as their
        callers have left meanwhile.
    """

    rate: typing.Sequence[float]
    held: float = 0.5
    slots: int = 20
    target: float = 0.4
    patience: float = 2.4
    rank: int = 0
    tokens: int = 100
    given_up: float = 0


@dataclasses.dataclass(slots=True)
class Result:
    """What callers got, by second of their first request."""

    on_time: dict[int, int] = dataclasses.field(default_factory=dict)
    asked: dict[int, int] = dataclasses.field(default_factory=dict)

    def share(self, first: int, last: int) -> float:
        """Give the percent on time over some seconds, the last one included."""
        seconds = range(first, last + 1)
        asked = sum(self.asked.get(second, 0) for second in seconds)
        on_time = sum(self.on_time.get(one, 0) for one in seconds)
        return _PERCENT * on_time / asked


def run(load: Load) -> Result:
    """Play a load; refused callers come back once."""
    return run_together({'': load}, [load.slots])['']


def run_together(
    loads: typing.Mapping[str, Load],
    slots: typing.Sequence[int],
) -> dict[str, Result]:
    """Play several loads on one pool.

    :param slots: of each server; those of the loads don't count.
    """
    return virtual.run(_run(loads, slots))


async def _run(
    loads: typing.Mapping[str, Load],
    slots: typing.Sequence[int],
) -> dict[str, Result]:
    loop = asyncio.get_running_loop()
    known = [server(f'a{place}', one) for place, one in enumerate(slots)]
    pool = make(*known, now=loop.time)
    results = {name: Result() for name in loads}
    chance = random.Random(1)
    callers = []
    start = loop.time()
    for kind, load in loads.items():
        for second, rate in enumerate(load.rate):
            for number in range(int(rate)):
                due = start + second + chance.random()
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
    result.asked[second] = result.asked.get(second, 0) + 1
    for attempt in range(2):
        now = loop.time()
        made = slot_request(f'{name}.{attempt}', now)
        content = ids.Fingerprint(hash(name))
        made = dataclasses.replace(
            made,
            fingerprint=content,
            target=now + load.target,
            patience=now + load.patience,
            rank=load.rank,
            max_tokens=load.tokens,
            likely_tokens=load.tokens,
        )
        answer = await _patient(pool, made)
        if isinstance(answer, requests.Grant):
            if _is_given_up(load, name):
                given_up = requests.Outcome.given_up
                pool.release(requests.Release(answer.request_id, given_up))
                return
            await _serve(pool, load, answer)
            if loop.time() - load.held + 0.06 <= due + load.target:
                result.on_time[second] = result.on_time.get(second, 0) + 1
            return
        if answer is None:
            return
        await asyncio.sleep(min(answer.retry_after_ms / 1000, 3.3))


def _is_given_up(load: Load, name: str) -> bool:
    return random.Random(name).random() < load.given_up


async def _patient(
    pool: leader.OnTimePoolLeader,
    made: requests.SlotRequest,
) -> requests.Grant | requests.Denial | None:
    try:
        async with asyncio.timeout_at(made.patience):
            return await pool.request_slot(made)
    except TimeoutError:
        return None


async def _serve(
    pool: leader.OnTimePoolLeader,
    load: Load,
    grant: requests.Grant,
) -> None:
    await asyncio.sleep(0.06)
    pool.progress(requests.Progress(grant.request_id, 0.06, 1))
    await asyncio.sleep(load.held - 0.06)
    done = requests.Outcome.done
    pool.release(
        requests.Release(grant.request_id, done, 0.06, load.tokens, load.held),
    )
