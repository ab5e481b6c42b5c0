"""A whole system on loopback that tests break in the ordinary ways.

Entry hosts are processes of their own: killed, stopped, emptied and started
again as planned, and parted by the cutting of their links. The fake backend
servers run in this process and keep account of all that they ran.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import shutil
import signal
import tempfile
import typing

import aiohttp
from geraniumweir.common import ids
from geraniumweir.fakes import engine, generation, processes, service

DOMAINS = ('milano-a', 'torino-b', 'bergamo-c')
ENGINES = ids.PoolName('lm')
ORDERS = ids.PoolName('van')
_POLL_SECONDS = 0.02
_OK = 200
_LONGEST_SECONDS = 20
_PATIENCE = aiohttp.ClientTimeout(total=_LONGEST_SECONDS)
_RULES = """# change {0}
[[customer]]
name = "hal-a"

[[pool]]
name = "lm"

[[pool]]
name = "van"
kind = "service"

[[rule]]
name = "orders"
when = {{ path = "/services/van/orders" }}
then = {{ route = "van", tier = 0, deadline_ms = 8000, idempotent = false }}

[[rule]]
name = "questions"
when = {{ path = "/v1/*" }}
then = {{ route = "lm", tier = 1, deadline_ms = 15000 }}
"""

Scenario = typing.Callable[['System'], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What an operator's request came to.

    :ivar status: 0 where no answer came.
    """

    status: int
    body: dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class System:
    """The processes, by host id, and the backend servers.

    :ivar running: the hosts that were started and not ended.
    """

    session: aiohttp.ClientSession
    stack: contextlib.AsyncExitStack
    folder: pathlib.Path
    plans: dict[str, processes.HostPlan]
    running: dict[str, processes.HostProcess] = dataclasses.field(
        default_factory=dict,
    )
    engines: list[engine.FakeEngine] = dataclasses.field(default_factory=list)
    services: list[service.FakeService] = dataclasses.field(
        default_factory=list,
    )

    async def start(self, host_id: str) -> None:
        """Start a host as planned, also again."""
        plan = self.plans[host_id]
        host = await processes.start(plan, self.folder / f'{host_id}.log')
        self.stack.callback(host.kill)
        self.running[host_id] = host

    async def kill(self, host_id: str) -> None:
        """End a host at once."""
        host = self.running.pop(host_id)
        host.kill()
        await host.process.wait()

    def pause(self, host_id: str) -> None:
        """Stop a host without ending it."""
        self.running[host_id].process.send_signal(signal.SIGSTOP)

    def go_on(self, host_id: str) -> None:
        """Let a stopped host run on."""
        self.running[host_id].process.send_signal(signal.SIGCONT)

    def empty(self, host_id: str) -> None:
        """Lose the data folder of a host that is down."""
        shutil.rmtree(self.folder / host_id)

    def of(self, domain: str) -> list[str]:
        """List the hosts of a failure domain."""
        return [
            one for one, plan in self.plans.items() if plan.domain == domain
        ]

    async def part(self, domain: str) -> None:
        """Cut a failure domain off from all others."""
        inside = self.of(domain)
        outside = [one for one in self.plans if one not in inside]
        for host_id in self.running:
            lost = outside if host_id in inside else inside
            await _cut(self, host_id, lost)

    async def heal(self) -> None:
        """Make all links whole again."""
        for host_id in self.running:
            await _cut(self, host_id, [])

    async def ask(
        self,
        host_id: str,
        method: str,
        path: str,
        body: object = None,
    ) -> Answer:
        """Ask a host as an operator."""
        address = self.plans[host_id].addresses['operator']
        url = f'http://{address}{path}'
        try:
            async with self.session.request(
                method, url, json=body, timeout=_PATIENCE
            ) as resp:
                return Answer(resp.status, await resp.json())
        except (aiohttp.ClientError, TimeoutError):
            return Answer(0, {})

    async def change(self, host_id: str, base: int, change_id: str) -> Answer:
        """Send a change whose text names its id."""
        document = rules(change_id)
        body = {'base': base, 'change_id': change_id, 'document': document}
        return await self.ask(host_id, 'PUT', '/v1/config', body)

    async def change_until_accepted(
        self,
        host_id: str,
        base: int,
        change_id: str,
    ) -> int:
        """Send a change again and again until it is accepted.

        :returns: its version.
        """
        while True:
            answer = await self.change(host_id, base, change_id)
            if answer.status == _OK:
                return int(answer.body['version'])
            assert answer.status in {0, 503}, answer
            await asyncio.sleep(_POLL_SECONDS)

    async def version(self, host_id: str) -> int | None:
        """Give the version in force on a host, None where it's silent."""
        answer = await self.ask(host_id, 'GET', '/v1/config')
        return answer.body.get('version')

    async def until_in_force(
        self,
        version: int,
        hosts: typing.Iterable[str] | None = None,
    ) -> None:
        """Wait until hosts have a version, by default all that run."""
        for host_id in hosts or list(self.running):
            while await self.version(host_id) != version:
                await asyncio.sleep(_POLL_SECONDS)

    async def until_joined(self) -> None:
        """Wait until all hosts that run know each other."""
        for host_id in list(self.running):
            while not await _knows_all(self, host_id):
                await asyncio.sleep(_POLL_SECONDS)

    async def log_leader(self, among: typing.Iterable[str] = ()) -> str:
        """Wait until recorders agree on a running leader, and name it."""
        while True:
            asked = list(among) or list(self.running)
            answers = [
                await self.ask(one, 'GET', '/v1/status') for one in asked
            ]
            named = {
                one.body['log_leader']
                for one in answers
                if one.body.get('log_leader')
            }
            if len(named) == 1 and named <= set(asked):
                return named.pop()
            await asyncio.sleep(_POLL_SECONDS)

    async def pool_leader(self, domain: str, pool: str) -> str:
        """Wait until a host of a domain leads a pool, and name it."""
        while True:
            asked = [one for one in self.of(domain) if one in self.running]
            answer = await self.ask(asked[0], 'GET', '/v1/hosts')
            for row in answer.body.get('hosts', ()):
                if row['failure_domain'] == domain and pool in row['leads']:
                    return str(row['host_id'])
            await asyncio.sleep(_POLL_SECONDS)

    async def until_served(self, hosts: typing.Iterable[str]) -> None:
        """Wait until hosts know a backend server of each pool."""
        for host_id in hosts:
            while await _pools_served(self, host_id) != {ENGINES, ORDERS}:
                await asyncio.sleep(_POLL_SECONDS)

    async def add_engines(
        self,
        speed: generation.Speed,
        slots: int = 4,
    ) -> None:
        """Start an engine and a service in each failure domain."""
        for domain in DOMAINS:
            to = tuple(
                self.plans[one].addresses['backend'] for one in self.of(domain)
            )
            await _add(self, domain, to, speed, slots)

    def seen(self) -> list[str]:
        """List the requests that backend servers got, with repeats."""
        fakes = [fake.account.seen for fake in self.engines]
        fakes.extend(plain.seen for plain in self.services)
        return [request_id for seen in fakes for request_id in seen]

    def runs(self, key: str) -> int:
        """Count how often services ran a key."""
        return sum(plain.runs[key] for plain in self.services)


