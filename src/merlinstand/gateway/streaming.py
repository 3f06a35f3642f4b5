"""Generations: relays an engine's stream to the caller, complete or visibly truncated.

Engines are always asked for a stream. Events are checked to be the request's next tokens, so that a
caller gets each token once even if the stream is resumed on another engine.
"""

from merlinstand.common.event_stream import EVENT_DELIMITER, MAXIMUM_EVENT_BYTES
from merlinstand.gateway.claims import RecordedResponse
from merlinstand.gateway.exchange import ErrorResponse, Exchange
from merlinstand.gateway.finalizer import Finalizer
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.proxying import is_response_to
from merlinstand.gateway.responses import CompletionResponse, completion_response, stream_start
from merlinstand.gateway.retries import Retries
from merlinstand.gateway.settings import RequestSettings
from merlinstand.gateway.sse import DONE_EVENT
from merlinstand.gateway.stream_progress import EventResult, StreamProgress
from merlinstand.gateway.try_failure import (
    RETRYABLE_STATUSES,
    AttemptFailure,
    call_failure,
    is_not_run_refusal,
    refusal_failure,
)
from merlinstand.kernel.effects import CancelCall, Effect, RespondChunk, RespondEnd
from merlinstand.kernel.events import CallChunk, CallEnded, CallFailed, CallHeaders, CallResponded
from merlinstand.routing.router import CallResult

MAXIMUM_ERROR_BODY_BYTES = 65_536
"""Size at which buffering of an engine's error body stops, to bound memory."""

INCONCLUSIVE_RESULTS = frozenset({EventResult.INTERRUPTED, EventResult.TOO_LARGE})
"""Results that are not the engine's fault."""


