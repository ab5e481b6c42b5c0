"""The main job on loopback: three failure domains serve two workloads.

Two entry hosts in each failure domain are processes of their own; unlike fake
engines and plain services run in this one, where they keep account of every
call they saw. The table at the end says what became of the calls; the exit
status is 0 only where nothing was lost, doubled or mixed up.
"""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import sys
import tempfile
import typing

import aiohttp
from geraniumweir.common import ids
from geraniumweir.fakes import (
    engine,
    generation,
    processes,
    sender,
    service,
    tally,
    workloads,
)

_DOMAINS = ('milano-a', 'torino-b', 'bergamo-c')
_HOSTS_PER_DOMAIN = 2
_SERVICES = ('sportello-app', 'voorraad-api')
_SLOTS = 6
_PROGRESS_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How much the demo does.

    :ivar seconds: over which the calls arrive.
    """

    seed: int = 7
    calls: int = 700
    seconds: float = 14.0


@dataclasses.dataclass(slots=True)
class _Backends:
    """The fake backend servers of all failure domains."""

    engines: list[engine.FakeEngine]
    services: list[service.FakeService]

    def count_runs(self, counted: tally.Tally) -> None:
        """Tell the tally how often each call ran."""
        for fake in self.engines:
            counted.runs.update(fake.account.seen)
        for plain in self.services:
            counted.runs.update(plain.seen)

    def twice(self) -> list[str]:
        """List the idempotency keys that ran more than once."""
        runs: collections.Counter[str] = collections.Counter()
        for plain in self.services:
            runs.update(plain.runs)
        return [key for key in runs if runs[key] > 1]

    def wasted(self) -> float:
        """Give the share of prefill that was thrown away or repeated."""
        done = sum(fake.account.prefilled for fake in self.engines)
        lost = sum(
            fake.account.thrown + fake.repeated_prefill for fake in self.engines
        )
        return lost / max(done, 1)


def main() -> None:
    """Run the demo and exit 0 only where the invariants held."""
    sys.exit(asyncio.run(run_demo(Plan())))


async def run_demo(plan: Plan) -> int:
    """Serve a seeded mix of both workloads from end to end.

    :returns: the exit status.
    """
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(_session())
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        hosts = await _start_hosts(stack, pathlib.Path(folder))
        await processes.until_ready(session, hosts)
        backends = await _start_backends(stack, hosts)
        await processes.apply_rules(hosts[0], workloads.rules())
        _say(f'{len(hosts)} entry hosts, {len(backends.engines)} engines')
        calls = workloads.offer(plan.seed, plan.calls, plan.seconds)
        counted = await _send(session, hosts, calls)
        statuses = await asyncio.gather(*(host.stop() for host in hosts))
        backends.count_runs(counted)
        return _judge(counted, backends, statuses)


def _session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


async def _start_hosts(
    stack: contextlib.AsyncExitStack,
    folder: pathlib.Path,
) -> list[processes.HostProcess]:
    hosts = []
    for plan in processes.plan_system(_DOMAINS, _HOSTS_PER_DOMAIN, folder):
        host = await processes.start(plan)
        stack.callback(host.kill)
        hosts.append(host)
    return hosts


async def _start_backends(
    stack: contextlib.AsyncExitStack,
    hosts: typing.Sequence[processes.HostProcess],
) -> _Backends:
    backends = _Backends([], [])
    for domain in _DOMAINS:
        to = tuple(
            host.addresses['backend'] for host in hosts if host.domain == domain
        )
        for name, speed in workloads.speeds().items():
            fake = engine.FakeEngine(_engine(domain, name, speed, to))
            backends.engines.append(fake)
            await stack.enter_async_context(fake.running())
        for pool in _SERVICES:
            plain = service.FakeService(_service(domain, pool, to))
            backends.services.append(plain)
            await stack.enter_async_context(plain.running())
    return backends


def _engine(
    domain: str,
    name: str,
    speed: generation.Speed,
    to: tuple[ids.Address, ...],
) -> engine.EngineSettings:
    return engine.EngineSettings(
        ids.ServerId(f'{domain}-{name}'),
        ids.PoolName('lm'),
        ids.FailureDomain(domain),
        to,
        slots=_SLOTS,
        speed=speed,
        hardware=name,
        can_resume=True,
    )


def _service(
    domain: str,
    pool: str,
    to: tuple[ids.Address, ...],
) -> service.ServiceSettings:
    return service.ServiceSettings(
        ids.ServerId(f'{domain}-{pool}'),
        ids.PoolName(pool),
        ids.FailureDomain(domain),
        to,
    )


async def _send(
    session: aiohttp.ClientSession,
    hosts: typing.Sequence[processes.HostProcess],
    calls: typing.Sequence[workloads.Offered],
) -> tally.Tally:
    counted = tally.Tally()
    progress = asyncio.create_task(_show_progress(counted, len(calls)))
    start = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        for call in calls:
            due = start + call.at - asyncio.get_running_loop().time()
            await asyncio.sleep(max(due, 0))
            host = hosts[call.number % len(hosts)]
            group.create_task(sender.send(session, host, call, counted))
    progress.cancel()
    return counted


async def _show_progress(counted: tally.Tally, calls: int) -> None:
    while True:
        await asyncio.sleep(_PROGRESS_SECONDS)
        _say(f'{len(counted.ends)} of {calls} calls ended')


def _judge(
    counted: tally.Tally,
    backends: _Backends,
    statuses: typing.Sequence[int],
) -> int:
    sys.stdout.write(f'{counted.table()}\n')
    sys.stdout.write(f'wasted prefill: {backends.wasted():.1%}\n')
    faults = {
        'lost': counted.count(tally.End.lost),
        'doubled': len(counted.doubled),
        'acts that happened twice': len(backends.twice()),
        'ran though told it had not': len(counted.broken_promises),
        'hosts that did not drain': sum(map(bool, statuses)),
        'nothing was served': int(not counted.count(tally.End.in_time)),
    }
    for name, count in faults.items():
        if count:
            sys.stdout.write(f'broken: {name}: {count}\n')
    for refused, times in counted.refusals().items():
        sys.stdout.write(f'refused with {refused}: {times}\n')
    return int(any(faults.values()))


def _say(line: str) -> None:
    sys.stderr.write(f'{line}\n')


if __name__ == '__main__':
    main()
