"""How a fake engine makes up tokens: slots, arrival order, prefix cache."""

import asyncio
import collections
import dataclasses
import json
import typing

from geraniumweir.backends import prompts
from geraniumweir.common import ids
from geraniumweir.fakes import faults

_TOKENS_PER_BLOCK = prompts.BLOCK_BYTES // prompts.BYTES_PER_TOKEN
_DEFAULT_TOKENS = 4

Payload = typing.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """How fast a fake engine is.

    :ivar token_seconds: time between tokens.
    :ivar prefill_rate: prompt tokens a second.
    """

    token_seconds: float = 0.002
    prefill_rate: float = 100000.0


@dataclasses.dataclass(slots=True)
class Job:
    """One request inside the engine.

    :ivar events: what was made so far, ready to send.
    :ivar prefilled: prompt tokens that had to be worked on.
    :ivar ended: whether all events are there.
    """

    request_id: str
    payload: Payload
    fault: faults.Fault | None = None
    events: list[bytes] = dataclasses.field(default_factory=list)
    texts: list[str] = dataclasses.field(default_factory=list)
    prefilled: int = 0
    ended: bool = False
    news: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    def has(self, kind: faults.FaultKind) -> bool:
        """Tell whether the job is to misbehave in this way."""
        return self.fault is not None and self.fault.kind is kind


class PrefixCache:
    """Blocks of prompts, least recently used out first."""

    def __init__(self, most_blocks: int) -> None:
        """Start empty.

        :param most_blocks: that fit.
        """
        self._most = most_blocks
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._known: set[int] = set()
        self.repeated = 0
        self.stored: list[int] = []
        self.evicted: list[int] = []

    def __len__(self) -> int:
        """Count the blocks."""
        return len(self._blocks)

    def take(self, blocks: typing.Sequence[ids.BlockHash]) -> int:
        """Use a prompt's blocks and keep them.

        :returns: how many of them, from the front, were there already.
        """
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        for missed in blocks[hits:]:
            self.repeated += missed in self._known
            self._known.add(missed)
            self.stored.append(missed)
        for used in blocks:
            self._blocks[used] = None
            self._blocks.move_to_end(used)
        while len(self._blocks) > self._most:
            self.evicted.append(self._blocks.popitem(last=False)[0])
        return hits

    def drain_events(self) -> tuple[list[int], list[int]]:
        """Give what was stored and evicted since the last time."""
        drained = (self.stored, self.evicted)
        self.stored = []
        self.evicted = []
        return drained


async def generate(job: Job, speed: Speed, cache: PrefixCache) -> None:
    """Make a job's events, at the engine's speed.

    :param cache: shared by the jobs of the engine.
    """
    prompt = prompts.read_prompt(job.payload)
    hits = cache.take(prompt.blocks)
    job.prefilled = max(prompt.tokens - hits * _TOKENS_PER_BLOCK, 0)
    await asyncio.sleep(job.prefilled / speed.prefill_rate)
    pad = '.' * int(job.payload.get('pad', 0))
    for number in range(int(job.payload.get('max_tokens', _DEFAULT_TOKENS))):
        await asyncio.sleep(speed.token_seconds)
        text = f'token{number} {pad}'
        job.texts.append(text)
        job.events.append(chunk_event(job.request_id, text))
        job.news.set()
    job.events.append(b'data: [DONE]\n\n')
    job.ended = True
    job.news.set()


def chunk_event(request_id: str, text: str) -> bytes:
    """Write one token as an event."""
    chunk = {
        'id': f'chatcmpl-{request_id}',
        'object': 'chat.completion.chunk',
        'choices': [{'index': 0, 'delta': {'content': text}}],
    }
    return f'data: {json.dumps(chunk)}\n\n'.encode()


def whole_answer(request_id: str, texts: typing.Iterable[str]) -> bytes:
    """Write an answer that isn't streamed."""
    message = {'role': 'assistant', 'content': ''.join(texts)}
    answer = {
        'id': f'chatcmpl-{request_id}',
        'object': 'chat.completion',
        'choices': [{'index': 0, 'message': message}],
    }
    return json.dumps(answer).encode()
