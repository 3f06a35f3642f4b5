"""One server of a service (`shop-api`, `book-app`)."""

import math
import random
from collections.abc import Sequence

import msgspec
import xxhash
from result import Err

from merlinstand.common.errors import UnavailableError
from merlinstand.common.ids import RequestId
from merlinstand.kernel.effects import (
    Effect,
    Respond,
    RespondEnd,
    RespondStart,
    SetTimer,
    StopProcess,
    WriteRecord,
)
from merlinstand.kernel.events import Event, RequestReceived, Started, StopRequested, TimerFired
from merlinstand_lab.records.kinds import BackendStateRecord, ServiceRecord, StartRecord
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.settings import ServiceSettings

_ANSWER_TIMER = "service.answer."
_RESTART_TIMER = "service.restart"
_RESTART_SECONDS = 3.0
"""Seconds from a crash to the next start; chosen, not measured."""
_RETRY_AFTER_SECONDS = 0.5
"""Seconds that a refusal advises to wait; chosen, not measured."""


class ServiceAnswer(msgspec.Struct, frozen=True):
    """Answer to any request; the digest proves whose answer it is."""

    request_id: str
    path: str
    digest: str
    answered_by: str
    filler: str = ""


class ServiceStatus(msgspec.Struct, frozen=True):
    """`GET /v1/status`."""

    state: str
    in_flight: int
    reported_at: float
    backend_id: str = ""


class _Running(msgspec.Struct, frozen=True):
    """A request being run."""

    http_request_id: RequestId
    request_id: str
    idempotency_key: str
    repeatable: bool
    path: str
    digest: str
    started_at: float


def answer_digest(request_id: str, path: str, body: bytes) -> str:
    """Digest that ties an answer to its request."""
    digest = xxhash.xxh3_64(request_id.encode())
    digest.update(path.encode())
    digest.update(body)
    return digest.hexdigest()


