"""Kills the log's leader again and again while calls and changes go on.

``python -m geraniumweir.fakes.soak`` prints what was lost, doubled or went
back, which must be nothing, and how long changes and fail-overs took. Its
exit status is 0 only where nothing was.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import itertools
import random
import sys
import typing

import tabulate
from geraniumweir.fakes import callers, generation, system, watching
from hdrh import histogram

_MOST_US = 60_000_000
_DIGITS = 3
_US = 1_000_000
_MS = 1000
_MEDIAN = 50
_ALMOST_ALL = 99
_WORST = 100
_CALLERS = 6
_CHANGES = 6
_PAUSE_SECONDS = 0.02
_TOKEN_SECONDS = 0.002
_PREFILL_RATE = 1e6
_TOKENS = 20
_KILLS = 20
_CYCLE_SECONDS = 20


def _times() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _MOST_US, _DIGITS)


@dataclasses.dataclass(slots=True)
class Findings:
    """What a run showed.

    :ivar accepted: change ids by the version that they became.
    :ivar kept: change ids by version, as the log's leaders told them.
    :ivar keys: how each order ended, by its key.
    :ivar down: hosts killed so far, with the loop's time when they were back.
    """

    accepted: dict[int, str] = dataclasses.field(default_factory=dict)
    kept: dict[int, str] = dataclasses.field(default_factory=dict)
    got: list[callers.Got] = dataclasses.field(default_factory=list)
    keys: dict[str, list[callers.Got]] = dataclasses.field(
        default_factory=dict,
    )
    lost_calls: list[callers.Got] = dataclasses.field(default_factory=list)
    down: dict[str, float] = dataclasses.field(default_factory=dict)
    in_force: histogram.HdrHistogram = dataclasses.field(
        default_factory=_times,
    )
    over_loss: histogram.HdrHistogram = dataclasses.field(
        default_factory=_times,
    )
    fail_over: histogram.HdrHistogram = dataclasses.field(
        default_factory=_times,
    )


def main() -> None:
    """Run it and exit 0 only where nothing was lost, doubled or went back."""
    parser = argparse.ArgumentParser(prog='geraniumweir.fakes.soak')
    parser.add_argument('--kills', type=int, default=_KILLS)
    parser.add_argument('--seed', type=int, default=1)
    opts = parser.parse_args()
    sys.exit(asyncio.run(soak(opts.kills, opts.seed)))


async def soak(kills: int, seed: int) -> int:
    """Kill the log's leader under load.

    :param kills: how often.
    :returns: the exit status.
    """
    found = Findings()
    async with asyncio.timeout(_CYCLE_SECONDS * (kills + 1)):
        async with system.started(per_domain=2) as made:
            await made.add_engines(
                generation.Speed(_TOKEN_SECONDS, _PREFILL_RATE),
                slots=8,
            )
            await made.until_served(made.running)
            async with watching.versions(made) as watch:
                async with _loaded(made, found):
                    await _cycles(made, found, kills, random.Random(seed))
                return await _judge(made, found, watch)


@contextlib.asynccontextmanager
async def _loaded(
    made: system.System,
    found: Findings,
) -> typing.AsyncIterator[None]:
    """Call at all hosts until the block ends, and let the last calls end."""
    stop = asyncio.Event()
    hosts = itertools.cycle(made.plans)
    async with asyncio.TaskGroup() as group:
        for number in range(_CALLERS):
            group.create_task(_chat(made, found, next(hosts), stop))
            group.create_task(_order(made, found, number, stop))
        try:
            yield
        finally:
            stop.set()


async def _chat(
    made: system.System,
    found: Findings,
    host_id: str,
    stop: asyncio.Event,
) -> None:
    clock = asyncio.get_running_loop().time
    for number in itertools.count():
        if stop.is_set():
            return
        if host_id not in made.running:
            await asyncio.sleep(_PAUSE_SECONDS)
            continue
        began = clock()
        text = f'{host_id} {number}'
        got = await callers.chat(made, host_id, callers.question(text, _TOKENS))
        found.got.append(got)
        if not got.honest and found.down.get(host_id, 0) < began:
            found.lost_calls.append(got)
        await asyncio.sleep(_PAUSE_SECONDS)


async def _order(
    made: system.System,
    found: Findings,
    caller: int,
    stop: asyncio.Event,
) -> None:
    """Order again and again; each order, also where it broke, by one key."""
    hosts = list(made.plans)
    for number in itertools.count():
        if stop.is_set():
            return
        key = f'{caller}-{number}'
        first = (caller + number) % len(hosts)
        turned = hosts[first:] + hosts[:first]
        all_got = await callers.order_until_known(made, turned, key, tries=6)
        found.keys[key] = all_got
        found.got.extend(all_got)
        await asyncio.sleep(_PAUSE_SECONDS)


async def _cycles(
    made: system.System,
    found: Findings,
    kills: int,
    chance: random.Random,
) -> None:
    for cycle in range(kills):
        for number in range(_CHANGES):
            host_id = chance.choice(list(made.running))
            await _change(made, found, host_id, f'{cycle}-{number}')
        leader = await made.log_leader()
        await _kill(made, found, leader, f'{cycle}-kill')
        # Histories are bounded, so they are read as they grow.
        found.kept.update(await _history(made))
        await made.start(leader)
        await made.until_in_force(max(found.accepted))
        await made.until_joined()
        found.down[leader] = asyncio.get_running_loop().time()
        sys.stderr.write(f'{cycle + 1} of {kills} leaders killed\n')


async def _change(
    made: system.System,
    found: Findings,
    host_id: str,
    change_id: str,
) -> float:
    """Make a change and wait until it's in force on all hosts.

    :returns: the loop's time when it was accepted.
    """
    clock = asyncio.get_running_loop().time
    base = max(found.accepted, default=1)
    version = await made.change_until_accepted(host_id, base, change_id)
    accepted = clock()
    found.accepted[version] = change_id
    await asyncio.gather(
        *(made.until_in_force(version, [one]) for one in made.running),
    )
    found.in_force.record_value(int((clock() - accepted) * _US) or 1)
    return accepted


async def _kill(
    made: system.System,
    found: Findings,
    leader: str,
    change_id: str,
) -> None:
    clock = asyncio.get_running_loop().time
    began = clock()
    found.down[leader] = float('inf')
    await made.kill(leader)
    other = next(iter(made.running))
    accepted = await _change(made, found, other, change_id)
    found.fail_over.record_value(int((accepted - began) * _US))
    found.over_loss.record_value(int((clock() - began) * _US))


async def _judge(
    made: system.System,
    found: Findings,
    watch: watching.Watch,
) -> int:
    kept = found.kept
    broken = {
        'accepted changes lost': sum(
            kept.get(version) != change_id
            for version, change_id in found.accepted.items()
        ),
        'versions that do not follow': len(kept) - len(found.accepted) - 1,
        'resent changes answered otherwise': await _resend(made, found),
        'versions gone back': len(watch.gone_back),
        'calls lost by a host that lived': len(found.lost_calls),
        'requests doubled': len(callers.doubled(made)),
        'claims run twice': sum(made.runs(key) > 1 for key in found.keys),
        'orders done that did not run': _unserved(made, found),
        'ran though told it had not': len(callers.lies(made, found.got)),
    }
    _print(found, broken)
    return int(any(broken.values()))


async def _resend(made: system.System, found: Findings) -> int:
    """Send all changes again, to other hosts, and count other answers."""
    hosts = itertools.cycle(made.plans)
    otherwise = 0
    for version, change_id in found.accepted.items():
        answer = await made.change(next(hosts), version - 1, change_id)
        otherwise += answer.body.get('version') != version
    return otherwise


def _unserved(made: system.System, found: Findings) -> int:
    return sum(
        not made.runs(key)
        for key, all_got in found.keys.items()
        if any(got.whole or got.ran == 'yes' for got in all_got)
    )


async def _history(made: system.System) -> dict[int, str]:
    host_id = await made.log_leader()
    answer = await made.ask(host_id, 'GET', '/v1/history')
    rows = answer.body['history']
    return {row['version']: row['change_id'] for row in rows}


def _print(found: Findings, broken: typing.Mapping[str, int]) -> None:
    known = sum(
        all_got[-1].whole or all_got[-1].ran == 'yes'
        for all_got in found.keys.values()
    )
    counts = {
        'changes accepted': len(found.accepted),
        'calls and orders sent': len(found.got),
        'of them whole': sum(got.whole for got in found.got),
        'refused': sum(bool(got.code) for got in found.got),
        'broken off by a killed host': sum(got.broken for got in found.got),
        'orders': len(found.keys),
        'of them known to have run': known,
        **broken,
    }
    rows = tabulate.tabulate(counts.items(), headers=('count', ''))
    sys.stdout.write(f'{rows}\n\n')
    times = {
        'accepted to in force on all hosts': found.in_force,
        'leader killed to next change accepted': found.fail_over,
        'leader killed to that change in force': found.over_loss,
    }
    head = ('ms', 'median', '99th percentile', 'worst')
    rows = tabulate.tabulate(map(_row, times.items()), headers=head)
    sys.stdout.write(f'{rows}\n')


def _row(item: tuple[str, histogram.HdrHistogram]) -> tuple[str, ...]:
    name, times = item
    points = (_MEDIAN, _ALMOST_ALL, _WORST)
    spent = (times.get_value_at_percentile(point) for point in points)
    return (name, *(f'{one / _MS:.0f}' for one in spent))


if __name__ == '__main__':
    main()
