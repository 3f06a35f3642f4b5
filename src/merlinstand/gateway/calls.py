"""Builds the calls that a gateway sends to backends; pure functions of an exchange.

Timeouts of calls come from `try_times`.
"""

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.configuration.objects import Backend
from merlinstand.gateway.caller_request import (
    CompletionBody,
    EngineBody,
    ResumePoint,
)
from merlinstand.gateway.exchange import Exchange
from merlinstand.gateway.outcome import DEADLINE_HEADER
from merlinstand.kernel.effects import StartCall

CANCEL_PATH = "/v1/cancel"
CANCEL_TIMEOUT_SECONDS = 2.0
"""Timeout of a cancel request, whose response is ignored."""


class CancelBody(msgspec.Struct, frozen=True):
    """Body of an engine's cancel request."""

    request_id: str


def lookup_call(
    exchange: Exchange, backend: Backend, call_id: CallId, timeout_seconds: float, now: float
) -> StartCall:
    """Build the call for a lookup, whose complete response is returned at once (no stream)."""
    request = exchange.request
    headers = dict(request.headers)
    headers[DEADLINE_HEADER] = f"{exchange.remaining_seconds(now):.3f}"
    return StartCall(
        call_id,
        backend.address,
        request.method,
        request.path,
        headers,
        request.body,
        timeout_seconds,
        stream=False,
        fresh_connection=not request.repeatable,
    )


def generation_call(
    exchange: Exchange,
    completion: CompletionBody,
    backend: Backend,
    call_id: CallId,
    timeout_seconds: float,
    read_interval_seconds: float,
    now: float,
) -> StartCall:
    """Build the call that starts a generation or resumes an interrupted one.

    The engine is always asked for a stream, so that if the engine fails, another can resume after
    the tokens that arrived.
    """
    request = exchange.request
    progress = exchange.progress
    headers = dict(request.headers)
    headers["content-type"] = "application/json"
    headers[DEADLINE_HEADER] = f"{exchange.remaining_seconds(now):.3f}"
    resume = None if progress is None else progress.resume_point()
    body = _engine_body(request.request_id, completion, resume)
    return StartCall(
        call_id,
        backend.address,
        request.method,
        request.path,
        headers,
        msgspec.json.encode(body),
        timeout_seconds,
        stream=True,
        is_event_stream=True,
        read_interval_seconds=read_interval_seconds,
        fresh_connection=not request.repeatable,
    )


def _engine_body(
    request_id: str, completion: CompletionBody, resume: ResumePoint | None
) -> EngineBody:
    return EngineBody(
        request_id=request_id,
        model=completion.model,
        prompt=completion.prompt,
        max_tokens=completion.max_tokens,
        priority=completion.priority,
        stream=True,
        seed=completion.seed,
        resume=resume,
    )


def cancel_call(request_id: str, backend: Backend, call_id: CallId) -> StartCall:
    """Build the call that cancels a generation at its engine."""
    return StartCall(
        call_id,
        backend.address,
        "POST",
        CANCEL_PATH,
        {"content-type": "application/json"},
        msgspec.json.encode(CancelBody(request_id)),
        CANCEL_TIMEOUT_SECONDS,
    )
