"""Fronts are killed in a burst; requesters take up the streams they lost."""

import asyncio
import collections
import json
import pathlib
import random
import secrets
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'rig2'))

import engines  # noqa: E402
import rig  # noqa: E402

USUAL_PER_S = 58
USUAL_SECONDS = 12.0
BURST = 1.8
BURST_SECONDS = 5.0
BEFORE_KILL = 3.0
KILLED = 4
DOWN = 2.0
EVENTS = 30
DEADLINE = 12
LEAST = 12


class Engine(engines.Engine):
    """A model server of one of two software versions."""

    async def stream(self, req, writer, crashes):
        """Write the events behind the last one that was received."""
        head = self.head(
            req,
            200,
            {
                f'{rig.PREFIX}Server-Stamp': f's.{req.id}.{self.id}',
                'Content-Type': 'text/event-stream',
                'Transfer-Encoding': 'chunked',
            },
        )
        last = int(req.headers.get('last-event-id', '0'))
        self.rig.note(f'server {self.id} runs {req.id} from {last}')
        writer.write(head.encode() + b'\r\n\r\n')
        for number in range(last + 1, EVENTS + 1):
            event = f'id: {number}\ndata: {self.version}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b'0\r\n\r\n')


class Load:
    """Requesters that ask for streams and take up broken ones."""

    def __init__(self, plan):
        """Initialize without requests."""
        self.plan = plan
        self.up = list(plan.fronts)
        self.per_s = USUAL_PER_S
        self.phase = 'usual'
        self.new = collections.Counter()
        self.taken_up = collections.Counter()

    async def run(self):
        """Ask always."""
        while True:
            self.plan.spawn(self.ask())
            await asyncio.sleep(random.expovariate(self.per_s))

    async def ask(self):
        """Ask for a stream; take it up if its channel breaks."""
        phase, front = self.phase, random.choice(self.up)
        body, request_id = secrets.token_bytes(50), secrets.token_hex(8)
        headers = engines.prompt_headers(
            f'aa:60,{engines.unique()}:500', 560, EVENTS * 6
        )
        events = [b'']

        def keep(content):
            events[0] = content
            return False

        caller = rig.Caller(self.plan)
        started = self.plan.now()
        found = await caller.ask(
            front,
            '/essay/x',
            method='POST',
            body=body,
            deadline=DEADLINE,
            headers=headers,
            on_event=keep,
            request_id=request_id,
        )
        count = events[0].count(b'\n\n')
        if front in self.up:
            self.new[phase, 'began' if count else 'refused'] += 1
        if not count or not str(found.status).startswith('broken'):
            return
        headers = [
            *headers,
            ('Resumes', request_id),
            ('Last-Event-Id', str(count)),
        ]
        # Taking the stream up is the one retry that requesters have.
        found = await caller.ask(
            random.choice(self.up),
            '/essay/x',
            method='POST',
            body=body,
            deadline=started + DEADLINE - self.plan.now(),
            headers=headers,
        )
        self.taken_up[how_it_ended(found)] += 1


def how_it_ended(found):
    """Return how an attempt that takes a stream up ended."""
    if found.status == 200:
        return 'went on'
    if found.status == 503:
        return json.loads(found.response.body)['error']['type']
    return str(found.status)


async def play(plan):
    """Return whether the rule was broken."""
    await plan.start()
    await plan.publish(rig.plain_manifest())
    for number, zone in enumerate(rig.ZONES * 2):
        await Engine(
            plan,
            'models',
            zone,
            record={'arrivals': [], 'crashes': []},
            version=f'v{number % 2 + 1}',
        ).start()
    await plan.until_ready()
    await asyncio.sleep(1.5)
    load = Load(plan)
    plan.spawn(load.run())
    await asyncio.sleep(USUAL_SECONDS)
    plan.note('the traffic jumps')
    load.phase, load.per_s = 'burst', USUAL_PER_S * BURST
    await asyncio.sleep(BEFORE_KILL)
    if rig.trouble():
        plan.spawn(kill(plan, load))
    await asyncio.sleep(BURST_SECONDS - BEFORE_KILL)
    load.phase, load.per_s = 'after', USUAL_PER_S
    await asyncio.sleep(4)
    return judge(plan, load)


async def kill(plan, load):
    """Kill some fronts; start them again."""
    killed = plan.fronts[:KILLED]
    plan.note(f'SIGKILL to {[node.name for node in killed]}')
    for node in killed:
        load.up.remove(node)
        node.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN)
    for node in killed:
        await node.start()


def judge(plan, load):
    """Return whether broken streams go on less than half as often."""
    began = sum(n for (_, how), n in load.new.items() if how == 'began')
    new = sum(load.new.values())
    taken_up = sum(load.taken_up.values())
    went_on = load.taken_up['went on']
    text = (
        f'{went_on} of {taken_up} streams that were taken up went on'
        f' ({dict(load.taken_up)}); {began} of {new} new ones began at the'
        f' first attempt; by phase: {dict(load.new)}'
    )
    plan.note(text)
    print(text)
    if rig.trouble() and taken_up < LEAST:
        raise ValueError('too few streams were taken up: nothing to judge')
    return taken_up >= LEAST and went_on / taken_up < began / new / 2


rig.main(play, HERE / 'record.txt')
