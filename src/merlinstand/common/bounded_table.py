"""A table of a bounded number of entries: the one that was added first gives way to a new one."""

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class BoundedTable(Generic[Key, Value]):
    """Entries that are made when they are first asked for."""

    __slots__ = ("_entries", "_make", "_maximum")

    def __init__(self, maximum_entries: int, factory: Callable[[], Value]) -> None:
        """Make an empty table.

        Args:
            maximum: Most entries.
            make: Gives a new entry.
        """
        self._entries: dict[Key, Value] = {}
        self._maximum = maximum_entries
        self._make = factory

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def __getitem__(self, key: Key) -> Value:
        """Give an entry, a new one if there is none."""
        value = self._entries.get(key)
        if value is None:
            if len(self._entries) >= self._maximum:
                del self._entries[next(iter(self._entries))]
            value = self._entries[key] = self._make()
        return value
