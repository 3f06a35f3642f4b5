"""Stubs of the platform's operators and trainers."""

import base64
import json
import random
from typing import Any

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import Effect, SetTimer, StartCall, WriteRecord
from merlinstand.kernel.events import CallFailed, CallResponded, Event, Started, TimerFired
from tests.users_platform.control_caller import (
    CALL_PREFIX,
    TIMER_PREFIX,
    ControlCall,
    ControlCaller,
)
from tests.users_platform.servers import CRASH_BODY_PREFIX, HEALTH_PATH

HOST = "shop.example"
STEP_INTERVAL_SECONDS = 4.0
READ_INTERVAL_SECONDS = 0.3
COLD_START_SECONDS = 3.0
COLD_REQUESTS_PER_SECOND = 9.2
JOB_CALL_TIMEOUT_SECONDS = 2.5
CRASHING_JOB_SECONDS = 16.0
"""How long a trainer keeps a job open that has crashing items."""


class ConfigAcknowledged(msgspec.Struct, frozen=True):
    """A configuration was acknowledged."""

    version: int


class ConfigRead(msgspec.Struct, frozen=True):
    """A configuration was read back."""

    version: int


class JobAccepted(msgspec.Struct, frozen=True):
    """A batch job was accepted (status 202)."""

    job: str
    items: tuple[str, ...]
    minimum_version: int


class JobRead(msgspec.Struct, frozen=True):
    """A page of results was read."""

    job: str
    position: int
    total: int
    results: tuple[dict[str, Any], ...]


class JobEnded(msgspec.Struct, frozen=True):
    """A trainer deleted a batch job."""

    job: str
    listed: int
    is_complete: bool


class BatchCallResponse(msgspec.Struct, frozen=True):
    """Any other response to a batch call; status 0: the call failed."""

    job: str
    call: str
    status: int


def make_config(
    version: int,
    services: dict[str, list[str]],
    extra_routes: int = 0,
    keys: dict[str, list[str]] | None = None,
    cold: bool = False,
    crowds: bool = False,
) -> dict[str, Any]:
    """Return a configuration in the platform's JSON format.

    Args:
        version: Version number of the configuration.
        services: Models by engine service; a plain service has none.
        extra_routes: Number of additional routes without traffic.
        keys: API keys by tenant; scoring calls need none.
        cold: Whether the request rate to servers is limited after a start.
        crowds: Whether the plain service has additional routes of other priorities and kinds.
    """
    engines = [name for name, models in services.items() if models]
    plain = next(name for name, models in services.items() if not models)
    routes = [
        _route("lookup", "/lookup/", "idempotent", plain, TimeoutMs=1500, TargetLatencyMs=190),
        _route("score", "/score/", "idempotent", plain, TimeoutMs=1500, TargetLatencyMs=190),
    ]
    if crowds:
        routes += [
            _route("urgent", "/urgent/", "idempotent", plain, TimeoutMs=1500, Priority=1),
            _route("once", "/once/", "non_idempotent", plain, TimeoutMs=1500, Priority=7),
            _route("large", "/large/", "idempotent", plain, TimeoutMs=1500),
        ]
    for engine in engines:
        routes.append(
            _route(
                engine,
                f"/{engine}/",
                "rollout",
                engine,
                ResultDeadlineMs=7500,
                MaxQueueS=60,
                TargetLatencyMs=400,
            )
        )
    for number in range(extra_routes):
        routes.append(_route(f"idle-{number}", f"/idle-{number}/", "idempotent", plain))
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "HealthPath": HEALTH_PATH,
                "MaxConns": 100,
                **(
                    {"Engine": {"Slots": 4, "Models": [{"Name": m} for m in models]}}
                    if models
                    else {}
                ),
                **(
                    {"ColdStartS": COLD_START_SECONDS, "ColdPerS": COLD_REQUESTS_PER_SECOND}
                    if cold
                    else {}
                ),
            }
            for name, models in services.items()
        ],
        "Limits": {},
        "Tenants": [{"Name": name, "ApiKeys": held} for name, held in (keys or {}).items()],
    }


def _route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    base = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Type": kind,
        "Service": service,
        "MaxAttempts": 3,
        "TimeoutMs": 10_000,
    }
    return {**base, **more}


