"""What documents, changes and claims cost a host."""

import functools
import statistics
import typing

from geraniumweir.configuration import (
    commands,
    compiling,
    patches,
    reading,
    state,
)
from geraniumweir.fakes import (
    bench_configuration,
    bench_following,
    countingpeers,
)
from geraniumweir.fakes.slopes import results
from geraniumweir.wire.gen.configuration import ttypes

CUSTOMERS = (10, 100, 500, 1400)
_RULES_SHARE = 0.3
_BATCHES = (1, 8, 64, 512)
_CLAIMS = 4096
_TTL_MS = 60000
_FOLLOWING = ((6, 3, 3), (12, 4, 3), (24, 4, 5), (48, 6, 5))
_CHANGES = 20
_REPEATS = 5
_MS = 1000
_OTHER_SHARE = 7


def main() -> None:
    """Measure and print."""
    documents = {size: _document(size) for size in CUSTOMERS}
    claims = {size: _claims(size) for size in _BATCHES}
    followed = {case[0]: _followed(*case) for case in _FOLLOWING}
    results.write(
        results.columns('configuring', 'customers', _DOCUMENT, documents)
        + results.columns('configuring', 'claims a command', _CLAIM, claims)
        + results.columns('configuring', 'hosts', _FOLLOW, followed),
    )


_DOCUMENT = {
    'document': 'B',
    'read': 's of processor, whole',
    'read_change': 's of processor, one table changed',
    'compile': 's of processor',
    'decide': 's of processor',
    'memory': 'B, document and compiled',
    'read_kept': 'B, to read the next change',
    'patch': 's of processor, made and applied',
    'patch_bytes': 'B a change and hop, with headers',
}
_CLAIM = {
    'claim': 's of processor to apply one',
    'claim_bytes': 'B each in a command',
    'claim_memory': 'B each in the table',
    'claim_snapshot': 'B each in a snapshot',
}
_FOLLOW = {
    'follow_messages': 'messages/s sent, mean, idle',
    'follow_bytes': 'B/s sent, mean, idle, with headers',
    'change_messages': 'messages a host and change',
    'change_bytes': 'B a host and change, with headers',
    'change_delay': 's until in force everywhere, longest',
}


def text_of(customers: int, share: int = 2) -> str:
    """Give a document in which one share is as told, near its middle."""
    text = bench_configuration.document_text(customers, _rules(customers))
    middle = text.index('share = 2', len(text) // 3)
    return ''.join(
        (text[:middle], f'share = {share}', text[middle + len('share = 2') :]),
    )


def _document(customers: int) -> dict[str, float]:
    text = text_of(customers)
    old, new = text.encode(), text_of(customers, _OTHER_SHARE).encode()
    patch = patches.make(1, old, new)
    answer = ttypes.VersionFetched(patch=patch, version=2)
    return {
        'document': len(old),
        **_reading(text, customers),
        'patch': _used(lambda: patches.apply(patches.make(1, old, new), old)),
        'patch_bytes': countingpeers.framed_size(answer)
        + countingpeers.PACKET_HEADER_BYTES,
    }


def _reading(text: str, customers: int) -> dict[str, float]:
    doc = reading.read_whole(text)
    reading.forget()
    compiled = compiling.CompiledDocument(doc)
    facts = bench_configuration.requests_for(customers, _rules(customers))
    deciding = _used(lambda: [compiled.first_match(one) for one in facts])
    kept, _ = results.memory(
        lambda: compiling.CompiledDocument(reading.read_whole(text)),
    )
    plain, _ = results.memory(lambda: reading.read_whole(text))
    with_pieces, _ = results.memory(lambda: reading.read(text))
    return {
        'read': _used(lambda: reading.read_whole(text)),
        'read_change': _read_changes(customers),
        'compile': _used(lambda: compiling.CompiledDocument(doc)),
        'decide': deciding / len(facts),
        'memory': kept,
        'read_kept': with_pieces - plain,
    }


def _read_changes(customers: int) -> float:
    """Give the time to read a document behind one that differs a little."""
    reading.read(text_of(customers))
    # Each share once: what was read lately isn't read again.
    shares = range(_OTHER_SHARE, _OTHER_SHARE + _REPEATS)
    changed = [text_of(customers, share) for share in shares]
    return statistics.median(
        results.processor(functools.partial(reading.read, text))[0]
        for text in changed
    )


def _used(make: typing.Callable[[], object]) -> float:
    """Give the median processor time of a few calls, in seconds."""
    return statistics.median(
        results.processor(make)[0] for _ in range(_REPEATS)
    )


def _rules(customers: int) -> int:
    return max(int(customers * _RULES_SHARE), 1)


def claim_command(start: int, batch: int) -> bytes:
    """Build a command of claims numbered from a start on."""
    steps = [
        ttypes.Step(
            claim=ttypes.Claim(
                f'customer-{number % CUSTOMERS[-1]}',
                f'{number:032x}',
                f'{number:032x}',
                number,
                'host-001',
                _TTL_MS,
            ),
        )
        for number in range(start, start + batch)
    ]
    return commands.build(steps, start)


def _claims(batch: int) -> dict[str, float]:
    made = [claim_command(start, batch) for start in range(0, _CLAIMS, batch)]
    machine = state.SystemState()
    used, _ = results.processor(lambda: _apply(machine, made))
    kept, _ = results.memory(lambda: _apply(state.SystemState(), made))
    return {
        'claim': used / _CLAIMS,
        'claim_bytes': sum(map(len, made)) / _CLAIMS,
        'claim_memory': kept / _CLAIMS,
        'claim_snapshot': len(machine.snapshot()) / _CLAIMS,
    }


def _apply(
    machine: state.SystemState,
    made: typing.Iterable[bytes],
) -> state.SystemState:
    for index, command in enumerate(made, 1):
        machine.apply(index, command)
    return machine


def _followed(hosts: int, domains: int, recorders: int) -> dict[str, float]:
    case = bench_following.Case(hosts, domains, recorders, changes=_CHANGES)
    row = bench_following.measure(case)
    idle = row['idle messages a host and s']
    busy = row['messages a host and change']
    header = countingpeers.PACKET_HEADER_BYTES
    return {
        'follow_messages': idle,
        'follow_bytes': row['idle bytes a host and s'] + idle * header,
        'change_messages': busy,
        'change_bytes': row['bytes a host and change'] + busy * header,
        'change_delay': row['worst ms'] / _MS,
    }


if __name__ == '__main__':
    main()
