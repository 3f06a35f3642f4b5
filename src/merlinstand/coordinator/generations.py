"""The generations of one job: creation, resumption after interruptions, cancellation.

A generation outlives its streams: the tokens received so far are kept, and another engine resumes
it. It restarts from the prompt only if its spans are void, or after more than
`GenerationSettings.maximum_attempts` streams that brought no token. Streams are taken off an engine
that sends neither tokens nor status (`resume_stalled`), and moved with their KV cache off an engine
that is leaving (`export_from_leaving_engines`).
"""

import math
from collections.abc import Callable

import msgspec
import xxhash
from result import Err

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import InvalidInputError
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.engine_protocol import ExportedCache, FinishReason, RequestReference
from merlinstand.coordinator.engines import Engine, EnginePool
from merlinstand.coordinator.generation import CacheHandle, Generation
from merlinstand.coordinator.purposes import CancelRequestCall, ExportCall, GenerationCall
from merlinstand.coordinator.slots import SlotName
from merlinstand.coordinator.spans import SpanError
from merlinstand.coordinator.speed import StreamSpeed
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
)

CONTROL_TIMEOUT_SECONDS = 3.0
"""Timeout of a cancel or export request."""

REFUSAL_BACK_OFF_SECONDS = 0.25
"""Time without new completions for an engine that refused one without a `Retry-After`."""

MAXIMUM_BACK_OFF_SECONDS = 5.0
"""Maximum back-off from an engine that refused a completion, so that a large `Retry-After` does
not exclude the engine for long."""

SEED_MASK = 0x7FFF_FFFF
"""Keeps the lower 31 bits of the hash, so that the seed is not negative in any engine's integer
type."""


