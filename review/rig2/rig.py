"""Stand-ins for a small deployment: platform, servers, requesters, operator.

Only the standard library is used. The project's programs are started with the
commands of the deploy file, on loopback addresses, on the real clock.
"""

import asyncio
import collections
import itertools
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('milano-a', 'torino-b', 'bergamo-c')
FRONTS = (3, 1, 2)
PREFIX = 'X-Geraniumweir-'
HEARTBEAT = 1.2
PORTS = (20000, 32000)
SPACE = 16
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


def trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_ports(count):
    """Return some ports that no loopback address uses.

    They are below those that the kernel gives to outgoing connections.
    """
    found = []
    while len(found) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(('', port))
            except OSError:
                continue
        if all(abs(port - other) > SPACE for other in found):
            found.append(port)
    return sorted(found)


class Node:
    """A machine of the system with one process."""

    def __init__(self, rig, role, name, ip, zone):
        """Initialize without a process."""
        self.rig, self.role, self.name, self.ip, self.zone = (
            rig,
            role,
            name,
            ip,
            zone,
        )
        self.process = None
        self.started = 0

    def settings(self, first):
        """Return the settings file's content."""
        ports = self.rig.ports
        front = self.role == 'entry'
        listen = {'control': f'{self.ip}:{ports["control"]}'}
        if front:
            listen = {
                'front': f'{self.ip}:{ports["front"]}',
                'ready': f'{self.ip}:{ports["ready"]}',
            }
        data = self.rig.folder / f'{self.name}.data'
        if not front:
            data.mkdir(exist_ok=True)
        return {
            'node': self.name,
            'role': self.role,
            'machineClass': 'front' if front else 'core',
            'serves': ['front' if front else 'control'],
            'ip': self.ip,
            'zone': self.zone,
            'region': 'nord-ovest',
            'zones': dict.fromkeys(ZONES, 'nord-ovest'),
            'listen': listen,
            'internalPorts': [ports['first'], ports['last']],
            'seeds': [f'{one.ip}:{ports["control"]}' for one in self.rig.core],
            'bootstrap': first,
            'inTolerance': not front,
            'limits': {
                'cpuShare': 0.537 if front else 0.645,
                'cores': 2,
                'memoryMb': 300 if front else 296,
                'maxFds': 4100 if front else 4096,
                'linkMbps': 1000.0,
                'diskMb': 0 if front else 128,
            },
            'dataDir': None if front else str(data),
            'discovery': 'registration',
            'entry': 'vip',
            'heartbeatMs': int(HEARTBEAT * 1000),
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'engine',
                'stream',
                'tenants',
                'quota',
            ],
            'faultTolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'configMode': 'highest',
        }

    async def start(self, first=False):
        """Start the process with the command of the deploy file."""
        path = self.rig.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings(first)))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles'][self.role]['run'].split()
        if words[0] == 'python3':
            words[0] = sys.executable
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['GERANIUMWEIR_CONFIG'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with (self.rig.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started += 1

    @property
    def lives(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Send a signal to the process."""
        if self.lives:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process."""
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Rig:
    """The deployment."""

    def __init__(self, fronts=FRONTS, core=1):
        """Plan the machines."""
        self.began = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='rig-'))
        control, front, ready, first = free_ports(4)
        self.ports = {
            'control': control,
            'front': front,
            'ready': ready,
            'first': first,
            'last': first + SPACE - 1,
        }
        self.core, self.fronts, self.servers = [], [], []
        third = secrets.randbelow(80) + 10
        for number, zone in enumerate(ZONES):
            for count in range(core):
                self.core.append(
                    Node(
                        self,
                        'control',
                        f'core-{zone}-{count + 1}',
                        f'127.{third}.{number + 1}.{count + 1}',
                        zone,
                    )
                )
            for count in range(fronts[number]):
                self.fronts.append(
                    Node(
                        self,
                        'entry',
                        f'front-{zone}-{count + 1}',
                        f'127.{third}.{number + 1}.{count + 101}',
                        zone,
                    )
                )
        self.lines = []
        self.events = []
        self._tasks = set()

    def now(self):
        """Return the seconds since the begin."""
        return time.monotonic() - self.began

    def note(self, text):
        """Add a line to the record."""
        self.lines.append(f'{self.now():8.3f} {text}')

    def spawn(self, work):
        """Run something beside; it is cancelled at the end."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    @property
    def nodes(self):
        """Return all machines."""
        return [*self.core, *self.fronts]

    async def start(self):
        """Start all processes for the first time."""
        for node in self.nodes:
            await node.start(first=True)

    async def until_ready(self, nodes=None, seconds=30):
        """Wait until the fronts say that they are ready."""
        end = self.now() + seconds
        for node in nodes or self.fronts:
            while not await self.is_ready(node):
                if self.now() > end:
                    raise TimeoutError(f'{node.name} is not ready')
                await asyncio.sleep(0.1)

    async def is_ready(self, node):
        """Ask a front whether it is ready."""
        try:
            found = await asyncio.wait_for(
                call(node.ip, self.ports['ready'], 'GET', '/v1/ready'), 1
            )
        except (OSError, TimeoutError, EOFError):
            return False
        return found.status == 200

    async def control(self, method, path, body=None, tries=300, nodes=None):
        """Call control as servers and operators do, node after node."""
        nodes = list(nodes or self.core)
        for node in itertools.islice(itertools.cycle(nodes), tries):
            try:
                found = await asyncio.wait_for(
                    call(node.ip, self.ports['control'], method, path, body),
                    1,
                )
            except (OSError, TimeoutError, EOFError):
                await asyncio.sleep(0.1)
                continue
            if found.status < 500:
                return found
            await asyncio.sleep(0.1)
        raise TimeoutError(f'no answer to {method} {path}')

    async def publish(self, document):
        """Publish a manifest."""
        body = json.dumps(document).encode()
        found = await self.control('PUT', '/v1/config', body)
        if found.status != 200:
            raise ValueError(f'the manifest got {found.status} {found.body!r}')

    async def leader(self, seconds=5):
        """Return the control node that says in its log that it leads."""
        end = self.now() + seconds
        while self.now() < end:
            best = None
            for node in self.core:
                if not node.lives:
                    continue
                text = (self.folder / f'{node.name}.log').read_text()
                for line in text.splitlines():
                    if 'became leader' in line or 'leads the log' in line:
                        stamp = json.loads(line)['time']
                        if best is None or stamp > best[0]:
                            best = (stamp, node)
            if best:
                return best[1]
            await asyncio.sleep(0.2)
        raise TimeoutError('no leader')

    async def close(self, record=None):
        """End everything that was started; write the record."""
        for task in list(self._tasks):
            task.cancel()
        for server in self.servers:
            await server.stop()
        for node in self.nodes:
            if node.lives:
                node.signal(signal.SIGCONT)
                await node.kill()
        if record is not None:
            pathlib.Path(record).write_text('\n'.join(self.lines) + '\n')
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Response:
    """An answer."""

    def __init__(self, status, headers, body=b'', whole=True):
        """Hold its parts."""
        self.status, self.headers, self.body, self.whole = (
            status,
            headers,
            body,
            whole,
        )


async def read_head(reader):
    """Return the first line and the headers, in lower case."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def body_chunks(reader, headers, until_end=False):
    """Yield a body; raise EOFError if it ends early."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return
            yield chunk[:-2]
    elif 'content-length' in headers:
        left = int(headers['content-length'])
        while left:
            chunk = await reader.read(min(left, 65536))
            if not chunk:
                raise EOFError('the body ends early')
            left -= len(chunk)
            yield chunk
    elif until_end:
        while chunk := await reader.read(65536):
            yield chunk


async def call(ip, port, method, path, body=None, headers=()):
    """Send a request on a new channel and return the whole answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        lines = [f'{method} {path} HTTP/1.1', f'Host: {ip}:{port}']
        lines += [f'{name}: {text}' for name, text in headers]
        if body is not None:
            lines += [
                'Content-Type: application/json',
                f'Content-Length: {len(body)}',
            ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + (body or b''))
        first, found = await read_head(reader)
        status = int(first.split()[1])
        content = b''
        async for chunk in body_chunks(reader, found, until_end=True):
            content += chunk
        return Response(status, found, content)
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        raise EOFError(str(exc)) from exc
    finally:
        writer.close()


class Server:
    """A sound server of a service; :meth:`answer` may be replaced."""

    def __init__(
        self, rig, service, zone, slots=10, queue=60, version='v1', work=0.03
    ):
        """Initialize without a start."""
        self.rig, self.service, self.zone = rig, service, zone
        self.slots, self.queue, self.version, self.work = (
            slots,
            queue,
            version,
            work,
        )
        self.id, self.born, self.sequence = '', 0, 0
        self.keeps_id = False
        self.report_delay = 0
        self.port = free_ports(1)[0]
        self.up = False
        self.state = 'ready'
        self.running = self.waiting = 0
        self.says = {}
        self.arrivals = []
        self.starts = 0
        self._conns = set()
        self._tasks = set()
        self._listener = None
        self._slots = None
        self._next = None
        rig.servers.append(self)

    async def start(self):
        """Start a new incarnation at the same address."""
        if not (self.keeps_id and self.id):
            self.id = f'i-{secrets.token_hex(4)}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.running = self.waiting = 0
        self.starts += 1
        self._slots = asyncio.Semaphore(self.slots)
        self._listener = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port, backlog=512
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        self.up = True
        self._spawn(self._beat())
        self.rig.note(f'server {self.id} of {self.service} starts')

    def _spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self, reset=True):
        """End at once, as a crash does."""
        if not self.up:
            return
        self.up = False
        self.rig.note(f'server {self.id} ends')
        self._listener.close()
        for writer in list(self._conns):
            if reset:
                sock = writer.get_extra_info('socket')
                if sock is not None:
                    sock.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        b'\1\0\0\0\0\0\0\0',
                    )
            writer.transport.abort()
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()

    def report(self):
        """Return the status report."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'born': self.born,
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'sequence': self.sequence,
        }

    async def _beat(self):
        if self.report_delay:
            await asyncio.sleep(self.report_delay)
        while True:
            await self.send_report()
            await asyncio.sleep(HEARTBEAT)

    async def send_report(self):
        """Send a status report to one control node after the other."""
        body = json.dumps(self.report()).encode()
        nodes = list(self.rig.core)
        if self._next:
            nodes.sort(key=lambda one: one.ip != self._next)
        for node in nodes:
            try:
                found = await asyncio.wait_for(
                    call(
                        node.ip,
                        self.rig.ports['control'],
                        'PUT',
                        f'/v1/instances/{self.id}',
                        body,
                    ),
                    1,
                )
            except (OSError, TimeoutError, EOFError):
                self._next = None
                continue
            if found.status // 100 == 2:
                told = json.loads(found.body or b'{}').get('heartbeatAddress')
                self._next = told.rpartition(':')[0] if told else node.ip
                return True
        return False

    async def _serve(self, reader, writer):
        self._conns.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(' ')
                body = b''
                async for chunk in body_chunks(reader, headers):
                    body += chunk
                req = Request(method, target, headers, body, self.rig.now())
                await self._handle(req, reader, writer)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            EOFError,
            ValueError,
        ):
            pass
        finally:
            self._conns.discard(writer)
            writer.transport.abort()

    async def _handle(self, req, reader, writer):
        """Answer a request; drop it when its channel closes."""
        task = asyncio.ensure_future(self._judge(req, writer))
        self._tasks.add(task)
        watch = asyncio.ensure_future(_closed(reader))
        try:
            await asyncio.wait(
                {task, watch}, return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                task.cancel()
                raise EOFError
            task.result()
        finally:
            self._tasks.discard(task)
            task.cancel()
            watch.cancel()

    async def _judge(self, req, writer):
        expected = req.headers.get('x-geraniumweir-expect-instance')
        if not req.id:
            self.reject(writer, req, 400)
        elif expected not in {None, self.id}:
            self.reject(writer, req, 421)
        else:
            self.arrivals.append((self.rig.now(), req.id))
            await self.answer(req, writer)

    async def answer(self, req, writer):
        """Wait for a slot, run the request and answer it."""
        if self.running >= self.slots and self.waiting >= self.queue:
            self.reject(writer, req, 503)
            return
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await self.run(req, writer)
        finally:
            self.running -= 1
            self._slots.release()

    async def run(self, req, writer):
        """Run a request and answer it."""
        self.rig.events.append(('run', self.rig.now(), self, req))
        await asyncio.sleep(self.work)
        self.send(writer, req, 200, b'x' * 800)

    def head(self, req, status, extra=()):
        """Return the first lines of an answer."""
        lines = [
            f'HTTP/1.1 {status} S',
            f'{PREFIX}Request-Id: {req.id}',
            f'X-Geraniumweir-Instance: {self.id}',
        ]
        said = {**self.says, **dict(extra)}
        return '\r\n'.join([*lines, *(f'{k}: {v}' for k, v in said.items())])

    def send(self, writer, req, status, body, extra=()):
        """Send a whole answer."""
        head = self.head(
            req,
            status,
            {
                f'{PREFIX}Server-Stamp': f's.{req.id}.{self.id}',
                'Content-Length': len(body),
                **dict(extra),
            },
        )
        writer.write(head.encode() + b'\r\n\r\n' + body)

    def reject(self, writer, req, status, extra=()):
        """Say that a request was not run."""
        head = self.head(
            req,
            status,
            {
                f'{PREFIX}Not-Executed': '1',
                'Content-Length': 0,
                **dict(extra),
            },
        )
        writer.write(head.encode() + b'\r\n\r\n')


class Request:
    """A request as a server gets it."""

    def __init__(self, method, target, headers, body, at):
        """Hold its parts."""
        self.method, self.target, self.headers, self.body, self.at = (
            method,
            target,
            headers,
            body,
            at,
        )
        self.id = headers.get('x-geraniumweir-request-id', '')


async def _closed(reader):
    """Return once a channel is closed; nothing is sent on it meanwhile."""
    while not reader.at_eof():
        await asyncio.sleep(0.02)
        if reader.exception() is not None:
            return


class Caller:
    """Requesters of one host and key."""

    def __init__(self, rig, host='ficu95.example', key='k1'):
        """Initialize without requests."""
        self.rig, self.host, self.key = rig, host, key
        self.seen = []
        self.counts = collections.Counter()

    async def ask(
        self,
        front,
        path,
        method='GET',
        body=b'',
        deadline=1.5,
        headers=(),
        on_event=None,
        request_id=None,
    ):
        """Send one requester attempt on a new channel."""
        request_id = request_id or secrets.token_hex(8)
        sent = self.rig.now()
        found = None
        try:
            found = await asyncio.wait_for(
                self._exchange(
                    front,
                    path,
                    method,
                    body,
                    deadline,
                    headers,
                    on_event,
                    request_id,
                ),
                deadline,
            )
            status = found.status
        except TimeoutError:
            status = 'gave up'
        except (OSError, EOFError, asyncio.IncompleteReadError) as exc:
            status = f'broken {type(exc).__name__}'
        self.counts[status] += 1
        self.rig.note(
            f'request {request_id} {method} {path} at {front.name}: sent'
            f' {sent:.3f}, {status}'
        )
        one = Seen(request_id, front, sent, self.rig.now(), status, found)
        self.seen.append(one)
        return one

    async def _exchange(
        self, front, path, method, body, deadline, headers, on_event, request_id
    ):
        reader, writer = await asyncio.open_connection(
            front.ip, self.rig.ports['front']
        )
        try:
            lines = [
                f'{method} {path} HTTP/1.1',
                f'Host: {self.host}',
                f'{PREFIX}Request-Id: {request_id}',
                f'{PREFIX}Deadline-Ms: {int(deadline * 1000)}',
                f'Api-Key: {self.key}',
                *(f'{name}: {text}' for name, text in headers),
            ]
            if body:
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            first, found = await read_head(reader)
            content = b''
            async for chunk in body_chunks(reader, found, until_end=True):
                content += chunk
                if on_event is not None and on_event(content):
                    return Response(
                        int(first.split()[1]), found, content, False
                    )
            return Response(int(first.split()[1]), found, content)
        finally:
            writer.transport.abort()


class Seen:
    """What a requester saw of one attempt."""

    def __init__(self, request_id, front, sent, ended, status, response):
        """Hold its parts."""
        (
            self.id,
            self.front,
            self.sent,
            self.ended,
            self.status,
            self.response,
        ) = (
            request_id,
            front,
            sent,
            ended,
            status,
            response,
        )


def plain_manifest(version=1, **extra):
    """Return a manifest with plain and streaming routes."""
    route = {
        'host': 'ficu95.example',
        'maxAttempts': 1,
        'priority': 2,
        'public': False,
        'stickySessions': False,
        'streamResume': False,
    }
    return {
        'version': version,
        'routes': [
            {
                **route,
                'name': 'lookup',
                'pathPrefix': '/once/',
                'kind': 'non_idempotent',
                'timeoutMs': 1500,
                'targetLatencyMs': 200,
                'service': 'app',
            },
            {
                **route,
                'name': 'status',
                'pathPrefix': '/safe/',
                'kind': 'idempotent',
                'timeoutMs': 1500,
                'targetLatencyMs': 200,
                'maxAttempts': 2,
                'service': 'app',
            },
            {
                **route,
                'name': 'essay',
                'pathPrefix': '/essay/',
                'kind': 'streaming',
                'timeoutMs': 12000,
                'targetLatencyMs': 400,
                'priority': 1,
                'maxAttempts': 2,
                'stickySessions': True,
                'streamResume': True,
                'gapTargetMs': 300,
                'service': 'models',
            },
            {
                **route,
                'name': 'check',
                'pathPrefix': '/check/',
                'kind': 'streaming',
                'timeoutMs': 3000,
                'targetLatencyMs': 400,
                'stickySessions': True,
                'gapTargetMs': 300,
                'service': 'models',
            },
        ],
        'services': [
            {
                'name': 'app',
                'healthPath': '/health',
                'maxConnections': 96,
                'protocol': 'h1',
                'tls': False,
            },
            {
                'name': 'models',
                'healthPath': '/health',
                'maxConnections': 360,
                'protocol': 'h1',
                'tls': False,
                'engine': {
                    'slots': 10,
                    'kvCapacityTokens': 600076,
                    'kvTokenBytes': 35136,
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
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 't1',
                'apiKeys': ['k1'],
                'priority': 1,
                'unit': 'token_count',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
            }
        ],
        **extra,
    }


def main(play, record):
    """Play a case; exit with 1 if the rule was broken, 2 if it can't run."""
    plan = Rig()

    async def run():
        try:
            return await asyncio.wait_for(play(plan), 112)
        finally:
            await plan.close(record)

    try:
        broken = asyncio.run(run())
    except (OSError, TimeoutError, ValueError, RuntimeError) as exc:
        print(f'the case could not run: {exc!r}')
        sys.exit(2)
    print('the rule was broken' if broken else 'the rule held')
    sys.exit(int(bool(broken)))
