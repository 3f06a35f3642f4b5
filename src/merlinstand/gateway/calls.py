"""Requests that a gateway sends to back ends; pure functions from an exchange to a `StartCall`.

How long each may take is decided in `try_times`.
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
"""Longest wait for the answer to a cancel, which nobody reads. Chosen, not measured."""


class CancelBody(msgspec.Struct, frozen=True):
    """Body of an engine's cancel request."""

    request_id: str


def lookup_call(
    exchange: Exchange, backend: Backend, call_id: CallId, timeout_seconds: float, now: float
) -> StartCall:
    """Build the call that carries a lookup or booking."""
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
    """Build the call that begins a generation or goes on with an interrupted one.

    Always streamed: progress is then known, so that a dead engine costs no token that arrived.
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
    """Build the call that tells an engine to stop a generation nobody waits for."""
    return StartCall(
        call_id,
        backend.address,
        "POST",
        CANCEL_PATH,
        {"content-type": "application/json"},
        msgspec.json.encode(CancelBody(request_id)),
        CANCEL_TIMEOUT_SECONDS,
    )
