"""Tests of gauges and ``/readyz`` on hosts that cooperate."""

import asyncio
import contextlib
import pathlib

from geraniumweir.common import ids
from geraniumweir.configuration import document, reading
from geraniumweir.daemon import host as entry_host
from geraniumweir.daemon.tests import joinedbed
from geraniumweir.membership import servers
from geraniumweir.scheduling import requests

_POOL = ids.PoolName('lm-advisori')
_RULES = """
[[pool]]
name = "lm-advisori"
"""


def test_host_that_started_without_majority_reports_unsure() -> None:
    """Without an answer of its recorder the host serves and is unsure."""

    async def scenario() -> None:
        async with contextlib.AsyncExitStack() as stack:
            mine = joinedbed.Host(
                '--host-id=entry-1',
                f'--peer-address=127.0.0.1:{joinedbed.free_port()}',
                f'--recorders=entry-9=127.0.0.1:{joinedbed.free_port()}',
            )
            await mine.start(stack)
            ready = await mine.ready()
            assert ready['ready']
            assert ready['unsure']
            assert ready['version'] == 0
            shown = mine.shown()
            assert 'geraniumweir_config_sure 0.0' in shown
            heard = 'geraniumweir_config_heard_seconds '
            assert not any(line.startswith(heard) for line in shown)

    asyncio.run(scenario())


def test_gauges_show_live_hosts_and_the_log(
    tmp_path: pathlib.Path,
) -> None:
    """A leading recorder and a second host, which becomes sure."""

    async def scenario() -> None:
        peer = f'127.0.0.1:{joinedbed.free_port()}'
        common = f'--recorders=entry-1={peer}'
        first = joinedbed.Host(
            '--host-id=entry-1',
            f'--peer-address={peer}',
            f'--data-folder={tmp_path}',
            common,
        )
        second = joinedbed.Host(
            '--host-id=entry-2',
            f'--peer-address=127.0.0.1:{joinedbed.free_port()}',
            f'--peers={peer}',
            common,
        )
        async with contextlib.AsyncExitStack() as stack:
            await first.start(stack)
            await second.start(stack)
            await first.until('geraniumweir_log_role{role="leader"} 1.0')
            live = 'geraniumweir_live_hosts{failure_domain="milano-a"} 2.0'
            for host in (first, second):
                await host.until(live)
                await host.until('geraniumweir_config_sure 1.0')
                await host.until_sure(sure=True)
                assert not (await host.ready())['unsure']
            await first.until('geraniumweir_log_lag{recorder="entry-1"} 0.0')
            await first.until('geraniumweir_log_unapplied 0.0')
            # A host without a data folder has no gauges of a log.
            assert not any('_log_' in line for line in second.shown())

    asyncio.run(scenario())


def test_pool_leader_reports_waiting_and_running_by_tier() -> None:
    """With one slot, one request runs and one of another tier waits."""

    async def scenario() -> None:
        async with contextlib.AsyncExitStack() as stack:
            mine = joinedbed.Host(
                '--host-id=entry-1',
                f'--peer-address=127.0.0.1:{joinedbed.free_port()}',
            )
            await mine.start(stack)
            rules = document.InForce(
                ids.Version(1), reading.read(_RULES), _RULES
            )
            mine.host.put_in_force(rules)
            mine.host.announce(_server())
            calls = [
                asyncio.create_task(
                    mine.host.scheduler(_POOL).request_slot(slot_request)
                )
                for slot_request in (
                    _slot_request(mine.host, 1),
                    _slot_request(mine.host, 2),
                )
            ]
            pool = f'pool="{_POOL}"'
            await mine.until(f'geraniumweir_running{{{pool},tier="1"}} 1.0')
            await mine.until(f'geraniumweir_waiting{{{pool},tier="2"}} 1.0')
            await mine.until(f'geraniumweir_waiting{{{pool},tier="1"}} 0.0')
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    asyncio.run(scenario())


def test_failure_domain_without_hosts_stays_in_the_gauge() -> None:
    """The gauge stays as 0, so that an alarm on it can fire."""

    async def scenario() -> None:
        first = joinedbed.free_port()
        here = joinedbed.Host(
            '--host-id=entry-1',
            f'--peer-address=127.0.0.1:{first}',
        )
        there = joinedbed.Host(
            '--host-id=entry-2',
            f'--peer-address=127.0.0.1:{joinedbed.free_port()}',
            f'--peers=127.0.0.1:{first}',
            domain='torino-b',
        )
        line = 'geraniumweir_live_hosts{failure_domain="torino-b"}'
        async with contextlib.AsyncExitStack() as stack:
            await here.start(stack)
            async with contextlib.AsyncExitStack() as other:
                await there.start(other)
                await here.until(f'{line} 1.0')
                await there.joined.members.leave()
            await here.until(f'{line} 0.0')

    asyncio.run(scenario())


def _server() -> servers.Announcement:
    return servers.Announcement(
        server_id=ids.ServerId('advisor-1'),
        incarnation=ids.Incarnation(1),
        address=ids.Address('127.0.0.1', 1),
        kind='service',
        pool=_POOL,
        failure_domain=ids.FailureDomain('milano-a'),
        slots=1,
    )


def _slot_request(
    host: entry_host.EntryHost, tier: int
) -> requests.SlotRequest:
    return requests.SlotRequest(
        request_id=ids.RequestId(f'r{tier}'),
        owner=host.cfg.host_id,
        pool=_POOL,
        customer=ids.CustomerName('liceo-volta'),
        rule=ids.RuleName('lookups'),
        tier=ids.Tier(tier),
        deadline=host.timers.now() + 60,
    )
