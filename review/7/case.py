"""Control machines restart in turn, and a bad part of prompts comes again."""

import asyncio
import pathlib
import random
import secrets
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'rig2'))

import engines  # noqa: E402
import rig  # noqa: E402

BAD_PART = 'bad0bad0'
CONTACT = rig.BOUNDS['contactMs'] / 1000
ALLOWED = 3
PACE = 1.0
GAP = 4.0


async def play(plan):
    """Return whether the rule was broken."""
    record = {'arrivals': [], 'crashes': []}
    engines.Engine.bad_part = BAD_PART
    await plan.start()
    await plan.publish(rig.plain_manifest())
    for zone in rig.ZONES * 2:
        await engines.Engine(plan, 'models', zone, record=record).start()
    await plan.until_ready()
    await asyncio.sleep(1.5)
    sound, bad = rig.Caller(plan), rig.Caller(plan)
    plan.spawn(ask_always(plan, sound))
    await asyncio.sleep(3)
    await ask_bad(plan, bad, 10)
    first = len(record['crashes'])
    plan.note(f'first series: {first} crashes')
    print('first series:', first, 'crashes', dict(bad.counts))
    await asyncio.sleep(2)
    if rig.trouble():
        await restart_in_turn(plan)
    else:
        await asyncio.sleep(3 * GAP)
    stable = plan.now() + CONTACT
    await asyncio.sleep(CONTACT + 1)
    await ask_bad(plan, bad, 12)
    return judge(plan, record, stable)


async def ask_always(plan, caller):
    """Ask what is sound, some 20 times a second."""
    while True:
        plan.spawn(ask(plan, caller, f'aa:60,{engines.unique()}:500'))
        await asyncio.sleep(random.expovariate(20))


async def ask_bad(plan, caller, seconds):
    """Ask with the bad part, no two requests alike."""
    end = plan.now() + seconds
    asked = []
    while plan.now() < end:
        parts = f'aa:60,{BAD_PART}:300,{engines.unique()}:200'
        asked.append(plan.spawn(ask(plan, caller, parts)))
        await asyncio.sleep(PACE)
    await asyncio.wait(asked, timeout=3)


async def ask(plan, caller, parts):
    """Ask at any front."""
    await caller.ask(
        random.choice(plan.fronts),
        '/essay/x',
        method='POST',
        body=secrets.token_bytes(50),
        deadline=12,
        headers=engines.prompt_headers(parts),
    )


async def restart_in_turn(plan):
    """Stop and start the control machines, the log's leader last."""
    leader = await plan.leader()
    for node in sorted(plan.core, key=lambda one: one is leader):
        plan.note(f'SIGTERM to {node.name}')
        node.signal(signal.SIGTERM)
        await asyncio.wait_for(node.process.wait(), rig.BOUNDS['graceS'])
        plan.note(f'{node.name} exited with {node.process.returncode}')
        await node.start()
        plan.note(f'{node.name} starts again')
        await asyncio.sleep(GAP)


def judge(plan, record, stable):
    """Return whether too many bad requests reached servers."""
    crashes = sorted(record['crashes'])
    if len(crashes) < 5:
        raise ValueError('fewer than five crashes: nothing to judge')
    known = crashes[4] + CONTACT
    late = [
        at
        for at in record['arrivals']
        if at > known and (at > stable or not rig.trouble())
    ]
    text = (
        f'fifth crash at {crashes[4]:.1f} s; the core is stable again from'
        f' {stable:.1f} s; later than {known:.1f} s, from machines in touch,'
        f' {len(late)} requests with the part reached servers'
        f' ({ALLOWED} allowed): {[round(at, 1) for at in late]};'
        f' {len(crashes)} crashes in all'
    )
    plan.note(text)
    print(text)
    return len(late) > ALLOWED


rig.main(play, HERE / 'record.txt')
