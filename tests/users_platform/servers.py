"""Stubs of the platform's servers: plain services and engines that register themselves."""

import json
from typing import Any

import msgspec

from merlinstand.common.ids import RequestId
from merlinstand.kernel.effects import (
    Effect,
    Respond,
    RespondChunk,
    RespondEnd,
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
from merlinstand_lab.simulator.process import WALL_START
from tests.users_platform.control_caller import (
    CALL_PREFIX,
    TIMER_PREFIX,
    ControlCall,
    ControlCaller,
)

HEARTBEAT_INTERVAL_SECONDS = 1.2
WEIGHT_LOAD_SECONDS = 0.9
EVENT_INTERVAL_SECONDS = 0.03
HEALTH_PATH = "/healthz"
CRASH_BODY_PREFIX = b"ends the server"
"""A request whose body starts with this crashes each server that runs it."""
CRASH_DELAY_SECONDS = 0.045
"""Time from the start of its run to the crash."""
CRASH_EXIT_CODE = 139
INITIAL_START_SECONDS = 1.0
"""Servers that start later than this are restarts, and cold."""


class Arrival(msgspec.Struct, frozen=True):
    """A request that a server started to run."""

    server: str
    request_id: str
    path: str
    host: str
    version: int = 0
    first_event: int = 1
    """Engines: number of the first event that the run generates."""
    tenant: str = ""
    """Tenant named in the request's headers."""
    has_key: bool = False
    """Whether the request carried an API key."""
    zone: str = ""
    """Zone of the server."""


class CrashArrival(msgspec.Struct, frozen=True):
    """A request that crashes the server which started to run it."""

    server: str
    content: tuple[str, str, bytes]
    """Path, tenant and body: equal for all repetitions of a request."""
    sender: str
    """IP address of the sending machine."""


class ColdArrival(msgspec.Struct, frozen=True):
    """A request that reached a server while it was cold, except one addressed to another server."""

    server: str
    path: str


class OrderAccepted(msgspec.Struct, frozen=True):
    """A weight order that an engine accepted."""

    server: str
    holder: str
    fence: int
    model: str
    version: int
    zone: str = ""
    """Zone of the engine."""


class ReportRequested(msgspec.Struct, frozen=True):
    """A report was requested from an engine."""

    server: str
    zone: str


def expected_signature(request_id: str) -> str:
    """Return the signature that the response to a request carries."""
    return f"stamp.{request_id}"


def event_count(item_id: str) -> int:
    """Return the number of events of an item."""
    return 2 + sum(item_id.encode()) % 12


def event_data(item_id: str, number: int) -> str:
    """Return the data of one event of an item."""
    return f"{item_id}-{number}"


class RegisteredServer:
    """A server of a plain service; the base class of engines."""

    cold_seconds = 0.0
    """How long it stays cold after a restart; set by the deployment for all servers."""
    work_seconds = 0.02
    """Time from the start of a run to its response."""
    keeps_id = False
    """Whether a server keeps its id over a restart; it then reports its start time."""
    crashing_tenant = ""
    """Tenant whose requests crash servers; empty: those of every tenant do."""

    def __init__(self, service: str, address: str, zone: str, controls: list[str]) -> None:
        self.service = service
        self.address = address
        self.zone = zone
        self.state = "ready"
        self.instance = ""
        self.started_at_ms = 0
        self.sequence = 0
        self.cold_until = 0.0
        self._caller = ControlCaller(controls)
        self._in_progress: dict[str, RequestReceived] = {}

    def start(self, event: Started, now: float) -> list[Effect]:
        self.instance = f"i-{event.seed % 10**9:09d}"
        if self.keeps_id:
            self.instance = f"i-{self.address}"
            self.started_at_ms = int((WALL_START + now) * 1000)
        if now > INITIAL_START_SECONDS:
            self.cold_until = now + self.cold_seconds
        return self._send_heartbeat(now)

    def reduce(self, event: Event, now: float) -> list[Effect]:
        match event:
            case CallResponded() | CallFailed():
                if event.call_id.startswith(CALL_PREFIX):
                    return self._caller.on_call(event, now)
                return []
            case TimerFired(name="beat"):
                return self._send_heartbeat(now)
            case TimerFired(name="crash"):
                return [StopProcess(CRASH_EXIT_CODE)]
            case TimerFired(name=name) if name.startswith(TIMER_PREFIX):
                return self._caller.on_timer(name)
            case TimerFired(name=name):
                return self._on_work_timer(name, now)
            case RequestReceived():
                expected = event.headers.get("x-expect-instance", self.instance)
                if expected != self.instance:
                    return [Respond(event.request_id, 421, {"X-Instance-Id": self.instance}, b"")]
                return [*self._record_cold_arrival(event, now), *self._handle_request(event, now)]
            case RequestAborted():
                self._in_progress.pop(event.request_id, None)
                return []
            case StopRequested():
                self.state = "draining"
                return self._send_heartbeat(now)
            case _:
                return []

    def _handle_request(self, event: RequestReceived, now: float) -> list[Effect]:
        if event.path == HEALTH_PATH:
            headers = {"X-Instance-Id": self.instance}
            return [Respond(event.request_id, 200, headers, b"")]
        return self._request(event, now)

    def _record_cold_arrival(self, event: RequestReceived, now: float) -> list[Effect]:
        if now >= self.cold_until:
            return []
        return [WriteRecord("cold", ColdArrival(self.instance, event.path))]

    def _send_heartbeat(self, now: float) -> list[Effect]:
        self.sequence += 1
        body = json.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 4,
                "State": self.state,
                "ColdLeftMs": max(0.0, self.cold_until - now) * 1000,
                "Seq": self.sequence,
                **({"born": self.started_at_ms} if self.started_at_ms else {}),
                **self._extra_heartbeat_fields(),
            }
        ).encode()
        call = ControlCall(
            "beat", "PUT", f"/instances/{self.instance}", body, self._on_heartbeat_response
        )
        return [SetTimer("beat", HEARTBEAT_INTERVAL_SECONDS), *self._caller.send(call)]

    def _on_heartbeat_response(self, status: int, body: bytes, now: float) -> list[Effect]:
        return [WriteRecord("beats", (self.instance, self.state, status))]

    def _extra_heartbeat_fields(self) -> dict[str, Any]:
        return {}

    def _start_crash(self, event: RequestReceived) -> list[Effect]:
        """Start a run that crashes the server; no effects for other requests."""
        tenant = event.headers.get("x-tenant", "")
        is_harmless = self.crashing_tenant not in ("", tenant)
        if is_harmless or not event.body.startswith(CRASH_BODY_PREFIX):
            return []
        content = (event.path, tenant, event.body)
        incarnation = (
            f"{self.instance}@{self.started_at_ms}" if self.started_at_ms else self.instance
        )
        record = CrashArrival(incarnation, content, event.peer)
        return [WriteRecord("crashes", record), SetTimer("crash", CRASH_DELAY_SECONDS)]

    def _request(self, event: RequestReceived, now: float) -> list[Effect]:
        self._in_progress[event.request_id] = event
        crash = self._start_crash(event)
        if crash:
            return crash
        arrival = Arrival(
            self.instance,
            event.headers.get("x-request-id", ""),
            event.path,
            event.headers.get("host", ""),
            tenant=event.headers.get("x-tenant", ""),
            has_key="authorization" in event.headers,
            zone=self.zone,
        )
        return [
            WriteRecord("arrivals", arrival),
            SetTimer(f"work:{event.request_id}", self.work_seconds),
        ]

    def _on_work_timer(self, name: str, now: float) -> list[Effect]:
        event = self._in_progress.pop(name.removeprefix("work:"), None)
        if event is None:
            return []
        request_id = event.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id, "X-Server-Stamp": expected_signature(request_id)}
        return [Respond(event.request_id, 200, headers, b"answer to " + request_id.encode())]


