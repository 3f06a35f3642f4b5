"""Generations: an engine's stream to the caller, whole or visibly truncated.

The engine is always asked for a stream. Events are checked to be this request's next tokens,
so that a stream resumed on another engine shows the caller every token once.
"""

from merlinstand.common.event_stream import EVENT_DELIMITER, MAXIMUM_EVENT_BYTES
from merlinstand.gateway.claims import RecordedAnswer
from merlinstand.gateway.concluder import Concluder
from merlinstand.gateway.exchange import Exchange, HeldAnswer
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.proxying import answers_own_request
from merlinstand.gateway.responses import CompletionAnswer, completion_answer, stream_start
from merlinstand.gateway.retries import Retries
from merlinstand.gateway.settings import RequestSettings
from merlinstand.gateway.sse import DONE_EVENT
from merlinstand.gateway.stream_progress import StreamProgress, Taken
from merlinstand.gateway.try_failure import (
    RETRYABLE_STATUSES,
    TryFailure,
    call_failure,
    is_not_run_refusal,
    refusal_failure,
)
from merlinstand.kernel.effects import CancelCall, Effect, RespondChunk, RespondEnd
from merlinstand.kernel.events import CallChunk, CallEnded, CallFailed, CallHeaders, CallResponded
from merlinstand.routing.router import CallResult

MAXIMUM_ERROR_BODY_BYTES = 65_536
"""Bytes of an engine's error body that are kept, so that one engine cannot fill the gateway's
memory. Chosen, not measured."""

BLAMELESS = frozenset({Taken.ENDED_EARLY, Taken.TOO_LARGE})
"""Ends that say nothing against the engine."""


