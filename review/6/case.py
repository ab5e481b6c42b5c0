"""A part of prompts crashes servers that have written the first event."""

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

BAD_PART = 'bad0bad0'
CONTACT = rig.BOUNDS['contactMs'] / 1000
ALLOWED = 3
PACE = 1.0


async def play(plan):
    """Return whether the rule was broken."""
    record = {'arrivals': [], 'crashes': []}
    if rig.trouble():
        engines.Engine.bad_part = BAD_PART
        engines.Engine.begins = True
    await plan.start()
    await plan.publish(rig.plain_manifest())
    for zone in rig.ZONES * 2:
        await engines.Engine(plan, 'models', zone, record=record).start()
    await plan.until_ready()
    await asyncio.sleep(1.5)
    sound, bad = rig.Caller(plan), rig.Caller(plan)
    asking = plan.spawn(ask_always(plan, sound))
    await asyncio.sleep(3)
    end = plan.now() + 30
    asked = []
    while plan.now() < end:
        parts = f'aa:60,{BAD_PART}:300,{engines.unique()}:200'
        asked.append(plan.spawn(ask(plan, bad, parts)))
        await asyncio.sleep(PACE)
    asking.cancel()
    await asyncio.wait(asked, timeout=5)
    return judge(plan, record, sound, bad)


async def ask_always(plan, caller):
    """Ask what is sound, some 20 times a second."""
    while True:
        plan.spawn(ask(plan, caller, f'aa:60,{engines.unique()}:500'))
        await asyncio.sleep(random.expovariate(20))


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


def judge(plan, record, sound, bad):
    """Return whether too many bad requests reached servers."""
    ended = collections.Counter(map(str, sound.counts.elements()))
    lines = [
        f'sound requests ended: {dict(ended)}',
        f'requests with the part ended: {dict(bad.counts)}',
    ]
    crashes = sorted(record['crashes'])
    late = []
    if len(crashes) >= 5:
        known = crashes[4] + CONTACT
        late = [at for at in record['arrivals'] if at > known]
        lines.append(f'fifth crash at {crashes[4]:.1f} s')
    lines.append(
        f'{len(crashes)} crashes; {len(late)} requests with the part reached'
        f' servers later than contactMs after the fifth ({ALLOWED} allowed)'
    )
    for line in lines:
        plan.note(line)
        print(line)
    return len(late) > ALLOWED


rig.main(play, HERE / 'record.txt')
