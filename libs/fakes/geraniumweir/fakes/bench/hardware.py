"""Speeds and sizes of the engines: three generations, 1x, 2.5x and 6x.

The figures of a step at 1x are made up in the range of published ones: they
set the ratios between prefill, decode and batch size, not any real engine's
speed.
"""

import dataclasses
import types

CHUNK_TOKENS = 256
PREFILL_TOKENS_PER_SECOND = 4000
STEP_SECONDS = 0.025
STEP_SECONDS_EACH = 0.001
SLOTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Hardware:
    """One generation.

    :ivar speed: as a multiple of the oldest generation's.
    :ivar kv_tokens: room for the requests that run.
    :ivar cache_blocks: room for prefixes that no request uses any more.
    """

    name: str
    speed: float
    kv_tokens: int = 120_000
    cache_blocks: int = 600
    slots: int = SLOTS

    def step_seconds(self, chunk: int, decodes: int) -> float:
        """Give the length of one step.

        :param chunk: prompt tokens in it.
        :param decodes: requests that get a token.
        :returns: seconds.

        >>> round(Hardware('old', 1).step_seconds(0, 10), 3)
        0.035
        """
        seconds = STEP_SECONDS + STEP_SECONDS_EACH * decodes
        seconds += chunk / PREFILL_TOKENS_PER_SECOND
        return seconds / self.speed

    def alone_seconds(self, prompt_tokens: int, output_tokens: int) -> float:
        """Give the least time for a request, alone on an empty engine.

        >>> Hardware('old', 1).alone_seconds(4000, 1)
        1.0
        """
        seconds = prompt_tokens / PREFILL_TOKENS_PER_SECOND
        seconds += (STEP_SECONDS + STEP_SECONDS_EACH) * (output_tokens - 1)
        return seconds / self.speed


_SPEEDS = types.MappingProxyType({'g1': 1, 'g2': 2.5, 'g3': 6})
GENERATIONS = tuple(Hardware(name, speed) for name, speed in _SPEEDS.items())


def least_work(prompt_tokens: int, output_tokens: int) -> float:
    """Give the least time that a request costs an engine at 1x.

    No step's batch is larger than the slots, so each token carries at least
    its part of a full step.

    :param prompt_tokens: those that must be computed.
    :returns: seconds of an engine of the oldest generation.
    """
    each = STEP_SECONDS / SLOTS + STEP_SECONDS_EACH
    seconds = prompt_tokens / PREFILL_TOKENS_PER_SECOND
    return seconds + each * (output_tokens - 1)