class Streaming:
    """Handles the events of calls that carry generations."""

    def __init__(self, settings: RequestSettings, retries: Retries, concluder: Concluder) -> None:
        """Join the parts."""
        self._settings = settings
        self._retries = retries
        self._concluder = concluder

    # Call events ----------------------------------------------------------------------

    def headers_arrived(
        self, exchange: Exchange, event: CallHeaders, now: float, out: list[Effect]
    ) -> None:
        """An engine began to answer."""
        if not answers_own_request(exchange, event.headers, self._settings.require_response_id):
            self._interrupt(exchange, Taken.FOREIGN, now, out)
            return
        exchange.held_answer = None
        if event.status != 200:
            exchange.held_answer = HeldAnswer(event.status, event.headers)
            return
        progress = exchange.progress
        if progress is None or not progress.relayed or progress.started:
            return
        progress.started = True
        if not exchange.client_gone and exchange.backend is not None:
            out.append(
                stream_start(
                    exchange.endpoint_id, exchange.request.request_id, exchange.backend.backend_id
                )
            )

    def chunk_arrived(
        self, exchange: Exchange, event: CallChunk, now: float, out: list[Effect]
    ) -> None:
        """Bytes of an engine's answer arrived."""
        held = exchange.held_answer
        if held is not None:
            if len(held.body) < MAXIMUM_ERROR_BODY_BYTES:
                held.body += event.data
            return
        progress = exchange.progress
        if progress is None:
            return
        events = progress.cutter.feed(event.data)
        forwarded: list[bytes] = []
        position = progress.position
        taken = Taken.GOES_ON
        for raw in events:
            taken = progress.take(raw, forwarded)
            if taken is not Taken.GOES_ON:
                break
        if forwarded and not exchange.client_gone:
            forwarded.append(b"")
            out.append(RespondChunk(exchange.endpoint_id, EVENT_DELIMITER.join(forwarded)))
        if progress.position != position and exchange.tries > 1:
            self._note_progress(exchange)
        if taken is Taken.WHOLE:
            self._finish(exchange, progress, now, out)
        elif taken is not Taken.GOES_ON:
            self._interrupt(exchange, taken, now, out)
        elif progress.cutter.pending_bytes > MAXIMUM_EVENT_BYTES:
            self._interrupt(exchange, Taken.MALFORMED, now, out)

    def ended(self, exchange: Exchange, event: CallEnded, now: float, out: list[Effect]) -> None:
        """An engine's answer came to its declared end."""
        held = exchange.held_answer
        if held is None:
            # A whole stream is concluded at its end mark: this one lacks it.
            failure = TryFailure(reason="truncated", ran=True, result=CallResult.FAILURE)
            self._retries.try_failed(exchange, failure, now, out)
            return
        exchange.held_answer = None
        if is_not_run_refusal(held.status, held.headers):
            failure = refusal_failure(held.headers, held.body)
        else:
            failure = self._error_answer(exchange, held, event)
            if failure.answer is not None and held.status not in RETRYABLE_STATUSES:
                self._retries.no_answer_left(exchange, failure, now, out)
                return
        self._retries.try_failed(exchange, failure, now, out)

    def failed(self, exchange: Exchange, event: CallFailed, now: float, out: list[Effect]) -> None:
        """An engine's answer broke off."""
        held = exchange.held_answer
        exchange.held_answer = None
        if held is not None and is_not_run_refusal(held.status, held.headers):
            # The proof is in the head; the rest of the body does not matter.
            failure = refusal_failure(held.headers, held.body)
        else:
            failure = call_failure(event, exchange, now)
        self._retries.try_failed(exchange, failure, now, out)

    # The end of a stream --------------------------------------------------------------

    def _note_progress(self, exchange: Exchange) -> None:
        """Tokens arrived: earlier tries no longer count against this one."""
        exchange.search_until = 0.0
        exchange.tries = 1
        exchange.tried.clear()
        if exchange.backend is not None:
            exchange.tried.add(exchange.backend.backend_id)

    def _finish(
        self, exchange: Exchange, progress: StreamProgress, now: float, out: list[Effect]
    ) -> None:
        """The engine's end mark came after its last event: the generation is whole."""
        backend_id = "" if exchange.backend is None else exchange.backend.backend_id
        self._concluder.release(exchange, CallResult.SUCCESS, now)
        if not progress.relayed:
            self._answer_whole(exchange, progress, backend_id, now, out)
            return
        if not exchange.client_gone and progress.last_event is not None:
            data = progress.last_event + EVENT_DELIMITER + DONE_EVENT
            out.append(RespondChunk(exchange.endpoint_id, data))
            out.append(RespondEnd(exchange.endpoint_id))
        self._concluder.conclude(exchange, Outcome.ANSWER, None, now, out)

    def _answer_whole(
        self,
        exchange: Exchange,
        progress: StreamProgress,
        backend_id: str,
        now: float,
        out: list[Effect],
    ) -> None:
        completion = CompletionAnswer(
            exchange.request.request_id,
            "".join(progress.texts),
            progress.position,
            tuple(progress.spans),
            progress.finish_reason,
        )
        response = completion_answer(exchange.endpoint_id, backend_id, completion)
        if not exchange.client_gone:
            out.append(response)
        recorded = RecordedAnswer(response.status, response.body, response.headers["content-type"])
        self._concluder.conclude(exchange, Outcome.ANSWER, recorded, now, out)

    # Ends that are not whole ----------------------------------------------------------

    def _interrupt(self, exchange: Exchange, taken: Taken, now: float, out: list[Effect]) -> None:
        """Give up a call whose stream cannot be gone on with."""
        if exchange.call_id is not None:
            out.append(CancelCall(exchange.call_id))
        result = CallResult.ABANDONED if taken in BLAMELESS else CallResult.FAILURE
        failure = TryFailure(reason=taken.value, ran=True, result=result)
        if taken is Taken.TOO_LARGE:
            # Another engine would write as much.
            self._retries.no_answer_left(exchange, failure, now, out)
            return
        self._retries.try_failed(exchange, failure, now, out)

    def _error_answer(self, exchange: Exchange, held: HeldAnswer, event: CallEnded) -> TryFailure:
        """Judge an engine's whole answer that is not a stream."""
        backend_id = "" if exchange.backend is None else exchange.backend.backend_id
        whole = len(held.body) < MAXIMUM_ERROR_BODY_BYTES
        return TryFailure(
            reason=f"status_{held.status}",
            ran=True,
            result=CallResult.FAILURE if held.status >= 500 else CallResult.SUCCESS,
            backend_id=backend_id,
            answer=CallResponded(event.call_id, held.status, held.headers, held.body)
            if whole
            else None,
        )
