import asyncio
import collections
import time

import logbook
from geraniumweir.common import timers
from geraniumweir.control import thread_load

_BLOCKED_SECONDS = 0.3


def test_delayed_events_are_logged_with_what_fills_the_thread() -> None:
    handled = collections.Counter(Ping=3)
    logged = logbook.TestHandler()
    with logged.applicationbound():
        asyncio.run(_block_thread(handled))
    fields = [
        record.extra['fields']
        for record in logged.records
        if record.extra['event'].number == 785
    ]
    assert len(fields) == 1
    assert fields[0]['delay_ms'] >= 200
    assert fields[0]['messages'] == {'Ask': 40}


async def _block_thread(handled: collections.Counter[str]) -> None:
    load = thread_load.ThreadLoad(timers.TimerService(), lambda: handled)
    await asyncio.sleep(0.1)
    handled['Ask'] += 40
    time.sleep(_BLOCKED_SECONDS)
    await asyncio.sleep(2)
    load.close()
