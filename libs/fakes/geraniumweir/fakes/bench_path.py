"""What an entry host adds to a call, against calling the engine directly.

Engines, the entry host and the caller are processes of their own. Each figure
through the host stands beside the same one without it, from the same run;
rates are given by second of the host's processor time too, since that is what
a core of the host can carry.
"""

import asyncio
import contextlib
import dataclasses
import json
import statistics
import sys
import typing

import aiohttp
from geraniumweir.common import ids
from geraniumweir.fakes import inprocess, processes

_MS = 1000
_PAIRS = 400
_GAP_STREAMS = 20
_GAP_TOKENS = 100
_TOKEN_SECONDS = 0.01
_CALLS = 3000
_CALLERS = 32
_STREAMS = 200
_STREAM_TOKENS = 300
_ENGINES = 3
_SLOTS = 4000
_OPEN = (1, 100, 1000)
_SETTLE_SECONDS = 1.0
_TAIL = 0.99
_PAD_BYTES = 10000
_QUESTION = 'when is the deadline for the bursary of my school? '
_HEADERS = {'X-Customer': 'liceo-volta', 'X-Request-Id': 'direct'}

Json = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Stand:
    """What a measurement works with.

    :ivar direct: URLs of the engines.
    """

    host: processes.HostProcess
    session: aiohttp.ClientSession
    direct: list[str]

    @property
    def through(self) -> str:
        """The URL at the entry host."""
        return self.host.url('/v1/chat/completions')

    def cpu(self) -> float:
        """Give the host's processor time, in seconds."""
        return processes.cpu_seconds(self.host.process.pid)

    def resident(self) -> int:
        """Give the host's resident memory, in KiB."""
        return processes.resident_kb(self.host.process.pid)


def main() -> None:
    """Measure and print."""
    asyncio.run(_main())


async def _main() -> None:
    figures = {}
    async with stand(0) as used:
        figures['idle resident KiB'] = used.resident()
        figures |= await _first_tokens(used)
        figures |= await _call_rate(used)
        figures |= await _memory(used)
    async with stand(_TOKEN_SECONDS) as used:
        figures |= await _gaps(used)
        figures |= await _token_rate(used)
    for name, figure in figures.items():
        sys.stdout.write(f'{name}: {figure:.6g}\n')


@contextlib.asynccontextmanager
async def stand(token_seconds: float) -> typing.AsyncIterator[Stand]:
    async with contextlib.AsyncExitStack() as stack:
        connector = aiohttp.TCPConnector(limit=0)
        session = aiohttp.ClientSession(connector=connector)
        await stack.enter_async_context(session)
        plan = processes.plan_alone('bench', ids.FailureDomain('milano-a'))
        host = await processes.start(plan)
        stack.callback(host.kill)
        await processes.until_ready(session, [host])
        await processes.apply_rules(host, inprocess.RULES)
        direct = [
            await _engine(stack, host, number, token_seconds)
            for number in range(_ENGINES)
        ]
        yield Stand(host, session, direct)


async def _engine(
    stack: contextlib.AsyncExitStack,
    host: processes.HostProcess,
    number: int,
    token_seconds: float,
) -> str:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'geraniumweir.fakes.engine_process',
        f'--server-id=bench-{number}',
        '--announce-to={0}'.format(host.addresses['backend']),
        f'--slots={_SLOTS}',
        f'--token-seconds={token_seconds}',
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    stack.callback(process.kill)
    if process.stdout is None:
        raise RuntimeError('the engine has no standard output')
    port = int(await process.stdout.readline())
    return f'http://127.0.0.1:{port}/v1/chat/completions'


def body(tokens: int, stream: bool = True, **more: typing.Any) -> Json:
    prompt = [{'role': 'user', 'content': _QUESTION}]
    return {
        'model': 'advisor',
        'messages': prompt,
        'stream': stream,
        'max_tokens': tokens,
        **more,
    }


