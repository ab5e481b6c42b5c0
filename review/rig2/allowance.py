"""A tenant with an allowance, and what servers run of its tokens."""

import asyncio
import random

import engines
import rig

RATE = 172133
BURST = 172133
TOKENS = 10_000
BUSY_PER_S = 71
USUAL_PER_S = 9.5
BUSY_SECONDS = 1.7
WINDOW = rig.BOUNDS['quotaWindowS']


class Server(rig.Server):
    """A server that notes what it runs."""

    async def run(self, req, writer):
        """Answer at once."""
        self.rig.events.append((self.rig.now(), req.id))
        await asyncio.sleep(self.work)
        self.send(writer, req, 200, b'x' * 800)


async def play(plan, disrupt):
    """Return whether the rule was broken.

    :param disrupt: called once the tenant sends many times its usual.
    """
    tenant = {
        'name': 't1',
        'apiKeys': ['k1'],
        'priority': 1,
        'unit': 'token_count',
        'plainTokens': 200,
        'ratePerS': RATE,
        'burst': BURST,
    }
    await plan.start()
    await plan.publish(rig.plain_manifest(tenants=[tenant]))
    for zone in rig.ZONES * 2:
        await Server(plan, 'app', zone, slots=20, work=0.01).start()
    await plan.until_ready()
    await asyncio.sleep(1.5)
    caller = rig.Caller(plan)
    usual = plan.spawn(ask_always(plan, caller, USUAL_PER_S))
    await asyncio.sleep(9)
    usual.cancel()
    plan.note('the tenant sends many times its usual')
    plan.spawn(ask_always(plan, caller, BUSY_PER_S))
    await asyncio.sleep(BUSY_SECONDS)
    if rig.trouble():
        await disrupt(plan)
    await asyncio.sleep(8.5)
    return judge(plan, caller)


async def ask_always(plan, caller, per_second):
    """Ask some times a second."""
    headers = engines.prompt_headers('', TOKENS - 100, 100)[:2]
    while True:
        plan.spawn(
            caller.ask(random.choice(plan.fronts), '/safe/x', headers=headers)
        )
        await asyncio.sleep(random.expovariate(per_second))


def judge(plan, caller):
    """Return whether more tokens ran in a window than the rule allows."""
    sent = {one.id: one.sent for one in caller.seen}
    ran = sorted((sent[name], at) for at, name in plan.events if name in sent)
    most, since = 0, 0.0
    for start, _ in ran:
        inside = sum(
            start <= sent_at and at <= start + WINDOW for sent_at, at in ran
        )
        if inside * TOKENS > most:
            most, since = inside * TOKENS, start
    allowed = (RATE * WINDOW + BURST) * (
        1 + rig.BOUNDS['quotaOver']
    ) + rig.BOUNDS['quotaSlack']
    text = (
        f'{most} tokens were sent and run in the {WINDOW} s from {since:.1f} s;'
        f' {allowed:.0f} are allowed; attempts by status:'
        f' {dict(caller.counts)}'
    )
    plan.note(text)
    print(text)
    return most > allowed
