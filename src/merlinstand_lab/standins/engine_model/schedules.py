"""The two queues of the engine model; entries that no longer hold are dropped lazily."""

import heapq

from merlinstand_lab.standins.engine_model.sequence import Sequence

CLOCK_EPSILON = 1e-6
"""Rounding slack of the decode clock, in tokens."""


class WaitingQueue:
    """Sequences waiting for the batch: higher priority first, then earlier arrival."""

    def __init__(self) -> None:
        """Begin empty."""
        self._entries: list[tuple[int, int, Sequence]] = []

    def add(self, sequence: Sequence) -> None:
        """Put a sequence into the queue."""
        sequence.waiting = True
        entry = (-sequence.request.priority, sequence.arrival, sequence)
        heapq.heappush(self._entries, entry)

    def head(self) -> Sequence | None:
        """Return the next sequence without taking it."""
        while self._entries and not self._entries[0][2].waiting:
            heapq.heappop(self._entries)
        return self._entries[0][2] if self._entries else None

    def take_head(self) -> None:
        """Remove the sequence that `head` returned."""
        _, _, sequence = heapq.heappop(self._entries)
        sequence.waiting = False

    def prompt_tokens(self) -> int:
        """Prompt tokens of all waiting sequences."""
        return sum(
            sequence.request.prompt_tokens for _, _, sequence in self._entries if sequence.waiting
        )


class EndSchedule:
    """When each decoding sequence reaches its last token, on the decode clock."""

    def __init__(self) -> None:
        """Begin empty."""
        self._entries: list[tuple[float, int, Sequence]] = []
        self._count = 0

    def add(self, sequence: Sequence, clock: float) -> None:
        """Schedule the end of a sequence that starts to decode now."""
        # The counter keeps equal ends from comparing sequences.
        self._count += 1
        heapq.heappush(self._entries, (clock + sequence.remaining, self._count, sequence))

    def next_clock(self) -> float | None:
        """Clock of the next end."""
        while self._entries and not _is_live(self._entries[0]):
            heapq.heappop(self._entries)
        return self._entries[0][0] if self._entries else None

    def take_due(self, clock: float) -> list[Sequence]:
        """Remove and return the sequences that have reached their ends."""
        due = []
        while (end_clock := self.next_clock()) is not None and end_clock <= clock + CLOCK_EPSILON:
            due.append(heapq.heappop(self._entries)[2])
        return due


def _is_live(entry: tuple[float, int, Sequence]) -> bool:
    """Whether an entry still holds: its sequence decodes and was not pre-empted since."""
    end_clock, _, sequence = entry
    expected = sequence.joined_clock + sequence.remaining
    return sequence.decoding and abs(expected - end_clock) < CLOCK_EPSILON
