"""Starts the programs of the deploy file on loopback, with stand-ins beside them.

The stand-ins are the platform (settings files, readiness probes, restarts), the
operator and plain backend servers. They use the standard library only.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, UNABLE = 0, 1, 2
ZONES = ('milano-a', 'torino-b', 'bergamo-c')
REGION = 'nord-ovest'
HEARTBEAT_SECONDS = 1.2
# Values of the small deployment borsafranca.
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 5000,
    'strictRevoke': False,
    'revokeMs': 5000,
    'budgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 52,
    'quotaWindowS': 8,
    'quotaOver': 0.1,
    'quotaSlack': 140000,
    'recoverS': 12,
    'passMs': 120,
    'reuseWindowS': 10,
}
LIMITS = {
    'front': {'memoryMb': 300, 'maxFds': 4100, 'diskMb': 0},
    'core': {'memoryMb': 296, 'maxFds': 4096, 'diskMb': 128},
}
HOST = 'desk.example'
KEY = 'key-of-desk'
PLAIN = 'plainservice'
ENGINE = 'engineservice'
STAMP = 'X-Geraniumweir-Server-Stamp'
REQUEST_ID = 'X-Geraniumweir-Request-Id'


class UnableError(Exception):
    """The case could not run."""


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, path):
        self._started = time.monotonic()
        self._file = pathlib.Path(path).open('w')

    def __call__(self, text):
        passed = time.monotonic() - self._started
        self._file.write(f'{passed:8.3f} {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


@dataclasses.dataclass
class Node:
    """One machine of the system."""

    name: str
    role: str
    kind: str
    ip: str
    zone: str
    settings: pathlib.Path
    log: pathlib.Path
    data: pathlib.Path | None
    process: asyncio.subprocess.Process | None = None

    @property
    def lives(self):
        return self.process is not None and self.process.returncode is None


@dataclasses.dataclass
class Answer:
    """An answer; ``end`` says how the channel ended."""

    status: int
    headers: dict
    body: bytes
    complete: bool


def free_ports(ips, count):
    """Return ports that are free on all addresses."""
    found = []
    for port in random.sample(range(20000, 32000), 2000):
        with contextlib.ExitStack() as stack:
            try:
                for ip in (*ips, '127.0.0.1'):
                    made = stack.enter_context(socket.socket())
                    made.bind((ip, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise UnableError('no free ports')


class Rig:
    """A small deployment: three core machines and some front machines."""

    def __init__(self, folder, fronts=2):
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.servers = []
        self.killed = []
        self._tasks = []
        self._roles = tomllib.loads((ROOT / 'deploy/system.toml').read_text())[
            'roles'
        ]
        net = random.randrange(1, 250)
        self.nodes = []
        for number in range(3 + fronts):
            kind = 'core' if number < 3 else 'front'
            role = next(
                r for r, row in self._roles.items() if row['on'] == kind
            )
            name = f'{kind}-{number}'
            data = self.folder / f'{name}.data' if kind == 'core' else None
            if data:
                data.mkdir()
            self.nodes.append(
                Node(
                    name,
                    role,
                    kind,
                    f'127.{net}.{number + 1}.1',
                    ZONES[number % 3],
                    self.folder / f'{name}.json',
                    self.folder / f'{name}.log',
                    data,
                )
            )
        ips = [one.ip for one in self.nodes]
        first = self._free_range(ips)
        self.internal = (first, first + 15)
        self.front_port, self.ready_port, self.control_port = free_ports(ips, 3)
        self.control = [f'{one.ip}:{self.control_port}' for one in self.cores]

    @staticmethod
    def _free_range(ips):
        for _ in range(50):
            first = random.randrange(33000, 48000)
            if all(
                _is_free(ip, port)
                for ip in ips
                for port in (first, first + 1, first + 15)
            ):
                return first
        raise UnableError('no free range of ports')

    @property
    def cores(self):
        return [one for one in self.nodes if one.kind == 'core']

    @property
    def fronts(self):
        return [one for one in self.nodes if one.kind == 'front']

    def write_settings(self, node, bootstrap=False):
        listen = {'control': f'{node.ip}:{self.control_port}'}
        if node.kind == 'front':
            listen = {
                'front': f'{node.ip}:{self.front_port}',
                'ready': f'{node.ip}:{self.ready_port}',
            }
        found = {
            'node': node.name,
            'role': node.role,
            'machineClass': node.kind,
            'serves': self._roles[node.role]['serves'],
            'ip': node.ip,
            'zone': node.zone,
            'region': REGION,
            'zones': dict.fromkeys(ZONES, REGION),
            'listen': listen,
            'internalPorts': list(self.internal),
            'seeds': self.control,
            'bootstrap': bootstrap,
            'inTolerance': node.kind == 'core',
            'limits': {
                'cpuShare': 0.6,
                'cores': 2,
                'linkMbps': 1000.0,
                **LIMITS[node.kind],
            },
            'dataDir': str(node.data) if node.data else None,
            'discovery': 'registration',
            'entry': 'vip',
            'heartbeatMs': int(HEARTBEAT_SECONDS * 1000),
            'contracts': 'base drain config cost retry recover engine stream tenants quota'.split(),
            'faultTolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'configMode': 'highest',
        }
        node.settings.write_text(json.dumps(found))

    async def start_node(self, node, bootstrap=False):
        self.write_settings(node, bootstrap)
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['GERANIUMWEIR_CONFIG'] = str(node.settings)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with node.log.open('ab') as log:
            node.process = await asyncio.create_subprocess_exec(
                *shlex.split(self._roles[node.role]['run']),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.record(
            f'platform: started {node.name}, process {node.process.pid}'
        )

    async def start(self, manifest):
        """Start all machines, publish a manifest, and wait until it is served."""
        for node in self.nodes:
            await self.start_node(node, bootstrap=True)
        await self.publish(manifest, 20)
        for one in self.servers:
            await one.start(self)
        await self.until_ready(20)
        await asyncio.sleep(2 * HEARTBEAT_SECONDS)

    async def until_ready(self, seconds):
        end = time.monotonic() + seconds
        for node in self.fronts:
            while not await self.is_ready(node):
                if time.monotonic() > end:
                    raise UnableError(f'{node.name} is not ready')
                await asyncio.sleep(0.1)

    async def is_ready(self, node, seconds=1.0):
        with contextlib.suppress(OSError, TimeoutError, EOFError, ValueError):
            got = await call(
                f'{node.ip}:{self.ready_port}',
                'GET',
                '/v1/ready',
                {},
                seconds=seconds,
            )
            return got.status == 200
        return False

    async def publish(self, manifest, seconds=10.0):
        """Send a manifest as the operator does, until there is a clear answer."""
        body = (
            manifest
            if isinstance(manifest, bytes)
            else json.dumps(manifest).encode()
        )
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            address = self.control[number % len(self.control)]
            number += 1
            try:
                got = await call(
                    address,
                    'PUT',
                    '/v1/config',
                    {'Content-Type': 'application/json'},
                    body,
                    seconds=1.0,
                )
            except (OSError, TimeoutError, EOFError, ValueError) as exc:
                self.record(f'operator: PUT /v1/config at {address}: {exc!r}')
                await asyncio.sleep(0.1)
                continue
            self.record(
                f'operator: PUT /v1/config at {address}: {got.status} {got.body[:120]!r}'
            )
            if got.status < 500 and got.status not in (408, 429):
                return got
            await asyncio.sleep(0.1)
        raise UnableError('no clear answer to a manifest')

    async def send(
        self, node, method, path, headers=None, body=b'', seconds=15.0, key=KEY
    ):
        """Send one request as a requester does, on a new channel."""
        request_id = f'{random.getrandbits(64):016x}'
        head = {
            'Host': HOST,
            REQUEST_ID: request_id,
            'X-Geraniumweir-Deadline-Ms': str(int(seconds * 1000)),
            'Api-Key': key,
        }
        head.update(headers or {})
        head = {name: text for name, text in head.items() if text is not None}
        self.record(
            f'requester: {request_id} {method} {path} to {node.name}, body of {len(body)} bytes'
        )
        try:
            got = await call(
                f'{node.ip}:{self.front_port}',
                method,
                path,
                head,
                body,
                seconds=seconds + 2,
            )
        except (OSError, TimeoutError, EOFError, ValueError) as exc:
            self.record(f'requester: {request_id} got no answer: {exc!r}')
            return request_id, None
        self.record(
            f'requester: {request_id} got {got.status}, body of {len(got.body)} bytes, complete {got.complete}'
        )
        return request_id, got

    def task(self, work):
        made = asyncio.create_task(work)
        self._tasks.append(made)
        return made

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for one in self.servers:
            await one.close()
        for node in self.nodes:
            if node.lives:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
            if node.process is not None:
                await node.process.wait()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def _is_free(ip, port):
    with socket.socket() as made:
        try:
            made.bind((ip, port))
        except OSError:
            return False
    return True


def manifest(version, routes=None, **changes):
    """Return a manifest with a plain service and an engine service."""
    found = {
        'version': version,
        'routes': routes or default_routes(),
        'services': [
            {
                'name': ENGINE,
                'healthPath': '/health',
                'maxConnections': 360,
                'protocol': 'h1',
                'tls': False,
                'engine': {
                    'slots': 10,
                    'kvCapacityTokens': 600000,
                    'kvTokenBytes': 131072,
                    'linkMbps': 1100000.0,
                    'moves': True,
                    'backups': True,
                    'stride': 6,
                    'most': 12,
                    'pinMs': 4000.0,
                    'holdMs': 2000.0,
                    'handleS': 5.0,
                    'models': [{'name': 'm'}],
                },
            },
            {
                'name': PLAIN,
                'healthPath': '/health',
                'maxConnections': 96,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'desk',
                'apiKeys': [KEY],
                'priority': 1,
                'unit': 'token_count',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
            }
        ],
    }
    found.update(changes)
    return found


def route(
    name,
    prefix,
    kind,
    service,
    timeout_ms=15000,
    target_ms=400,
    attempts=1,
    **changes,
):
    found = {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': target_ms,
        'priority': 1,
        'service': service,
        'maxAttempts': attempts,
        'public': False,
        'stickySessions': kind == 'streaming',
        'streamResume': False,
    }
    if kind == 'streaming':
        found['gapTargetMs'] = 300
    found.update(changes)
    return found


def default_routes():
    return [
        route('r-once', '/once/', 'non_idempotent', PLAIN),
        route('r-safe', '/safe/', 'idempotent', PLAIN, attempts=2),
        route('r-stream', '/stream/', 'streaming', ENGINE),
        route(
            'r-resume',
            '/resume/',
            'streaming',
            ENGINE,
            attempts=2,
            streamResume=True,
        ),
    ]


async def read_head(reader):
    """Return the first line and the header fields of a message."""
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *rest = text[:-4].split('\r\n')
    fields = {}
    for line in rest:
        name, _, value = line.partition(':')
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields, until_end=False):
    """Return the body of a message and whether it is complete."""
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        try:
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += chunk[:-2]
        except asyncio.IncompleteReadError as exc:
            return body + exc.partial, False
        except OSError:
            return body, False
    if 'content-length' in fields:
        try:
            return await reader.readexactly(int(fields['content-length'])), True
        except asyncio.IncompleteReadError as exc:
            return exc.partial, False
        except OSError:
            return b'', False
    if not until_end:
        return b'', True
    try:
        return await reader.read(), True
    except OSError:
        return b'', False


def encode_request(method, path, headers, body):
    head = dict(headers)
    if body or method not in ('GET', 'HEAD', 'DELETE'):
        head.setdefault('Content-Length', str(len(body)))
    head.setdefault('Host', HOST)
    lines = [
        f'{method} {path} HTTP/1.1',
        *(f'{name}: {text}' for name, text in head.items()),
    ]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def call(address, method, path, headers, body=b'', seconds=5.0):
    """Send one request on a new channel; return the answer."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=1 << 20
        )
        try:
            writer.write(
                encode_request(
                    method, path, {**headers, 'Connection': 'close'}, body
                )
            )
            await writer.drain()
            first, fields = await read_head(reader)
            got, complete = await read_body(reader, fields, until_end=True)
            return Answer(int(first.split()[1]), fields, got, complete)
        finally:
            writer.close()


