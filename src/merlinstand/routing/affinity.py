"""Prefix affinity: the same prompt prefix goes to the same engine while its load allows."""

from collections import OrderedDict
from collections.abc import Iterable

import xxhash

PREFIX_CHARACTERS = 256
"""Prompt characters that decide affinity."""


def prefix_key(prompt: str) -> int:
    """Return the affinity key of a prompt: requests with a common beginning share it."""
    prefix = prompt[:PREFIX_CHARACTERS].encode("utf-8", "surrogatepass")
    return int(xxhash.xxh3_64_intdigest(prefix))


def rendezvous_rank(key: int, names: Iterable[str]) -> list[str]:
    """Order names by highest random weight for a key.

    Every daemon computes the same order, and a name that comes or goes moves only its own keys.
    """
    scored = [(xxhash.xxh3_64_intdigest(name.encode(), seed=key), name) for name in names]
    scored.sort(reverse=True)
    return [name for _score, name in scored]


class PrefixHints:
    """Prefix digests that an engine said it holds; late and gappy, so never more than a hint."""

    __slots__ = ("_digests", "_maximum", "next_sequence")

    def __init__(self, maximum: int) -> None:
        """Remember at most `maximum` digests, the latest ones."""
        self._maximum = maximum
        self._digests: OrderedDict[str, None] = OrderedDict()
        self.next_sequence = 0
        """First cache event not yet read."""

    def stored(self, digest: str) -> None:
        """The engine stored a prefix."""
        self._digests[digest] = None
        self._digests.move_to_end(digest)
        if len(self._digests) > self._maximum:
            self._digests.popitem(last=False)

    def evicted(self, digest: str) -> None:
        """The engine dropped a prefix."""
        self._digests.pop(digest, None)

    def clear(self) -> None:
        """Forget everything (the engine restarted)."""
        self._digests.clear()
        self.next_sequence = 0

    def holds(self, digest: str) -> bool:
        """Tell whether the engine probably holds a prefix."""
        return digest in self._digests

    def __len__(self) -> int:
        """Return how many digests are remembered."""
        return len(self._digests)
