"""The engine stand-in: an HTTP door before the engine model."""

import random
from collections.abc import Sequence

from result import Err

from merlinstand.common.errors import (
    ConflictError,
    InvalidInputError,
    NotFoundError,
    UnavailableError,
)
from merlinstand.kernel.effects import (
    CancelTimer,
    Effect,
    LogEvent,
    RespondStart,
    SetTimer,
    StopProcess,
    WriteRecord,
)
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
from merlinstand_lab.records.kinds import (
    ActivationRecord,
    GenerationOutcome,
    StartRecord,
)
from merlinstand_lab.standins import door
from merlinstand_lab.standins.engine_background import BackgroundSource
from merlinstand_lab.standins.engine_kv import KvExchange
from merlinstand_lab.standins.engine_messages import (
    Cancelled,
    CompletionBody,
    FencedBody,
    OrderBody,
    RequestName,
)
from merlinstand_lab.standins.engine_model.model import EngineModel
from merlinstand_lab.standins.engine_model.sequence import ModelEvent
from merlinstand_lab.standins.engine_orders import OrderBook
from merlinstand_lab.standins.engine_reports import CacheEventLog, EngineReporter
from merlinstand_lab.standins.engine_requests import generation_request, read_completion
from merlinstand_lab.standins.engine_streams import StreamTable
from merlinstand_lab.standins.engine_swap import SwapController
from merlinstand_lab.standins.settings import EngineSettings

_MODEL_TIMER = "engine.model"
_STATUS_TIMER = "engine.status"
_RESTART_TIMER = "engine.restart"
_RETRY_AFTER_SECONDS = 0.5
_SSE_HEADERS = {"content-type": "text/event-stream", "cache-control": "no-cache"}


