"""What one look at a long queue costs, counted in calls of functions.

In a burst on 39 engines the coordinator's processor was full: each look
compared up to 128 requests with up to 16 servers, though none of them could be
on time there, and half of a processor went into looks. Answers to all hosts
came late, and with them all callers.
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
# For each that waits, and for each server, whatever one has to do with the
# other: enough to sort the queue and to look at each server once.
_CALLS_EACH = 60


class _Calls:
    """Counts calls of functions written in Python."""

    def __init__(self) -> None:
        self.number = 0

    def __enter__(self) -> '_Calls':
        sys.setprofile(self._note)
        return self

    def __exit__(self, *_: object) -> None:
        sys.setprofile(None)

    def _note(
        self,
        _frame: types.FrameType,
        event: str,
        _arg: typing.Any,
    ) -> None:
        self.number += event == 'call'


async def _slow_servers(pool: leader.OnTimePoolLeader) -> list[requests.Grant]:
    """Fill all slots but one of each server, with slow first tokens."""
    now = asyncio.get_running_loop().time
    grants = []
    for number in range(_SERVERS * 3):
        made = play.slot_request(f'running {number}', now(), target=now() + 1e6)
        found = await pool.request_slot(made)
        assert isinstance(found, requests.Grant)
        pool.progress(requests.Progress(found.request_id, 0.5, 1))
        grants.append(found)
    return grants


def test_look_at_many_that_no_open_server_will_do_for() -> None:
    """It costs about as much as sorting them and looking at each server."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        servers = [play.server(f's{number}') for number in range(_SERVERS)]
        pool = play.make(*servers, now=loop.time)
        await _slow_servers(pool)
        tasks = [
            asyncio.create_task(
                pool.request_slot(play.slot_request(str(number), loop.time()))
            )
            for number in range(_WAITING)
        ]
        await asyncio.sleep(0)
        with _Calls() as calls:
            pool.grant_waiting()
            await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()
        assert calls.number < _CALLS_EACH * (_WAITING + _SERVERS)

    virtual.run(work())
