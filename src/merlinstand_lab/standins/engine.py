"""The engine stand-in: an HTTP endpoint before the engine model."""

import random
from collections.abc import Sequence

from result import Err

from merlinstand.common.errors import (
    ConflictError,
    InvalidInputError,
    NotFoundError,
    UnavailableError,
)
from merlinstand.kernel.effects import CancelTimer, Effect, LogEvent, SetTimer, StopProcess
from merlinstand.kernel.events import (
    CallFailed,
    CallResponded,
    Event,
    RequestAborted,
    RequestReceived,
    Started,
    StopRequested,
    TimerFired,
)
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.engine_memory import EngineMemory
from merlinstand_lab.standins.engine_messages import (
    Cancelled,
    FencedBody,
    OrderBody,
    RequestName,
)
from merlinstand_lab.standins.engine_requests import read_completion
from merlinstand_lab.standins.settings import EngineSettings

_MODEL_TIMER = "engine.model"
_STATUS_TIMER = "engine.status"
_RESTART_TIMER = "engine.restart"
_RETRY_AFTER_SECONDS = 0.5
"""Seconds that a refusal advises to wait; chosen, not measured."""


class EngineServer:
    """Reducer of one engine: its endpoint, its timers, and the faults brought about in it."""

    def __init__(self, settings: EngineSettings) -> None:
        """Keep the settings; `start` begins."""
        self._settings = settings
        self._profile = settings.profile

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin without a version."""
        self._random = random.Random(event.seed)
        self._incarnation = event.incarnation
        self._swap_failures = 0
        self._leaving = False
        self._stopping = False
        self._reset(now)
        return self._after(now, [SetTimer(_STATUS_TIMER, self._profile.status_interval_seconds)])

    def _reset(self, now: float) -> None:
        """Begin with an empty memory."""
        self._memory = EngineMemory(self._settings, self._random, self._incarnation, now)
        self._down = False
        self._pending_timer: float | None = None
        self._take_snapshot(now)

    def _take_snapshot(self, now: float) -> None:
        """Remember the state of this moment for later readers."""
        self._memory.reporter.take_snapshot(self._incarnation, self._leaving, now)

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event."""
        effects = self._end_swap(now) + self._memory.advance(now)
        match event:
            case RequestReceived():
                effects += self._request(event, now)
            case RequestAborted():
                effects += self._aborted(event, now)
            case TimerFired():
                effects += self._timer(event, now)
            case CallResponded() | CallFailed() if not self._down:
                effects += self._memory.call_ended(event, now)
            case StopRequested():
                self._stopping = True
                effects += self._set_leaving(True, now)
            case _:
                pass
        return self._after(now, effects)

    # --- time -----------------------------------------------------------------------

    def _end_swap(self, now: float) -> list[Effect]:
        """End a swap that is due: the version is served, or the swap fails if told to."""
        was_failed = self._memory.swap.failed
        effects, end = self._memory.pass_swap(self._swap_failures > 0, now)
        if end is not None and end.failed:
            self._swap_failures -= 1
        if end is not None and end.failed != was_failed:
            effects.append(self._state_record(now))
        return effects

    def _after(self, now: float, effects: list[Effect]) -> list[Effect]:
        """Set the timer for the next event of the memory; stop when drained."""
        wake_at = None if self._down else self._memory.next_event_at()
        if wake_at != self._pending_timer:
            self._pending_timer = wake_at
            if wake_at is None:
                effects.append(CancelTimer(_MODEL_TIMER))
            else:
                effects.append(SetTimer(_MODEL_TIMER, max(0.0, wake_at - now)))
        if self._stopping and self._memory.streams.is_empty():
            effects += self._memory.record_abandoned()
            effects.append(StopProcess())
        return effects

    def _timer(self, event: TimerFired, now: float) -> list[Effect]:
        """A timer came due."""
        match event.name:
            case name if name == _MODEL_TIMER:
                self._pending_timer = None
                return []
            case name if name == _STATUS_TIMER:
                self._take_snapshot(now)
                return [SetTimer(_STATUS_TIMER, self._profile.status_interval_seconds)]
            case name if name == _RESTART_TIMER:
                self._incarnation += 1
                self._reset(now)
                return [LogEvent("engine.restarted", {"incarnation": self._incarnation})]
            case _:
                return [] if self._down else self._memory.order_timer(event)

    # --- requests -------------------------------------------------------------------

    def _request(self, event: RequestReceived, now: float) -> list[Effect]:
        """Route one HTTP request."""
        common = endpoint.respond_common(event, self._memory.serves and not self._down)
        if common is not None:
            return [common]
        method, path = endpoint.route(event)
        if path.startswith("/lab/"):
            return self._laboratory(event, path, now)
        if self._down:
            return [self._refuse(event, "the engine is restarting")]
        match (method, path):
            case ("POST", "/v1/completions"):
                return self._complete(event, now)
            case ("POST", "/v1/cancel"):
                return self._cancel(event, now)
            case ("POST", "/v1/kv/export"):
                return self._export(event, now)
            case ("POST", "/v1/orders"):
                return self._order(event, now)
            case ("GET", "/v1/status"):
                return [endpoint.respond_json(event.request_id, self._memory.reporter.visible(now))]
            case ("GET", "/v1/cache_events"):
                lines = self._memory.cache_log.after(endpoint.query_integer(event, "after"), now)
                return [endpoint.respond_json(event.request_id, lines)]
            case ("GET", _) if path.startswith("/v1/kv/"):
                return [self._memory.exchange.answer(event, path.rsplit("/", 1)[1])]
            case _:
                return [endpoint.respond_not_found(event)]

    def _refuse(self, event: RequestReceived, detail: str) -> Effect:
        """Refuse before any work."""
        error = UnavailableError(detail=detail, retry_after_seconds=_RETRY_AFTER_SECONDS)
        headers = {endpoint.NOT_RUN_HEADER: "true"}
        echoed = event.headers.get(endpoint.REQUEST_ID_HEADER)
        if echoed:
            headers[endpoint.REQUEST_ID_HEADER] = echoed
        return endpoint.respond_error(event.request_id, error, headers)

    def _complete(self, event: RequestReceived, now: float) -> list[Effect]:
        """Take a completion request, or refuse it."""
        read = read_completion(event, self._settings.model)
        if isinstance(read, Err):
            return [endpoint.respond_error(event.request_id, read.err_value)]
        body = read.ok_value
        request_id = body.request_id or event.headers.get(endpoint.REQUEST_ID_HEADER, "")
        request_id = request_id or str(event.request_id)
        if not self._memory.serves or self._stopping:
            return [self._refuse(event, "the engine serves no version now")]
        if self._memory.streams.holds(request_id):
            conflict = ConflictError(detail=f"request {request_id} is running")
            headers = {endpoint.NOT_RUN_HEADER: "true"}
            return [endpoint.respond_error(event.request_id, conflict, headers)]
        return self._memory.begin(event.request_id, request_id, body, now)

    def _cancel(self, event: RequestReceived, now: float) -> list[Effect]:
        """End a request on the caller's wish."""
        decoded = endpoint.decode_body(event.body, RequestName)
        if isinstance(decoded, Err):
            return [endpoint.respond_error(event.request_id, decoded.err_value)]
        name = decoded.ok_value.request_id
        held = self._memory.streams.holds(name)
        effects = self._memory.cancel(name, now)
        return [*effects, endpoint.respond_json(event.request_id, Cancelled(held))]

    def _aborted(self, event: RequestAborted, now: float) -> list[Effect]:
        """The client went away: stop working for it."""
        name = self._memory.streams.abandon(event.request_id)
        return self._memory.abandon(name, now) if name else []

    def _export(self, event: RequestReceived, now: float) -> list[Effect]:
        """End a stream and keep its cached state for another engine."""
        decoded = endpoint.decode_body(event.body, RequestName)
        if isinstance(decoded, Err):
            return [endpoint.respond_error(event.request_id, decoded.err_value)]
        name = decoded.ok_value.request_id
        if not self._memory.model.holds(name):
            error = NotFoundError(detail=f"request {name} is not running")
            return [endpoint.respond_error(event.request_id, error)]
        exported, effects = self._memory.export(name, now)
        return [*effects, endpoint.respond_json(event.request_id, exported)]

    def _order(self, event: RequestReceived, now: float) -> list[Effect]:
        """Take a fenced order."""
        decoded = endpoint.decode_body(event.body, OrderBody)
        if isinstance(decoded, Err):
            return [endpoint.respond_error(event.request_id, decoded.err_value)]
        order = decoded.ok_value
        orders = self._memory.orders
        if orders.is_overtaken(order.fence):
            assert orders.last is not None
            return [endpoint.respond_json(event.request_id, FencedBody(orders.last.fence), 409)]
        effects = [] if orders.is_resent(order.fence) else self._memory.order(order, now)
        return [*effects, endpoint.respond_json(event.request_id, orders.last)]

    # --- laboratory -----------------------------------------------------------------

    def _laboratory(self, event: RequestReceived, path: str, now: float) -> list[Effect]:
        """Bring about a fault, or leave."""
        if path == "/lab/leave":
            leave = endpoint.decode_body(event.body, endpoint.LabLeave)
            if isinstance(leave, Err):
                return [endpoint.respond_error(event.request_id, leave.err_value)]
            effects = self._set_leaving(leave.ok_value.leaving, now)
            return [*effects, endpoint.respond_json(event.request_id, endpoint.Acknowledged())]
        fault = endpoint.decode_body(event.body, endpoint.LabFault)
        if isinstance(fault, Err):
            return [endpoint.respond_error(event.request_id, fault.err_value)]
        answer = endpoint.respond_json(event.request_id, endpoint.Acknowledged())
        match fault.ok_value.kind:
            case "crash":
                return [answer, *self._crash(now)]
            case "swap_failure":
                self._swap_failures += 1
            case "heal":
                self._swap_failures = 0
            case kind:
                error = InvalidInputError(detail=f"unknown fault {kind}")
                return [endpoint.respond_error(event.request_id, error)]
        return [answer]

    def _crash(self, now: float) -> list[Effect]:
        """Break every stream and come back later, empty."""
        effects = self._memory.crash(now)
        self._down = True
        return [*effects, SetTimer(_RESTART_TIMER, self._profile.restart_seconds)]

    def _set_leaving(self, leaving: bool, now: float) -> list[Effect]:
        """Change the leaving state, and record it."""
        if leaving == self._leaving:
            return []
        self._leaving = leaving
        return [self._state_record(now)]

    def _state_record(self, now: float) -> Effect:
        """Record the state that the engine reports."""
        return self._memory.reporter.state_record(self._incarnation, self._leaving, now)
