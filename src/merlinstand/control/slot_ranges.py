"""A set of slot numbers kept as ranges: its size follows the number of gaps."""

import bisect
from collections.abc import Iterable

import msgspec


class SlotRange(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Slots from `first` up to and not including `end`."""

    first: int
    end: int


class SlotRanges:
    """Slots in sorted ranges that neither overlap nor touch.

    A job's slots are used nearly in order, so that one long range at the bottom and a few
    gaps (samples still being generated) hold millions of slots.
    """

    def __init__(self, ranges: Iterable[SlotRange] = ()) -> None:
        """Make a set from ranges that are sorted and apart."""
        self._firsts: list[int] = []
        self._ends: list[int] = []
        for slot_range in ranges:
            self._firsts.append(slot_range.first)
            self._ends.append(slot_range.end)

    def __contains__(self, slot: int) -> bool:
        """Tell whether a slot is in the set."""
        position = bisect.bisect_right(self._firsts, slot) - 1
        return position >= 0 and slot < self._ends[position]

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self._firsts)

    def ranges(self) -> tuple[SlotRange, ...]:
        """Return the ranges in order."""
        return tuple(map(SlotRange, self._firsts, self._ends))

    def below(self) -> int:
        """Return the number below which every slot from 0 is in the set."""
        return self._ends[0] if self._firsts and self._firsts[0] == 0 else 0

    def above(self) -> tuple[int, ...]:
        """Return the slots in the set that are not below `below()`."""
        below = self.below()
        return tuple(
            slot
            for first, end in zip(self._firsts, self._ends, strict=True)
            if first >= below
            for slot in range(first, end)
        )

    def add(self, slots: Iterable[int]) -> None:
        """Add slots."""
        for slot in sorted(slots):
            self._add_one(slot)

    def close_lowest_gaps(self, maximum_ranges: int) -> None:
        """Fill the lowest gaps until at most `maximum_ranges` ranges are left."""
        surplus = len(self._firsts) - maximum_ranges
        if surplus <= 0:
            return
        self._firsts[: surplus + 1] = [0]
        self._ends[:surplus] = []

    def _add_one(self, slot: int) -> None:
        position = bisect.bisect_right(self._firsts, slot) - 1
        if position >= 0 and slot < self._ends[position]:
            return
        touches_left = position >= 0 and self._ends[position] == slot
        following = position + 1
        touches_right = following < len(self._firsts) and self._firsts[following] == slot + 1
        if touches_left and touches_right:
            self._ends[position] = self._ends[following]
            del self._firsts[following]
            del self._ends[following]
        elif touches_left:
            self._ends[position] = slot + 1
        elif touches_right:
            self._firsts[following] = slot
        else:
            self._firsts.insert(following, slot)
            self._ends.insert(following, slot + 1)
