"""What an announcement and a report cost the entry host that gets them.

The host is a process of its own; the announcements come over HTTP on kept
connections, as backend servers send them.
"""

import asyncio
import typing

import aiohttp
from geraniumweir.common import ids
from geraniumweir.fakes import inprocess, processes
from geraniumweir.fakes.slopes import results

_SERVERS = (10, 40, 160, 640)
_TIMES = 1600
_MOST_CONNECTIONS = 16


def main() -> None:
    """Measure and print."""
    rows = {size: asyncio.run(_costs(size)) for size in _SERVERS}
    units = {'announcement': 's of processor', 'report': 's of processor'}
    results.write(results.columns('announcing', 'servers', units, rows))


async def _costs(servers: int) -> dict[str, float]:
    connector = aiohttp.TCPConnector(limit=_MOST_CONNECTIONS)
    async with aiohttp.ClientSession(connector=connector) as session:
        plan = processes.plan_alone('slopes', ids.FailureDomain('milano-a'))
        host = await processes.start(plan)
        try:
            await processes.until_ready(session, [host])
            await processes.apply_rules(host, inprocess.RULES)
            await _post_all(session, host, 'announce', servers, servers)
            return {
                'announcement': await _cost(session, host, 'announce', servers),
                'report': await _cost(session, host, 'reports', servers),
            }
        finally:
            host.kill()


async def _cost(
    session: aiohttp.ClientSession,
    host: processes.HostProcess,
    path: str,
    servers: int,
) -> float:
    before = processes.cpu_seconds(host.process.pid)
    await _post_all(session, host, path, servers, _TIMES)
    used = processes.cpu_seconds(host.process.pid) - before
    return used / _TIMES


async def _post_all(
    session: aiohttp.ClientSession,
    host: processes.HostProcess,
    path: str,
    servers: int,
    times: int,
) -> None:
    url = 'http://{0}/v1/{1}'.format(host.addresses['backend'], path)
    payloads = (_payload(number % servers, number) for number in range(times))
    posting = (_post(session, url, payloads) for _ in range(_MOST_CONNECTIONS))
    await asyncio.gather(*posting)


async def _post(
    session: aiohttp.ClientSession,
    url: str,
    payloads: typing.Iterator[dict[str, object]],
) -> None:
    for payload in payloads:
        async with session.post(url, json=payload) as resp:
            resp.raise_for_status()
            await resp.read()


def _payload(server: int, number: int) -> dict[str, object]:
    """Give an announcement and a report in one; each face reads its part."""
    return {
        'server_id': f'server-{server}',
        'incarnation': 1,
        'address': '127.0.0.1:1',
        'kind': 'engine',
        'pool': 'lm-advisori',
        'failure_domain': 'milano-a',
        'models': ['advisor'],
        'slots': 8,
        'running': 4,
        'waiting': 0,
        'kv_used': number,
        'sequence': number,
        'stored': [],
        'evicted': [],
    }


if __name__ == '__main__':
    main()