async def _add(
    made: System,
    domain: str,
    to: tuple[ids.Address, ...],
    speed: generation.Speed,
    slots: int,
) -> None:
    place = ids.FailureDomain(domain)
    engine_id = ids.ServerId(f'{domain}-engine')
    cfg = engine.EngineSettings(
        engine_id, ENGINES, place, to, slots=slots, speed=speed
    )
    fake = engine.FakeEngine(cfg)
    made.engines.append(fake)
    await made.stack.enter_async_context(fake.running())
    service_id = ids.ServerId(f'{domain}-van')
    plain = service.FakeService(
        service.ServiceSettings(service_id, ORDERS, place, to),
    )
    made.services.append(plain)
    await made.stack.enter_async_context(plain.running())


async def _pools_served(made: System, host_id: str) -> set[str]:
    answer = await made.ask(host_id, 'GET', '/v1/servers')
    return {row['pool'] for row in answer.body.get('servers', ())}


async def _knows_all(made: System, host_id: str) -> bool:
    answer = await made.ask(host_id, 'GET', '/v1/hosts')
    rows = answer.body.get('hosts', ())
    return {row['host_id'] for row in rows} >= set(made.running)


async def _cut(made: System, host_id: str, lost: typing.Sequence[str]) -> None:
    body = {'cut': list(lost)}
    answer = await made.ask(host_id, 'PUT', '/v1/test/links', body)
    assert answer.status == _OK, answer


def rules(change_id: str) -> str:
    """Write a rule file that names the change it came by."""
    return _RULES.format(change_id)


@contextlib.asynccontextmanager
async def started(
    per_domain: int = 1,
    domains: typing.Sequence[str] = DOMAINS,
) -> typing.AsyncIterator[System]:
    """Run a system at version 1; the first host of each domain records."""
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory()),
        )
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=connector),
        )
        planned = processes.plan_system(domains, per_domain, folder)
        plans = {
            plan.host_id: dataclasses.replace(
                plan, flags=(*plan.flags, '--test-links')
            )
            for plan in planned
        }
        made = System(session, stack, folder, plans)
        for host_id in plans:
            await made.start(host_id)
        await processes.until_ready(session, made.running.values())
        first = next(iter(plans))
        await made.change_until_accepted(first, 0, 'first')
        await made.until_in_force(1)
        await made.until_joined()
        yield made


def run(scenario: Scenario, per_domain: int = 1, seconds: float = 60) -> None:
    """Run a scenario against a system of its own.

    :param seconds: after which it hangs.
    """
    asyncio.run(_run(scenario, per_domain, seconds))


async def _run(scenario: Scenario, per_domain: int, seconds: float) -> None:
    async with asyncio.timeout(seconds):
        async with started(per_domain) as made:
            await scenario(made)