class Operator:
    """Puts configurations at given times and reads the current one every second."""

    def __init__(self, controls: list[str], configs: list[tuple[float, dict[str, Any]]]) -> None:
        self._caller = ControlCaller(controls)
        self._configs = configs

    def start(self, event: Started, now: float) -> list[Effect]:
        return [
            SetTimer("read", 5.0),
            *(SetTimer(f"put:{n}", max(0.01, at)) for n, (at, _) in enumerate(self._configs)),
        ]

    def reduce(self, event: Event, now: float) -> list[Effect]:
        match event:
            case CallResponded() | CallFailed() if event.call_id.startswith(CALL_PREFIX):
                return self._caller.on_call(event, now)
            case TimerFired(name="read"):
                call = ControlCall("read", "GET", "/config", b"", self._on_read)
                return [SetTimer("read", 1.0), *self._caller.send(call)]
            case TimerFired(name=name) if name.startswith(TIMER_PREFIX):
                return self._caller.on_timer(name)
            case TimerFired(name=name):
                return self._put(int(name.removeprefix("put:")))
            case _:
                return []

    def _put(self, number: int) -> list[Effect]:
        content = self._configs[number][1]
        version = content["Version"]

        def on_response(status: int, body: bytes, now: float) -> list[Effect]:
            return [WriteRecord("config", ConfigAcknowledged(version))] if status == 200 else []

        call = ControlCall(
            f"put-{version}", "PUT", "/config", json.dumps(content).encode(), on_response
        )
        return self._caller.send(call)

    def _on_read(self, status: int, body: bytes, now: float) -> list[Effect]:
        if status != 200:
            return []
        return [WriteRecord("config", ConfigRead(json.loads(body)["Version"]))]


class ZoneOrder(msgspec.Struct, frozen=True):
    """An operator's order to evacuate or restore a zone."""

    zone: str
    is_evacuation: bool
    """True: no more requests go to the zone; False: the zone is used again."""


class ZoneOrderSent(msgspec.Struct, frozen=True):
    """An order was sent for the first time."""

    number: str
    order: ZoneOrder


class ZoneOrderResponse(msgspec.Struct, frozen=True):
    """An order got its final response."""

    number: str
    order: ZoneOrder
    status: int
    seconds: float
    """Time since the order was sent first."""


class ZoneOperator:
    """Evacuates and restores zones at given times; repeats calls without a final response."""

    def __init__(
        self, name: str, controls: list[str], orders: list[tuple[float, ZoneOrder]]
    ) -> None:
        self._name = name
        self._caller = ControlCaller(controls)
        self._orders = orders

    def start(self, event: Started, now: float) -> list[Effect]:
        return [SetTimer(f"{n}", max(0.01, at)) for n, (at, _order) in enumerate(self._orders)]

    def reduce(self, event: Event, now: float) -> list[Effect]:
        match event:
            case CallResponded() | CallFailed() if event.call_id.startswith(CALL_PREFIX):
                return self._caller.on_call(event, now)
            case TimerFired(name=name) if name.startswith(TIMER_PREFIX):
                return self._caller.on_timer(name)
            case TimerFired(name=name):
                return self._send(int(name), now)
            case _:
                return []

    def _send(self, place: int, now: float) -> list[Effect]:
        order = self._orders[place][1]
        number = f"{self._name}-{place}"
        method = "POST" if order.is_evacuation else "DELETE"

        def on_response(status: int, body: bytes, when: float) -> list[Effect]:
            response = ZoneOrderResponse(number, order, status, when - now)
            return [WriteRecord("evacuations", response)]

        call = ControlCall(number, method, f"/evacuations/{order.zone}", b"", on_response)
        sent = WriteRecord("evacuations", ZoneOrderSent(number, order))
        return [sent, *self._caller.send(call)]


class RetiringOperator:
    """Retires one keeper, with repeated calls, then polls the state of the retirement."""

    def __init__(self, controls: list[str], name: str, retire_at: tuple[float, ...]) -> None:
        self._caller = ControlCaller(controls)
        self._name = name
        self._retire_at = retire_at
        self.responses: list[tuple[int, bytes]] = []
        """Final responses to the retirement calls."""
        self.states: list[str] = []

    def start(self, event: Started, now: float) -> list[Effect]:
        timers = [SetTimer(f"wish:{n}", at) for n, at in enumerate(self._retire_at)]
        return [*timers, SetTimer("state", self._retire_at[-1] + 1.0)]

    def reduce(self, event: Event, now: float) -> list[Effect]:
        match event:
            case CallResponded() | CallFailed() if event.call_id.startswith(CALL_PREFIX):
                return self._caller.on_call(event, now)
            case TimerFired(name="state"):
                call = ControlCall("state", "GET", f"/retire/{self._name}", b"", self._on_state)
                return [SetTimer("state", 1.0), *self._caller.send(call)]
            case TimerFired(name=name) if name.startswith(TIMER_PREFIX):
                return self._caller.on_timer(name)
            case TimerFired(name=name):
                body = b'{"DurationS":10}'
                path = f"/retire/{self._name}"
                return self._caller.send(ControlCall(name, "POST", path, body, self._on_response))
            case _:
                return []

    def _on_response(self, status: int, body: bytes, now: float) -> list[Effect]:
        self.responses.append((status, body))
        return []

    def _on_state(self, status: int, body: bytes, now: float) -> list[Effect]:
        if status == 200:
            self.states.append(json.loads(body)["State"])
        return []


