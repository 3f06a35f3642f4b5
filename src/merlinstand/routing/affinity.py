"""Prefix affinity: prompts with the same prefix go to the same engine while its load allows it."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec
import xxhash

AFFINITY_PREFIX_CHARACTERS = 256
"""Leading characters of a prompt that its affinity key is computed from."""

BLOCK_CHARACTERS = 64
"""Prompt characters per cache block; cache events refer to complete blocks."""

MAXIMUM_BLOCKS = 32
"""Number of leading blocks of a prompt that are looked up in `PrefixCacheHints`."""


class PromptAffinity(msgspec.Struct, frozen=True):
    """Keys by which a prompt is routed to an engine that may have the prompt's prefix cached."""

    key: int
    """Hash of the first `AFFINITY_PREFIX_CHARACTERS` characters of the prompt."""
    digests: tuple[str, ...] = ()
    """Digests of the prompt up to the end of each complete block, shortest prefix first."""


def prompt_affinity(prompt: str) -> PromptAffinity:
    """Return the affinity key and the prefix digests of a prompt."""
    prefix = prompt[:AFFINITY_PREFIX_CHARACTERS].encode("utf-8", "surrogatepass")
    return PromptAffinity(int(xxhash.xxh3_64_intdigest(prefix)), prefix_digests(prompt))


def prefix_digests(prompt: str) -> tuple[str, ...]:
    """Return the digests that identify a prompt's prefixes in the cache events of engines."""
    block_count = min(len(prompt) // BLOCK_CHARACTERS, MAXIMUM_BLOCKS)
    digest = xxhash.xxh3_64()
    digests = []
    for block in range(block_count):
        start = block * BLOCK_CHARACTERS
        characters = prompt[start : start + BLOCK_CHARACTERS]
        digest.update(characters.encode("utf-8", "surrogatepass"))
        digests.append(digest.hexdigest())
    return tuple(digests)


def rendezvous_order(key: int, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing (highest random weight first) for a key.

    Every daemon computes the same order. Adding or removing a name only moves the keys for which
    that name is first.
    """
    scored = [(xxhash.xxh3_64_intdigest(name.encode(), seed=key), name) for name in names]
    scored.sort(reverse=True)
    return [name for _score, name in scored]


class PrefixCacheHints:
    """Prefixes that an engine reported as cached.

    They are only hints, since cache events may arrive late or get lost.
    """

    __slots__ = ("_digests", "_maximum", "next_sequence")

    def __init__(self, maximum: int) -> None:
        """Create an empty set; only the `maximum` newest digests are kept."""
        self._maximum = maximum
        self._digests: OrderedDict[str, None] = OrderedDict()
        self.next_sequence = 0
        """Sequence number of the first cache event that was not read yet."""

    def record_stored(self, digest: str) -> None:
        """Add a prefix that the engine cached; drops the oldest prefix if there are too many."""
        self._digests[digest] = None
        self._digests.move_to_end(digest)
        if len(self._digests) > self._maximum:
            self._digests.popitem(last=False)

    def record_evicted(self, digest: str) -> None:
        """Remove a prefix that the engine evicted."""
        self._digests.pop(digest, None)

    def clear(self) -> None:
        """Remove all digests, and read events from the first again: for a restarted engine."""
        self._digests.clear()
        self.next_sequence = 0

    def contains(self, digest: str) -> bool:
        """Return whether the engine probably has a prefix cached."""
        return digest in self._digests

    def cached_block_count(self, digests: tuple[str, ...]) -> int:
        """Return how many leading blocks of a prompt the engine probably has cached.

        Events may be missing, so a longer prefix counts even if a shorter one is not known.
        """
        if not self._digests:
            return 0
        for count in range(len(digests), 0, -1):
            if digests[count - 1] in self._digests:
                return count
        return 0

    def __len__(self) -> int:
        """Return the number of digests."""
        return len(self._digests)
