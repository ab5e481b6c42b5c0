"""Servers that bear no rejection for some seconds behind a final fault."""

import asyncio
import os
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig3'))

import documents  # noqa: E402
import requesters  # noqa: E402
import rig  # noqa: E402
import servers  # noqa: E402

TENANTS = ('t1', 't2', 't3')
BRITTLE = 'Server-Brittle'
# A server that turns one request away in a second falls over.
REJECTIONS = 0
BRITTLE_SECONDS = 6.0
DOWN_SECONDS = 1.0
REQUEST_SECONDS = 0.1
BEFORE_SECONDS = 5.0
RECOVER_SECONDS = rig.BOUNDS['recoverS']
MEASURED_SECONDS = 6.0
# The rule: so much is served later, if as much was before.
LEAST_SHARE = 0.25


class BrittleServer(servers.Server):
    """A server that falls over when it has to turn a request away.

    :ivar brittle: whether it is brittle, and says so in all its answers.
    """

    brittle = False
    falls = 0

    def be_brittle(self, brittle):
        self.brittle = brittle
        self.extra_headers = {BRITTLE: str(REJECTIONS)} if brittle else {}

    async def handle(self, words, headers, body, reader, writer):
        if self.brittle and self.up and self.running >= self.slots:
            # None may wait any more.
            self.falls += 1
            self.crash_and_return()
            return
        await super().handle(words, headers, body, reader, writer)


class Traffic:
    """Requests of all routes at all entry hosts, with the time of each."""

    def __init__(self, system, requester):
        self.system = system
        self.requester = requester
        self.sent = []

    async def run(self):
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._send())
                await asyncio.sleep(REQUEST_SECONDS)

    async def _send(self):
        path, method = random.choice(
            (
                ('/review/a', 'POST'),
                ('/essay/a', 'POST'),
                ('/book/a', 'POST'),
                ('/status/a', 'GET'),
            )
        )
        streams = path in {'/review/a', '/essay/a'}
        at = self.requester.record.now()
        _, answer = await self.requester.send(
            random.choice(self.system.entries),
            path,
            f'key-of-{random.choice(TENANTS)}',
            method=method,
            headers=_generation() if streams else (),
            body=os.urandom(20) if method == 'POST' else b'',
            seconds=6.0 if streams else 1.5,
        )
        self.sent.append((at, answer))

    def share(self, since, until):
        """Return the share of requests sent in some time that is served."""
        found = [one for at, one in self.sent if since <= at < until]
        served = sum(one.status == 200 and one.whole for one in found)
        return served / max(len(found), 1)


def _generation():
    return [
        'X-Geraniumweir-Model: m',
        'X-Geraniumweir-Token-Usage: 500,120',
        f'X-Geraniumweir-Prompt-Prefix: 10:60,{random.getrandbits(48):x}:440',
    ]


async def kill_all(system):
    """Kill all processes at one moment, and start them again."""
    for host in system.hosts:
        system.signal(host, signal.SIGKILL)
    for host in system.hosts:
        await host.process.wait()
    await asyncio.sleep(DOWN_SECONDS)
    for host in system.hosts:
        await system.start(host)


async def play(record, trouble, system, backends):
    traffic = Traffic(system, requesters.Requester(record))
    running = asyncio.create_task(traffic.run())
    try:
        began = record.now()
        await asyncio.sleep(BEFORE_SECONDS)
        fault = record.now()
        if trouble:
            await kill_all(system)
        back = record.now()
        await asyncio.sleep(3)
        for one in backends:
            one.be_brittle(trouble)
        record('the servers become brittle' if trouble else 'no trouble')
        await asyncio.sleep(BRITTLE_SECONDS)
        for one in backends:
            one.be_brittle(False)
        record('the servers are sound')
        since = back + RECOVER_SECONDS
        await asyncio.sleep(since + MEASURED_SECONDS + 1 - record.now())
    finally:
        running.cancel()
    before = traffic.share(began, fault - 1)
    after = traffic.share(since, since + MEASURED_SECONDS)
    text = (
        f'served: {before:.2f} before the final fault, {after:.2f} later than'
        f' recoverS after it; {sum(one.falls for one in backends)} servers'
        f' fell over, ended {system.ended()}'
    )
    record(text)
    if before < LEAST_SHARE:
        raise rig.CannotRunError('too little is served before')
    return [text] if after < LEAST_SHARE else []


async def case(record, trouble):
    system = rig.System(record, entries=3, controls=3)
    backends = [
        BrittleServer(
            system,
            n + 1,
            documents.ENGINES if n < 6 else documents.PLAIN,
            rig.ZONES[n % 3],
            slots=10 if n < 6 else 6,
            kind='engine' if n < 6 else 'plain',
        )
        for n in range(9)
    ]
    try:
        await system.start_all(documents.document(tenants=TENANTS))
        for one in backends:
            await one.start()
        await asyncio.sleep(2)
        return await play(record, trouble, system, backends)
    finally:
        for one in backends:
            one.end()
        await system.end()


rig.run(case, FOLDER)
