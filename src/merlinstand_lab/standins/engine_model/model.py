"""Continuous batching as events on a continuous clock.

All decoding sequences advance in lockstep, one token a step, and a step's time grows with
the batch and its context. The model therefore keeps one *decode clock* (tokens made by
each decoding sequence since the engine began) instead of a counter for each sequence: a
sequence's progress is the clock's advance since it joined. Only joins, ends, chunk ticks,
swaps and pre-emptions are events; tokens are not.
"""

import math

from merlinstand_lab.records.kinds import GenerationOutcome
from merlinstand_lab.standins.engine_model.prefix_cache import PrefixCache
from merlinstand_lab.standins.engine_model.schedules import (
    CLOCK_EPSILON,
    EndSchedule,
    WaitingQueue,
)
from merlinstand_lab.standins.engine_model.sequence import (
    ChunkReady,
    Finished,
    GenerationRequest,
    ModelEvent,
    Sequence,
    extend_spans,
)
from merlinstand_lab.standins.engine_model.speed import prefill_seconds, step_seconds
from merlinstand_lab.standins.settings import EngineProfile

_TIME_EPSILON_SECONDS = 1e-6
"""Well above the resolution of a double that counts seconds since boot."""


class EngineModel:
    """The engine's batch, queue, cache and version, advanced by `advance(now)`."""

    def __init__(self, profile: EngineProfile, now: float) -> None:
        """Begin idle and without a version."""
        self._profile = profile
        self.cache = PrefixCache()
        self.version = 0
        """Version being served; 0 is none."""
        self._time = now
        self._clock = 0.0
        self._rate = 0.0
        self._paused_until: float | None = None
        self._next_version = 0
        self._sequences: dict[str, Sequence] = {}
        self._waiting = WaitingQueue()
        self._prefilling: Sequence | None = None
        self._decoding: dict[str, Sequence] = {}
        self._ends = EndSchedule()
        self._context_offset = 0.0
        self._next_tick: float | None = None
        self._arrivals = 0
        self._events: list[ModelEvent] = []

    # --- what the door asks ---------------------------------------------------------

    @property
    def running(self) -> int:
        """Sequences in the batch."""
        return len(self._decoding) + (self._prefilling is not None)

    @property
    def queued(self) -> int:
        """Sequences waiting."""
        return len(self._sequences) - self.running

    @property
    def queued_tokens(self) -> int:
        """Prompt tokens waiting for prefill."""
        return self._waiting.prompt_tokens()

    @property
    def free_blocks(self) -> int:
        """Blocks that no running sequence uses (cached ones can be evicted)."""
        return max(0, self._profile.total_blocks - self._used_blocks())

    @property
    def tokens_per_second(self) -> float:
        """Tokens decoded a second over the whole batch, now."""
        return self._rate * len(self._decoding)

    @property
    def paused_until(self) -> float | None:
        """When the swap under way ends; None if there is none."""
        return self._paused_until

    def holds(self, request_id: str) -> bool:
        """Whether a request is queued or running."""
        return request_id in self._sequences

    # --- commands -------------------------------------------------------------------

    def submit(self, request: GenerationRequest, now: float) -> list[ModelEvent]:
        """Queue a request."""
        self._run_until(now)
        self._arrivals += 1
        sequence = Sequence(
            request=request,
            arrival=self._arrivals,
            produced=request.first_token,
            emitted=request.first_token,
            spans=[],
        )
        self._sequences[request.request_id] = sequence
        if request.target_tokens <= request.first_token:
            self._finish(sequence, request.outcome_at_target)
            return self._take_events()
        sequence.work_seconds = self._first_work_seconds(sequence)
        self._waiting.add(sequence)
        self._reschedule()
        return self._take_events()

    def end(self, request_id: str, outcome: GenerationOutcome, now: float) -> list[ModelEvent]:
        """End a request early; tokens made so far are given out first."""
        self._run_until(now)
        sequence = self._sequences.get(request_id)
        if sequence is not None:
            self._settle(sequence)
            self._emit(sequence)
            self._finish(sequence, outcome)
            self._reschedule()
        return self._take_events()

    def end_all(self, outcome: GenerationOutcome, now: float) -> list[ModelEvent]:
        """End every request (a failed swap, a crash)."""
        self._run_until(now)
        for sequence in list(self._sequences.values()):
            self._settle(sequence)
            if outcome is not GenerationOutcome.CRASHED:
                self._emit(sequence)
            self._finish(sequence, outcome)
        self._reschedule()
        return self._take_events()

    def activate(self, version: int, pause_seconds: float, now: float) -> list[ModelEvent]:
        """Swap to a version: running requests pause, then go on under it."""
        self._run_until(now)
        # Tokens made before the swap must carry the old version, so they go out first.
        self._emit_all()
        self._paused_until = now + pause_seconds
        self._next_version = version
        self.cache.clear()
        self._reschedule()
        return self._take_events()

    def deactivate(self) -> None:
        """Serve no version (a crash or a failed swap); the batch must be empty."""
        self.version = 0
        self._paused_until = None
        self.cache.clear()

    def advance(self, now: float) -> list[ModelEvent]:
        """Let time pass and return what happened."""
        self._run_until(now)
        return self._take_events()

    def next_event_at(self) -> float | None:
        """Return when `advance` should be called next; None while idle."""
        times = [
            time
            for time in (self._next_end_at(), self._next_work_end_at(), self._next_tick_at())
            if time is not None
        ]
        if self._paused_until is not None:
            times = [self._paused_until]
        return min(times) if times else None

    # --- time -----------------------------------------------------------------------

    def _run_until(self, now: float) -> None:
        """Process internal events up to `now`, each at its own time."""
        while True:
            event_at = self.next_event_at()
            if event_at is None or event_at > now + _TIME_EPSILON_SECONDS:
                break
            self._pass_time(max(event_at, self._time))
            self._handle_due()
        self._pass_time(max(now, self._time))

    def _pass_time(self, until: float) -> None:
        """Advance decoding and prefill work linearly."""
        elapsed = until - self._time
        self._time = until
        if elapsed <= 0 or self._paused_until is not None:
            return
        self._clock += elapsed * self._rate
        if self._prefilling is not None:
            self._prefilling.work_seconds -= elapsed * self._work_share()

    def _handle_due(self) -> None:
        """Handle everything due at the current time."""
        if self._paused_until is not None:
            if self._time + _TIME_EPSILON_SECONDS >= self._paused_until:
                self._paused_until = None
                self.version = self._next_version
                self._reschedule()
            return
        self._finish_prefill_if_done()
        self._finish_ended()
        if self._next_tick is not None and self._time + _TIME_EPSILON_SECONDS >= self._next_tick:
            self._next_tick = None
            self._emit_all()
            self._relieve_memory()
        self._reschedule()

    def _finish_prefill_if_done(self) -> None:
        """Move a sequence whose prefill is done into the decoding batch."""
        sequence = self._prefilling
        if sequence is None or sequence.work_seconds > _TIME_EPSILON_SECONDS:
            return
        self._prefilling = None
        sequence.decoding = True
        sequence.joined_clock = self._clock
        self._decoding[sequence.request.request_id] = sequence
        self._context_offset += sequence.context_tokens - self._clock
        self._ends.add(sequence, self._clock)
        self.cache.store(sequence.request.prefix_digests)

    def _finish_ended(self) -> None:
        """End the sequences that reached their last token."""
        for sequence in self._ends.take_due(self._clock):
            self._settle(sequence)
            missing = sequence.remaining
            sequence.produced += missing
            sequence.joined_clock += missing
            self._emit(sequence)
            self._finish(sequence, sequence.request.outcome_at_target)

    def _reschedule(self) -> None:
        """Admit what fits, and compute the speed of the batch as it now is."""
        if self._paused_until is None and self.version:
            self._admit()
        batch = len(self._decoding)
        if batch == 0:
            self._rate = 0.0
            return
        context = self._context_offset + batch * self._clock
        share = 1.0 - self._profile.prefill_share if self._prefilling is not None else 1.0
        self._rate = share / step_seconds(self._profile, batch, context)

    def _work_share(self) -> float:
        """Share of the engine's time that prefill gets."""
        return self._profile.prefill_share if self._decoding else 1.0

    def _next_end_at(self) -> float | None:
        """When the next decoding sequence reaches its last token."""
        end_clock = self._ends.next_clock()
        if end_clock is None or self._rate <= 0:
            return None
        return self._time + max(0.0, end_clock - self._clock) / self._rate

    def _next_work_end_at(self) -> float | None:
        """When the current prefill is done."""
        if self._prefilling is None:
            return None
        return self._time + max(0.0, self._prefilling.work_seconds) / self._work_share()

    def _next_tick_at(self) -> float | None:
        """When chunks go out next; ticks exist only while something decodes."""
        if not self._decoding:
            self._next_tick = None
        elif self._next_tick is None:
            self._next_tick = self._time + self._profile.chunk_interval_seconds
        return self._next_tick

    # --- admission and memory -------------------------------------------------------

    def _admit(self) -> None:
        """Start the prefill of the next waiting sequence if there is room."""
        while self._prefilling is None:
            sequence = self._waiting.head()
            if sequence is None or not self._make_room(sequence):
                return
            self._waiting.take_head()
            self._prefilling = sequence

    def _make_room(self, sequence: Sequence) -> bool:
        """Find a batch place and blocks, pre-empting lower priorities if needed."""
        while len(self._decoding) >= self._profile.maximum_batch or not self._fits(sequence):
            victim = self._lowest_priority_victim(sequence.request.priority)
            if victim is None:
                return False
            self._preempt(victim)
        return True

    def _fits(self, sequence: Sequence) -> bool:
        """Whether a sequence's blocks fit; cached blocks are evicted for it."""
        needed = self._blocks_of(sequence)
        used = self._used_blocks()
        if used + needed > self._profile.total_blocks:
            # A sequence larger than the whole memory must still run alone.
            return not self._decoding
        self.cache.evict(used + needed + len(self.cache) - self._profile.total_blocks)
        return True

    def _lowest_priority_victim(self, below: int) -> Sequence | None:
        """Return the latest decoding sequence with a priority below a bound."""
        candidates = [s for s in self._decoding.values() if s.request.priority < below]
        return min(candidates, key=lambda s: (s.request.priority, -s.arrival), default=None)

    def _preempt(self, victim: Sequence) -> None:
        """Take a sequence out of the batch; its keys and values must be computed again."""
        self._settle(victim)
        self._emit(victim)
        self._leave_batch(victim)
        victim.work_seconds = prefill_seconds(self._profile, victim.context_tokens)
        self._waiting.add(victim)

    def _relieve_memory(self) -> None:
        """Evict cached blocks, then pre-empt, until the growing contexts fit."""
        excess = self._used_blocks() + len(self.cache) - self._profile.total_blocks
        if excess > 0:
            self.cache.evict(excess)
        while len(self._decoding) > 1 and self._used_blocks() > self._profile.total_blocks:
            victim = min(self._decoding.values(), key=lambda s: (s.request.priority, -s.arrival))
            self._preempt(victim)

    def _used_blocks(self) -> int:
        """Blocks of the running sequences (rounded up on average)."""
        batch = len(self._decoding)
        context = self._context_offset + batch * self._clock
        blocks = math.ceil(context / self._profile.block_tokens) + batch // 2
        if self._prefilling is not None:
            blocks += self._blocks_of(self._prefilling)
        return blocks

    def _blocks_of(self, sequence: Sequence) -> int:
        """Blocks that a sequence needs to start."""
        return math.ceil(sequence.context_tokens / self._profile.block_tokens)

    def _first_work_seconds(self, sequence: Sequence) -> float:
        """Work before the first token: import of state, or prefill less the cached prefix."""
        request = sequence.request
        if request.import_seconds is not None:
            return request.import_seconds
        matched = self.cache.match(request.prefix_digests) * self._profile.block_tokens
        return prefill_seconds(self._profile, sequence.context_tokens - matched)

    # --- progress of one sequence ---------------------------------------------------

    def _settle(self, sequence: Sequence) -> None:
        """Turn the clock's advance into whole tokens of one sequence."""
        if not sequence.decoding:
            return
        whole = math.floor(self._clock - sequence.joined_clock + CLOCK_EPSILON)
        whole = min(whole, sequence.remaining)
        sequence.produced += whole
        sequence.joined_clock += whole

    def _emit_all(self) -> None:
        """Give out the tokens of every decoding sequence."""
        for sequence in self._decoding.values():
            self._settle(sequence)
            self._emit(sequence)

    def _emit(self, sequence: Sequence) -> None:
        """Give out what a sequence made since the last time, under the current version."""
        if sequence.produced <= sequence.emitted:
            return
        first_token, end_token = sequence.emitted, sequence.produced
        opens_stream = not sequence.spans
        sequence.emitted = end_token
        extend_spans(sequence.spans, self.version, first_token, end_token)
        if not sequence.request.background:
            self._events.append(
                ChunkReady(
                    sequence.request.request_id, first_token, end_token, self.version, opens_stream
                )
            )

    def _leave_batch(self, sequence: Sequence) -> None:
        """Remove a sequence from the batch, wherever it is."""
        if sequence.decoding:
            del self._decoding[sequence.request.request_id]
            # The context's part that grew with the clock leaves with the sequence.
            self._context_offset -= sequence.context_tokens - sequence.joined_clock
            if not self._decoding:
                # Rounding must not build up over days.
                self._context_offset = 0.0
            sequence.decoding = False
        elif sequence is self._prefilling:
            self._prefilling = None

    def _finish(self, sequence: Sequence, outcome: GenerationOutcome) -> None:
        """End a sequence; only tokens already given out count."""
        self._leave_batch(sequence)
        sequence.waiting = False
        del self._sequences[sequence.request.request_id]
        if not sequence.request.background:
            self._events.append(
                Finished(sequence.request.request_id, outcome, sequence.spans, sequence.emitted)
            )

    def _take_events(self) -> list[ModelEvent]:
        """Return and forget the collected events."""
        events, self._events = self._events, []
        return events
