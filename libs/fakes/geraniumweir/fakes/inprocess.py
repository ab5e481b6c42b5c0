"""One entry host inside this process, for tests and benches."""

import asyncio
import contextlib
import dataclasses
import typing

from geraniumweir.backends import calls
from geraniumweir.common import ids, timers
from geraniumweir.configuration import document, reading
from geraniumweir.daemon import announcements, callers, listening, settings
from geraniumweir.daemon import host as entry_host
from geraniumweir.membership import servers

_DOMAIN = ids.FailureDomain('milano-a')
_NOWHERE = ids.Address('127.0.0.1', 0)
_SHUTDOWN_SECONDS = 0.1
RULES = """
[[customer]]
name = "liceo-volta"

[[pool]]
name = "lm-advisori"

[[pool]]
name = "sportello-app"
kind = "service"

[[rule]]
name = "app"
when = { path = "/services/sportello-app/*" }
then = { route = "sportello-app", tier = 1, deadline_ms = 20000 }

[[rule]]
name = "engines"
when = { path = "/v1/*" }
then = { route = "lm-advisori", tier = 2, deadline_ms = 20000 }
"""


@dataclasses.dataclass(slots=True)
class Running:
    """An entry host that listens."""

    host: entry_host.EntryHost

    def url(self, path: str) -> str:
        """Give the URL of a path at the callers' address."""
        return f'http://{self.host.cfg.caller_address}{path}'


@contextlib.asynccontextmanager
async def entry_host_with(
    rules: str = RULES,
    domain: ids.FailureDomain = _DOMAIN,
) -> typing.AsyncIterator[Running]:
    """Run an entry host on ports of its own choice.

    :param rules: TOML that is in force from the start.
    """
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(calls.make_session())
        host = entry_host.EntryHost(
            cfg=_settings(domain),
            timers=timers.TimerService(),
            session=session,
            registry=servers.Registry(),
            leaders={},
        )
        host.put_in_force(
            document.InForce(ids.Version(1), reading.read(rules), rules),
        )
        backend, caller = [
            await listening.listen(stack, app, _NOWHERE, _SHUTDOWN_SECONDS)
            for app in (announcements.make_app(host), callers.make_app(host))
        ]
        host.cfg = dataclasses.replace(
            host.cfg,
            caller_address=caller,
            backend_address=backend,
        )
        yield Running(host)


def _settings(domain: ids.FailureDomain) -> settings.Settings:
    flags = ['--host-id=entry-1', f'--failure-domain={domain}']
    for name in ('caller', 'backend', 'operator'):
        flags.append(f'--{name}-address={_NOWHERE}')
    return settings.parse(flags)


async def settle(condition: typing.Callable[[], bool]) -> None:
    """Let the loop turn until a condition holds."""
    while not condition():
        await asyncio.sleep(0)
