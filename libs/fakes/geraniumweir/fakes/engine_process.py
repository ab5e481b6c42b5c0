"""One fake engine as a process of its own, for benches.

It prints its port, then serves until its standard input ends.
"""

import asyncio
import sys

import configargparse
from geraniumweir.common import ids
from geraniumweir.fakes import engine, generation


# Prompt tokens a second, so many that the prefill takes no time.
_NO_WAIT = 1000000000.0


def main() -> None:
    """Serve until told to end."""
    parser = configargparse.ArgumentParser(description=__doc__)
    parser.add_argument('--server-id', default='bench-1')
    parser.add_argument('--announce-to', type=ids.parse_address)
    parser.add_argument('--slots', type=int, default=4)
    parser.add_argument('--token-seconds', type=float, default=0)
    asyncio.run(_serve(parser.parse_args()))


async def _serve(opts: configargparse.Namespace) -> None:
    cfg = engine.EngineSettings(
        ids.ServerId(opts.server_id),
        ids.PoolName('lm-advisori'),
        ids.FailureDomain('milano-a'),
        (opts.announce_to,),
        slots=opts.slots,
        speed=generation.Speed(opts.token_seconds, _NO_WAIT),
    )
    async with engine.FakeEngine(cfg).running() as fake:
        sys.stdout.write(f'{fake.port}\n')
        sys.stdout.flush()
        await asyncio.to_thread(sys.stdin.read)


if __name__ == '__main__':
    main()
