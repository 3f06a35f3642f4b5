"""Memberships by the log index at which they took effect.

A membership takes effect when it is appended, committed or not. If a new leader truncates the log,
the previous membership takes effect again.
"""

from merlinstand.consensus.membership import EMPTY_MEMBERSHIP, Membership, decode_membership
from merlinstand.consensus.step import CommittedEntry as Entry
from merlinstand.consensus.step import EntryKind


class MembershipHistory:
    """Membership changes in the log, kept so that a truncated change can be reverted."""

    def __init__(self, base: Membership = EMPTY_MEMBERSHIP, base_index: int = 0) -> None:
        """The first membership is that of a snapshot, or empty."""
        self._changes: list[tuple[int, Membership]] = [(base_index, base)]

    @property
    def current(self) -> Membership:
        """The newest membership, committed or not."""
        return self._changes[-1][1]

    @property
    def current_index(self) -> int:
        """Log index of the newest membership."""
        return self._changes[-1][0]

    def record(self, entry: Entry) -> bool:
        """Record an appended entry.

        Returns:
            Whether it changed the membership.
        """
        if entry.kind != EntryKind.MEMBERSHIP:
            return False
        self._changes.append((entry.index, decode_membership(entry.payload)))
        return True

    def truncate_from(self, index: int) -> bool:
        """Drop the changes from this index on; true if there were any."""
        kept = [change for change in self._changes if change[0] < index]
        changed = len(kept) != len(self._changes)
        self._changes = kept or [(0, EMPTY_MEMBERSHIP)]
        return changed

    def at(self, index: int) -> tuple[int, Membership]:
        """Newest membership at or before an index, with the index of its entry."""
        for change in reversed(self._changes):
            if change[0] <= index:
                return change
        return (0, EMPTY_MEMBERSHIP)

    def discard_through(self, index: int) -> None:
        """Drop all changes before the one that is in effect at an index."""
        base = self.at(index)
        self._changes = [base] + [change for change in self._changes if change[0] > index]

    def reset(self, base: Membership, base_index: int) -> None:
        """Replace everything by the membership of a snapshot."""
        self._changes = [(base_index, base)]
