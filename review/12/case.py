"""A late part of long prompts crashes servers."""

import asyncio
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig3'))

import documents  # noqa: E402
import requesters  # noqa: E402
import rig  # noqa: E402
import servers  # noqa: E402

BAD_PART = 'deadbeef01'
# Shared parts of a prompt, as of a conversation of thirty turns, and the place
# of the bad one, which is not the last part.
PARTS = 60
BAD_PLACE = 50
PART_TOKENS = 20
OWN_TOKENS = 100
CONTACT_SECONDS = rig.BOUNDS['contactMs'] / 1000
# The rule: so many of the requests may reach servers.
MOST_ARRIVALS = 3
CRASHES = 5
BAD_SECONDS = 1.0
SOUND_SECONDS = 0.15
BAD_FOR_SECONDS = 30.0


def prompt(*, bad):
    parts = [f'{0x1000 + n:x}:{PART_TOKENS}' for n in range(PARTS)]
    if bad:
        parts[BAD_PLACE] = f'{BAD_PART}:{PART_TOKENS}'
    parts.append(f'{random.getrandbits(48):x}:{OWN_TOKENS}')
    tokens = PART_TOKENS * PARTS + OWN_TOKENS
    return [
        'X-Geraniumweir-Model: m',
        f'X-Geraniumweir-Token-Usage: {tokens},80',
        f'X-Geraniumweir-Prompt-Prefix: {",".join(parts)}',
    ]


class BadPart:
    """What the servers see of the bad part.

    :ivar crashes: whether it crashes them.
    """

    def __init__(self, record, *, crashes):
        self.record = record
        self.crashes = crashes
        self.arrived = []
        self.crashed = []

    async def on_run(self, server, request_id, _words, headers, _body, _writer):
        """Crash a server before it writes on the part."""
        if BAD_PART not in headers.get('x-geraniumweir-prompt-prefix', ''):
            return False
        self.arrived.append(self.record.now())
        if not self.crashes:
            return False
        await asyncio.sleep(0.06)
        if server.up:
            self.crashed.append(self.record.now())
            self.record(f'crash {len(self.crashed)} by {request_id}')
            server.crash_and_return()
        return True


async def send_always(system, requester, seconds, *, bad):
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(
                requester.send(
                    random.choice(system.entries),
                    '/review/a',
                    'key-of-t1',
                    headers=prompt(bad=bad),
                    body=os.urandom(20),
                )
            )
            await asyncio.sleep(seconds)


async def case(record, trouble):
    system = rig.System(record, entries=3, controls=3)
    engines = [
        servers.Server(system, n + 1, documents.ENGINES, rig.ZONES[n % 3])
        for n in range(6)
    ]
    seen = BadPart(record, crashes=trouble)
    requester = requesters.Requester(record)
    tasks = []
    try:
        await system.start_all(documents.document(tenants=['t1']))
        for one in engines:
            one.on_run = seen.on_run
            await one.start()
        await asyncio.sleep(2)
        for seconds, bad in ((SOUND_SECONDS, False), (BAD_SECONDS, True)):
            work = send_always(system, requester, seconds, bad=bad)
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(3)
        await asyncio.sleep(BAD_FOR_SECONDS)
    finally:
        for task in tasks:
            task.cancel()
        for one in engines:
            one.end()
        await system.end()
    record(f'{len(seen.arrived)} requests with the part reached servers')
    if len(seen.crashed) < CRASHES:
        return []
    judged_from = seen.crashed[CRASHES - 1] + CONTACT_SECONDS
    judged = [at for at in seen.arrived if at > judged_from]
    text = (
        f'{len(seen.crashed)} crashes; {len(judged)} requests with the part'
        ' reached servers later than contactMs after the fifth;'
        f' {MOST_ARRIVALS} may'
    )
    return [text] if len(judged) > MOST_ARRIVALS else []


rig.run(case, FOLDER)
