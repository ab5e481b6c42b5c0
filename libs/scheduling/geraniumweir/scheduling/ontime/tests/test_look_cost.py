"""Cost of one scheduling cycle over a long queue, in function calls.

The fault: in a burst on 39 engines each cycle compared up to 128 requests with
up to 16 servers, though none of them could be on time there. The coordinator's
processor was full, half of it with cycles, so its answers to all hosts came
late, and with them all responses.
"""

import asyncio
import sys
import types
import typing

from geraniumweir.common import virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play

_SERVERS = 39
_WAITING = 400
# For each waiting request and each server, not for each pair of them: enough to
# sort the queue and to check each server once.
_MAX_CALLS_EACH = 60


class _Calls:
    """Counter of calls of functions written in Python."""

    def __init__(self) -> None:
        self.call_count = 0

    def __enter__(self) -> '_Calls':
        sys.setprofile(self._count)
        return self

    def __exit__(self, *_: object) -> None:
        sys.setprofile(None)

    def _count(
        self,
        _frame: types.FrameType,
        event: str,
        _arg: typing.Any,
    ) -> None:
        self.call_count += event == 'call'


async def _fill_servers(pool: leader.OnTimePoolLeader) -> list[requests.Grant]:
    """Fill all slots but one of each server, with slow first tokens."""
    now = asyncio.get_running_loop().time
    grants = []
    for number in range(_SERVERS * 3):
        slot_request = play.make_request(
            f'running {number}', now(), target=now() + 1e6
        )
        found = await pool.request_slot(slot_request)
        assert isinstance(found, requests.Grant)
        pool.progress(requests.Progress(found.request_id, 0.5, 1))
        grants.append(found)
    return grants


def test_cycle_cost_when_no_open_server_is_suitable() -> None:
    """It costs about as much as sorting the queue and checking each server."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        servers = [play.server(f's{number}') for number in range(_SERVERS)]
        pool = play.make_leader(*servers, now=loop.time)
        await _fill_servers(pool)
        tasks = [
            asyncio.create_task(
                pool.request_slot(play.make_request(str(number), loop.time()))
            )
            for number in range(_WAITING)
        ]
        await asyncio.sleep(0)
        with _Calls() as calls:
            pool.grant_waiting()
            await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()
        assert calls.call_count < _MAX_CALLS_EACH * (_WAITING + _SERVERS)

    virtual.run(work())
