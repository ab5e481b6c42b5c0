"""The main job on loopback: some failure domains serve a workload.

By default two entry hosts in each of three failure domains serve the mixed
workloads of both users; ``--deployment`` starts the system of one of them
instead, with its hosts, rules, pools and workload. Entry hosts are processes
of their own; unlike fake engines and plain services run in this one, where
they keep account of every call they saw. The table at the end says what
became of the calls; the exit status is 0 only where nothing was lost, doubled
or mixed up.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import itertools
import pathlib
import sys
import tempfile
import typing

import aiohttp
from geraniumweir.common import ids
from geraniumweir.fakes import (
    deployments,
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
_SERVICES = (ids.PoolName('sportello-app'), ids.PoolName('voorraad-api'))
_SLOTS = 6
_PROGRESS_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How much the demo does.

    :ivar seconds: over which the calls arrive.
    :ivar deployment: whose system is started, or empty.
    :ivar examples: folder of the deployments' files.
    """

    seed: int = 7
    calls: int = 700
    seconds: float = 14.0
    deployment: str = ''
    examples: pathlib.Path = pathlib.Path('examples')


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


def main(argv: typing.Sequence[str] | None = None) -> None:
    """Run the demo and exit 0 only where the invariants held.

    :param argv: flags, by default those of the process.
    """
    parser = argparse.ArgumentParser(prog='demo', allow_abbrev=False)
    parser.add_argument(
        '--deployment',
        choices=('', *deployments.NAMES),
        default='',
        help='whose system is started; empty: a mix of both workloads',
    )
    parser.add_argument(
        '--examples',
        type=pathlib.Path,
        default=pathlib.Path('examples'),
        metavar='FOLDER',
        help='holds the files of the deployments',
    )
    opts = parser.parse_args(argv)
    files = opts.examples / opts.deployment
    if opts.deployment and not files.is_dir():
        parser.error(f'argument --examples: there is no folder {files}')
    plan = Plan(deployment=opts.deployment, examples=opts.examples)
    sys.exit(asyncio.run(run_demo(plan)))


async def run_demo(plan: Plan) -> int:
    """Serve a seeded workload from end to end.

    :returns: the exit status.
    """
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(_session())
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        system = _system(plan, pathlib.Path(folder))
        hosts = await _start_hosts(stack, system)
        await processes.until_ready(session, hosts)
        backends = await _start_backends(stack, system)
        await processes.apply_rules(hosts[0], system.rules)
        _say(_described(system, backends))
        calls = workloads.offer(plan.seed, plan.calls, plan.seconds, system.mix)
        counted = await _send(session, hosts, calls, system.manner)
        statuses = await asyncio.gather(*(host.stop() for host in hosts))
        backends.count_runs(counted)
        return _judge(counted, backends, statuses)


def _system(plan: Plan, folder: pathlib.Path) -> deployments.Deployment:
    if plan.deployment:
        return deployments.read(plan.deployment, plan.examples, folder)
    hosts = processes.plan_system(_DOMAINS, _HOSTS_PER_DOMAIN, folder)
    return deployments.Deployment(
        hosts=tuple(hosts),
        rules=workloads.rules(),
        engines=ids.PoolName('lm'),
        services=_SERVICES,
        mix=workloads.kinds(),
    )


def _described(system: deployments.Deployment, backends: _Backends) -> str:
    domains = len(system.domains())
    return (
        f'{len(system.hosts)} entry hosts in {domains} failure domains, '
        f'{len(backends.engines)} engines, {len(backends.services)} services'
    )


def _session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


async def _start_hosts(
    stack: contextlib.AsyncExitStack,
    system: deployments.Deployment,
) -> list[processes.HostProcess]:
    hosts = []
    for plan in system.hosts:
        host = await processes.start(plan)
        stack.callback(host.kill)
        hosts.append(host)
    return hosts


async def _start_backends(
    stack: contextlib.AsyncExitStack,
    system: deployments.Deployment,
) -> _Backends:
    """Start the backend servers; they announce themselves at once."""
    backends = _Backends(_engines(system), _services(system))
    for fake in backends.engines:
        await stack.enter_async_context(fake.running())
    for plain in backends.services:
        await stack.enter_async_context(plain.running())
    return backends


def _engines(system: deployments.Deployment) -> list[engine.FakeEngine]:
    """Make engines of each speed, in the failure domains by turns."""
    speeds = itertools.cycle(workloads.speeds().items())
    places = system.engine_domains(len(workloads.speeds()))
    return [
        engine.FakeEngine(_engine(system, number, domain, *speed))
        for number, (domain, speed) in enumerate(zip(places, speeds))
    ]


def _services(system: deployments.Deployment) -> list[service.FakeService]:
    return [
        service.FakeService(
            service.ServiceSettings(
                ids.ServerId(f'{domain}-{pool}'),
                pool,
                domain,
                system.backend_addresses(domain),
            ),
        )
        for domain in system.domains()
        for pool in system.services
    ]


def _engine(
    system: deployments.Deployment,
    number: int,
    domain: ids.FailureDomain,
    name: str,
    speed: generation.Speed,
) -> engine.EngineSettings:
    return engine.EngineSettings(
        ids.ServerId(f'{domain}-{name}-{number}'),
        system.engines,
        domain,
        system.backend_addresses(domain),
        slots=_SLOTS,
        speed=speed,
        hardware=name,
        can_resume=True,
    )


async def _send(
    session: aiohttp.ClientSession,
    hosts: typing.Sequence[processes.HostProcess],
    calls: typing.Sequence[workloads.Offered],
    manner: sender.Manner,
) -> tally.Tally:
    counted = tally.Tally()
    progress = asyncio.create_task(_show_progress(counted, len(calls)))
    start = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        for call in calls:
            due = start + call.at - asyncio.get_running_loop().time()
            await asyncio.sleep(max(due, 0))
            host = hosts[call.number % len(hosts)]
            group.create_task(
                sender.send(session, host, call, counted, manner),
            )
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