class GenerationManager:
    """Manages a job's generations and their streams."""

    def __init__(self, job: str, pool: EnginePool, on_finished: Callable[[Generation], None]):
        """Manage one job's generations; there are none at first.

        Args:
            job: The job's name.
            pool: Engines that generate for it.
            on_finished: Called with each generation whose sample is complete.
        """
        self._job = job
        self._pool = pool
        self._on_finished = on_finished
        self._generations: dict[str, Generation] = {}
        self._by_slot: dict[int, Generation] = {}
        self.streaming_count = 0
        """Number of open streams."""
        self.changed = True
        """Whether anything changed that affects planning; cleared by the planner."""
        self.speed = StreamSpeed()

    def __len__(self) -> int:
        """Return the number of generations, whether waiting or streaming."""
        return len(self._generations)

    def all(self) -> list[Generation]:
        """Return all generations, oldest first."""
        return list(self._generations.values())

    def for_slot(self, slot: int) -> Generation | None:
        """Return a slot's generation, or None."""
        return self._by_slot.get(slot)

    def waiting(self) -> list[Generation]:
        """Return the generations that wait for an engine."""
        return [
            generation
            for generation in self._generations.values()
            if not generation.streaming and not generation.exporting
        ]

    def streams_on_older_weights(self, version: int) -> list[Generation]:
        """Return streams with tokens older than a version on engines that now serve it."""
        return [
            generation
            for generation in self._generations.values()
            if generation.is_older_than(version) and self.serves(generation, version)
        ]

    def serves(self, generation: Generation, version: int) -> bool:
        """Return whether a stream's engine serves this weight version or a newer one.

        False if the engine is unknown or the generation is being exported.
        """
        engine = self._engine_of(generation)
        if engine is None or generation.exporting:
            return False
        return engine.active_version >= version

    def create(
        self, context: Context, slot: SlotName, prompt: str, maximum_tokens: int, drop_count: int
    ) -> Generation:
        """Create a slot's generation; `send` starts it on an engine."""
        # The seed depends only on the slot and its number of policy drops, so that a sample
        # restarted after it expired is generated with the same seed. With a new seed, long
        # samples, which expire more often, would tend to be replaced by shorter ones.
        seed = xxhash.xxh64_intdigest(f"{slot.sample_id}#{drop_count}".encode()) & SEED_MASK
        generation_id = context.new_id()
        generation = Generation(generation_id, slot, prompt, maximum_tokens, seed, context.now)
        self._generations[generation_id] = generation
        self._by_slot[slot.slot] = generation
        return generation

    def send(
        self, context: Context, generation: Generation, engine: Engine, model: str, priority: int
    ) -> None:
        """Start or resume a generation on an engine."""
        generation.request_id = f"{generation.slot.sample_id}~{context.new_id()}"
        body = msgspec.json.encode(generation.request(model, priority))
        call_id = context.start_call(
            GenerationCall(self._job, generation.generation_id),
            engine.backend.address,
            "POST",
            "/v1/completions",
            body=body,
            headers={"X-Request-Id": generation.request_id},
            timeout_seconds=context.settings.generation.stream_idle_timeout_seconds,
            stream=True,
        )
        generation.record_stream_start(
            engine.backend.backend_id, engine.active_version, call_id, context.now
        )
        self.streaming_count += 1
        engine.in_flight += 1
        engine.breaker.record_call_start(context.now)

    # --- stream events --------------------------------------------------------------

    def handle_stream_event(
        self,
        context: Context,
        generation_id: str,
        event: CallHeaders | CallChunk | CallEnded | CallFailed,
    ) -> None:
        """Handle an event of a generation's stream."""
        generation = self._generations.get(generation_id)
        if generation is None or generation.call_id != event.call_id:
            return
        if isinstance(event, CallHeaders):
            if event.status != 200:
                self._handle_refusal(context, generation, event)
        elif isinstance(event, CallChunk):
            self._handle_chunk(context, generation, event)
        elif isinstance(event, CallEnded):
            self._handle_interruption(context, generation, failed=generation.finish_reason is None)
        else:
            reason = f"{event.phase.value}.{event.reason}"
            context.log("generation.stream_failed", job=self._job, reason=reason)
            self._handle_interruption(context, generation, failed=True)
            if event.phase is CallPhase.CONNECT:
                # Nothing was sent, so this does not count as an interruption of the sample.
                generation.interruptions = max(0, generation.interruptions - 1)

    def _handle_chunk(self, context: Context, generation: Generation, event: CallChunk) -> None:
        outcome = generation.feed(event.data, context.now)
        if isinstance(outcome, Err):
            self._handle_malformed(context, generation, outcome.err_value)
        elif generation.complete:
            self._finish(context, generation)

    def _finish(self, context: Context, generation: Generation) -> None:
        engine = self._engine_of(generation)
        if engine is not None:
            engine.breaker.record_success(context.now)
        if generation.call_id is not None:
            context.forget_call(generation.call_id)
        self._record_speed(context, generation)
        self._end_stream(generation)
        self._forget(generation)
        self._on_finished(generation)

    def _handle_malformed(
        self, context: Context, generation: Generation, error: InvalidInputError
    ) -> None:
        """Handle malformed data: void the sample, or resume from its valid tokens."""
        context.log(
            "generation.malformed",
            "warning",
            job=self._job,
            backend=generation.backend_id,
            code=type(error).code,
            detail=error.detail,
        )
        self._cancel_stream(context, generation)
        if isinstance(error, SpanError):
            context.count("samples_void_total", job=self._job)
            generation.restart(generation.seed, context.now)
            generation.interruptions += 1
        else:
            self._handle_interruption(context, generation, failed=True)

    def _handle_refusal(self, context: Context, generation: Generation, event: CallHeaders) -> None:
        engine = self._engine_of(generation)
        if engine is not None:
            requested_seconds = _retry_after(event.headers)
            back_off_seconds = min(
                max(requested_seconds, REFUSAL_BACK_OFF_SECONDS), MAXIMUM_BACK_OFF_SECONDS
            )
            engine.back_off_until = context.now + back_off_seconds
            engine.poll_frequently(context.now)
        context.count("generations_refused_total", job=self._job)
        self._cancel_stream(context, generation, tell_engine=False)

    def _handle_interruption(
        self, context: Context, generation: Generation, *, failed: bool
    ) -> None:
        engine = self._engine_of(generation)
        if engine is not None and failed:
            engine.breaker.record_failure(context.now)
            engine.poll_frequently(context.now)
        if generation.call_id is not None:
            context.forget_call(generation.call_id)
        progressed = generation.token_count > generation.stream_first_token
        self._end_stream(generation)
        context.count("generations_interrupted_total", job=self._job)
        if not progressed:
            generation.interruptions += 1
        if generation.interruptions > context.settings.generation.maximum_attempts:
            # The tokens received so far may be the cause of the failures: discard them.
            context.count("generations_restarted_total", job=self._job)
            generation.restart(generation.seed, context.now)

    # --- unresponsive and leaving engines ---------------------------------------------

    def resume_stalled(self, context: Context) -> None:
        """Interrupt streams on engines that became unresponsive without a connection error."""
        stall_seconds = context.settings.generation.stall_seconds
        for generation in self.all():
            engine = self._engine_of(generation)
            if engine is None or not generation.streaming:
                continue
            # A stream queued at a healthy engine sends no tokens either, but that engine still
            # reports its status.
            last_activity_at = max(generation.last_data_at, engine.status_received_at)
            if context.now - last_activity_at > stall_seconds:
                context.log(
                    "generation.stalled",
                    "warning",
                    job=self._job,
                    backend=generation.backend_id,
                    tokens=generation.token_count,
                )
                call_id = generation.call_id
                self._handle_interruption(context, generation, failed=True)
                if call_id is not None:
                    context.close_call(call_id)

    def export_from_leaving_engines(self, context: Context) -> None:
        """Export the KV caches of long streams from leaving engines."""
        minimum_tokens = context.settings.generation.export_minimum_tokens
        for generation in self._generations.values():
            engine = self._engine_of(generation)
            if engine is None or not engine.signals.is_draining or generation.exporting:
                continue
            if generation.token_count < minimum_tokens or generation.export_attempted:
                continue
            generation.exporting = True
            generation.export_attempted = True
            context.start_call(
                ExportCall(self._job, generation.generation_id, engine.backend.address),
                engine.backend.address,
                "POST",
                "/v1/kv/export",
                body=msgspec.json.encode(RequestReference(generation.request_id)),
                timeout_seconds=CONTROL_TIMEOUT_SECONDS,
            )

    def handle_export_response(
        self, generation_id: str, event: CallResponded | CallFailed, source: str
    ) -> None:
        """Handle the response to an export; if that failed, resume with the text as a prefix."""
        generation = self._generations.get(generation_id)
        if generation is None:
            return
        generation.exporting = False
        if isinstance(event, CallFailed) or event.status != 200:
            return
        try:
            exported = msgspec.json.decode(event.body, type=ExportedCache)
        except DECODE_ERRORS:
            # Without a cache handle, the next engine resumes with the text as a prefix, which it
            # must process again; no token is lost.
            return
        generation.cache = CacheHandle(exported.handle, source, exported.token_count)

    # --- cancelling -----------------------------------------------------------------

    def cancel(self, context: Context, generation: Generation) -> None:
        """Cancel a generation and discard its tokens."""
        if generation.streaming:
            self._cancel_stream(context, generation)
        self._forget(generation)

    def cancel_all(self, context: Context) -> None:
        """Cancel all generations."""
        for generation in self.all():
            self.cancel(context, generation)

    def _cancel_stream(
        self, context: Context, generation: Generation, *, tell_engine: bool = True
    ) -> None:
        engine = self._engine_of(generation)
        if generation.call_id is not None:
            context.cancel_call(generation.call_id)
        if engine is not None:
            engine.breaker.record_inconclusive()
            if tell_engine:
                # An engine may detect a closed connection only when it sends its next chunk.
                context.start_call(
                    CancelRequestCall(),
                    engine.backend.address,
                    "POST",
                    "/v1/cancel",
                    body=msgspec.json.encode(RequestReference(generation.request_id)),
                    timeout_seconds=CONTROL_TIMEOUT_SECONDS,
                )
        self._end_stream(generation)

    # --- helpers --------------------------------------------------------------------

    def _engine_of(self, generation: Generation) -> Engine | None:
        if generation.backend_id is None:
            return None
        return self._pool.engines.get(generation.backend_id)

    def _end_stream(self, generation: Generation) -> None:
        engine = self._engine_of(generation)
        self.changed = True
        if generation.streaming:
            self.streaming_count -= 1
            if engine is not None:
                engine.in_flight = max(0, engine.in_flight - 1)
        generation.record_stream_end()
        if generation.finish_reason is not FinishReason.EXPORTED:
            generation.exporting = False

    def _forget(self, generation: Generation) -> None:
        self._generations.pop(generation.generation_id, None)
        if self._by_slot.get(generation.slot.slot) is generation:
            del self._by_slot[generation.slot.slot]

    def _record_speed(self, context: Context, generation: Generation) -> None:
        tokens = generation.token_count - generation.stream_first_token
        self.speed.record(tokens, context.now - generation.stream_started_at)


def _retry_after(headers: dict[str, str]) -> float:
    """Return an engine's `Retry-After` in seconds; 0 if absent or not a finite number."""
    try:
        seconds = float(headers.get("retry-after", "0"))
    except ValueError:
        return 0.0
    return seconds if math.isfinite(seconds) else 0.0
