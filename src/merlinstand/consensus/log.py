"""The part of the replicated log that is held in memory.

Indexes count from 1. Entries through `base_index` are covered by the snapshot. `journal` tracks
which entries are durable.
"""

from merlinstand.consensus.step import CommittedEntry as Entry


class ReplicaLog:
    """Entries `base_index + 1 … last_index`; earlier ones are covered by the snapshot."""

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        """Create an empty log that begins after the given index."""
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the newest entry; `base_index` if none is held."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry; `base_term` if none is held."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def is_empty(self) -> bool:
        """Whether nothing was ever appended."""
        return self.last_index == 0

    def term_at(self, index: int) -> int | None:
        """Term of the entry at an index; None if it was discarded or does not exist yet."""
        offset = index - self.base_index
        if offset == 0:
            return self.base_term
        if 0 < offset <= len(self._entries):
            return self._entries[offset - 1].term
        return None

    def entry_at(self, index: int) -> Entry | None:
        """The entry at an index, or None if it is not held."""
        offset = index - self.base_index
        if 0 < offset <= len(self._entries):
            return self._entries[offset - 1]
        return None

    def append(self, entry: Entry) -> None:
        """Append an entry, whose index must follow that of the newest one."""
        assert entry.index == self.last_index + 1, "log entries must be appended without gaps"
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entries from this index on."""
        del self._entries[max(0, index - self.base_index - 1) :]

    def discard_through(self, index: int) -> None:
        """Discard the entries up to and including this index, which a snapshot covers.

        Does nothing if the index is not in the log.
        """
        term = self.term_at(index)
        if index <= self.base_index or term is None:
            return
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, base_index: int, base_term: int) -> None:
        """Drop all entries and begin after the given index."""
        self._entries.clear()
        self.base_index = base_index
        self.base_term = base_term

    def between(self, first: int, last: int) -> list[Entry]:
        """Entries with indexes from `first` through `last`, as far as held."""
        start = max(0, first - self.base_index - 1)
        return self._entries[start : max(start, last - self.base_index)]

    def batch_from(self, first: int, entry_limit: int, byte_limit: int) -> list[Entry]:
        """Entries from an index on within both limits, but at least one if any is held."""
        candidates = self.between(first, min(self.last_index, first + entry_limit - 1))
        size_bytes = 0
        for count, entry in enumerate(candidates):
            size_bytes += len(entry.payload)
            if size_bytes > byte_limit and count > 0:
                return candidates[:count]
        return candidates

    def first_index_of_term(self, index: int) -> int:
        """First held index of the run of entries that have the same term as the one at `index`."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a log with this last index and term is at least as up to date as this one.

        See Raft, section 5.4.1.
        """
        return (last_term, last_index) >= (self.last_term, self.last_index)
