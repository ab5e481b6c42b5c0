"""What a prompt weighs and where its prefix may be cached.

Engines cache prompts by blocks from the front; a block is known by a hash
that also covers all blocks before it, so equal hashes mean equal prefixes.
Tokens are estimated from the text: no tokenizer of the engines is at hand.

References
==========
.. [1] W. Kwon et al., "Efficient Memory Management for Large Language Model
   Serving with PagedAttention", SOSP 2023.
.. [2] Y. Collet, "xxHash fast digest algorithm",
   https://github.com/Cyan4973/xxHash/blob/dev/doc/xxhash_spec.md
"""

import dataclasses
import json
import typing

import xxhash
from geraniumweir.common import ids

BYTES_PER_TOKEN = 4
BLOCK_BYTES = 1024
_MOST_BLOCKS = 1024
_TOKENS_PER_PART = 256
_DIGEST_BYTES = 8

Payload = typing.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt as the scheduler sees it.

    :ivar tokens: estimated length.
    :ivar blocks: hashes of its prefix blocks, first to last.
    :ivar fingerprint: equal for the same content sent again.
    """

    tokens: int
    blocks: tuple[ids.BlockHash, ...]
    fingerprint: ids.Fingerprint


def read_prompt(payload: Payload) -> Prompt:
    """Weigh the prompt of an OpenAI-style call.

    :param payload: the call's JSON; ``messages`` or ``prompt`` is read.
    :raises ValueError: when either has a form that OpenAI-style calls don't.

    >>> read_prompt({'prompt': 'where is my file'}).tokens
    4
    """
    text, extra = _text(payload)
    model = str(payload.get('model') or '')
    raw = text.encode('utf-8', 'surrogatepass')
    return Prompt(
        tokens=-(-len(raw) // BYTES_PER_TOKEN) + extra,
        blocks=prefix_blocks(model, raw),
        fingerprint=fingerprint(model.encode(), raw),
    )


def prefix_blocks(model: str, raw: bytes) -> tuple[ids.BlockHash, ...]:
    """Hash the whole blocks of a prompt, each with all before it.

    :param model: seeds the first hash, since caches aren't shared by models.

    >>> long = b'x' * 3000
    >>> prefix_blocks('m', long)[:1] == prefix_blocks('m', long[:1024])
    True
    >>> prefix_blocks('m', long) == prefix_blocks('n', long)
    False
    """
    seed = xxhash.xxh3_64_intdigest(model.encode())
    found = []
    count = min(len(raw) // BLOCK_BYTES, _MOST_BLOCKS)
    for start in range(0, count * BLOCK_BYTES, BLOCK_BYTES):
        block = raw[start : start + BLOCK_BYTES]
        seed = xxhash.xxh3_64_intdigest(block, seed)
        found.append(ids.BlockHash(_signed(seed)))
    return tuple(found)


def fingerprint(*parts: bytes) -> ids.Fingerprint:
    """Digest content so that the same content has the same digest.

    >>> fingerprint(b'ab', b'c') == fingerprint(b'a', b'bc')
    False
    """
    digest = 0
    for part in parts:
        digest = xxhash.xxh3_64_intdigest(part, digest)
    return ids.Fingerprint(_signed(digest))


def _signed(digest: int) -> int:
    """Fit a digest into the signed 64 bits that messages carry."""
    raw = digest.to_bytes(_DIGEST_BYTES, 'little')
    return int.from_bytes(raw, 'little', signed=True)


def _text(payload: Payload) -> tuple[str, int]:
    if payload.get('messages') is not None:
        return _messages(payload['messages'])
    return _prompt(payload.get('prompt') or '')


def _messages(messages: typing.Any) -> tuple[str, int]:
    if not isinstance(messages, list):
        raise ValueError('messages is not a list')
    texts = []
    extra = 0
    for message in messages:
        if not isinstance(message, dict):
            raise ValueError('a message is not an object')
        text, more = _content(message.get('content'))
        texts.append(f'{message.get("role")}\n{text}\n')
        extra += more
    return ''.join(texts), extra


def _content(content: typing.Any) -> tuple[str, int]:
    match content:
        case None:
            return '', 0
        case str():
            return content, 0
        case list():
            return _parts(content)
    raise ValueError('the content of a message is neither text nor parts')


def _parts(parts: list[typing.Any]) -> tuple[str, int]:
    texts = []
    extra = 0
    for part in parts:
        match part:
            case {'type': 'text', 'text': str(text)}:
                texts.append(text)
            case dict():
                # A picture or a sound: weighed, and told apart by its bytes.
                texts.append(xxhash.xxh3_64_hexdigest(json.dumps(part)))
                extra += _TOKENS_PER_PART
            case _:
                raise ValueError('a part of a message is not an object')
    return '\n'.join(texts), extra


def _prompt(prompt: typing.Any) -> tuple[str, int]:
    match prompt:
        case str():
            return prompt, 0
        case list() if all(isinstance(part, str) for part in prompt):
            return '\n'.join(prompt), 0
        case list():
            numbers = json.dumps(prompt)
            # Ready tokens: the text that stands for them is longer.
            tokens = numbers.count(',') + 1
            return numbers, tokens - len(numbers) // BYTES_PER_TOKEN
    raise ValueError('prompt is neither text nor a list')
