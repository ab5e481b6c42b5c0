"""Backend servers on loopback that register, answer, crash and leave."""

import asyncio
import contextlib
import json
import random
import socket
import time

import rig

PREFIX = 'x-geraniumweir-'
REQUEST_ID = PREFIX + 'request-id'


class Server:
    """A backend server; each start has a new id and the same address.

    :ivar runs: for each request that it began to work on, the id.
    """

    def __init__(self, system, number, service, zone, slots=10, kind='engine'):
        self.system = system
        self.record = system.record
        self.number = number
        self.service = service
        self.zone = zone
        self.slots = slots
        self.kind = kind
        self.version = 'v1'
        self.address = f'{system.net}.{rig.SERVERS + number}'
        self.port = 0
        self.server_id = ''
        self.state = 'ready'
        self.up = False
        self.sequence = 0
        self.running = 0
        self.down_seconds = 3.0
        self.event_seconds = 0.03
        self.extra_headers = {}
        self.on_run = None
        self._conns = set()
        self._server = None
        self._reports = None
        self._prefer = None
        self._tasks = set()

    async def start(self, server_id=None):
        self.server_id = server_id or f'i-{random.randrange(16**8):08x}'
        self.sequence = 0
        self.running = 0
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.up = True
        self._reports = asyncio.create_task(self._report_always())
        self.record(f'server {self.number} starts as {self.server_id}')

    def crash(self):
        """End at once; nobody is told."""
        if not self.up:
            return
        self.up = False
        self.record(f'server {self.number} {self.server_id} crashes')
        self._reports.cancel()
        self._server.close()
        for writer in list(self._conns):
            with contextlib.suppress(OSError):
                sock = writer.get_extra_info('socket')
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
                )
            writer.transport.abort()

    def crash_and_return(self, server_id=None):
        """Crash, and start again some seconds later."""
        if not self.up:
            return
        self.crash()
        self._spawn(self._return(server_id))

    async def _return(self, server_id):
        await asyncio.sleep(self.down_seconds)
        await self.start(server_id)

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def end(self):
        for task in self._tasks:
            task.cancel()
        self.crash()

    def report(self):
        found = {
            'service': self.service,
            'address': f'{self.address}:{self.port}',
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        if self.kind == 'engine':
            found['stage'] = 'both'
            found['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return found

    async def send_report(self):
        """Report until one control host acknowledges it."""
        self.sequence += 1
        body = json.dumps(self.report()).encode()
        order = random.sample(self.system.controls, len(self.system.controls))
        addresses = [host.control for host in order]
        if self._prefer is not None:
            addresses.insert(0, self._prefer)
        path = f'/v1/instances/{self.server_id}'
        for address in addresses:
            status, told = await rig.call(address, 'PUT', path, body)
            if 200 <= status < 300:
                with contextlib.suppress(ValueError, AttributeError):
                    host, _, port = (
                        json.loads(told or b'{}')
                        .get('heartbeatAddress', '')
                        .rpartition(':')
                    )
                    self._prefer = (host, int(port))
                return True
            self._prefer = None
        return False

    async def _report_always(self):
        while True:
            await self.send_report()
            await asyncio.sleep(rig.HEARTBEAT_MS / 1000)

    async def _serve(self, reader, writer):
        self._conns.add(writer)
        try:
            while True:
                words, headers = await rig.read_head(reader)
                body = await rig.read_body(reader, headers)
                await self.handle(words, headers, body, reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The loop ends; the library would log the exception.
            pass
        finally:
            self._conns.discard(writer)
            writer.close()

    def head(self, status, request_id, more=()):
        lines = [
            f'HTTP/1.1 {status} X',
            f'X-Geraniumweir-Request-Id: {request_id}',
            *(f'{name}: {text}' for name, text in self.extra_headers.items()),
            *more,
        ]
        return '\r\n'.join([*lines, '', '']).encode()

    def not_run(self, status, request_id, more=()):
        return self.head(
            status,
            request_id,
            [
                'X-Geraniumweir-Not-Executed: 1',
                'X-Geraniumweir-Server-Stamp: s',
                'Content-Length: 0',
                *more,
            ],
        )

    async def handle(self, words, headers, body, reader, writer):
        if words[1] == '/health':
            writer.write(
                f'HTTP/1.1 200 OK\r\nX-Geraniumweir-Instance-Id: {self.server_id}'
                '\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        request_id = headers.get(REQUEST_ID, '')
        if not request_id:
            writer.write(self.not_run(400, ''))
            return
        expected = headers.get(PREFIX + 'expect-instance')
        if expected not in (None, self.server_id):
            self.record(f'server {self.number} 421 {request_id}')
            writer.write(self.not_run(421, request_id))
            return
        if self.running >= self.slots + 6:
            writer.write(self.not_run(503, request_id))
            return
        self.running += 1
        start = self.server_id
        try:
            await self.run(request_id, words, headers, body, writer)
        finally:
            if start == self.server_id:
                self.running -= 1

    async def run(self, request_id, words, headers, body, writer):
        """Run a request; a hook may crash the server or answer otherwise."""
        self.record(f'run {request_id} at {self.number} {self.server_id}')
        if self.on_run is not None:
            if await self.on_run(
                self, request_id, words, headers, body, writer
            ):
                return
        if self.kind == 'engine':
            await self.stream(request_id, headers, writer)
        else:
            await asyncio.sleep(0.03)
            answer = f'answer to {request_id}'.encode()
            more = [
                'X-Geraniumweir-Server-Stamp: s',
                f'Content-Length: {len(answer)}',
            ]
            writer.write(self.head(200, request_id, more) + answer)

    async def stream(self, request_id, headers, writer, events=20):
        last = int(headers.get('last-event-id', 0))
        await asyncio.sleep(0.06)
        more = [
            'X-Geraniumweir-Server-Stamp: s',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        writer.write(self.head(200, request_id, more))
        for number in range(last + 1, events + 1):
            event = f'id: {number}\ndata: {self.version} {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_seconds)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
