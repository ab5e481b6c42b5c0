"""Entry hosts as processes of their own, for the demo and benches."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
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
FACES = ('caller', 'backend', 'operator', 'peer')
_MOST_RECORDERS = 3
# Below the ports that the system hands to connections, so that a host can
# start again at its own.
_FIRST_PORT = 12000
_LAST_PORT = 32000
_given: set[int] = set()


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlan:
    """How one daemon is started.

    :ivar addresses: by face: ``caller``, ``backend``, ``operator``, ``peer``.
    :ivar flags: further ones.
    """

    host_id: str
    domain: ids.FailureDomain
    addresses: dict[str, ids.Address]
    flags: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class HostProcess:
    """One daemon.

    :ivar process: the running program.
    """

    plan: HostPlan
    process: asyncio.subprocess.Process

    @property
    def host_id(self) -> str:
        """Give the host's id."""
        return self.plan.host_id

    @property
    def domain(self) -> ids.FailureDomain:
        """Give the host's failure domain."""
        return self.plan.domain

    @property
    def addresses(self) -> dict[str, ids.Address]:
        """Give the host's addresses by face."""
        return self.plan.addresses

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


def plan_alone(host_id: str, domain: ids.FailureDomain) -> HostPlan:
    """Plan a host that stands alone, on free loopback ports."""
    addresses = _free_addresses()
    addresses.pop('peer')
    return HostPlan(host_id, domain, addresses)


def plan_system(
    domains: typing.Sequence[str],
    per_domain: int,
    folder: pathlib.Path,
) -> list[HostPlan]:
    """Plan hosts that work together, on free loopback ports.

    The first host of each of the first domains is a recorder.

    :param folder: holds the recorders' data folders.
    """
    blank = [
        HostPlan(f'{domain}-{number}', ids.FailureDomain(domain), {})
        for domain in domains
        for number in range(1, per_domain + 1)
    ]
    found = [
        dataclasses.replace(plan, addresses=_free_addresses()) for plan in blank
    ]
    firsts = found[::per_domain]
    recorders = firsts[:_MOST_RECORDERS]
    named = ','.join(_recorder(plan) for plan in recorders)
    return [
        dataclasses.replace(
            plan,
            flags=_system_flags(plan, named, recorders, folder),
        )
        for plan in found
    ]


def _recorder(plan: HostPlan) -> str:
    return '{0}={1}'.format(plan.host_id, plan.addresses['peer'])


def _system_flags(
    plan: HostPlan,
    named: str,
    recorders: typing.Sequence[HostPlan],
    folder: pathlib.Path,
) -> tuple[str, ...]:
    flags = [f'--recorders={named}', '--log-level=warning']
    if plan in recorders:
        flags.append(f'--data-folder={folder / plan.host_id}')
    return tuple(flags)


async def start(
    plan: HostPlan,
    log: pathlib.Path | None = None,
) -> HostProcess:
    """Start a daemon.

    :param log: what it says is appended there; by default it's shown.
    """
    flags = [f'--host-id={plan.host_id}', f'--failure-domain={plan.domain}']
    flags.extend(
        f'--{face}-address={address}'
        for face, address in plan.addresses.items()
    )
    with contextlib.ExitStack() as stack:
        sink = None if log is None else stack.enter_context(log.open('ab'))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'geraniumweir.daemon',
            *flags,
            *plan.flags,
            stderr=sink,
        )
    return HostProcess(plan, process)


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
            '--wait',
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


def _free_addresses() -> dict[str, ids.Address]:
    return {
        face: ids.Address('127.0.0.1', port)
        for face, port in zip(FACES, free_ports(len(FACES)))
    }


def free_ports(count: int) -> list[int]:
    """Find free ports of loopback, none of which was given before.

    A port is only taken once its daemon runs; two daemons that are planned
    one after the other would else draw the same one now and then.
    """
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        return [_bind(sock) for sock in socks]


def _bind(sock: socket.socket) -> int:
    chance = random.SystemRandom()
    while True:
        port = chance.randint(_FIRST_PORT, _LAST_PORT)
        if port in _given:
            continue
        with contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            _given.add(port)
            return port
