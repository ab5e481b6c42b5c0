"""Measures all slopes, a few modules at a time, and writes one file.

``make slopes`` runs it and fills in the page of capacities from the file.
"""

import argparse
import asyncio
import datetime
import json
import os
import pathlib
import platform
import sys
import time
import typing


_MODULES = (
    'delegates',
    'domains',
    'leases',
    'membership',
    'callpath',
    'consensus',
    'configuring',
    'scheduling',
    'wire',
    'announcing',
)
_AT_A_TIME = 6
_PACKAGE = 'geraniumweir.fakes.slopes'


def main() -> None:
    """Measure all and write the file."""
    parser = argparse.ArgumentParser(
        prog=f'python -m {_PACKAGE}.main',
        description='Measures what each part costs, by size.',
    )
    parser.add_argument('file', type=pathlib.Path, help='JSON to write')
    path = parser.parse_args().file
    start = time.monotonic()
    slopes = asyncio.run(_measure())
    content = {
        'made': datetime.datetime.now(datetime.UTC).date().isoformat(),
        'python': platform.python_version(),
        'processors': os.cpu_count(),
        'seconds': round(time.monotonic() - start),
        'slopes': slopes,
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text('{0}\n'.format(json.dumps(content, indent=1)))


async def _measure() -> dict[str, typing.Any]:
    turn = asyncio.Semaphore(_AT_A_TIME)
    found = await asyncio.gather(*(_run(name, turn) for name in _MODULES))
    return {one.pop('name'): one for part in found for one in part}


async def _run(name: str, turn: asyncio.Semaphore) -> list[typing.Any]:
    async with turn:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            f'{_PACKAGE}.{name}',
            stdout=asyncio.subprocess.PIPE,
        )
        printed, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(f'the slopes of {name} failed')
    # Logged events may come before; the figures are the last line.
    return json.loads(printed.splitlines()[-1])


if __name__ == '__main__':
    main()
