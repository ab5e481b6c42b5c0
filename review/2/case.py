"""One request names a prompt that is far larger than any server's memory."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import rig as rigs  # noqa: E402

USUAL_TOKENS = 6610
LARGE_TOKENS = 1_000_000_000
CHANNELS = 8
WORK_SECONDS = 8
# More of these break the rule.
ALLOWED = 3


class SlowServer(rigs.Server):
    """A plain service; the work of requests at /once/long takes some seconds."""

    async def run(self, req, head, writer):
        self.work_seconds = WORK_SECONDS if req.path == '/once/long' else 0.03
        return await super().run(req, head, writer)


async def case(rig):
    servers = [SlowServer(zone=zone, slots=8) for zone in rigs.ZONES]
    rig.servers.extend(
        [*servers, *(rigs.Engine(zone=zone) for zone in rigs.ZONES)]
    )
    await rig.start(rigs.manifest(1))
    rig.task(rigs.limit_memory(rig))
    tokens = LARGE_TOKENS if rigs.TROUBLE else USUAL_TOKENS
    lost = []

    async def book(node):
        channel = rigs.KeptChannel(rig, node)
        await channel.open()
        await channel.send('POST', '/once/first', b'x')
        request_id, got = await channel.send('POST', '/once/long', b'x')
        reached = any(
            req.request_id == request_id
            for server in servers
            for req in server.ran
        )
        if got is None and reached:
            lost.append(request_id)
        channel.close()

    for node in rig.fronts:
        booking = []
        for _ in range(CHANNELS):
            booking.append(asyncio.create_task(book(node)))
            await asyncio.sleep(0.2)
        await asyncio.sleep(1)
        headers = {
            'X-Geraniumweir-Model': 'm',
            'X-Geraniumweir-Token-Usage': f'{tokens},80',
            'X-Geraniumweir-Prompt-Prefix': f'5c1e07a2:60,91bd3f06:{tokens - 60}',
        }
        # A requester that got no answer comes again at the next machine.
        await rig.send(
            node, 'POST', '/resume/review', headers, b'review', seconds=15
        )
        await asyncio.gather(*booking)
        await rig.until_ready(20)
    rig.record(f'processes killed for memory: {rig.killed}')
    rig.record(
        f'LOST: {len(lost)} requests from kept channels were passed on and their channels'
        f' closed without an answer, {ALLOWED} are allowed: {lost}'
    )
    return rigs.BROKEN if len(lost) > ALLOWED else rigs.HELD


if __name__ == '__main__':
    rigs.main(FOLDER, case)