class Streaming:
    """Handles the events of calls of generations."""

    def __init__(self, settings: RequestSettings, retries: Retries, finalizer: Finalizer) -> None:
        """Create an instance from the parts of the gateway that generations depend on."""
        self._settings = settings
        self._retries = retries
        self._finalizer = finalizer

    # Call events ----------------------------------------------------------------------

    def on_headers(
        self, exchange: Exchange, event: CallHeaders, now: float, out: list[Effect]
    ) -> None:
        """Handle the status and headers of a response."""
        if not is_response_to(exchange, event.headers, self._settings.require_response_id):
            self._abort_call(exchange, EventResult.WRONG_REQUEST, now, out)
            return
        exchange.error_response = None
        if event.status != 200:
            exchange.error_response = ErrorResponse(event.status, event.headers)
            return
        progress = exchange.progress
        if progress is None or not progress.relayed or progress.response_started:
            return
        progress.response_started = True
        if not exchange.client_disconnected and exchange.backend is not None:
            out.append(
                stream_start(
                    exchange.endpoint_id, exchange.request.request_id, exchange.backend.backend_id
                )
            )

    def on_chunk(self, exchange: Exchange, event: CallChunk, now: float, out: list[Effect]) -> None:
        """Handle a part of a response body."""
        error_response = exchange.error_response
        if error_response is not None:
            if len(error_response.body) < MAXIMUM_ERROR_BODY_BYTES:
                error_response.body += event.data
            return
        progress = exchange.progress
        if progress is None:
            return
        events = progress.splitter.feed(event.data)
        relayed_events: list[bytes] = []
        position = progress.position
        event_result = EventResult.CONTINUE
        for raw in events:
            event_result = progress.add_event(raw, relayed_events)
            if event_result is not EventResult.CONTINUE:
                break
        if relayed_events and not exchange.client_disconnected:
            relayed_events.append(b"")
            out.append(RespondChunk(exchange.endpoint_id, EVENT_DELIMITER.join(relayed_events)))
        if progress.position != position and exchange.attempts > 1:
            self._reset_attempts(exchange)
        if event_result is EventResult.COMPLETE:
            self._finish(exchange, progress, now, out)
        elif event_result is not EventResult.CONTINUE:
            self._abort_call(exchange, event_result, now, out)
        elif progress.splitter.pending_bytes > MAXIMUM_EVENT_BYTES:
            self._abort_call(exchange, EventResult.MALFORMED, now, out)

    def on_end(self, exchange: Exchange, event: CallEnded, now: float, out: list[Effect]) -> None:
        """Handle the regular end of a response."""
        error_response = exchange.error_response
        if error_response is None:
            # A complete stream ends the exchange at `[DONE]`, so this stream was truncated.
            failure = AttemptFailure(
                reason="truncated", may_have_run=True, result=CallResult.FAILURE
            )
            self._retries.on_attempt_failed(exchange, failure, now, out)
            return
        exchange.error_response = None
        if is_not_run_refusal(error_response.status, error_response.headers):
            failure = refusal_failure(error_response.headers, error_response.body)
        else:
            failure = self._error_response_failure(exchange, error_response, event)
            if failure.response is not None and error_response.status not in RETRYABLE_STATUSES:
                self._retries.fail_without_retry(exchange, failure, now, out)
                return
        self._retries.on_attempt_failed(exchange, failure, now, out)

    def on_failure(
        self, exchange: Exchange, event: CallFailed, now: float, out: list[Effect]
    ) -> None:
        """Handle a call that failed before the end of its response."""
        error_response = exchange.error_response
        exchange.error_response = None
        if error_response is not None and is_not_run_refusal(
            error_response.status, error_response.headers
        ):
            # The headers prove that the request was not run; the body is not needed.
            failure = refusal_failure(error_response.headers, error_response.body)
        else:
            failure = call_failure(event, exchange, now)
        self._retries.on_attempt_failed(exchange, failure, now, out)

    # The end of a stream --------------------------------------------------------------

    def _reset_attempts(self, exchange: Exchange) -> None:
        """Reset the count of attempts and the tried engines after tokens arrived."""
        exchange.resume_deadline_at = 0.0
        exchange.attempts = 1
        exchange.tried_backends.clear()
        if exchange.backend is not None:
            exchange.tried_backends.add(exchange.backend.backend_id)

    def _finish(
        self, exchange: Exchange, progress: StreamProgress, now: float, out: list[Effect]
    ) -> None:
        """End an exchange whose generation is complete."""
        backend_id = "" if exchange.backend is None else exchange.backend.backend_id
        self._finalizer.release(exchange, CallResult.SUCCESS, now)
        if not progress.relayed:
            self._respond_complete(exchange, progress, backend_id, now, out)
            return
        if not exchange.client_disconnected and progress.last_event is not None:
            data = progress.last_event + EVENT_DELIMITER + DONE_EVENT
            out.append(RespondChunk(exchange.endpoint_id, data))
            out.append(RespondEnd(exchange.endpoint_id))
        self._finalizer.finalize(exchange, Outcome.ANSWER, None, now, out)

    def _respond_complete(
        self,
        exchange: Exchange,
        progress: StreamProgress,
        backend_id: str,
        now: float,
        out: list[Effect],
    ) -> None:
        completion = CompletionResponse(
            exchange.request.request_id,
            "".join(progress.texts),
            progress.position,
            tuple(progress.spans),
            progress.finish_reason,
        )
        response = completion_response(exchange.endpoint_id, backend_id, completion)
        if not exchange.client_disconnected:
            out.append(response)
        recorded = RecordedResponse(
            response.status, response.body, response.headers["content-type"]
        )
        self._finalizer.finalize(exchange, Outcome.ANSWER, recorded, now, out)

    # Incomplete responses -------------------------------------------------------------

    def _abort_call(
        self, exchange: Exchange, event_result: EventResult, now: float, out: list[Effect]
    ) -> None:
        """Cancel a call whose stream is invalid, too large or interrupted; retry if possible."""
        if exchange.call_id is not None:
            out.append(CancelCall(exchange.call_id))
        result = (
            CallResult.INCONCLUSIVE if event_result in INCONCLUSIVE_RESULTS else CallResult.FAILURE
        )
        failure = AttemptFailure(reason=event_result.value, may_have_run=True, result=result)
        if event_result is EventResult.TOO_LARGE:
            # Another engine would produce as much text.
            self._retries.fail_without_retry(exchange, failure, now, out)
            return
        self._retries.on_attempt_failed(exchange, failure, now, out)

    def _error_response_failure(
        self, exchange: Exchange, error_response: ErrorResponse, event: CallEnded
    ) -> AttemptFailure:
        """Return the failure for an error response; a truncated body is not forwarded."""
        backend_id = "" if exchange.backend is None else exchange.backend.backend_id
        is_complete = len(error_response.body) < MAXIMUM_ERROR_BODY_BYTES
        return AttemptFailure(
            reason=f"status_{error_response.status}",
            may_have_run=True,
            result=CallResult.FAILURE if error_response.status >= 500 else CallResult.SUCCESS,
            backend_id=backend_id,
            response=CallResponded(
                event.call_id, error_response.status, error_response.headers, error_response.body
            )
            if is_complete
            else None,
        )
