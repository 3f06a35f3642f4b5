"""A priority queue whose entries can be removed or reordered, in bounded memory."""

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

_MINIMUM_STALE_ENTRIES = 64
"""With this many stale entries or fewer the heap is not rebuilt; otherwise a small heap would be
rebuilt at every removal."""


class RemovableHeap(Generic[Key]):
    """Keys ordered by priority, lowest first; equal priorities in order of insertion.

    Removed entries stay in the heap until they reach its top or until more than half of the heap is
    stale. Removal is therefore cheap, and memory is at most twice that of the live entries.
    """

    __slots__ = ("_entries", "_live", "_sequence")

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Key]] = []
        self._live: dict[Key, tuple[float, int]] = {}
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of live keys."""
        return len(self._live)

    def put(self, key: Key, priority: float) -> None:
        """Add a key, or change its priority; the key is then last among equal priorities."""
        self._sequence += 1
        self._live[key] = (priority, self._sequence)
        heapq.heappush(self._entries, (priority, self._sequence, key))
        self._compact()

    def remove(self, key: Key) -> bool:
        """Remove a key; return whether it was present."""
        if self._live.pop(key, None) is None:
            return False
        self._compact()
        return True

    def first(self) -> tuple[float, Key] | None:
        """Return the lowest priority and its key, without removing them; None if empty."""
        entries = self._entries
        while entries:
            priority, sequence, key = entries[0]
            if self._live.get(key) == (priority, sequence):
                return priority, key
            heapq.heappop(entries)
        return None

    def pop(self) -> tuple[float, Key] | None:
        """Remove and return the lowest priority and its key; None if empty."""
        head = self.first()
        if head is None:
            return None
        heapq.heappop(self._entries)
        del self._live[head[1]]
        return head

    def _compact(self) -> None:
        stale = len(self._entries) - len(self._live)
        if stale <= max(_MINIMUM_STALE_ENTRIES, len(self._live)):
            return
        self._entries = [
            (priority, sequence, key) for key, (priority, sequence) in self._live.items()
        ]
        heapq.heapify(self._entries)
