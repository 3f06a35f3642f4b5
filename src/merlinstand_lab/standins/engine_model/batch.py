"""The batch: one sequence in prefill, the others decoding in lockstep on one clock.

All decoding sequences advance together, one token a step, and a step's time grows with the
batch and its context. The batch therefore keeps one *decode clock* (tokens made by each
decoding sequence since the engine began) instead of a counter for each sequence: a
sequence's progress is the clock's advance since it joined.
"""

import math
from collections.abc import Iterable

from merlinstand_lab.standins.engine_model.schedules import CLOCK_EPSILON, EndSchedule
from merlinstand_lab.standins.engine_model.sequence import Sequence
from merlinstand_lab.standins.engine_model.speed import step_seconds
from merlinstand_lab.standins.settings import EngineProfile

_WORK_EPSILON_SECONDS = 1e-6
"""Seconds of work below which rounding is taken for done."""


class Batch:
    """The sequences being computed, and how fast."""

    def __init__(self, profile: EngineProfile) -> None:
        """Begin empty."""
        self._profile = profile
        self.prefilling: Sequence | None = None
        self._decoding: dict[str, Sequence] = {}
        self._clock = 0.0
        self._rate = 0.0
        self._context_offset = 0.0
        self._ends = EndSchedule()

    @property
    def decoding(self) -> Iterable[Sequence]:
        """The decoding sequences, in the order in which they joined."""
        return self._decoding.values()

    @property
    def decoding_count(self) -> int:
        """Number of decoding sequences."""
        return len(self._decoding)

    @property
    def running_count(self) -> int:
        """Number of sequences in the batch."""
        return len(self._decoding) + (self.prefilling is not None)

    @property
    def tokens_per_second(self) -> float:
        """Tokens decoded a second over the whole batch, now."""
        return self._rate * len(self._decoding)

    @property
    def used_blocks(self) -> int:
        """Blocks of the running sequences (rounded up on average)."""
        context = self._context_tokens()
        blocks = math.ceil(context / self._profile.block_tokens) + self.decoding_count // 2
        if self.prefilling is not None:
            blocks += self.blocks_of(self.prefilling)
        return blocks

    def blocks_of(self, sequence: Sequence) -> int:
        """Blocks that a sequence needs to start."""
        return math.ceil(sequence.context_tokens / self._profile.block_tokens)

    def lowest_priority(self, below: int | None = None) -> Sequence | None:
        """Return the latest decoding sequence of the lowest priority, if below a bound."""
        candidates = [
            sequence
            for sequence in self._decoding.values()
            if below is None or sequence.request.priority < below
        ]
        return min(candidates, key=lambda one: (one.request.priority, -one.arrival), default=None)

    # --- time -----------------------------------------------------------------------

    def pass_time(self, seconds: float) -> None:
        """Advance decoding and prefill work linearly."""
        self._clock += seconds * self._rate
        if self.prefilling is not None:
            self.prefilling.work_seconds -= seconds * self._work_share()

    def next_event_in(self) -> float | None:
        """Seconds until a prefill is done or a sequence reaches its last token."""
        times = []
        end_clock = self._ends.next_clock()
        if end_clock is not None and self._rate > 0:
            times.append(max(0.0, end_clock - self._clock) / self._rate)
        if self.prefilling is not None:
            times.append(max(0.0, self.prefilling.work_seconds) / self._work_share())
        return min(times, default=None)

    def recompute_rate(self) -> None:
        """Compute the speed of the batch as it now is."""
        if not self._decoding:
            self._rate = 0.0
            return
        share = 1.0 - self._profile.prefill_share if self.prefilling is not None else 1.0
        step = step_seconds(self._profile, self.decoding_count, self._context_tokens())
        self._rate = share / step

    def _work_share(self) -> float:
        """Share of the engine's time that prefill gets."""
        return self._profile.prefill_share if self._decoding else 1.0

    def _context_tokens(self) -> float:
        """Tokens in the contexts of all decoding sequences."""
        return self._context_offset + self.decoding_count * self._clock

    # --- joining and leaving --------------------------------------------------------

    def take_prefilled(self) -> Sequence | None:
        """Let a sequence whose prefill is done decode; returns it."""
        sequence = self.prefilling
        if sequence is None or sequence.work_seconds > _WORK_EPSILON_SECONDS:
            return None
        self.prefilling = None
        sequence.decoding = True
        sequence.joined_clock = self._clock
        self._decoding[sequence.request.request_id] = sequence
        self._context_offset += sequence.context_tokens - self._clock
        self._ends.add(sequence, self._clock)
        return sequence

    def take_ended(self) -> list[Sequence]:
        """Return the sequences that have reached their last token, with all their tokens."""
        ended = self._ends.take_due(self._clock)
        for sequence in ended:
            self.settle(sequence)
            missing = sequence.remaining
            sequence.produced += missing
            sequence.joined_clock += missing
        return ended

    def settle(self, sequence: Sequence) -> None:
        """Turn the clock's advance into whole tokens of one sequence."""
        if not sequence.decoding:
            return
        whole = math.floor(self._clock - sequence.joined_clock + CLOCK_EPSILON)
        whole = min(whole, sequence.remaining)
        sequence.produced += whole
        sequence.joined_clock += whole

    def remove(self, sequence: Sequence) -> None:
        """Remove a settled sequence, wherever it is in the batch."""
        if sequence.decoding:
            del self._decoding[sequence.request.request_id]
            # The context's part that grew with the clock leaves with the sequence.
            self._context_offset -= sequence.context_tokens - sequence.joined_clock
            if not self._decoding:
                # Rounding must not build up over days.
                self._context_offset = 0.0
            sequence.decoding = False
        elif sequence is self.prefilling:
            self.prefilling = None
