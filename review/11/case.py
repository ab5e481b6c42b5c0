"""Entry hosts that lose their coordinator behind large requests."""

import asyncio
import pathlib
import random
import shutil
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig3'))

import documents  # noqa: E402
import requesters  # noqa: E402
import rig  # noqa: E402
import servers  # noqa: E402

# The limit of output tokens of callers that want none.
MOST_OUTPUT = 1_000_000_000
PROMPT = 1000
# Requests of the large tenant that each entry host gets at once.
AT_ONCE = 6
ALLOWANCE = 3_000_000_000
USUAL = 'key-of-t1'
LARGE = 'key-of-large'
DOWN_SECONDS = 1.0
CALM_SECONDS = 8.0
RECOVER_SECONDS = rig.BOUNDS['recoverS']
MEASURED_SECONDS = 5.0
# The rule: so much is served later, if as much was before.
LEAST_SHARE = 0.25


def generation(most_output):
    return [
        'X-Geraniumweir-Model: m',
        f'X-Geraniumweir-Token-Usage: {PROMPT},{most_output}',
        'X-Geraniumweir-Length-Hint: 120',
        f'X-Geraniumweir-Prompt-Prefix: 10:60,{random.getrandbits(48):x}:940',
    ]


class Traffic:
    """Usual requests at all entry hosts, each second alike."""

    def __init__(self, system, requester):
        self.system = system
        self.requester = requester

    async def send_large(self):
        """Send the large tenant's requests."""
        answers = await asyncio.gather(
            *(
                self.requester.send(
                    entry, '/review/a', LARGE, headers=generation(MOST_OUTPUT)
                )
                for entry in self.system.entries
                for _ in range(AT_ONCE)
            )
        )
        return sum(answer.status == 200 for _, answer in answers)

    async def measure(self, seconds):
        """Return the share of usual requests that are served."""
        work = []
        for _ in range(int(seconds * 4)):
            for entry in self.system.entries:
                work.append(
                    self.requester.send(
                        entry,
                        '/status/a',
                        USUAL,
                        method='GET',
                        body=b'',
                        seconds=1.5,
                    )
                )
                work.append(
                    self.requester.send(
                        entry, '/review/a', USUAL, headers=generation(120)
                    )
                )
            work = [asyncio.ensure_future(one) for one in work]
            await asyncio.sleep(0.25)
        answers = await asyncio.gather(*work)
        served = sum(answer.status == 200 for _, answer in answers)
        return served / len(answers)


async def kill_coordinator(system, *, with_disk):
    """Kill the coordinator, and start it again.

    :param with_disk: whether its disk is lost.
    """
    host = system.coordinator()
    await system.kill(host)
    await asyncio.sleep(DOWN_SECONDS)
    if with_disk:
        shutil.rmtree(system.folder / host.name / 'data')
    await system.start(host)


async def play(record, trouble, system):
    traffic = Traffic(system, requesters.Requester(record))
    before = await traffic.measure(MEASURED_SECONDS)
    served = await traffic.send_large()
    record(f'{served} of the large tenant are served; others {before:.2f}')
    if before < LEAST_SHARE or not served:
        raise rig.CannotRunError('too little is served before')
    if trouble:
        await kill_coordinator(system, with_disk=False)
    await asyncio.sleep(CALM_SECONDS)
    between = await traffic.measure(MEASURED_SECONDS)
    if trouble:
        await kill_coordinator(system, with_disk=True)
    await asyncio.sleep(RECOVER_SECONDS + 2)
    after = await traffic.measure(MEASURED_SECONDS)
    ready = [
        (await rig.call(entry.ready, 'GET', '/v1/ready'))[0]
        for entry in system.entries
    ]
    text = (
        f'served: {before:.2f} before, {between:.2f} behind the kill,'
        f' {after:.2f} later than recoverS after the lost disk;'
        f' readiness of the entry hosts {ready}, ended {system.ended()}'
    )
    record(text)
    return [text] if after < LEAST_SHARE else []


async def case(record, trouble):
    system = rig.System(record, entries=3, controls=3)
    backends = [
        *(
            servers.Server(system, n + 1, documents.ENGINES, rig.ZONES[n % 3])
            for n in range(6)
        ),
        *(
            servers.Server(
                system, n + 11, documents.PLAIN, rig.ZONES[n % 3], kind='plain'
            )
            for n in range(3)
        ),
    ]
    large = documents.tenant('large', ALLOWANCE, ALLOWANCE)
    try:
        await system.start_all(documents.document(tenants=['t1', large]))
        for one in backends:
            await one.start()
        await asyncio.sleep(2)
        return await play(record, trouble, system)
    finally:
        for one in backends:
            one.end()
        await system.end()


rig.run(case, FOLDER)
