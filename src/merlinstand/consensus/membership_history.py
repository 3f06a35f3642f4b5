"""Which membership was in force at which log position.

A membership is in force from the moment it is appended, committed or not. If a new leader truncates
the log, the one before it is in force again.
"""

from merlinstand.consensus.membership import EMPTY_MEMBERSHIP, Membership, decode_membership
from merlinstand.consensus.step import CommittedEntry as Entry
from merlinstand.consensus.step import EntryKind


class MembershipHistory:
    """The memberships of the log, so that a truncated change is taken back."""

    def __init__(self, base: Membership = EMPTY_MEMBERSHIP, base_index: int = 0) -> None:
        """Begin with the membership of a snapshot, or with none."""
        self._changes: list[tuple[int, Membership]] = [(base_index, base)]

    @property
    def current(self) -> Membership:
        """The newest membership: it is in force whether committed or not."""
        return self._changes[-1][1]

    @property
    def current_index(self) -> int:
        """Log position of the newest membership."""
        return self._changes[-1][0]

    def note(self, entry: Entry) -> bool:
        """Take an appended entry into account.

        Returns:
            Whether it changed the membership.
        """
        if entry.kind != EntryKind.MEMBERSHIP:
            return False
        self._changes.append((entry.index, decode_membership(entry.payload)))
        return True

    def truncate_from(self, index: int) -> bool:
        """Forget the changes from this position on; true if there were any."""
        kept = [change for change in self._changes if change[0] < index]
        changed = len(kept) != len(self._changes)
        self._changes = kept or [(0, EMPTY_MEMBERSHIP)]
        return changed

    def at(self, index: int) -> tuple[int, Membership]:
        """Position and content of the newest membership at or before a position."""
        for change in reversed(self._changes):
            if change[0] <= index:
                return change
        return (0, EMPTY_MEMBERSHIP)

    def cut_through(self, index: int) -> None:
        """Forget all but the newest change at or before a position."""
        base = self.at(index)
        self._changes = [base] + [change for change in self._changes if change[0] > index]

    def reset(self, base: Membership, base_index: int) -> None:
        """Begin anew with the membership of a snapshot."""
        self._changes = [(base_index, base)]
