"""Prefix cache: blocks of prompts, found by a chain of digests, evicted by LRU."""

import functools
from collections import OrderedDict

import msgspec
import xxhash

_CHARACTERS_PER_TOKEN = 4
"""Characters; chosen, not measured."""


class CacheEvent(msgspec.Struct, frozen=True):
    """A block was stored or evicted."""

    kind: str
    prefix_digest: str


@functools.lru_cache(maxsize=16_384)
def prefix_digests(prompt: str, block_tokens: int) -> tuple[str, ...]:
    """Return the chained digest of every whole block of a prompt, shortest prefix first."""
    step = block_tokens * _CHARACTERS_PER_TOKEN
    digest = xxhash.xxh3_64()
    digests = []
    for start in range(0, len(prompt) - step + 1, step):
        digest.update(prompt[start : start + step].encode())
        digests.append(digest.hexdigest())
    return tuple(digests)


class PrefixCache:
    """Blocks that no running sequence owns, least recently used first."""

    def __init__(self) -> None:
        """Begin empty."""
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[CacheEvent] = []

    def __len__(self) -> int:
        """Number of cached blocks."""
        return len(self._blocks)

    def match(self, digests: tuple[str, ...]) -> int:
        """Return how many leading blocks are cached, and mark them as used."""
        matched = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            self._blocks.move_to_end(digest)
            matched += 1
        return matched

    def store(self, digests: tuple[str, ...]) -> None:
        """Keep a prompt's blocks."""
        for digest in digests:
            if digest not in self._blocks:
                self._blocks[digest] = None
                self._events.append(CacheEvent("stored", digest))

    def evict(self, count: int) -> int:
        """Drop up to `count` least recently used blocks; returns how many."""
        dropped = 0
        while dropped < count and self._blocks:
            digest, _ = self._blocks.popitem(last=False)
            self._events.append(CacheEvent("evicted", digest))
            dropped += 1
        return dropped

    def clear(self) -> None:
        """Drop everything (new weights make cached keys and values useless)."""
        self.evict(len(self._blocks))

    def take_events(self) -> list[CacheEvent]:
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events
