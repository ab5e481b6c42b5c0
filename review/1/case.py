"""A server sends an answer that turns a request away once more, late.

The request comes again on the same channel, so the second copy is read as the
answer to the second try, while the server runs that try.
"""

import asyncio
import collections
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import rig as rigs  # noqa: E402

# Doses of the site file: srv_grey with x = 0.45, garble (extra late) with
# share = 0.6 and x = 0.05, both for 5.5 s at a time.
TURNED_AWAY = 0.45
EXTRA = 0.05
EXTRA_SHARE = 0.6
TROUBLE_SECONDS = 5.5
CALM_SECONDS = 1.0
SERVICES = 30
LOAD_SECONDS = 75
PAUSE_SECONDS = 0.2


class FaultyServer(rigs.Server):
    """Turns some requests away, and sends some answers a second time.

    The extra answer arrives where the next answer on its channel is expected.
    """

    def __init__(self, service, zone, sends_extra):
        super().__init__(service, zone=zone)
        self.troubled = False
        self.sends_extra = sends_extra
        self._extra = {}

    async def _handle(self, req, writer):
        late = self._extra.pop(writer, None)
        if late is not None:
            self.rig.record(
                f'server {self.server_id}: sends the extra answer, then reads {req.request_id}'
            )
            writer.write(late)
            await writer.drain()
        if self.troubled and req.request_id and random.random() < TURNED_AWAY:
            self.rig.record(
                f'server {self.server_id}: turns {req.request_id} away, not run'
            )
            head = {
                rigs.REQUEST_ID: req.request_id,
                'X-Geraniumweir-Not-Executed': '1',
            }
            await self.write(writer, 503, head, b'')
            return True
        return await super()._handle(req, writer)

    async def write(self, writer, status, headers, body):
        await super().write(writer, status, headers, body)
        if self.troubled and self.sends_extra and random.random() < EXTRA:
            lines = [
                f'HTTP/1.1 {status} OK',
                *(f'{name}: {text}' for name, text in headers.items()),
            ]
            lines.append(f'Content-Length: {len(body)}')
            self._extra[writer] = (
                '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
            )


def manifest(names):
    plain = {
        'healthPath': '/health',
        'maxConnections': 96,
        'protocol': 'h1',
        'tls': False,
    }
    return rigs.manifest(
        1,
        [
            rigs.route(
                f'r-{name}',
                f'/{name}/',
                'non_idempotent',
                name,
                timeout_ms=1500,
                target_ms=200,
            )
            for name in names
        ],
        services=[{'name': name, **plain} for name in names],
    )


async def disturb(rig, servers):
    while True:
        for troubled, seconds in (
            (True, TROUBLE_SECONDS),
            (False, CALM_SECONDS),
        ):
            rig.record(f'servers: trouble {"begins" if troubled else "ends"}')
            for server in servers:
                server.troubled = troubled
            await asyncio.sleep(seconds)


async def case(rig):
    names = [f'desk{number}' for number in range(SERVICES)]
    servers = [
        FaultyServer(
            name, rigs.ZONES[number % 3], number < EXTRA_SHARE * SERVICES
        )
        for number, name in enumerate(names)
    ]
    rig.servers.extend(servers)
    await rig.start(manifest(names))
    if rigs.TROUBLE:
        rig.task(disturb(rig, servers))
    statuses = {}
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + LOAD_SECONDS

    async def book(number, name):
        node = rig.fronts[number % len(rig.fronts)]
        while loop.time() < ends_at:
            request_id, got = await rig.send(
                node, 'POST', f'/{name}/book', {}, b'{"order": 1}', seconds=1.5
            )
            statuses[request_id] = got and got.status
            await asyncio.sleep(PAUSE_SECONDS)

    await asyncio.gather(
        *(book(number, name) for number, name in enumerate(names))
    )
    await asyncio.sleep(1)
    runs = collections.Counter(
        req.request_id for server in servers for req in server.ran
    )
    twice = [one for one, count in runs.items() if count > 1]
    refused = [
        one
        for one, status in statuses.items()
        if status in (408, 421, 429, 503) and runs[one]
    ]
    rig.record(f'answers: {dict(collections.Counter(statuses.values()))}')
    rig.record(
        f'TWICE: {len(twice)} requests that may run once ran more than once: {twice[:20]}'
    )
    rig.record(
        f'REFUSED: {len(refused)} requests were answered as not run and ran: {refused[:20]}'
    )
    if not rigs.TROUBLE and set(statuses.values()) != {200}:
        rig.record('without the disruption all requests are answered')
        return rigs.UNABLE
    return rigs.BROKEN if refused or twice else rigs.HELD


if __name__ == '__main__':
    rigs.main(FOLDER, case)
