"""Handles the streams that engines send for items: headers, events, end of stream and failures.

Used by the leading keeper's `runner`. This module adds events to the texts of runs and updates the
states of engines, the history of lengths, the crash detector and the budget of requests to cold
engines. `decisions.item_retry` decides what follows a refusal or a broken stream.
"""

from http import HTTPStatus

from result import Err

from merlinstand.batch_jobs.item_calls import ItemCalls
from merlinstand.batch_jobs.item_context import ItemContext
from merlinstand.batch_jobs.item_listing import ItemListing
from merlinstand.batch_jobs.item_request import ItemRequests
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.item_scoring import ItemScoring
from merlinstand.batch_jobs.lengths import LengthHistory
from merlinstand.common.whole_number import parse_whole_number
from merlinstand.decisions.item_retry import (
    AFTER_MALFORMED_STREAM,
    AFTER_NO_EVENT,
    AFTER_TOO_MANY_EVENTS,
    REFUSAL_PAUSE_SECONDS,
    Requeue,
    Terminate,
    after_broken_call,
    after_events,
    after_not_run,
    after_refusal,
    after_stream_end,
    after_stream_start,
    counts_as_failure,
)
from merlinstand.decisions.retry import is_not_run
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.kernel.events import CallChunk, CallEnded, CallFailed, CallHeaders, CallPhase
from merlinstand.quarantine.crash_watch import BROKEN_CONNECTION_REASONS

StreamEvent = CallHeaders | CallChunk | CallEnded | CallFailed


class ItemStreams:
    """Streams of one leadership term."""

    def __init__(
        self,
        context: ItemContext,
        requests: ItemRequests,
        calls: ItemCalls,
        lengths: LengthHistory,
        scoring: ItemScoring,
        listing: ItemListing,
    ) -> None:
        """Store the dependencies.

        Args:
            context: Dependencies.
            requests: Finds the routes of items.
            calls: Calls in progress.
            lengths: Records the length of each complete text.
            scoring: Scores items whose text is complete.
            listing: Lists items that are terminated.
        """
        self._jobs = context.jobs
        self._header_names = context.header_names
        self._event_timeout_seconds = context.event_timeout_seconds
        self._crash_detector = context.crash_detector
        self._cold = context.follower.cold_budget
        self._requests = requests
        self._calls = calls
        self._lengths = lengths
        self._scoring = scoring
        self._listing = listing

    def on_call(self, event: StreamEvent, now: float) -> list[Effect]:
        """Handle an event of a call whose id starts with `item_calls.CALL_PREFIX`."""
        run = self._calls.find(event.call_id)
        if run is None:
            return []
        match event:
            case CallHeaders():
                return self._on_headers(run, event, now)
            case CallChunk():
                return self._on_chunk(run, event, now)
            case CallEnded():
                return self._on_end(run, now)
            case CallFailed():
                return self._on_failure(run, event, now)

    def _on_headers(self, run: ItemRun, event: CallHeaders, now: float) -> list[Effect]:
        if event.status != HTTPStatus.OK:
            return self._on_refusal(run, event, now)
        job = self._jobs.jobs[run.job_id].job
        version = parse_whole_number(event.headers.get(self._header_names.weight_versions, "")) or 0
        engine = self._calls.engine_of(run)
        if engine is not None and job.model:
            engine.record_version(job.model, version)
        is_single_version = self._requests.is_single_version(run)
        decision = after_stream_start(
            version, job.minimum_version, run.text.versions, is_single_version
        )
        if decision is not None:
            return self._calls.requeue(run, decision, now)
        run.is_streaming = True
        run.text.begin_run(version)
        return []

    def _on_refusal(self, run: ItemRun, event: CallHeaders, now: float) -> list[Effect]:
        status = event.status
        if is_not_run(status, self._header_names.not_run in event.headers):
            self._crash_detector.record_refusal(event.call_id)
            engine = self._calls.engine_of(run)
            if engine is not None:
                engine.backoff_until = max(engine.backoff_until, now + REFUSAL_PAUSE_SECONDS)
            return self._calls.requeue(run, after_not_run(status), now)
        self._crash_detector.record_response(event.call_id, now)
        run.failures += counts_as_failure(status)
        route = self._requests.route_of(run)
        maximum_attempts = route.maximum_attempts if route is not None else None
        match after_refusal(status, run.failures, maximum_attempts):
            case Terminate(reason):
                effects = self._calls.cancel(run, now)
                return effects + self._listing.finish(
                    run, run.make_terminated_result(), reason, now
                )
            case Requeue() as decision:
                return self._calls.requeue(run, decision, now)

    def _on_chunk(self, run: ItemRun, event: CallChunk, now: float) -> list[Effect]:
        if not run.is_streaming:
            return []
        previous_event_id = run.text.last_event_id
        parsed = run.text.feed(event.data, self._header_names.weight_versions)
        if isinstance(parsed, Err):
            fields = {"item": run.item.item_id, "detail": parsed.err_value.detail}
            log = LogEvent("item.bad_stream", fields, "warning")
            self._record_engine_failure(run, now)
            return [log, *self._calls.requeue(run, AFTER_MALFORMED_STREAM, now)]
        self._record_event_times(run, run.text.last_event_id - previous_event_id, now)
        decision = after_events(
            run.text.versions,
            self._requests.is_single_version(run),
            run.text.last_event_id,
            run.item.maximum_tokens,
            now - run.last_received_at,
            self._event_timeout_seconds,
        )
        if decision is None:
            return []
        if decision in (AFTER_NO_EVENT, AFTER_TOO_MANY_EVENTS):
            self._record_engine_failure(run, now)
        return self._calls.requeue(run, decision, now)

    def _record_event_times(self, run: ItemRun, events: int, now: float) -> None:
        engine = self._calls.engine_of(run)
        if events <= 0:
            return
        if engine is not None and run.last_received_at > run.started_at:
            engine.record_event_time((now - run.last_received_at) / events, now)
        elif engine is not None:
            # The time to the first events includes the prefill of the prompt.
            engine.record_first_event(now - run.started_at)
        run.last_received_at = now

    def _on_end(self, run: ItemRun, now: float) -> list[Effect]:
        decision = after_stream_end(run.text.last_event_id, run.text.has_partial_event)
        if decision is not None:
            self._record_engine_failure(run, now)
            return self._calls.requeue(run, decision, now)
        engine = self._calls.engine_of(run)
        if engine is not None:
            engine.record_success()
        if run.call_id is not None:
            self._crash_detector.record_response(run.call_id, now)
        self._calls.release(run)
        model = self._jobs.jobs[run.job_id].job.model
        self._lengths.record(model, run.text.last_event_id, run.item.expected_tokens)
        run.completed_at = now
        run.phase = RunPhase.SCORING
        return self._scoring.score(run, now)

    def _on_failure(self, run: ItemRun, event: CallFailed, now: float) -> list[Effect]:
        self._record_engine_failure(run, now)
        engine = self._calls.engine_of(run)
        if engine is not None:
            self._cold.record_failure(engine.backend, event, now)
        probes = self._crash_detector.record_failure(event, now)
        decision = after_broken_call(event.phase.value, event.reason)
        requeued = self._calls.requeue(run, decision, now)
        if event.phase is not CallPhase.CONNECT and event.reason in BROKEN_CONNECTION_REASONS:
            run.was_interrupted = True
        return probes + requeued

    def _record_engine_failure(self, run: ItemRun, now: float) -> None:
        engine = self._calls.engine_of(run)
        if engine is not None:
            engine.record_failure(now)
