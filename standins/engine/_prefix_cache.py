"""A bounded LRU cache of token blocks, keyed by chained hashes."""

import collections
from collections.abc import Callable

import xxhash

BLOCK_TOKENS = 16


def hash_blocks(tokens: list[str]) -> list[int]:
    """Returns the hash of each full block, chained with the previous ones."""
    hashes: list[int] = []
    previous = 0
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = ' '.join(tokens[start : start + BLOCK_TOKENS])
        previous = xxhash.xxh64_intdigest(block.encode('utf-8'), previous)
        hashes.append(previous)
    return hashes


class PrefixCache:
    """Keeps the most recently used blocks.

    Attributes:
        capacity_blocks: Maximum number of blocks.
    """

    __slots__ = ('capacity_blocks', '_blocks', '_on_change')

    def __init__(
        self, capacity_blocks: int, on_change: Callable[[str, int], None]
    ) -> None:
        self.capacity_blocks = capacity_blocks
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._on_change = on_change

    def __len__(self) -> int:
        return len(self._blocks)

    def count_cached_tokens(self, block_hashes: list[int]) -> int:
        """Counts the leading cached tokens and marks them as used."""
        count = 0
        for block_hash in block_hashes:
            if block_hash not in self._blocks:
                break
            count += 1
        # The last block of the chain is marked first, so that it is evicted
        # before the blocks that it depends on.
        for block_hash in reversed(block_hashes[:count]):
            self._blocks.move_to_end(block_hash)
        return count * BLOCK_TOKENS

    def store(self, block_hashes: list[int]) -> None:
        """Adds blocks, and evicts the least recently used over the capacity."""
        for block_hash in reversed(block_hashes):
            if block_hash not in self._blocks:
                self._on_change('stored', block_hash)
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > self.capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._on_change('evicted', evicted)

    def clear(self) -> None:
        """Evicts all blocks."""
        while self._blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._on_change('evicted', evicted)
