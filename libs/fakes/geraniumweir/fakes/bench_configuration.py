"""Measures reading, deciding and claiming.

Run as ``python -m geraniumweir.fakes.bench_configuration``. Deciding is given
as a ratio of the plain matcher to the compiled one in the same run; claims are
counted in virtual time with a sync of 5 ms, beside one proposal a claim.
"""

import asyncio
import random
import sys
import time
import typing

import tabulate
from geraniumweir.common import ids, virtual
from geraniumweir.configuration import (
    claims,
    compiling,
    document,
    matching,
    reading,
    state,
)

_SIZES = ((5, 10), (100, 50), (400, 150), (1400, 400))
_REQUESTS = 2000
_SYNC = 0.005
_CALLERS = 256
_SECONDS = 1
_MS = 1000
_US = 1_000_000
_DIGEST = 64


def document_text(customers: int, rules: int) -> str:
    """Write a document in which most rules name customers."""
    rand = random.Random(customers)  # noqa: S311
    parts = ['[[pool]]\nname = "lm"\n']
    parts += [
        f'[[customer]]\nname = "customer-{number}"\n'
        f'key_sha256 = "{rand.getrandbits(_DIGEST * 4):064x}"\nshare = 2\n'
        for number in range(customers)
    ]
    parts += [
        f'[[rule]]\nname = "rule {number}"\nwhen = {{ customer = '
        f'["customer-{number % customers}"], path = "/v1/chat/*", '
        f'prompt_tokens = {{ max = {number} }} }}\n'
        'then = { route = "lm", tier = 1, deadline_ms = 2000 }\n'
        for number in range(rules)
    ]
    parts.append(
        '[[rule]]\nname = "all"\nwhen = {}\nthen = { route = "lm" }\n',
    )
    return '\n'.join(parts)


def measure_deciding(customers: int, rules: int) -> dict[str, float]:
    """Compare the matchers and time reading."""
    text = document_text(customers, rules)
    reading_s, doc = _timed(lambda: reading.read(text))
    compiling_s, compiled = _timed(lambda: compiling.CompiledDocument(doc))
    plain_s, fast_s = _compare(doc, compiled, requests_for(customers, rules))
    return {
        'customers': customers,
        'rules': rules,
        'bytes': len(text),
        'read ms': reading_s * _MS,
        'compile ms': compiling_s * _MS,
        'plain us': plain_s / _REQUESTS * _US,
        'compiled us': fast_s / _REQUESTS * _US,
        'ratio': plain_s / fast_s,
    }


def _compare(
    doc: document.Document,
    compiled: compiling.CompiledDocument,
    requests: list[matching.Facts],
) -> tuple[float, float]:
    plain_s, expected = _timed(
        lambda: [matching.first_match(doc.rules, one) for one in requests],
    )
    fast_s, found = _timed(
        lambda: [compiled.first_match(one) for one in requests],
    )
    if found != expected:
        raise AssertionError('the matchers differ')
    return plain_s, fast_s


def requests_for(customers: int, rules: int) -> list[matching.Facts]:
    """Make seeded requests of all customers."""
    rand = random.Random(1)  # noqa: S311
    return [
        matching.Facts(
            ids.CustomerName(f'customer-{rand.randrange(customers)}'),
            '/v1/chat/completions',
            ids.FailureDomain('d'),
            prompt_tokens=rand.randrange(2 * rules),
        )
        for _ in range(_REQUESTS)
    ]


def measure_claims(callers: int) -> float:
    """Count the claims a second that one entry host gets logged.

    :param callers: how many claim at a time, each again when answered.
    """
    return virtual.run(_claims_a_second(callers)) / _SECONDS


class _Log:
    """Recorders that sync each proposal by itself."""

    def __init__(self) -> None:
        self._machine = state.SystemState()
        self._disk = asyncio.Lock()

    async def propose(self, command: bytes) -> bytes:
        async with self._disk:
            await asyncio.sleep(_SYNC)
            return self._machine.apply(self._machine.applied + 1, command)


async def _claims_a_second(callers: int) -> int:
    claimer = claims.Claimer(ids.HostId('h'), _Log().propose, int)
    counts = dict.fromkeys(range(callers), 0)
    tasks = [
        asyncio.create_task(_claim_on(claimer, caller, counts))
        for caller in range(callers)
    ]
    await asyncio.sleep(_SECONDS)
    for task in tasks:
        if task.done():
            # A full table or a lost claim would make the figure wrong.
            task.result()
        task.cancel()
    return sum(counts.values())


async def _claim_on(
    claimer: claims.Claimer,
    caller: int,
    counts: dict[int, int],
) -> None:
    while True:
        key = f'{caller}/{counts[caller]}'
        call = claims.Call(
            ids.CustomerName('c'),
            key,
            ids.RequestId(key),
            ids.Fingerprint(1),
            ttl=1,
        )
        await claimer.claim(call)
        counts[caller] += 1


_Made = typing.TypeVar('_Made')


def _timed(make: typing.Callable[[], _Made]) -> tuple[float, _Made]:
    start = time.perf_counter()
    made = make()
    return time.perf_counter() - start, made


def main() -> int:
    """Print the tables."""
    rows = [measure_deciding(*size) for size in _SIZES]
    table = tabulate.tabulate(rows, headers='keys', floatfmt='.3g')
    grouped = [
        {'callers': callers, 'claims a second': measure_claims(callers)}
        for callers in (1, 16, _CALLERS)
    ]
    claims_table = tabulate.tabulate(grouped, headers='keys', floatfmt='.3g')
    sys.stdout.write(f'{table}\n\n{claims_table}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
