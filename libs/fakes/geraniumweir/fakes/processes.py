"""Entry hosts as processes of their own, for the demo and benches."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import socket
import sys
import tempfile
import typing

import aiohttp
from geraniumweir.common import ids

_START_TRIES = 200
_PAUSE_SECONDS = 0.1
_STOP_SECONDS = 20.0
_USER_TIME = 11
_FACES = ('caller', 'backend', 'operator')


@dataclasses.dataclass(slots=True)
class HostProcess:
    """One daemon.

    :ivar addresses: by face: ``caller``, ``backend``, ``operator``.
    :ivar process: the running program.
    """

    host_id: str
    domain: ids.FailureDomain
    addresses: dict[str, ids.Address]
    process: asyncio.subprocess.Process

    def url(self, path: str) -> str:
        """Give the URL of a path at the callers' address."""
        return f'http://{self.addresses["caller"]}{path}'

    async def stop(self) -> int:
        """Ask it to drain and wait for its end.

        :returns: its exit status.
        """
        if self.process.returncode is None:
            self.process.terminate()
        async with asyncio.timeout(_STOP_SECONDS):
            return await self.process.wait()

    def kill(self) -> None:
        """End it at once, if it still runs."""
        if self.process.returncode is None:
            self.process.kill()


async def start(host_id: str, domain: ids.FailureDomain) -> HostProcess:
    """Start a daemon on free loopback ports."""
    ports = _free_ports(len(_FACES))
    addresses = {
        face: ids.Address('127.0.0.1', port)
        for face, port in zip(_FACES, ports)
    }
    flags = [f'--host-id={host_id}', f'--failure-domain={domain}']
    flags.extend(
        f'--{face}-address={address}' for face, address in addresses.items()
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'geraniumweir.daemon',
        *flags,
    )
    return HostProcess(host_id, domain, addresses, process)


async def until_ready(
    session: aiohttp.ClientSession,
    hosts: typing.Iterable[HostProcess],
) -> None:
    """Wait until all daemons take calls.

    :raises TimeoutError: when one doesn't.
    """
    for host in hosts:
        await _until_one_ready(session, host)


async def _until_one_ready(
    session: aiohttp.ClientSession,
    host: HostProcess,
) -> None:
    for _ in range(_START_TRIES):
        if host.process.returncode is not None:
            break
        with contextlib.suppress(aiohttp.ClientError):
            async with session.get(host.url('/readyz')):
                return
        await asyncio.sleep(_PAUSE_SECONDS)
    raise TimeoutError(f'the daemon {host.host_id} did not start')


async def apply_rules(host: HostProcess, rules: str) -> None:
    """Put rules in force with ``geraniumctl``.

    :raises RuntimeError: when they are not accepted.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'rules.toml')
        path.write_text(rules)
        ctl = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'geraniumweir.ctl',
            '--operator-address={0}'.format(host.addresses['operator']),
            'apply',
            str(path),
            '--base=0',
            stdout=asyncio.subprocess.DEVNULL,
        )
        if await ctl.wait():
            raise RuntimeError('geraniumctl apply failed')


def resident_kb(pid: int) -> int:
    """Give the resident memory of a process, in KiB."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE') // 1024


def cpu_seconds(pid: int) -> float:
    """Give the processor time that a process has used."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    # User and system time, the 14th and 15th field of the whole line.
    ticks = sum(map(int, fields[_USER_TIME : _USER_TIME + 2]))
    return ticks / os.sysconf('SC_CLK_TCK')


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        return [_bind(sock) for sock in socks]


def _bind(sock: socket.socket) -> int:
    sock.bind(('127.0.0.1', 0))
    return int(sock.getsockname()[1])
