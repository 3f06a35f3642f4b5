"""Generations: an engine's stream to the caller, whole or visibly truncated.

The engine is always asked for a stream. Events are checked to be this request's next tokens,
so that a stream resumed on another engine shows the caller every token once.
"""

import msgspec
from result import Err

from merlinstand.gateway.claims import RecordedAnswer
from merlinstand.gateway.concluder import Concluder
from merlinstand.gateway.exchange import Exchange
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.proxying import answers_own_request
from merlinstand.gateway.responses import CompletionAnswer, completion_answer, stream_start
from merlinstand.gateway.retries import Retries
from merlinstand.gateway.settings import RequestSettings
from merlinstand.gateway.sse import (
    DATA_PREFIX,
    DONE_EVENT,
    DONE_PAYLOAD,
    EVENT_END,
    MAXIMUM_EVENT_BYTES,
    StreamEvent,
    decode_stream_event,
)
from merlinstand.gateway.stream_progress import WHOLE_REASONS, EventFit, StreamProgress
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
ANSWER_TOO_LARGE = "answer_too_large"
BLAMELESS_REASONS = frozenset({"cancelled", "exported", "swapped", ANSWER_TOO_LARGE})
"""Reasons that say nothing against the engine: it ended early on somebody's order, or wrote
more than this gateway gathers."""


class HeldAnswer:
    """An engine's answer that is not a stream, while its body arrives."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        """Start without body."""
        self.status = status
        self.headers = headers
        self.body = b""


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
            self._interrupt(exchange, "foreign_answer", now, out)
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
                    exchange.door_id, exchange.request.request_id, exchange.backend.backend_id
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
        if progress.cutter.pending_bytes > MAXIMUM_EVENT_BYTES:
            self._interrupt(exchange, "event_too_large", now, out)
            return
        forwarded: list[bytes] = []
        for raw in events:
            if not raw.startswith(DATA_PREFIX):
                # Comments and other fields of the protocol carry nothing for us.
                continue
            payload = raw[len(DATA_PREFIX) :]
            if payload == DONE_PAYLOAD:
                self._forward(exchange, forwarded, out)
                self._finish(exchange, progress, now, out)
                return
            if not self._take_event(exchange, progress, raw, payload, forwarded, now, out):
                return
        self._forward(exchange, forwarded, out)

    def ended(self, exchange: Exchange, event: CallEnded, now: float, out: list[Effect]) -> None:
        """An engine's answer came to its declared end."""
        held = exchange.held_answer
        if held is None:
            # A whole stream is concluded at its last event: this one lacks it.
            self._fail(exchange, "truncated", now, out)
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

    # Events of a stream ---------------------------------------------------------------

    def _take_event(
        self,
        exchange: Exchange,
        progress: StreamProgress,
        raw: bytes,
        payload: bytes,
        forwarded: list[bytes],
        now: float,
        out: list[Effect],
    ) -> bool:
        """Take in one event; return False if the call is over with it."""
        decoded = decode_stream_event(payload)
        if isinstance(decoded, Err):
            reason = "malformed_event"
        else:
            event = decoded.ok_value
            reason = self._check(exchange, progress, event)
            if not reason and event.finish_reason is None:
                if event.token_count and event.index == progress.position:
                    progress.add(event)
                    self._note_progress(exchange)
                    if progress.relayed:
                        forwarded.append(raw)
                    reason = self._too_large(progress)
                if not reason:
                    return True
            elif not reason:
                reason = self._take_last_event(progress, event, raw)
                if not reason:
                    return True
        self._forward(exchange, forwarded, out)
        self._interrupt(exchange, reason, now, out)
        return False

    def _check(self, exchange: Exchange, progress: StreamProgress, event: StreamEvent) -> str:
        """Return why an event cannot be taken; empty if it can."""
        if event.request_id != exchange.request.request_id:
            return "foreign_event"
        if event.token_count and progress.fit(event) is EventFit.MISFIT:
            return "misfit_event"
        return ""

    def _too_large(self, progress: StreamProgress) -> str:
        if progress.text_bytes > self._settings.maximum_answer_bytes:
            return ANSWER_TOO_LARGE
        return ""

    def _note_progress(self, exchange: Exchange) -> None:
        """Tokens arrived: earlier tries no longer count against this one."""
        exchange.search_until = 0.0
        if exchange.tries > 1:
            exchange.tries = 1
            exchange.tried.clear()
            if exchange.backend is not None:
                exchange.tried.add(exchange.backend.backend_id)

    def _take_last_event(self, progress: StreamProgress, event: StreamEvent, raw: bytes) -> str:
        """Take in the event with the finish reason; return why it is no whole end, if so."""
        reason = event.finish_reason or ""
        if reason not in WHOLE_REASONS:
            return reason
        own_tokens = 0
        if event.token_count and event.index == progress.position:
            progress.add(event)
            own_tokens = event.token_count
        progress.finish_reason = reason
        progress.last_event = raw
        spans = tuple(progress.spans)
        if event.spans != spans:
            # What the chunks were stamped with is the truth about the versions.
            truthful = msgspec.structs.replace(
                event,
                index=progress.position - own_tokens,
                token_count=own_tokens,
                text=event.text if own_tokens else "",
                spans=spans,
            )
            progress.last_event = DATA_PREFIX + msgspec.json.encode(truthful)
        return ""

    def _finish(
        self, exchange: Exchange, progress: StreamProgress, now: float, out: list[Effect]
    ) -> None:
        """The engine's end mark came: the generation is whole if its last event was."""
        if progress.last_event is None:
            self._interrupt(exchange, "done_without_reason", now, out)
            return
        backend_id = "" if exchange.backend is None else exchange.backend.backend_id
        self._concluder.release(exchange, CallResult.SUCCESS, now)
        if not progress.relayed:
            self._answer_whole(exchange, progress, backend_id, now, out)
            return
        if not exchange.client_gone:
            data = progress.last_event + EVENT_END + DONE_EVENT
            out.append(RespondChunk(exchange.door_id, data))
            out.append(RespondEnd(exchange.door_id))
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
        response = completion_answer(exchange.door_id, backend_id, completion)
        if not exchange.client_gone:
            out.append(response)
        recorded = RecordedAnswer(response.status, response.body, response.headers["content-type"])
        self._concluder.conclude(exchange, Outcome.ANSWER, recorded, now, out)

    def _forward(self, exchange: Exchange, forwarded: list[bytes], out: list[Effect]) -> None:
        if not forwarded or exchange.client_gone:
            return
        forwarded.append(b"")
        out.append(RespondChunk(exchange.door_id, EVENT_END.join(forwarded)))

    # Ends that are not whole ----------------------------------------------------------

    def _interrupt(self, exchange: Exchange, reason: str, now: float, out: list[Effect]) -> None:
        """Give up a call whose stream cannot be gone on with."""
        if exchange.call_id is not None:
            out.append(CancelCall(exchange.call_id))
        self._fail(exchange, reason, now, out)

    def _fail(self, exchange: Exchange, reason: str, now: float, out: list[Effect]) -> None:
        exchange.held_answer = None
        result = CallResult.ABANDONED if reason in BLAMELESS_REASONS else CallResult.FAILURE
        failure = TryFailure(reason=reason, ran=True, result=result)
        if reason == ANSWER_TOO_LARGE:
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
