"""Table of encoded configuration objects with revisions, replicated by deltas.

Control replicas and sessions keep the same table, so any of them can reply to a pull.
"""

import bisect
from collections.abc import Iterable

import msgspec

MAXIMUM_RETAINED_CHANGES = 8_192
"""Changes retained for deltas; a receiver that is further behind gets the full state.

At 1,700 changes a day this is more than four days.
"""


class TableEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Encoded object of an existing key."""

    revision: int
    payload: bytes


class Change(msgspec.Struct, frozen=True, array_like=True, order=True, gc=False):
    """A key that was put or deleted at a revision."""

    revision: int
    key: str


class DeltaEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One key of a delta."""

    key: str
    revision: int
    deleted: bool
    payload: bytes


class Delta(msgspec.Struct, frozen=True, gc=False):
    """All changes from one revision to another."""

    from_revision: int
    to_revision: int
    full: bool
    """The complete state: keys that are not listed do not exist."""
    entries: tuple[DeltaEntry, ...]


class TableState(msgspec.Struct, frozen=True, array_like=True):
    """Content of a table in a snapshot."""

    revision: int
    complete_from: int
    entries: dict[str, TableEntry]
    changes: list[Change]


class ConfigurationTable:
    """Existing keys, and the latest changes in order of revision."""

    def __init__(self, maximum_changes: int = MAXIMUM_RETAINED_CHANGES) -> None:
        """The table is empty and has revision 0.

        Args:
            maximum_changes: Changes retained for deltas.
        """
        self.revision = 0
        """Revision of the newest change, not of the newest log entry."""
        self.entries: dict[str, TableEntry] = {}
        self._maximum_changes = maximum_changes
        self._complete_from = 0
        self._changes: list[Change] = []

    def revision_of(self, key: str) -> int:
        """Return the revision that last changed an existing key, 0 if it does not exist."""
        entry = self.entries.get(key)
        return 0 if entry is None else entry.revision

    def put(self, key: str, payload: bytes, revision: int) -> None:
        """Create or replace a key at a revision above all earlier ones."""
        self.entries[key] = TableEntry(revision, payload)
        self._record_change(Change(revision, key))

    def delete(self, key: str, revision: int) -> None:
        """Delete a key at a revision above all earlier ones."""
        self.entries.pop(key, None)
        self._record_change(Change(revision, key))

    def delta_since(self, have_revision: int) -> Delta:
        """Return the changes after `have_revision`.

        Args:
            have_revision: Revision of a table that was filled from this group's log.

        Returns:
            A delta, or the full state if the changes in between are no longer retained. If
            `have_revision` is ahead of this table, an empty delta that ends below it; the
            receiver does not apply it.
        """
        if have_revision >= self.revision:
            return Delta(have_revision, self.revision, False, ())
        if have_revision >= self._complete_from:
            first = bisect.bisect_right(self._changes, have_revision, key=_revision)
            keys = dict.fromkeys(change.key for change in self._changes[first:])
            entries = tuple(self._delta_entry(key) for key in keys)
            return Delta(have_revision, self.revision, False, entries)
        entries = tuple(
            DeltaEntry(key, entry.revision, False, entry.payload)
            for key, entry in self.entries.items()
        )
        return Delta(0, self.revision, True, entries)

    def apply(self, delta: Delta) -> tuple[str, ...]:
        """Apply a complete delta.

        The caller must have checked that `delta.to_revision` is above this table's revision and
        that a delta that is not full starts at or below it.

        Returns:
            The keys that changed.
        """
        if delta.full:
            return self._replace(delta)
        changed: list[Change] = []
        for entry in delta.entries:
            if entry.revision <= self.revision:
                continue
            if entry.deleted:
                self.entries.pop(entry.key, None)
            else:
                self.entries[entry.key] = TableEntry(entry.revision, entry.payload)
            changed.append(Change(entry.revision, entry.key))
        self._changes.extend(sorted(changed))
        self.revision = delta.to_revision
        self._trim()
        return tuple(change.key for change in changed)

    def state(self) -> TableState:
        """Return the content for a snapshot; it shares no mutable object with the table."""
        return TableState(
            self.revision, self._complete_from, dict(self.entries), list(self._changes)
        )

    def restore(self, state: TableState) -> None:
        """Replace the content by that of a snapshot."""
        self.revision = state.revision
        self._complete_from = state.complete_from
        self.entries = dict(state.entries)
        self._changes = list(state.changes)

    def _delta_entry(self, key: str) -> DeltaEntry:
        entry = self.entries.get(key)
        if entry is None:
            return DeltaEntry(key, self._deletion_revision(key), True, b"")
        return DeltaEntry(key, entry.revision, False, entry.payload)

    def _deletion_revision(self, key: str) -> int:
        return next(change.revision for change in reversed(self._changes) if change.key == key)

    def _replace(self, delta: Delta) -> tuple[str, ...]:
        before = self.entries
        self.entries = {
            entry.key: TableEntry(entry.revision, entry.payload) for entry in delta.entries
        }
        self.revision = delta.to_revision
        # Deletions before this revision are unknown, so no delta may start below it.
        self._complete_from = delta.to_revision
        self._changes = []
        return tuple(_changed_keys(before, self.entries))

    def _record_change(self, change: Change) -> None:
        self._changes.append(change)
        self.revision = change.revision
        self._trim()

    def _trim(self) -> None:
        # An eighth of the changes is removed at a time, to amortize the cost over many changes.
        if len(self._changes) <= self._maximum_changes:
            return
        cut = len(self._changes) - self._maximum_changes + self._maximum_changes // 8
        self._complete_from = self._changes[cut - 1].revision
        del self._changes[:cut]


def _revision(change: Change) -> int:
    return change.revision


def _changed_keys(before: dict[str, TableEntry], after: dict[str, TableEntry]) -> Iterable[str]:
    for key in before.keys() | after.keys():
        if before.get(key) != after.get(key):
            yield key
