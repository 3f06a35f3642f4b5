"""A set of slot numbers stored as ranges; its memory is proportional to the number of gaps."""

import bisect
from collections.abc import Iterable, Iterator

import msgspec


class SlotRange(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Slots from `first` up to and not including `end`."""

    first: int
    end: int


class SlotRanges:
    """Slots in sorted ranges that neither overlap nor touch.

    A job's slots are used nearly in order, so one long range from 0 and a few short ones (the gaps
    are samples still being generated) represent millions of slots.
    """

    def __init__(self, ranges: Iterable[SlotRange] = ()) -> None:
        """Make a set from sorted ranges that neither overlap nor touch."""
        self._firsts: list[int] = []
        self._ends: list[int] = []
        for slot_range in ranges:
            self._firsts.append(slot_range.first)
            self._ends.append(slot_range.end)

    def __contains__(self, slot: int) -> bool:
        """Return whether a slot is in the set."""
        position = bisect.bisect_right(self._firsts, slot) - 1
        return position >= 0 and slot < self._ends[position]

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self._firsts)

    def ranges(self) -> tuple[SlotRange, ...]:
        """Return the ranges in order."""
        return tuple(map(SlotRange, self._firsts, self._ends))

    def contiguous_end(self) -> int:
        """Return the end of the range that begins at 0, or 0 if slot 0 is not in the set."""
        return self._ends[0] if self._firsts and self._firsts[0] == 0 else 0

    def slots_above_contiguous(self) -> tuple[int, ...]:
        """Return the slots in the set from `contiguous_end()` on."""
        below = self.contiguous_end()
        return tuple(
            slot
            for first, end in zip(self._firsts, self._ends, strict=True)
            if first >= below
            for slot in range(first, end)
        )

    def add(self, slots: Iterable[int]) -> None:
        """Add slots; those already in the set are ignored."""
        for run in _runs(slots):
            self._add_run(run.first, run.end)

    def close_lowest_gaps(self, maximum_ranges: int) -> None:
        """Fill the lowest gaps until at most `maximum_ranges` ranges are left."""
        surplus = len(self._firsts) - maximum_ranges
        if surplus <= 0:
            return
        self._firsts[: surplus + 1] = [0]
        self._ends[:surplus] = []

    def _add_run(self, first: int, end: int) -> None:
        # The ranges from `left` up to `right` overlap or touch the run of slots; merge them.
        left = bisect.bisect_left(self._ends, first)
        right = bisect.bisect_right(self._firsts, end)
        if left < right:
            first = min(first, self._firsts[left])
            end = max(end, self._ends[right - 1])
        self._firsts[left:right] = [first]
        self._ends[left:right] = [end]


def _runs(slots: Iterable[int]) -> Iterator[SlotRange]:
    """Group slots into runs of consecutive numbers."""
    first = end = -1
    for slot in sorted(slots):
        if slot == end:
            end += 1
        elif slot > end or first < 0:
            if first >= 0:
                yield SlotRange(first, end)
            first, end = slot, slot + 1
    if first >= 0:
        yield SlotRange(first, end)
