"""Prefix affinity: the same prompt prefix goes to the same engine while its load allows."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec
import xxhash

AFFINITY_PREFIX_CHARACTERS = 256
"""Prompt characters that decide affinity."""

BLOCK_CHARACTERS = 64
"""Prompt characters of one cache block; cache events name whole blocks."""

MAXIMUM_BLOCKS = 32
"""Blocks of a prompt that are looked up in the hints."""


class PromptAffinity(msgspec.Struct, frozen=True):
    """What draws a prompt to an engine."""

    key: int
    """Prompts with a common beginning share it."""
    digests: tuple[str, ...] = ()
    """Digest of the prompt up to the end of each whole block, shortest first."""


def prompt_affinity(prompt: str) -> PromptAffinity:
    """Return the affinity of a prompt."""
    prefix = prompt[:AFFINITY_PREFIX_CHARACTERS].encode("utf-8", "surrogatepass")
    return PromptAffinity(int(xxhash.xxh3_64_intdigest(prefix)), prefix_digests(prompt))


def prefix_digests(prompt: str) -> tuple[str, ...]:
    """Return the digests by which engines' cache events name a prompt's prefixes."""
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
    """Order names by highest random weight for a key.

    Every daemon computes the same order, and a name that comes or goes moves only its own keys.
    """
    scored = [(xxhash.xxh3_64_intdigest(name.encode(), seed=key), name) for name in names]
    scored.sort(reverse=True)
    return [name for _score, name in scored]


class PrefixCacheHints:
    """Prefix digests that an engine said it holds; late and gappy, so never more than a hint."""

    __slots__ = ("_digests", "_maximum", "next_sequence")

    def __init__(self, maximum: int) -> None:
        """Remember at most `maximum` digests, the latest ones."""
        self._maximum = maximum
        self._digests: OrderedDict[str, None] = OrderedDict()
        self.next_sequence = 0
        """First cache event not yet read."""

    def record_stored(self, digest: str) -> None:
        """The engine stored a prefix."""
        self._digests[digest] = None
        self._digests.move_to_end(digest)
        if len(self._digests) > self._maximum:
            self._digests.popitem(last=False)

    def record_evicted(self, digest: str) -> None:
        """The engine dropped a prefix."""
        self._digests.pop(digest, None)

    def clear(self) -> None:
        """Forget everything (the engine restarted)."""
        self._digests.clear()
        self.next_sequence = 0

    def contains(self, digest: str) -> bool:
        """Tell whether the engine probably holds a prefix."""
        return digest in self._digests

    def cached_block_count(self, digests: tuple[str, ...]) -> int:
        """Return how many blocks of a prompt the engine probably holds.

        Events may be missing, so a longer prefix counts even if a shorter one is not known.
        """
        if not self._digests:
            return 0
        for count in range(len(digests), 0, -1):
            if digests[count - 1] in self._digests:
                return count
        return 0

    def __len__(self) -> int:
        """Return how many digests are remembered."""
        return len(self._digests)