class ServiceServer:
    """Reducer of one service server."""

    def __init__(self, settings: ServiceSettings) -> None:
        """Begin idle."""
        self._settings = settings
        self._running: dict[str, _Running] = {}
        self._count = 0
        self._leaving = False
        self._stopping = False
        self._down = False

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin."""
        self._random = random.Random(event.seed)
        self._incarnation = event.incarnation
        return ()

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event."""
        effects: list[Effect] = []
        match event:
            case RequestReceived():
                effects += self._request(event, now)
            case TimerFired() if event.name in self._running:
                effects += self._answer(self._running.pop(event.name))
            case TimerFired() if event.name == _RESTART_TIMER:
                self._down = False
                self._incarnation += 1
            case StopRequested():
                self._stopping = True
                effects += self._set_leaving(True, now)
            case _:
                pass
        if self._stopping and not self._running:
            effects.append(StopProcess())
        return effects

    def _request(self, event: RequestReceived, now: float) -> Sequence[Effect]:
        """Route one HTTP request."""
        common = endpoint.respond_common(event, ready=not self._down)
        if common is not None:
            return (common,)
        method, path = endpoint.route(event)
        if path.startswith("/lab/"):
            return self._laboratory(event, path, now)
        if self._down or self._stopping or self._is_full():
            return (self._refuse(event),)
        if (method, path) == ("GET", "/v1/status"):
            return (endpoint.respond_json(event.request_id, self._status(now)),)
        return self._run(event, method, now)

    def _is_full(self) -> bool:
        """Whether no more requests fit."""
        return len(self._running) >= self._settings.maximum_concurrency

    def _refuse(self, event: RequestReceived) -> Respond:
        """Refuse before running."""
        error = UnavailableError(
            detail="not taking requests now", retry_after_seconds=_RETRY_AFTER_SECONDS
        )
        headers = {
            endpoint.NOT_RUN_HEADER: "true",
            endpoint.REQUEST_ID_HEADER: event.headers.get(endpoint.REQUEST_ID_HEADER, ""),
        }
        return endpoint.respond_error(event.request_id, error, headers)

    def _run(self, event: RequestReceived, method: str, now: float) -> Sequence[Effect]:
        """Run a request: its effect counts from here on."""
        request_id = event.headers.get(endpoint.REQUEST_ID_HEADER, "")
        running = _Running(
            http_request_id=event.request_id,
            request_id=request_id,
            idempotency_key=event.headers.get("idempotency-key", ""),
            repeatable=event.headers.get("x-repeatable", "true").lower() != "false",
            path=event.path,
            digest=answer_digest(request_id, event.path, event.body),
            started_at=now,
        )
        self._count += 1
        name = f"{_ANSWER_TIMER}{self._count}"
        self._running[name] = running
        record = StartRecord(
            request_id=request_id,
            backend_id=self._settings.node_id,
            started_at=now,
            incarnation=self._incarnation,
            idempotency_key=running.idempotency_key,
            repeatable=running.repeatable,
        )
        return (
            WriteRecord(f"started-{self._settings.node_id}", record),
            # Written now, not with the answer: whoever counts runs must see a crashed one too.
            WriteRecord(f"service-{self._settings.node_id}", self._run_record(running)),
            SetTimer(name, self._delay_seconds(method)),
        )

    def _run_record(self, running: _Running) -> ServiceRecord:
        """Record of a request that runs."""
        return ServiceRecord(
            request_id=running.request_id,
            idempotency_key=running.idempotency_key,
            repeatable=running.repeatable,
            started_at=running.started_at,
            backend_id=self._settings.node_id,
            path=running.path,
            incarnation=self._incarnation,
        )

    def _delay_seconds(self, method: str) -> float:
        """Draw a response time."""
        settings = self._settings
        median = settings.booking_seconds if method == "POST" else settings.response_median_seconds
        return self._random.lognormvariate(math.log(median), settings.response_sigma)

    def _answer(self, running: _Running) -> Sequence[Effect]:
        """Answer a request that ran."""
        answer = ServiceAnswer(
            request_id=running.request_id,
            path=running.path,
            digest=running.digest,
            answered_by=self._settings.node_id,
            filler="." * self._settings.response_bytes,
        )
        headers = {endpoint.REQUEST_ID_HEADER: running.request_id}
        return (endpoint.respond_json(running.http_request_id, answer, headers=headers),)

    def _status(self, now: float) -> ServiceStatus:
        """State and load."""
        state = "leaving" if self._leaving else "ready"
        return ServiceStatus(state, len(self._running), now, self._settings.node_id)

    def _laboratory(self, event: RequestReceived, path: str, now: float) -> Sequence[Effect]:
        """Leave, come back, or crash."""
        acknowledged = endpoint.respond_json(event.request_id, endpoint.Acknowledged())
        if path == "/lab/leave":
            leave = endpoint.decode_body(event.body, endpoint.LabLeave)
            if isinstance(leave, Err):
                return (endpoint.respond_error(event.request_id, leave.err_value),)
            return (*self._set_leaving(leave.ok_value.leaving, now), acknowledged)
        fault = endpoint.decode_body(event.body, endpoint.LabFault)
        if isinstance(fault, Err):
            return (endpoint.respond_error(event.request_id, fault.err_value),)
        if fault.ok_value.kind == "crash":
            return (acknowledged, *self._crash())
        return (acknowledged,)

    def _crash(self) -> Sequence[Effect]:
        """Break every response; whether its request took effect stays open."""
        effects: list[Effect] = []
        for running in self._running.values():
            effects.append(RespondStart(running.http_request_id, 200, endpoint.JSON_HEADERS))
            effects.append(RespondEnd(running.http_request_id, whole=False))
        self._running.clear()
        self._down = True
        return [*effects, SetTimer(_RESTART_TIMER, _RESTART_SECONDS)]

    def _set_leaving(self, leaving: bool, now: float) -> Sequence[Effect]:
        """Change the leaving state, and record it."""
        if leaving == self._leaving:
            return ()
        self._leaving = leaving
        record = BackendStateRecord(
            backend_id=self._settings.node_id,
            state="leaving" if leaving else "ready",
            at=now,
            incarnation=self._incarnation,
        )
        return (WriteRecord(f"state-{self._settings.node_id}", record),)
