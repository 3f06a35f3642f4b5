"""A default dictionary of limited size that evicts its oldest entry (FIFO)."""

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class BoundedTable(Generic[Key, Value]):
    """Creates an entry on first access; evicts the entry that was created first when full."""

    __slots__ = ("_entries", "_factory", "_maximum_entries")

    def __init__(self, maximum_entries: int, factory: Callable[[], Value]) -> None:
        """The table is empty at first.

        Args:
            maximum_entries: Number of entries above which the oldest is evicted.
            factory: Creates the value of a new entry.
        """
        self._entries: dict[Key, Value] = {}
        self._maximum_entries = maximum_entries
        self._factory = factory

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def __getitem__(self, key: Key) -> Value:
        """Return the value of a key; create it if missing."""
        value = self._entries.get(key)
        if value is None:
            if len(self._entries) >= self._maximum_entries:
                del self._entries[next(iter(self._entries))]
            value = self._entries[key] = self._factory()
        return value
