"""Requests that a gateway sends to back ends."""

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.configuration.objects import Backend
from merlinstand.gateway.caller_request import (
    CompletionBody,
    EngineBody,
    RequestKind,
    ResumePoint,
)
from merlinstand.gateway.exchange import Exchange
from merlinstand.gateway.outcome import DEADLINE_HEADER
from merlinstand.gateway.settings import RequestSettings
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


def lookup_try_seconds(
    exchange: Exchange, settings: RequestSettings, linger_seconds: float, now: float
) -> float:
    """Return how long one try of a lookup may take.

    A repeatable lookup keeps part of its time for another replica. One that is not repeatable
    has a single try, which may outlast the caller's deadline by `linger_seconds`.
    """
    if not exchange.request.repeatable:
        return exchange.remaining_seconds(now) + linger_seconds
    return _shared_try_seconds(exchange, settings, now)


def hedge_delay_seconds(exchange: Exchange, settings: RequestSettings, now: float) -> float | None:
    """Return after what time another replica is asked too; None if that is never done."""
    pool_state = exchange.pool_state
    if (
        settings.hedge_factor <= 0.0
        or exchange.request.kind is not RequestKind.LOOKUP
        or not exchange.request.repeatable
        or len(pool_state.router.replicas) < 2
    ):
        return None
    delay_seconds = max(
        settings.shortest_hedge_seconds, settings.hedge_factor * pool_state.latency.seconds
    )
    return delay_seconds if delay_seconds < exchange.remaining_seconds(now) else None


def stream_idle_seconds(exchange: Exchange, settings: RequestSettings, now: float) -> float:
    """Return the longest silence of an engine before its generation goes on elsewhere.

    Short deadlines shorten it: a frozen engine must not use up all of the caller's time.
    """
    return min(settings.stream_idle_seconds, _shared_try_seconds(exchange, settings, now))


def read_interval_seconds(streams: int, settings: RequestSettings) -> float:
    """Return the time between reads of one stream, so that all streams' reads are bounded.

    Nearly all of a token's cost is its read and its write. With few streams every token goes
    out as it comes; with many, a stream's tokens gather for a moment and go out together.
    """
    interval_seconds = streams / settings.maximum_stream_reads_per_second
    if interval_seconds < settings.shortest_read_interval_seconds:
        return 0.0
    return min(interval_seconds, settings.longest_read_interval_seconds)


def _shared_try_seconds(exchange: Exchange, settings: RequestSettings, now: float) -> float:
    remaining_seconds = exchange.remaining_seconds(now)
    if exchange.tries + 1 >= settings.maximum_tries:
        return remaining_seconds
    share_seconds = remaining_seconds * settings.first_try_share
    return min(remaining_seconds, max(settings.minimum_try_seconds, share_seconds))