@dataclasses.dataclass
class Request:
    """A request as it reached a server."""

    method: str
    path: str
    headers: dict
    body: bytes

    @property
    def request_id(self):
        return self.headers.get(REQUEST_ID.lower(), '')


class Server:
    """A backend server that follows the pages; subclasses change ``run``."""

    def __init__(
        self, service=PLAIN, zone=ZONES[0], slots=6, work_seconds=0.03
    ):
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_seconds = work_seconds
        self.state = 'ready'
        self.server_id = f'i-{random.getrandbits(40):010x}'
        self.born = int(time.time() * 1000)
        self.ran = []
        self.running = 0
        self._sequence = 0
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._writers = set()

    async def start(self, rig):
        self.rig = rig
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.rig.task(self._report_always())

    async def close(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def report(self):
        self._sequence += 1
        body = {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'born': self.born,
            'sequence': self._sequence,
        }
        if self.service == ENGINE:
            body.update(
                stage='both',
                models=[{'name': 'm', 'version': 1, 'adapters': []}],
            )
        for address in random.sample(self.rig.control, len(self.rig.control)):
            with contextlib.suppress(
                OSError, TimeoutError, EOFError, ValueError
            ):
                got = await call(
                    address,
                    'PUT',
                    f'/v1/instances/{self.server_id}',
                    {},
                    json.dumps(body).encode(),
                    seconds=1.0,
                )
                if got.status < 300:
                    return True
        return False

    async def _report_always(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                body, complete = await read_body(reader, fields)
                if not complete:
                    return
                method, path, _ = first.split(' ', 2)
                if not await self._handle(
                    Request(method, path, fields, body), writer
                ):
                    return
        except (
            OSError,
            EOFError,
            asyncio.LimitOverrunError,
            ValueError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, req, writer):
        if not req.request_id:
            if req.path == '/health':
                await self.write(
                    writer,
                    200,
                    {'X-Geraniumweir-Instance-Id': self.server_id},
                    b'',
                )
                return True
            await self.write(
                writer, 400, {'X-Geraniumweir-Not-Executed': '1'}, b''
            )
            return True
        head = {REQUEST_ID: req.request_id}
        expected = req.headers.get('x-geraniumweir-expect-instance')
        if expected not in (None, self.server_id):
            await self.write(
                writer, 421, {**head, 'X-Geraniumweir-Not-Executed': '1'}, b''
            )
            return True
        async with self._free:
            self.running += 1
            try:
                self.ran.append(req)
                self.rig.record(
                    f'server {self.server_id} ({self.service}): runs {req.request_id}'
                    f' {req.method} {req.path}, body of {len(req.body)} bytes'
                )
                return await self.run(req, head, writer)
            finally:
                self.running -= 1

    async def run(self, req, head, writer):
        """Run a request and answer it; return whether the channel stays open."""
        await asyncio.sleep(self.work_seconds)
        await self.write(
            writer,
            200,
            {**head, STAMP: stamp()},
            b'done ' + req.request_id.encode(),
        )
        return True

    async def write(self, writer, status, headers, body):
        lines = [
            f'HTTP/1.1 {status} OK',
            *(f'{name}: {text}' for name, text in headers.items()),
        ]
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()


class Engine(Server):
    """A model server: answers with a stream of events."""

    def __init__(self, zone=ZONES[0], events=10, gap_seconds=0.05):
        super().__init__(ENGINE, zone, slots=10)
        self.events = events
        self.gap_seconds = gap_seconds

    async def run(self, req, head, writer):
        fields = {
            **head,
            STAMP: stamp(),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
            'X-Geraniumweir-Weight-Versions': '1',
        }
        lines = [
            'HTTP/1.1 200 OK',
            *(f'{name}: {text}' for name, text in fields.items()),
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(
            int(req.headers.get('last-event-id', '0')) + 1, self.events + 1
        ):
            await asyncio.sleep(self.gap_seconds)
            event = (
                f'id: {number}\ndata: {req.request_id} {number}\n\n'.encode()
            )
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


def stamp():
    return f'{random.getrandbits(16):04x}.07.5a2.600.0.{random.getrandbits(32):08x}'


def resident_mb(node):
    """Return the resident memory of a process of the system, in MB; 0 at its end."""
    try:
        text = pathlib.Path(f'/proc/{node.process.pid}/status').read_text()
    except OSError:
        return 0
    _, _, rest = text.partition('VmRSS:')
    return int(rest.split()[0]) / 1024 if rest else 0


async def limit_memory(rig):
    """Kill a process over ``memoryMb`` and start it again, as DEPLOY.md says."""
    while True:
        for node in rig.nodes:
            if not node.lives:
                continue
            used = resident_mb(node)
            if used > LIMITS[node.kind]['memoryMb']:
                rig.record(
                    f'platform: {node.name} uses {used:.0f} MB, more than its memoryMb: killed'
                )
                rig.killed.append(node.name)
                node.process.kill()
                await node.process.wait()
                await rig.start_node(node)
        await asyncio.sleep(0.02)


class KeptChannel:
    """A requester's channel that stays open for several requests."""

    def __init__(self, rig, node):
        self._rig = rig
        self._node = node

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(
            self._node.ip, self._rig.front_port, limit=1 << 20
        )

    async def send(self, method, path, body=b'', seconds=15.0):
        """Send a request; return its id and the answer, None if the channel ended."""
        request_id = f'{random.getrandbits(64):016x}'
        head = {
            'Host': HOST,
            REQUEST_ID: request_id,
            'X-Geraniumweir-Deadline-Ms': str(int(seconds * 1000)),
            'Api-Key': KEY,
        }
        self._rig.record(
            f'requester: {request_id} {method} {path} to {self._node.name} on a kept channel'
        )
        try:
            async with asyncio.timeout(seconds + 2):
                self._writer.write(encode_request(method, path, head, body))
                await self._writer.drain()
                first, fields = await read_head(self._reader)
                got, complete = await read_body(self._reader, fields)
        except (OSError, EOFError, TimeoutError) as exc:
            self._rig.record(f'requester: {request_id} got no answer: {exc!r}')
            return request_id, None
        self._rig.record(f'requester: {request_id} got {first.split()[1]}')
        return request_id, Answer(int(first.split()[1]), fields, got, complete)

    def close(self):
        self._writer.close()


def main(folder, case, fronts=2):
    """Run a case and exit with its verdict."""

    async def run():
        rig = Rig(folder, fronts)
        try:
            async with asyncio.timeout(115):
                verdict = await case(rig)
        except (UnableError, TimeoutError) as exc:
            rig.record(f'the case could not run: {exc!r}')
            verdict = UNABLE
        finally:
            await rig.close()
        return verdict

    try:
        sys.exit(asyncio.run(run()))
    except Exception as exc:
        print(f'the case could not run: {exc!r}', file=sys.stderr)
        sys.exit(UNABLE)
