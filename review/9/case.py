"""Servers of a service say that they are brittle, and bear nothing."""

import asyncio
import collections
import pathlib
import random
import secrets
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'rig2'))

import engines  # noqa: E402
import rig  # noqa: E402

BEFORE = 3
SAYING = 6
AFTER = 50
PLAIN_PER_S = 5
STREAMS_PER_S = 15


async def play(plan):
    """Return whether the rule was broken."""
    await plan.start()
    await plan.publish(rig.plain_manifest())
    plain = []
    for zone in rig.ZONES:
        server = rig.Server(plan, 'app', zone, slots=6, queue=24, work=0.045)
        plain.append(server)
        await server.start()
    for zone in rig.ZONES * 2:
        record = {'arrivals': [], 'crashes': []}
        await engines.Engine(plan, 'models', zone, record=record).start()
    await plan.until_ready()
    await asyncio.sleep(1.5)
    seen = collections.defaultdict(collections.Counter)
    plan.spawn(ask_always(plan, seen, 'status', PLAIN_PER_S))
    plan.spawn(ask_always(plan, seen, 'essay', STREAMS_PER_S))
    await asyncio.sleep(BEFORE)
    for server in plain:
        server.says = {'Server-Brittle': 0} if rig.trouble() else {}
    plan.note('the servers of app say that they are brittle')
    await asyncio.sleep(SAYING)
    for server in plain:
        server.says = {}
    plan.note('they say so no more')
    seen['later'] = collections.Counter()
    await asyncio.sleep(AFTER)
    return judge(plan, seen)


async def ask_always(plan, seen, kind, per_second):
    """Ask some times a second."""
    while True:
        plan.spawn(ask(plan, seen, kind))
        await asyncio.sleep(random.expovariate(per_second))


async def ask(plan, seen, kind):
    """Ask at any front."""
    caller = rig.Caller(plan)
    front = random.choice(plan.fronts)
    if kind == 'status':
        found = await caller.ask(front, '/safe/x')
    else:
        found = await caller.ask(
            front,
            '/essay/x',
            method='POST',
            body=secrets.token_bytes(50),
            deadline=12,
            headers=engines.prompt_headers(f'aa:60,{engines.unique()}:500'),
        )
    seen[kind][found.status] += 1
    if kind == 'status' and 'later' in seen:
        seen['later'][found.status] += 1


def judge(plan, seen):
    """Return whether a kind is served less than a quarter as often as all."""
    served = {kind: seen[kind][200] for kind in ('status', 'essay')}
    sent = {kind: sum(seen[kind].values()) for kind in served}
    share = served['status'] / sent['status']
    of_all = sum(served.values()) / sum(sent.values())
    text = (
        f'status: {served["status"]} of {sent["status"]} served, all:'
        f' {sum(served.values())} of {sum(sent.values())}; status by status'
        f' code in the {AFTER} s after the header was gone:'
        f' {dict(seen["later"])}'
    )
    plan.note(text)
    print(text)
    return share < of_all / 4


rig.main(play, HERE / 'record.txt')