class RunEnd(msgspec.Struct, frozen=True):
    """The end of an item's run at an engine that did not crash."""

    server: str
    request_id: str
    is_complete: bool
    """Whether the engine sent the whole text."""


class _Run(msgspec.Struct):
    request: RequestReceived
    next_event: int


class Engine(RegisteredServer):
    """An engine that streams the events of items and loads weights as ordered."""

    event_interval_seconds = EVENT_INTERVAL_SECONDS
    """Interval between the events of a run."""

    def __init__(
        self, service: str, address: str, zone: str, controls: list[str], models: list[str]
    ) -> None:
        super().__init__(service, address, zone, controls)
        self.versions = dict.fromkeys(models, 1)
        self.order_sequence = 0
        self.loading: tuple[str, int] | None = None
        self._runs: dict[str, _Run] = {}

    def _extra_heartbeat_fields(self) -> dict[str, Any]:
        return {"Stage": "both", "Models": self._models()}

    def _models(self) -> list[dict[str, Any]]:
        return [{"Name": n, "Version": v, "Adapters": []} for n, v in self.versions.items()]

    def _request(self, event: RequestReceived, now: float) -> list[Effect]:
        if event.path == "/report":
            asked = WriteRecord("reports", ReportRequested(self.instance, self.zone))
            return [asked, self._report(event.request_id)]
        if event.path == "/order":
            return self._order(event)
        model = event.headers.get("x-model", "")
        crash = self._start_crash(event)
        if crash:
            return crash
        if self.loading is not None and self.loading[0] == model:
            headers = {"X-Not-Executed": "1", "X-Request-Id": event.headers["x-request-id"]}
            return [Respond(event.request_id, 503, headers, b"")]
        item_id = event.headers["x-request-id"]
        first = int(event.headers.get("last-event-id", "0")) + 1
        self._runs[event.request_id] = _Run(event, first)
        version = self.versions[model]
        headers = {
            "X-Request-Id": item_id,
            "X-Server-Stamp": expected_signature(item_id),
            "X-Weight-Versions": str(version),
        }
        host = event.headers["host"]
        tenant = event.headers.get("x-tenant", "")
        has_key = "authorization" in event.headers
        arrival = Arrival(
            self.instance, item_id, event.path, host, version, first, tenant, has_key, self.zone
        )
        return [
            WriteRecord("runs", arrival),
            RespondStart(event.request_id, 200, headers),
            SetTimer(f"event:{event.request_id}", self.event_interval_seconds),
        ]

    def reduce(self, event: Event, now: float) -> list[Effect]:
        run = self._runs.pop(event.request_id, None) if isinstance(event, RequestAborted) else None
        ended = [] if run is None else [self._record_end(run, is_complete=False)]
        return [*ended, *super().reduce(event, now)]

    def _record_end(self, run: _Run, is_complete: bool) -> Effect:
        item_id = run.request.headers["x-request-id"]
        return WriteRecord("run_ends", RunEnd(self.instance, item_id, is_complete))

    def _on_work_timer(self, name: str, now: float) -> list[Effect]:
        if name == "loaded" and self.loading is not None:
            model, version = self.loading
            self.versions[model] = version
            self.loading = None
            return []
        run = self._runs.get(name.removeprefix("event:"))
        return [] if run is None else self._next_event(run)

    def _next_event(self, run: _Run) -> list[Effect]:
        request = run.request
        item_id = request.headers["x-request-id"]
        version = self.versions[request.headers["x-model"]]
        data = (
            f"x-weight-versions: {version}\nid: {run.next_event}\n"
            f"data: {event_data(item_id, run.next_event)}\n\n"
        )
        effects: list[Effect] = [RespondChunk(request.request_id, data.encode())]
        if run.next_event >= event_count(item_id):
            del self._runs[request.request_id]
            ended = self._record_end(run, is_complete=True)
            return [*effects, ended, RespondEnd(request.request_id)]
        run.next_event += 1
        return [*effects, SetTimer(f"event:{request.request_id}", self.event_interval_seconds)]

    def _report(self, request_id: RequestId) -> Effect:
        body = {
            "Stage": "both",
            "Models": self._models(),
            "InFlight": self.loading is not None,
            "Seq": self.order_sequence,
        }
        return Respond(request_id, 200, {}, json.dumps(body).encode())

    def _order(self, event: RequestReceived) -> list[Effect]:
        order = json.loads(event.body)
        is_stale = order.get("ExpectedRev", self.order_sequence) != self.order_sequence
        if self.loading is not None or is_stale:
            return [Respond(event.request_id, 409, {}, b"")]
        if self.versions[order["Model"]] >= order["Version"]:
            return [Respond(event.request_id, 200, {}, b"")]
        self.order_sequence += 1
        self.loading = (order["Model"], order["Version"])
        taken = OrderAccepted(
            self.instance,
            order["Holder"],
            order["Fence"],
            order["Model"],
            order["Version"],
            self.zone,
        )
        return [
            WriteRecord("orders", taken),
            Respond(event.request_id, 202, {}, b""),
            SetTimer("loaded", WEIGHT_LOAD_SECONDS),
        ]