class EngineServer:
    """Reducer of one engine."""

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
        """Lose everything that lives in memory."""
        self._model = EngineModel(self._profile, now)
        self._orders = OrderBook()
        self._streams = StreamTable(self._settings)
        self._cache_log = CacheEventLog(self._profile, self._random)
        self._background = BackgroundSource(self._profile, self._random, now)
        name = f"{self._settings.node_id}-{self._incarnation}"
        self._exchange = KvExchange(self._profile, self._random, name)
        self._swap = SwapController(self._model, self._orders, self._profile.activate_seconds)
        self._down = False
        self._pending_timer: float | None = None
        self._reporter = EngineReporter(self._settings, self._model, self._orders, self._swap)
        self._take_snapshot(now)

    def _take_snapshot(self, now: float) -> None:
        """Remember the state of this moment for later readers."""
        self._reporter.take_snapshot(self._incarnation, self._leaving, now)

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event."""
        effects = self._advance(now)
        match event:
            case RequestReceived():
                effects += self._request(event, now)
            case RequestAborted():
                effects += self._aborted(event, now)
            case TimerFired():
                effects += self._timer(event, now)
            case CallResponded() | CallFailed():
                effects += self._call_ended(event, now)
            case StopRequested():
                self._stopping = True
                effects += self._set_leaving(True, now)
            case _:
                pass
        return self._after(now, effects)

    # --- time -----------------------------------------------------------------------

    def _advance(self, now: float) -> list[Effect]:
        """Let the model's time pass."""
        effects: list[Effect] = []
        swap_ends_at = self._model.paused_until
        if swap_ends_at is not None and swap_ends_at <= now:
            # Whether the swap failed must be known before a token is made under it.
            effects += self._perform(self._model.advance(swap_ends_at), now)
            effects += self._finish_swap(now)
        effects += self._perform(self._model.advance(now), now)
        for request in self._background.due(now):
            if self._model.version and not self._down:
                effects += self._perform(self._model.submit(request, now), now)
        return effects

    def _perform(self, events: list[ModelEvent], now: float) -> list[Effect]:
        """Turn what the model did into responses and records."""
        effects = self._streams.perform(events, self._incarnation, now)
        self._cache_log.add(self._model.cache.take_events(), now)
        return effects

    def _after(self, now: float, effects: list[Effect]) -> list[Effect]:
        """Set the timer for the model's next event; stop when drained."""
        candidates = [self._model.next_event_at(), self._background.next_at]
        times = [time for time in candidates if time is not None]
        wake_at = min(times) if times and not self._down else None
        if wake_at != self._pending_timer:
            self._pending_timer = wake_at
            if wake_at is None:
                effects.append(CancelTimer(_MODEL_TIMER))
            else:
                effects.append(SetTimer(_MODEL_TIMER, max(0.0, wake_at - now)))
        if self._stopping and self._streams.is_empty():
            effects.append(StopProcess())
        return effects

    def _timer(self, event: TimerFired, now: float) -> list[Effect]:
        """A timer came due."""
        if event.name == _MODEL_TIMER:
            self._pending_timer = None
            return []
        if event.name == _STATUS_TIMER:
            self._take_snapshot(now)
            return [SetTimer(_STATUS_TIMER, self._profile.status_interval_seconds)]
        if event.name == _RESTART_TIMER:
            self._incarnation += 1
            self._reset(now)
            return [LogEvent("engine.restarted", {"incarnation": self._incarnation})]
        if self._orders.handles(event) and not self._down:
            effects = list(self._orders.reduce(event))
            self._orders.forget_versions_below(self._model.version)
            return effects
        return []

    # --- requests -------------------------------------------------------------------

    def _request(self, event: RequestReceived, now: float) -> list[Effect]:
        """Route one HTTP request."""
        ready = self._model.version > 0 and not self._swap.failed and not self._down
        common = door.respond_common(event, ready)
        if common is not None:
            return [common]
        method, path = door.route(event)
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
                return [door.respond_json(event.request_id, self._reporter.visible(now))]
            case ("GET", "/v1/cache_events"):
                lines = self._cache_log.after(door.query_integer(event, "after"), now)
                return [door.respond_json(event.request_id, lines)]
            case ("GET", _) if path.startswith("/v1/kv/"):
                return [self._exchange.answer(event, path.rsplit("/", 1)[1])]
            case _:
                return [door.respond_not_found(event)]

    def _refuse(self, event: RequestReceived, detail: str) -> Effect:
        """Refuse before any work."""
        error = UnavailableError(detail=detail, retry_after_seconds=_RETRY_AFTER_SECONDS)
        headers = {door.NOT_RUN_HEADER: "true"}
        echoed = event.headers.get(door.REQUEST_ID_HEADER)
        if echoed:
            headers[door.REQUEST_ID_HEADER] = echoed
        return door.respond_error(event.request_id, error, headers)

    def _complete(self, event: RequestReceived, now: float) -> list[Effect]:
        """Take a completion request, or refuse it."""
        read = read_completion(event, self._settings.model)
        if isinstance(read, Err):
            return [door.respond_error(event.request_id, read.err_value)]
        body = read.ok_value
        request_id = body.request_id or event.headers.get(door.REQUEST_ID_HEADER, "")
        request_id = request_id or str(event.request_id)
        if not self._model.version or self._swap.failed or self._stopping:
            return [self._refuse(event, "the engine serves no version now")]
        if self._streams.holds(request_id):
            conflict = ConflictError(detail=f"request {request_id} is running")
            headers = {door.NOT_RUN_HEADER: "true"}
            return [door.respond_error(event.request_id, conflict, headers)]
        return self._begin(event, body, request_id, now)

    def _begin(
        self, event: RequestReceived, body: CompletionBody, request_id: str, now: float
    ) -> list[Effect]:
        """Record the start, open the response, queue the work."""
        self._streams.open(event.request_id, request_id, body, now)
        effects: list[Effect] = [
            WriteRecord(
                f"started-{self._settings.node_id}",
                StartRecord(
                    request_id=request_id,
                    backend_id=self._settings.node_id,
                    started_at=now,
                    incarnation=self._incarnation,
                ),
            )
        ]
        if body.stream:
            headers = {**_SSE_HEADERS, door.REQUEST_ID_HEADER: request_id}
            effects.append(RespondStart(event.request_id, 200, headers))
        request = generation_request(body, request_id, self._profile)
        resume = body.resume
        if resume is not None and resume.handle and resume.source:
            return [*effects, self._exchange.start_import(request, resume.handle, resume.source)]
        return effects + self._perform(self._model.submit(request, now), now)

    def _cancel(self, event: RequestReceived, now: float) -> list[Effect]:
        """End a request on the caller's wish."""
        decoded = door.decode_body(event.body, RequestName)
        if isinstance(decoded, Err):
            return [door.respond_error(event.request_id, decoded.err_value)]
        name = decoded.ok_value.request_id
        held = self._streams.holds(name)
        effects = self._end(name, GenerationOutcome.CANCELLED, now)
        return [*effects, door.respond_json(event.request_id, Cancelled(held))]

    def _end(self, name: str, outcome: GenerationOutcome, now: float) -> list[Effect]:
        """End a request early, also one whose import is still under way."""
        if self._streams.holds(name) and not self._model.holds(name):
            self._exchange.give_up(name)
            return self._streams.end_unstarted(name, outcome, self._incarnation, now)
        return self._perform(self._model.end(name, outcome, now), now)

    def _aborted(self, event: RequestAborted, now: float) -> list[Effect]:
        """The client went away: stop working for it."""
        name = self._streams.abandon(event.request_id)
        return self._end(name, GenerationOutcome.ABORTED, now) if name else []

    # --- export and import of cached state ------------------------------------------

    def _export(self, event: RequestReceived, now: float) -> list[Effect]:
        """End a stream and keep its cached state for another engine."""
        decoded = door.decode_body(event.body, RequestName)
        if isinstance(decoded, Err):
            return [door.respond_error(event.request_id, decoded.err_value)]
        name = decoded.ok_value.request_id
        if not self._model.holds(name):
            error = NotFoundError(detail=f"request {name} is not running")
            return [door.respond_error(event.request_id, error)]
        prompt_tokens = self._streams.prompt_tokens(name)
        effects = self._end(name, GenerationOutcome.EXPORTED, now)
        token_count = self._streams.last_token_count
        answer = self._exchange.keep(token_count, prompt_tokens + token_count)
        return [*effects, door.respond_json(event.request_id, answer)]

    def _call_ended(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """The store or another engine answered."""
        if self._down:
            return []
        if self._orders.handles(event):
            return list(self._orders.reduce(event))
        request = self._exchange.imported(event)
        if request is None:
            return []
        return self._perform(self._model.submit(request, now), now)

    # --- orders ---------------------------------------------------------------------

    def _order(self, event: RequestReceived, now: float) -> list[Effect]:
        """Take a fenced order."""
        decoded = door.decode_body(event.body, OrderBody)
        if isinstance(decoded, Err):
            return [door.respond_error(event.request_id, decoded.err_value)]
        order = decoded.ok_value
        if self._orders.is_overtaken(order.fence):
            assert self._orders.last is not None
            fenced = FencedBody(self._orders.last.fence)
            return [door.respond_json(event.request_id, fenced, 409)]
        effects: list[Effect] = []
        if not self._orders.is_resent(order.fence):
            effects += self._orders.accept(order)
            if order.kind == "activate":
                effects += self._perform(self._swap.begin(order, now), now)
        return [*effects, door.respond_json(event.request_id, self._orders.last)]

    def _finish_swap(self, now: float) -> list[Effect]:
        """The swap's pause is over: serve the version, or fail half-way if told to."""
        was_failed = self._swap.failed
        end = self._swap.finish(self._swap_failures > 0, now)
        if end is None:
            return []
        effects = self._perform(end.events, now)
        if end.failed != was_failed:
            effects.append(self._state_record(now))
        if end.failed:
            self._swap_failures -= 1
            return effects
        record = ActivationRecord(
            backend_id=self._settings.node_id,
            model=self._settings.model,
            version=end.order.version,
            digest=end.order.digest,
            activated_at=now,
            incarnation=self._incarnation,
        )
        return [*effects, WriteRecord(f"versions-{self._settings.node_id}", record)]

    # --- laboratory -----------------------------------------------------------------

    def _laboratory(self, event: RequestReceived, path: str, now: float) -> list[Effect]:
        """Bring about a fault, or leave."""
        if path == "/lab/leave":
            leave = door.decode_body(event.body, door.LabLeave)
            if isinstance(leave, Err):
                return [door.respond_error(event.request_id, leave.err_value)]
            effects = self._set_leaving(leave.ok_value.leaving, now)
            return [*effects, door.respond_json(event.request_id, door.Acknowledged())]
        fault = door.decode_body(event.body, door.LabFault)
        if isinstance(fault, Err):
            return [door.respond_error(event.request_id, fault.err_value)]
        answer = door.respond_json(event.request_id, door.Acknowledged())
        match fault.ok_value.kind:
            case "crash":
                return [answer, *self._crash(now)]
            case "swap_failure":
                self._swap_failures += 1
            case "heal":
                self._swap_failures = 0
            case kind:
                error = InvalidInputError(detail=f"unknown fault {kind}")
                return [door.respond_error(event.request_id, error)]
        return [answer]

    def _crash(self, now: float) -> list[Effect]:
        """Break every stream and come back later, empty."""
        ends = self._model.end_all(GenerationOutcome.CRASHED, now)
        effects = self._streams.break_all(ends, self._incarnation, now)
        self._model.deactivate()
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
        return self._reporter.state_record(self._incarnation, self._leaving, now)
