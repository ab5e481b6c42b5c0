"""Model servers that stream, and crash under one part of a prompt."""

import asyncio
import secrets

import rig

EVENTS = 10


def prompt_headers(parts, tokens=560, most=60):
    """Return the headers of a request with a prompt."""
    return [
        (f'{rig.PREFIX}Model', 'm'),
        (f'{rig.PREFIX}Token-Usage', f'{tokens},{most}'),
        (f'{rig.PREFIX}Prompt-Prefix', parts),
    ]


class Engine(rig.Server):
    """A model server; it streams some events.

    :ivar bad_part: part of prompts under which it crashes, or empty.
    :ivar begins: whether it has written the first event by then.
    :ivar record: lists of arrivals and crashes, shared by all servers.
    """

    bad_part = ''
    begins = False
    down_seconds = 3

    def __init__(self, *words, record, **options):
        """Initialize without a start."""
        super().__init__(*words, **options)
        self.record = record

    async def run(self, req, writer):
        """Read the prompt; crash or write the answer."""
        parts = req.headers.get('x-geraniumweir-prompt-prefix', '')
        bad = bool(self.bad_part) and self.bad_part in parts
        if bad:
            self.record['arrivals'].append(self.rig.now())
            self.rig.note(f'server {self.id} runs bad request {req.id}')
        await asyncio.sleep(0.08)
        if bad and not self.begins:
            await self.crash_under(req)
        await self.stream(req, writer, bad and self.begins)

    async def crash_under(self, req):
        """Crash, unless it has crashed already."""
        if self.up:
            self.record['crashes'].append(self.rig.now())
            self.rig.note(f'server {self.id} crashes under {req.id}')
            self.rig.spawn(self.fall())
        await asyncio.sleep(self.down_seconds)
        raise EOFError

    async def stream(self, req, writer, crashes):
        """Write all events, or crash behind the first."""
        head = self.head(
            req,
            200,
            {
                f'{rig.PREFIX}Server-Stamp': f's.{req.id}.{self.id}',
                'Content-Type': 'text/event-stream',
                'Transfer-Encoding': 'chunked',
            },
        )
        writer.write(head.encode() + b'\r\n\r\n')
        for number in range(1, EVENTS + 1):
            event = f'id: {number}\ndata: {req.id}.{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
            if crashes:
                await self.crash_under(req)
        writer.write(b'0\r\n\r\n')

    async def fall(self):
        """Crash, and be back after some seconds under a new id."""
        await self.stop()
        await asyncio.sleep(self.down_seconds)
        await self.start()


def unique():
    """Return the id of a part that no other prompt has."""
    return secrets.token_hex(4)
