"""All processes are killed just after a tenant has used its allowance."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'rig2'))

import allowance
import rig

DOWN = 0.7


async def kill(plan):
    """Kill all processes, and start them again."""
    plan.note(f'SIGKILL to all {len(plan.nodes)} processes')
    for node in plan.nodes:
        node.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN)
    for node in plan.nodes:
        await node.start()
    plan.note('they start again')


rig.main(lambda plan: allowance.play(plan, kill), HERE / 'record.txt')