async def _first(stand: Stand, url: str) -> float:
    """Give the time to the first token, in milliseconds."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    async with stand.session.post(
        url,
        json=body(2),
        headers=_HEADERS,
    ) as resp:
        await resp.content.readany()
        took = (loop.time() - start) * _MS
        await resp.read()
    return took


async def _first_tokens(stand: Stand) -> dict[str, float]:
    direct = []
    through = []
    for number in range(_PAIRS):
        url = stand.direct[number % _ENGINES]
        direct.append(await _first(stand, url))
        through.append(await _first(stand, stand.through))
    return _compared('first token', direct, through)


async def _gaps(stand: Stand) -> dict[str, float]:
    direct = await _all_gaps(stand, stand.direct)
    through = await _all_gaps(stand, [stand.through])
    return _compared('between tokens', direct, through)


async def _all_gaps(stand: Stand, urls: list[str]) -> list[float]:
    found = await asyncio.gather(
        *(
            _stream_gaps(stand, urls[number % len(urls)])
            for number in range(_GAP_STREAMS)
        ),
    )
    return [gap for gaps in found for gap in gaps]


async def _stream_gaps(stand: Stand, url: str) -> list[float]:
    loop = asyncio.get_running_loop()
    times = []
    async with stand.session.post(
        url,
        json=body(_GAP_TOKENS),
        headers=_HEADERS,
    ) as resp:
        async for _ in resp.content.iter_any():
            times.append(loop.time() * _MS)
    return [after - before for before, after in zip(times, times[1:])]


async def _call_rate(stand: Stand) -> dict[str, float]:
    """Whole answers of one token, some callers at a time."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    await _many_calls(stand, stand.direct)
    direct = _CALLS / (loop.time() - start)
    start = loop.time()
    cpu = stand.cpu()
    await _many_calls(stand, [stand.through])
    through = _CALLS / (loop.time() - start)
    return {
        'calls a second direct': direct,
        'calls a second through the host': through,
        'calls a second ratio': through / direct,
        'calls by second of host processor': _CALLS / (stand.cpu() - cpu),
    }


async def _many_calls(stand: Stand, urls: list[str]) -> None:
    numbers = iter(range(_CALLS))
    await asyncio.gather(
        *(_caller(stand, urls, numbers) for _ in range(_CALLERS)),
    )


async def _caller(
    stand: Stand,
    urls: list[str],
    numbers: typing.Iterator[int],
) -> None:
    for number in numbers:
        url = urls[number % len(urls)]
        await whole(stand, url, body(1, stream=False))


async def whole(stand: Stand, url: str, payload: Json) -> None:
    async with stand.session.post(
        url,
        json=payload,
        headers=_HEADERS,
    ) as resp:
        answer = await resp.read()
        if not payload['stream']:
            json.loads(answer)['choices']


async def _token_rate(stand: Stand) -> dict[str, float]:
    """Many streams, a token each 10 ms."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    cpu = stand.cpu()
    payload = body(_STREAM_TOKENS)
    await asyncio.gather(
        *(whole(stand, stand.through, payload) for _ in range(_STREAMS)),
    )
    tokens = _STREAMS * _STREAM_TOKENS
    used = stand.cpu() - cpu
    return {
        'tokens a second through the host': tokens / (loop.time() - start),
        'tokens by second of host processor': tokens / used,
    }


async def _memory(stand: Stand) -> dict[str, float]:
    """Open streams that stand still after their first token."""
    found: dict[str, float] = {}
    before = stand.resident()
    async with contextlib.AsyncExitStack() as stack:
        opened = 0
        for count in _OPEN:
            for _ in range(count - opened):
                await stack.enter_async_context(standing(stand))
            opened = count
            await asyncio.sleep(_SETTLE_SECONDS)
            grown = stand.resident() - before
            found[f'KiB by open stream at {count}'] = grown / count
    return found | await _slow_callers(stand)


async def _slow_callers(stand: Stand) -> dict[str, float]:
    """Callers that read nothing while megabytes are made for each."""
    count = 50
    before = stand.resident()
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(count):
            resp = stand.session.post(
                stand.through,
                json=body(_STREAM_TOKENS, pad=_PAD_BYTES),
                headers=_HEADERS,
            )
            await stack.enter_async_context(resp)
        await asyncio.sleep(3 * _SETTLE_SECONDS)
        grown = stand.resident() - before
    return {'KiB by stream of a caller that reads nothing': grown / count}


@contextlib.asynccontextmanager
async def standing(stand: Stand) -> typing.AsyncIterator[None]:
    payload = body(4, fault='stall', fault_after=1)
    async with stand.session.post(
        stand.through,
        json=payload,
        headers=_HEADERS,
    ) as resp:
        await resp.content.readany()
        yield


def _compared(
    name: str,
    direct: list[float],
    through: list[float],
) -> dict[str, float]:
    median = statistics.median(direct)
    added = statistics.median(through) - median
    tail = _quantile(direct)
    return {
        f'{name} direct, median ms': median,
        f'{name} direct, p99 ms': tail,
        f'{name} added, median ms': added,
        f'{name} added, p99 ms': _quantile(through) - tail,
        f'{name} ratio of medians': (median + added) / median,
    }


def _quantile(times: list[float]) -> float:
    return sorted(times)[int(len(times) * _TAIL)]


if __name__ == '__main__':
    main()
