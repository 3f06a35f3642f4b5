"""Continuous batching as events on a continuous clock.

Only joins, ends, chunk ticks, swaps and pre-emptions are events; tokens are not (see
`batch`).
"""

from merlinstand_lab.records.kinds import GenerationOutcome
from merlinstand_lab.standins.engine_model.batch import Batch
from merlinstand_lab.standins.engine_model.prefix_cache import PrefixCache
from merlinstand_lab.standins.engine_model.schedules import WaitingQueue
from merlinstand_lab.standins.engine_model.sequence import (
    ChunkReady,
    Finished,
    GenerationRequest,
    ModelEvent,
    Sequence,
    extend_spans,
)
from merlinstand_lab.standins.engine_model.speed import prefill_seconds
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
        self._batch = Batch(profile)
        self._paused_until: float | None = None
        self._next_version = 0
        self._sequences: dict[str, Sequence] = {}
        self._waiting = WaitingQueue()
        self._next_tick: float | None = None
        self._arrivals = 0
        self._events: list[ModelEvent] = []

    # --- what the endpoint asks ---------------------------------------------------------

    @property
    def running(self) -> int:
        """Sequences in the batch."""
        return self._batch.running_count

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
        return max(0, self._profile.total_blocks - self._batch.used_blocks)

    @property
    def tokens_per_second(self) -> float:
        """Tokens decoded a second over the whole batch, now."""
        return self._batch.tokens_per_second

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
            self._batch.settle(sequence)
            self._emit(sequence)
            self._finish(sequence, outcome)
            self._reschedule()
        return self._take_events()

    def end_all(self, outcome: GenerationOutcome, now: float) -> list[ModelEvent]:
        """End every request (a failed swap, a crash)."""
        self._run_until(now)
        for sequence in list(self._sequences.values()):
            self._batch.settle(sequence)
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
        if self._paused_until is not None:
            return self._paused_until
        times = [self._next_tick_at()]
        event_in = self._batch.next_event_in()
        if event_in is not None:
            times.append(self._time + event_in)
        return min((time for time in times if time is not None), default=None)

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
        self._batch.pass_time(elapsed)

    def _handle_due(self) -> None:
        """Handle everything due at the current time."""
        if self._paused_until is not None:
            if self._time + _TIME_EPSILON_SECONDS >= self._paused_until:
                self._paused_until = None
                self.version = self._next_version
                self._reschedule()
            return
        prefilled = self._batch.take_prefilled()
        if prefilled is not None:
            self.cache.store(prefilled.request.prefix_digests)
        for sequence in self._batch.take_ended():
            self._emit(sequence)
            self._finish(sequence, sequence.request.outcome_at_target)
        if self._next_tick is not None and self._time + _TIME_EPSILON_SECONDS >= self._next_tick:
            self._next_tick = None
            self._emit_all()
            self._preempt_excess()
        self._evict_excess()
        self._reschedule()

    def _reschedule(self) -> None:
        """Admit what fits, and compute the speed of the batch as it now is."""
        if self._paused_until is None and self.version:
            self._admit()
        self._batch.recompute_rate()

    def _next_tick_at(self) -> float | None:
        """When chunks go out next; ticks exist only while something decodes."""
        if not self._batch.decoding_count:
            self._next_tick = None
        elif self._next_tick is None:
            self._next_tick = self._time + self._profile.chunk_interval_seconds
        return self._next_tick

    # --- admission and memory -------------------------------------------------------

    def _admit(self) -> None:
        """Start the prefill of the next waiting sequence if there is room."""
        while self._batch.prefilling is None:
            sequence = self._waiting.head()
            if sequence is None or not self._make_room(sequence):
                return
            self._waiting.take_head()
            self._batch.prefilling = sequence

    def _make_room(self, sequence: Sequence) -> bool:
        """Find a batch place and blocks, pre-empting lower priorities if needed."""
        full = self._profile.maximum_batch
        while self._batch.decoding_count >= full or not self._fits(sequence):
            victim = self._batch.lowest_priority(below=sequence.request.priority)
            if victim is None:
                return False
            self._preempt(victim)
        return True

    def _fits(self, sequence: Sequence) -> bool:
        """Whether a sequence's blocks fit; cached blocks are evicted for it."""
        needed = self._batch.blocks_of(sequence)
        used = self._batch.used_blocks
        if used + needed > self._profile.total_blocks:
            # A sequence larger than the whole memory must still run alone.
            return self._batch.decoding_count == 0
        self.cache.evict(used + needed + len(self.cache) - self._profile.total_blocks)
        return True

    def _preempt(self, victim: Sequence) -> None:
        """Take a sequence out of the batch; its keys and values must be computed again."""
        self._batch.settle(victim)
        self._emit(victim)
        self._batch.remove(victim)
        victim.work_seconds = prefill_seconds(self._profile, victim.context_tokens)
        self._waiting.add(victim)

    def _evict_excess(self) -> None:
        """Evict cached blocks until they fit beside the running sequences."""
        excess = self._batch.used_blocks + len(self.cache) - self._profile.total_blocks
        if excess > 0:
            self.cache.evict(excess)

    def _preempt_excess(self) -> None:
        """Pre-empt until the growing contexts fit."""
        while self._batch.decoding_count > 1:
            victim = self._batch.lowest_priority()
            if victim is None or self._batch.used_blocks <= self._profile.total_blocks:
                return
            self._preempt(victim)

    def _first_work_seconds(self, sequence: Sequence) -> float:
        """Work before the first token: import of state, or prefill less the cached prefix."""
        request = sequence.request
        if request.import_seconds is not None:
            return request.import_seconds
        matched = self.cache.match(request.prefix_digests) * self._profile.block_tokens
        return prefill_seconds(self._profile, sequence.context_tokens - matched)

    # --- tokens given out -----------------------------------------------------------

    def _emit_all(self) -> None:
        """Give out the tokens of every decoding sequence."""
        for sequence in self._batch.decoding:
            self._batch.settle(sequence)
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

    def _finish(self, sequence: Sequence, outcome: GenerationOutcome) -> None:
        """End a sequence; only tokens already given out count."""
        self._batch.remove(sequence)
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
