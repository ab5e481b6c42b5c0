"""How fast changes of membership are seen, and how often wrongly.

In virtual time on the in-memory network: times from an event until the last
host sees it, over several seeds, and hosts wrongly held for dead with lost
messages, by the number of witnesses; none is the naive version.
"""

import asyncio
import functools
import statistics
import typing

import tabulate
from geraniumweir.common import ids, virtual
from geraniumweir.fakes import bench_membership
from geraniumweir.membership import hosts, suspicion
from geraniumweir.wire import memory

SEEDS = range(5)
DOMAINS = 4
PER_DOMAIN = 6
WITNESSES = (0, 1, 3)
LOSSES = (0.1, 0.3)
LOSSY_HOSTS = 12
LOSSY_SECONDS = 120
SETTLE_SECONDS = 12
_STEP = 0.05
_LONGEST = 60
_VICTIM = 4
_OTHER_DOMAIN = slice(PER_DOMAIN, None)
_OWN_DOMAIN = slice(0, PER_DOMAIN)

Nodes = list[bench_membership.Node]
Scenario = typing.Callable[[memory.MemoryNetwork, Nodes], typing.Any]


async def crash_inside(network: memory.MemoryNetwork, nodes: Nodes) -> float:
    """Time until the own domain sees a crash."""
    victim = _crash(network, nodes)
    return await _until_gone(victim, nodes[_OWN_DOMAIN])


async def crash_outside(network: memory.MemoryNetwork, nodes: Nodes) -> float:
    """Time until the other domains see a crash."""
    victim = _crash(network, nodes)
    return await _until_gone(victim, nodes[_OTHER_DOMAIN])


async def domain_cut(network: memory.MemoryNetwork, nodes: Nodes) -> float:
    """Time until the others see that a domain is cut off."""
    for one in nodes[_OWN_DOMAIN]:
        for other in nodes[_OTHER_DOMAIN]:
            network.cut(one.peers.host_id, other.peers.host_id)
            network.cut(other.peers.host_id, one.peers.host_id)
    return await _until_gone(nodes[0].peers.host_id, nodes[_OTHER_DOMAIN])


async def leave_inside(network: memory.MemoryNetwork, nodes: Nodes) -> float:
    """Time until the own domain sees a farewell."""
    victim = nodes[_VICTIM]
    leaving = asyncio.create_task(victim.member.leave())
    rest = [node for node in nodes[_OWN_DOMAIN] if node is not victim]
    seconds = await _until_gone(victim.peers.host_id, rest)
    await leaving
    return seconds


async def notice(network: memory.MemoryNetwork, nodes: Nodes) -> float:
    """Time until every host of every domain has a notice."""
    heard: set[ids.HostId] = set()
    for node in nodes:
        note = functools.partial(_note, heard, node.peers.host_id)
        node.member.notices.subscribe(note)
    nodes[_VICTIM].member.broadcast(b'fingerprint', _LONGEST)
    return await _until(lambda: len(heard) == len(nodes))


async def false_deaths(seed: int, loss: float, witnesses: int) -> int:
    """Count hosts wrongly held for dead while messages are lost.

    :param loss: share of lost messages.
    :param witnesses: asked about each suspect.
    """
    network = memory.MemoryNetwork(seed)
    timing = suspicion.Timing(witnesses=witnesses)
    nodes = await bench_membership.start(network, 1, LOSSY_HOSTS, timing)
    await asyncio.sleep(SETTLE_SECONDS)
    left: list[hosts.HostEvent] = []
    for node in nodes:
        node.member.changes.subscribe(left.append)
    network.loss = loss
    await asyncio.sleep(LOSSY_SECONDS)
    return sum(isinstance(event, hosts.HostLeft) for event in left)


def _note(
    heard: set[ids.HostId],
    host_id: ids.HostId,
    _payload: bytes,
) -> None:
    heard.add(host_id)


def _crash(network: memory.MemoryNetwork, nodes: Nodes) -> ids.HostId:
    victim = nodes.pop(_VICTIM)
    victim.member.stop()
    network.leave(victim.peers.host_id)
    # Another host takes the place, so that the slices stay those of domains.
    nodes.insert(_VICTIM, nodes[0])
    return victim.peers.host_id


async def _until_gone(host_id: ids.HostId, watchers: Nodes) -> float:
    return await _until(
        lambda: not any(node.member.is_live(host_id) for node in watchers),
    )


async def _until(done: typing.Callable[[], bool]) -> float:
    loop = asyncio.get_running_loop()
    begin = loop.time()
    while not done() and loop.time() - begin < _LONGEST:
        await asyncio.sleep(_STEP)
    return loop.time() - begin


async def _timed(scenario: Scenario, seed: int) -> float:
    network = memory.MemoryNetwork(seed)
    nodes = await bench_membership.start(network, DOMAINS, PER_DOMAIN)
    await asyncio.sleep(SETTLE_SECONDS + seed / len(SEEDS))
    return await scenario(network, nodes)


def main() -> None:
    """Print both tables."""
    rows = []
    for scenario in (
        crash_inside,
        crash_outside,
        domain_cut,
        leave_inside,
        notice,
    ):
        seconds = [virtual.run(_timed(scenario, seed)) for seed in SEEDS]
        name = (scenario.__doc__ or '').rstrip('.')
        rows.append([name, statistics.median(seconds), max(seconds)])
    headers = ['event', 'median s', 'longest s']
    print(tabulate.tabulate(rows, headers, floatfmt='.2f'))  # noqa: WPS421
    wrong = [
        [loss, count]
        + [virtual.run(false_deaths(seed, loss, count)) for seed in SEEDS]
        for loss in LOSSES
        for count in WITNESSES
    ]
    titles = ['loss', 'witnesses', *(f'seed {seed}' for seed in SEEDS)]
    print(tabulate.tabulate(wrong, titles))  # noqa: WPS421


if __name__ == '__main__':
    main()