class _Call(msgspec.Struct):
    job: str
    kind: str
    started_at: float
    position: int = 0


class _Job(msgspec.Struct):
    job_id: str
    step: int
    body: bytes
    items: tuple[str, ...]
    minimum_version: int
    asked_at: float
    is_accepted: bool = False
    is_done: bool = False
    results: list[dict[str, Any]] = msgspec.field(default_factory=list)


class Trainer:
    """Submits a batch job per step, reads the results, deletes it and names the next version."""

    def __init__(
        self,
        name: str,
        service: str,
        model: str,
        gateways: list[str],
        controls: list[str],
        groups: int = 4,
        group_size: int = 3,
        steps: int = 5,
        first_at: float = 6.0,
        keys: tuple[str, ...] = (),
        crashing_ids: tuple[str, ...] = (),
    ) -> None:
        """Initialize without a submitted step.

        Args:
            name: Name of the trainer, part of its job and item ids.
            service: Service of its engines.
            model: Name of the trained model.
            gateways: Addresses of the gateways.
            controls: Addresses of the control daemons.
            groups: Groups per step.
            group_size: Items per group.
            steps: Number of steps.
            first_at: Time of the first step, in seconds after the start.
            keys: API keys; each call draws one.
            crashing_ids: Ids of scoring calls that crash the servers running them; the trainer
                doesn't wait for their items.
        """
        self._name = name
        self._keys = keys
        self._crashing_ids = crashing_ids
        self._service = service
        self._model = model
        self._gateways = gateways
        self._caller = ControlCaller(controls)
        self._shape = (groups, group_size)
        self._steps = steps
        self._first_at = first_at
        self._random = random.Random(0)
        self._calls: dict[CallId, _Call] = {}
        self._count = 0
        self._job: _Job | None = None
        self._step = 0

    def start(self, event: Started, now: float) -> list[Effect]:
        self._random = random.Random(event.seed)
        return [SetTimer("step", self._first_at)]

    def reduce(self, event: Event, now: float) -> list[Effect]:
        match event:
            case CallResponded() | CallFailed():
                if event.call_id.startswith(CALL_PREFIX):
                    return self._caller.on_call(event, now)
                call = self._calls.pop(event.call_id, None)
                return [] if call is None else self._on_call(call, event, now)
            case TimerFired(name="step"):
                return self._begin_step(now)
            case TimerFired(name="submit"):
                return self._submit(now)
            case TimerFired(name="read"):
                return self._read(now)
            case TimerFired(name=name) if name.startswith(TIMER_PREFIX):
                return self._caller.on_timer(name)
            case _:
                return []

    def _begin_step(self, now: float) -> list[Effect]:
        if self._step >= self._steps:
            return []
        groups, size = self._shape
        step = self._step
        requests = [
            {
                "Id": item_id,
                "Path": f"/{self._service}/{step}/{group}",
                "Headers": {"X-Model": self._model, "X-Token-Count": "20,100"},
                "Body": self._body(item_id, f"body-{step}-{group}-{number}".encode()),
                "Tokens": 120,
                "Group": f"g{step}-{group}",
                "ScoringUrl": {
                    "Id": f"score-{item_id}",
                    "Host": HOST,
                    "Path": "/score/x",
                    "Body": self._body(f"score-{item_id}", b"text"),
                },
            }
            for group in range(groups)
            for number in range(size)
            for item_id in [f"{self._name}-{step}-{group}-{number}"]
        ]
        minimum_version = max(1, step - 1)
        body = {
            "Step": step,
            "Model": self._model,
            "MinVersion": minimum_version,
            "Desired": groups,
            "Requests": requests,
        }
        items = tuple(request["Id"] for request in requests)
        job_id = f"job-{self._name}-{step}"
        encoded = json.dumps(body).encode()
        self._job = _Job(job_id, step, encoded, items, minimum_version, now)
        return [*self._submit(now), SetTimer("read", READ_INTERVAL_SECONDS)]

    def _body(self, request_id: str, body: bytes) -> str:
        if request_id in self._crashing_ids:
            body = CRASH_BODY_PREFIX + request_id.encode()
        return base64.b64encode(body).decode()

    def _is_awaited(self, item_id: str) -> bool:
        return not {item_id, f"score-{item_id}"} & set(self._crashing_ids)

    def _start(
        self, kind: str, method: str, path: str, body: bytes, now: float, position: int = 0
    ) -> list[Effect]:
        assert self._job is not None
        self._count += 1
        call_id = CallId(f"{kind}#{self._count}")
        self._calls[call_id] = _Call(self._job.job_id, kind, now, position)
        headers = {"X-Request-Id": self._job.job_id if kind == "submit" else f"r{self._count}"}
        if self._keys:
            headers["Authorization"] = f"Bearer {self._random.choice(self._keys)}"
        return [
            StartCall(
                call_id=call_id,
                address=self._random.choice(self._gateways),
                method=method,
                path=path,
                headers=headers,
                body=body,
                timeout_seconds=JOB_CALL_TIMEOUT_SECONDS,
                host=HOST,
                fresh_connection=True,
            )
        ]

    def _submit(self, now: float) -> list[Effect]:
        if self._job is None or self._job.is_accepted:
            return []
        return self._start("submit", "POST", f"/{self._service}/x", self._job.body, now)

    def _read(self, now: float) -> list[Effect]:
        job = self._job
        if job is None or job.is_done:
            return []
        effects: list[Effect] = [SetTimer("read", READ_INTERVAL_SECONDS)]
        if not job.is_accepted:
            return effects
        # Some reads start from position 0 again: results already read must not change.
        position = len(job.results) if self._random.random() < 0.8 else 0
        path = f"/lots/{job.job_id}?After={position}"
        return effects + self._start("read", "GET", path, b"", now, position)

    def _on_call(self, call: _Call, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        job = self._job
        if job is None or call.job != job.job_id:
            return []
        status = event.status if isinstance(event, CallResponded) else 0
        body = event.body if isinstance(event, CallResponded) else b""
        record = WriteRecord("jobs", BatchCallResponse(job.job_id, call.kind, status))
        match call.kind:
            case "submit":
                if status != 202:
                    return [record, SetTimer("submit", 0.3)]
                job.is_accepted = True
                accepted = JobAccepted(job.job_id, job.items, job.minimum_version)
                return [WriteRecord("jobs", accepted)]
            case "read":
                if status != 200:
                    return [record]
                return self._on_page(job, call, json.loads(body), now)
            case _:
                if status != 200:
                    return [record, *self._end(job, now)]
                return self._next_step(job, now)

    def _on_page(self, job: _Job, call: _Call, page: dict[str, Any], now: float) -> list[Effect]:
        results = page["Results"]
        read = JobRead(job.job_id, call.position, page["Total"], tuple(results))
        new_results = results[max(0, len(job.results) - call.position) :]
        job.results.extend(new_results)
        effects: list[Effect] = [WriteRecord("jobs", read)]
        awaited = {item for item in job.items if self._is_awaited(item)}
        has_crashing_items = len(awaited) < len(job.items)
        is_due = not has_crashing_items or now - job.asked_at > CRASHING_JOB_SECONDS
        is_read = awaited <= {result["Id"] for result in job.results}
        if is_read and is_due and not job.is_done:
            job.is_done = True
            effects.extend(self._end(job, now))
        return effects

    def _end(self, job: _Job, now: float) -> list[Effect]:
        return self._start("end", "DELETE", f"/lots/{job.job_id}", b"", now)

    def _next_step(self, job: _Job, now: float) -> list[Effect]:
        awaited = sum(self._is_awaited(item) for item in job.items)
        ended = JobEnded(job.job_id, len(job.results), len(job.results) >= awaited)
        self._step += 1
        version = self._step + 1
        body = json.dumps({"Model": self._model, "Version": version}).encode()

        def on_response(status: int, response: bytes, when: float) -> list[Effect]:
            return [WriteRecord("versions", (self._model, version))]

        call = ControlCall(f"name-{version}", "POST", "/version-put", body, on_response)
        wait = max(0.1, job.asked_at + STEP_INTERVAL_SECONDS - now)
        return [
            WriteRecord("jobs", ended),
            *self._caller.send(call),
            SetTimer("step", wait),
        ]
