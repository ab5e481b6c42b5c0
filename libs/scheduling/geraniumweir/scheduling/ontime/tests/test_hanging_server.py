"""A plain server that accepts requests and answers none.

The fault: callers of short requests left before their requests counted as lost,
so the server never counted as hanging and a third of all requests went there
for as long as it hung.
"""

import asyncio
import collections
import math
import random

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play

_HANGING = ids.ServerId('hangs')
_SECONDS = 6
_RATE = 120
_WORK_SECONDS = 0.05
# Callers get an answer within this time or leave.
_TIMEOUT_SECONDS = 0.8


async def _call(
    pool: leader.OnTimePoolLeader,
    number: int,
    sent: collections.Counter[ids.ServerId],
) -> None:
    loop = asyncio.get_running_loop()
    start = loop.time()
    slot_request = play.make_request(
        str(number),
        start,
        deadline=start + _TIMEOUT_SECONDS,
        target=start + 0.2,
        patience=math.inf,
        prompt_tokens=0,
        max_tokens=1,
        likely_tokens=1,
        streams=False,
        fingerprint=ids.Fingerprint(number),
    )
    answer = await pool.request_slot(slot_request)
    if isinstance(answer, requests.Denial):
        return
    sent[answer.server_id] += 1
    if answer.server_id == _HANGING:
        await asyncio.sleep(start + _TIMEOUT_SECONDS - loop.time())
        cancelled = requests.Outcome.cancelled
        pool.release(requests.Release(slot_request.request_id, cancelled))
        return
    await asyncio.sleep(_WORK_SECONDS)
    done = requests.Outcome.done
    pool.release(
        requests.Release(
            slot_request.request_id, done, _WORK_SECONDS, 1, _WORK_SECONDS
        ),
    )


async def _run(seed: int) -> collections.Counter[ids.ServerId]:
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    pool = play.make_leader(
        *(play.server(name, 6) for name in (_HANGING, 'a', 'b')), now=loop.time
    )
    sent: collections.Counter[ids.ServerId] = collections.Counter()
    start = loop.time()
    async with asyncio.TaskGroup() as group:
        number = 0
        while loop.time() - start < _SECONDS:
            await asyncio.sleep(rng.expovariate(_RATE))
            number += 1
            group.create_task(_call(pool, number, sent))
    return sent


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_hanging_plain_server_gets_only_probes(seed: int) -> None:
    """Before it counts as hanging its slots fill up a few times at most."""
    sent = virtual.run(_run(seed))
    assert sent[_HANGING] <= 4 * 6
    assert sent.total() > 0.9 * _RATE * _SECONDS
