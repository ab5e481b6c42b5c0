"""Starts the programs of the deploy file as processes on loopback.

Each host has a loopback address of its own, as a host is known by its address.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ('milano-a', 'torino-b', 'bergamo-c')
REGION = 'nord-ovest'
HEARTBEAT_MS = 1200
# Bounds of the small deployments, in the platform's names.
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
CONTRACTS = (
    'base drain config cost retry recover engine stream tenants quota'.split()
)
_FRONT_PORT, _READY_PORT, _CONTROL_PORT = 8221, 8224, 8229
_INTERNAL_PORTS = [7600, 7615]
# The last numbers of the hosts' addresses begin here.
_CONTROL_HOSTS, _ENTRY_HOSTS, SERVERS = 11, 21, 100
_START_SECONDS = 30.0
# Logged by an entry host when another control host coordinates.
_COORDINATOR_EVENT = 762


class CannotRunError(Exception):
    """The case could not run; nothing is said of the rule."""


class Record:
    """The file that holds what was sent, answered and run."""

    def __init__(self, path):
        self._file = pathlib.Path(path).open('w', buffering=1)
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def __call__(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')


class Host:
    """One machine of the system with its one process."""

    def __init__(self, role, number, address, zone):
        self.role = role
        self.name = f'{"core" if role == "control" else "front"}-{number}'
        self.address = address
        self.zone = zone
        self.process = None
        self.starts = 0

    @property
    def front(self):
        return self.address, _FRONT_PORT

    @property
    def ready(self):
        return self.address, _READY_PORT

    @property
    def control(self):
        return self.address, _CONTROL_PORT


class System:
    """The processes of the system under test."""

    def __init__(self, record, entries=3, controls=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-3-'))
        net = _free_net()
        self.controls = [
            Host(
                'control',
                n + 1,
                f'{net}.{_CONTROL_HOSTS + n}',
                ZONES[n % len(ZONES)],
            )
            for n in range(controls)
        ]
        self.entries = [
            Host(
                'entry',
                n + 1,
                f'{net}.{_ENTRY_HOSTS + n}',
                ZONES[n % len(ZONES)],
            )
            for n in range(entries)
        ]
        self.net = net
        self.hosts = [*self.controls, *self.entries]

    def settings(self, host, *, bootstrap):
        """Return the settings of a host's process."""
        core = host.role == 'control'
        folder = self.folder / host.name
        if core:
            (folder / 'data').mkdir(parents=True, exist_ok=True)
        listen = (
            {'control': f'{host.address}:{_CONTROL_PORT}'}
            if core
            else {
                'front': f'{host.address}:{_FRONT_PORT}',
                'ready': f'{host.address}:{_READY_PORT}',
            }
        )
        return {
            'node': host.name,
            'role': host.role,
            'machineClass': 'core' if core else 'front',
            'serves': ['control'] if core else ['front'],
            'ip': host.address,
            'zone': host.zone,
            'region': REGION,
            'zones': dict.fromkeys(ZONES, REGION),
            'listen': listen,
            'internalPorts': _INTERNAL_PORTS,
            'seeds': [
                f'{one.address}:{_CONTROL_PORT}' for one in self.controls[:3]
            ],
            'bootstrap': bootstrap,
            'inTolerance': core,
            'limits': {
                'cpuShare': 0.645 if core else 0.537,
                'cores': 2,
                'memoryMb': 296 if core else 300,
                'maxFds': 4096 if core else 4100,
                'linkMbps': 1000.0,
                'diskMb': 128 if core else 0,
            },
            'dataDir': str(folder / 'data') if core else None,
            'discovery': 'registration',
            'entry': 'vip',
            'heartbeatMs': HEARTBEAT_MS,
            'contracts': CONTRACTS,
            'faultTolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'configMode': 'highest',
        }

    async def start(self, host, *, bootstrap=False):
        """Start a host's process with the command of the deploy file."""
        folder = self.folder / host.name
        folder.mkdir(parents=True, exist_ok=True)
        cfg = folder / 'local.json'
        cfg.write_text(json.dumps(self.settings(host, bootstrap=bootstrap)))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['GERANIUMWEIR_CONFIG'] = str(cfg)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (folder / 'log').open('ab') as log:
            host.process = await asyncio.create_subprocess_exec(
                sys.executable,
                'deploy/start.py',
                host.role,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        host.starts += 1
        self.record(f'start {host.name} pid {host.process.pid}')

    def signal(self, host, number):
        """Send a signal to a host's process."""
        self.record(f'signal {signal.Signals(number).name} {host.name}')
        host.process.send_signal(number)

    async def kill(self, host):
        self.signal(host, signal.SIGKILL)
        await host.process.wait()

    async def start_all(self, document):
        """Start the system for the first time, and give it its document."""
        for host in self.hosts:
            await self.start(host, bootstrap=True)
        await self.publish(document)
        await self.until_ready()

    async def publish(self, document):
        """Send a document until it is acknowledged, as the operator does."""
        body = json.dumps(document).encode()
        give_up_at = time.monotonic() + _START_SECONDS
        while time.monotonic() < give_up_at:
            for host in random.sample(self.controls, len(self.controls)):
                status, _ = await call(host.control, 'PUT', '/v1/config', body)
                if status == 200:
                    self.record(
                        f'document {document["version"]} ack {host.name}'
                    )
                    return host
                if 400 <= status < 500:
                    raise CannotRunError(f'the document was refused: {status}')
            await asyncio.sleep(0.2)
        raise CannotRunError('no control host acknowledged the document')

    async def until_ready(self):
        give_up_at = time.monotonic() + _START_SECONDS
        for host in self.entries:
            while (await call(host.ready, 'GET', '/v1/ready'))[0] != 200:
                if time.monotonic() > give_up_at:
                    raise CannotRunError(f'{host.name} does not get ready')
                await asyncio.sleep(0.1)

    def coordinator(self):
        """Return the control host that an entry host last said to follow."""
        found = self.controls[0]
        log = self.folder / self.entries[0].name / 'log'
        for line in log.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError, KeyError):
                said = json.loads(line)
                if said['event'] == _COORDINATOR_EVENT:
                    address = said['fields']['host']
                    found = next(
                        (
                            one
                            for one in self.controls
                            if one.address == address
                        ),
                        found,
                    )
        self.record(f'{found.name} coordinates')
        return found

    def ended(self):
        """Name the processes that ended by themselves."""
        return [
            host.name
            for host in self.hosts
            if host.process is not None and host.process.returncode is not None
        ]

    async def end(self):
        """End all processes that were started, and remove their files."""
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        if os.environ.get('KEEP'):
            self.record(f'logs are kept in {self.folder}')
            print('logs', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_net():
    """Return the first three numbers of loopback addresses that are free."""
    for _ in range(50):
        net = f'127.{random.randrange(64, 250)}.{random.randrange(1, 250)}'
        try:
            for host in (_CONTROL_HOSTS, _ENTRY_HOSTS):
                for port in (
                    _FRONT_PORT,
                    _READY_PORT,
                    _CONTROL_PORT,
                    *_INTERNAL_PORTS,
                ):
                    with socket.socket() as sock:
                        sock.bind((f'{net}.{host}', port))
        except OSError:
            continue
        return net
    raise CannotRunError('no free loopback network')


async def call(address, method, path, body=b'', headers=(), seconds=1.0):
    """Make a call on a connection of its own.

    :returns: the status, 0 for no answer, and the body.
    """
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            try:
                lines = [
                    f'{method} {path} HTTP/1.1',
                    f'Host: {address[0]}:{address[1]}',
                    'Content-Type: application/json',
                    f'Content-Length: {len(body)}',
                    'Connection: close',
                    *headers,
                ]
                writer.write('\r\n'.join([*lines, '', '']).encode() + body)
                status, found = await read_head(reader)
                content = await read_body(reader, found)
                return status, content
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b''


async def read_head(reader):
    """Return the status, or the request line, and the headers."""
    first = await reader.readline()
    if not first:
        raise asyncio.IncompleteReadError(b'', None)
    headers = {}
    while True:
        line = (await reader.readline()).decode('latin-1').rstrip('\r\n')
        if not line:
            break
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    words = first.decode('latin-1').split()
    if words[0].startswith('HTTP/'):
        return int(words[1]), headers
    return words, headers


async def chunks(reader, headers):
    """Give the body of a message as it comes, with its framing checked."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if size:
                yield await reader.readexactly(size)
            await reader.readline()
            if not size:
                return
    elif 'content-length' in headers:
        size = int(headers['content-length'])
        if size:
            yield await reader.readexactly(size)


async def read_body(reader, headers):
    return b''.join([one async for one in chunks(reader, headers)])


async def _until_stopped(work):
    """Run a case, which ends its processes when it is stopped by a signal."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await work


def run(case, path):
    """Run a case, and exit with its verdict.

    :param case: coroutine function of the record and of whether the disruption
        is played; returns the lines that say how the rule was broken.
    :param path: of the case's folder.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(pathlib.Path(path) / 'record.txt')
    record(f'disruption {"played" if trouble else "left out"}')
    try:
        broken = asyncio.run(_until_stopped(case(record, trouble)))
    except (Exception, asyncio.CancelledError) as exc:
        # A fault of the stand-ins says nothing of the rule.
        record(f'could not run: {exc!r}')
        traceback.print_exc()
        sys.exit(2)
    for line in broken:
        record(f'broken: {line}')
        print('broken:', line)
    if not broken:
        record('the rule held')
        print('the rule held')
    sys.exit(1 if broken else 0)
