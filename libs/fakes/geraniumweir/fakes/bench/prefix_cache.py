"""The prefix cache of one engine, and what the pool knows of all of them.

A prompt is cut into blocks of a fixed number of tokens; the hash of a block
covers all blocks before it, so equal hashes mean equal prefixes. A cache keeps
the blocks used last and logs what it stores and evicts, as engines publish it.

References
==========
.. [1] W. Kwon et al., "Efficient Memory Management for Large Language Model
   Serving with PagedAttention", SOSP 2023.
"""

import collections
import dataclasses
import typing

from geraniumweir.common import ids

BLOCK_TOKENS = 128


class PoolBlocks:
    """Which blocks the engines of a pool hold, for the account of waste.

    :ivar holders: number of caches that hold a block.
    :ivar seen: blocks that any engine ever computed.
    """

    def __init__(self) -> None:
        """Start with empty caches."""
        self.holders: collections.Counter[ids.BlockHash] = collections.Counter()
        self.seen: set[ids.BlockHash] = set()


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanges:
    """What a cache stored and evicted since it was asked last."""

    stored: tuple[ids.BlockHash, ...]
    evicted: tuple[ids.BlockHash, ...]


class PrefixCache:
    """Blocks of one engine, least recently used ones evicted first.

    >>> cache = PrefixCache(2, PoolBlocks())
    >>> for block in (1, 2, 3):
    ...     cache.store(block)
    >>> cache.match((2, 3, 4)), cache.match((1, 2))
    (2, 0)
    """

    def __init__(self, capacity: int, pool: PoolBlocks) -> None:
        """Start empty.

        :param capacity: blocks that fit.
        :param pool: where the pool's caches are counted.
        """
        self._capacity = capacity
        self._pool = pool
        self._blocks: collections.OrderedDict[ids.BlockHash, None] = (
            collections.OrderedDict()
        )
        self._stored: list[ids.BlockHash] = []
        self._evicted: list[ids.BlockHash] = []

    def match(self, blocks: typing.Sequence[ids.BlockHash]) -> int:
        """Count the leading blocks that are cached, and mark them as used.

        :param blocks: hashes of a prompt's blocks, first to last.
        """
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
            self._blocks.move_to_end(block)
        return len(blocks)

    def store(self, block: ids.BlockHash) -> None:
        """Keep a block that was just computed.

        :param block: its hash.
        """
        self._pool.seen.add(block)
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._pool.holders[block] += 1
        self._stored.append(block)
        if len(self._blocks) > self._capacity:
            oldest, _ = self._blocks.popitem(last=False)
            self._pool.holders[oldest] -= 1
            self._evicted.append(oldest)

    def clear(self) -> None:
        """Lose everything, as a process that crashed does, unreported."""
        self._pool.holders.subtract(self._blocks.keys())
        self._blocks.clear()
        self._stored.clear()
        self._evicted.clear()

    def take_changes(self) -> CacheChanges:
        """Give the changes since the last call."""
        changes = CacheChanges(tuple(self._stored), tuple(self._evicted))
        self._stored.clear()
        self._evicted.clear()
        return changes
