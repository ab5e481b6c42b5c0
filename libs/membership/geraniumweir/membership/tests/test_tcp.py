"""Membership over loopback TCP connections."""

import asyncio
import typing

from geraniumweir.common import ids, logevents, timers
from geraniumweir.membership import (
    hosts,
    membership,
    reports,
    shared_state,
    suspicion,
)
from geraniumweir.wire import tcp

_FAST = suspicion.Timing(period=0.05, suspect_after=0.2, dead_after=0.6)
_LONG = 60


async def _start(
    name: str,
    seeds: tuple[ids.Address, ...] = (),
) -> tuple[tcp.TcpPeers, membership.Membership]:
    layer = tcp.TcpPeers(ids.HostId(name), ids.Address('127.0.0.1', 0))
    await layer.start()
    host = hosts.Host(
        ids.HostId(name),
        ids.FailureDomain(name[0]),
        ids.Region('r'),
        layer.address,
        ids.Incarnation(1),
    )
    member = membership.Membership(
        host,
        layer,
        timers.TimerService(),
        shared_state.Options(seeds, _FAST),
    )
    await member.start()
    return layer, member


async def _until(done: typing.Callable[[], bool]) -> None:
    async with asyncio.timeout(_LONG):
        while not done():
            await asyncio.sleep(0.02)


def _sizes(members: typing.Iterable[membership.Membership]) -> set[int]:
    return {len(member.all_live()) for member in members}


def test_joins_and_crash_over_tcp() -> None:
    """Hosts of two domains find each other; all detect a crash."""

    async def main() -> list[logevents.Event]:
        first = await _start('a0')
        seeds = (first[0].address,)
        rest = [await _start(name, seeds) for name in ('a1', 'a2', 'b0')]
        members = [first[1], *(member for _, member in rest)]
        logged: list[logevents.Event] = []
        first[1].reported_events.subscribe(
            lambda event_seen: logged.append(reports.describe(event_seen)[0]),
        )
        await _until(lambda: _sizes(members) == {4})
        layer, crashed = rest[0]
        crashed.stop()
        await layer.close()
        members.remove(crashed)
        await _until(lambda: _sizes(members) == {3})
        for member in members:
            member.stop()
        layers = [first[0], *(layer for layer, _ in rest)]
        for one in layers:
            await one.close()
        return logged

    assert 602 in {event.number for event in asyncio.run(main())}
