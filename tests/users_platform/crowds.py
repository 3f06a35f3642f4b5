"""Flash crowds for the fault soak: load bursts, servers with bounded queues, and slow readers.

A crowd sends many times the normal request rate for a few seconds, with several tenants, priorities
and kinds of routes. `crowd_violations` checks the responses against the runs that servers recorded
and the faults injected into the gateways.
"""

import random
import signal
import socket as plain_socket
from collections import Counter, deque
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from gevent import socket

from merlinstand.common.ids import CallId, RequestId
from merlinstand.kernel.effects import Effect, Respond, SetTimer, StartCall, WriteRecord
from merlinstand.kernel.events import (
    CallFailed,
    CallResponded,
    Event,
    RequestAborted,
    RequestReceived,
    Started,
    TimerFired,
)
from tests.users_platform.callers import HOST
from tests.users_platform.lookup_clients import LookupResponse
from tests.users_platform.servers import Arrival, RegisteredServer, expected_signature

if TYPE_CHECKING:
    from tests.users_platform.real_world import Machine, ProcessDeployment

NORMAL_PACE = 100
RUN_SECONDS = 0.1
"""Run time at the normal pace: three servers of four slots serve 120 requests a second."""
QUEUE_LIMIT = 8
"""Queue length of a server; further requests are refused."""
LARGE_PATH = "/large/"
LARGE_BYTES = 1_000_000
"""Exceeds the socket buffers between a server and its caller."""
ONCE_KIND = "once"
KIND_FIELD = 3
"""Index of the kind in a request id `crowd-TENANT-CROWD_NUMBER-KIND-NUMBER`."""
CROWD_RATE = 150.0
"""Requests per second, over twenty times the normal rate."""
CROWD_DEADLINE_MS = 1500
RESPONSE_MARGIN_SECONDS = 1.0
"""Client timeout beyond the stated deadline: all stubs share one process and may lag."""
PATHS = ("/lookup/crowd", "/urgent/crowd", "/once/crowd")
STATUSES = frozenset((200, 429, 502, 503, 504))
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses which state that a non-repeatable request has not run and will not run."""
STARTUP_SECONDS = 8.0
"""How long a gateway may be unavailable after a fault while its process restarts."""
READ_BYTES = 32_768
READ_PAUSE_SECONDS = 0.05
SLOW_READER_SECONDS = 12.0
"""Limit of a slow reader's request including the response, of which reading takes 1.6 s."""
RECOVERY_SECONDS = 5.0
"""Time after the end of a crowd from which all requests must succeed again."""
OBSERVATION_SECONDS = 2.0
"""Length of the time window in which that is checked."""


class CrowdResponse(msgspec.Struct, frozen=True):
    """Outcome of a request of a crowd or a slow reader; status 0: no response."""

    request_id: str
    gateway: str
    status: int
    is_complete: bool
    """Whether the response is complete and carries this request's signature and body."""
    is_marked_not_run: bool
    sent_at: float
    ended_at: float
    reason: str = ""


def response_body(request_id: str, path: str) -> bytes:
    """Return the expected body of the response to a request."""
    body = b"answer to " + request_id.encode()
    return body.ljust(LARGE_BYTES, b".") if path.startswith(LARGE_PATH) else body


class LoadedServer(RegisteredServer):
    """A server with slots and a bounded queue that reports its load and pace."""

    slots = 4

    def __init__(self, service: str, address: str, zone: str, controls: list[str]) -> None:
        super().__init__(service, address, zone, controls)
        self.pace = NORMAL_PACE
        self._queue: deque[tuple[RequestReceived, float]] = deque()

    def reduce(self, event: Event, now: float) -> list[Effect]:
        effects = super().reduce(event, now)
        if isinstance(event, RequestAborted):
            self._queue = deque(e for e in self._queue if e[0].request_id != event.request_id)
        return [self._with_load(e) for e in (*effects, *self._begin_waiting(now))]

    def _with_load(self, effect: Effect) -> Effect:
        if not isinstance(effect, Respond):
            return effect
        load = f"{len(self._in_progress)},{len(self._queue)},{self.slots},{self.pace}"
        headers = {**effect.headers, "X-Server-Load": load}
        return Respond(effect.request_id, effect.status, headers, effect.body)

    def _request(self, event: RequestReceived, now: float) -> list[Effect]:
        if len(self._in_progress) < self.slots:
            return self._begin(event, now)
        if len(self._queue) >= QUEUE_LIMIT:
            return [self._refuse(event)]
        self._queue.append((event, now))
        return []

    def _begin(self, event: RequestReceived, now: float) -> list[Effect]:
        self.work_seconds = RUN_SECONDS * self.pace / NORMAL_PACE
        return super()._request(event, now)

    def _begin_waiting(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._queue and len(self._in_progress) < self.slots:
            event, queued_at = self._queue.popleft()
            left_ms = float(event.headers.get("x-deadline-ms", CROWD_DEADLINE_MS))
            is_expired = now - queued_at > left_ms / 1000
            effects += [self._refuse(event)] if is_expired else self._begin(event, now)
        return effects

    def _refuse(self, event: RequestReceived) -> Respond:
        headers = {"X-Not-Executed": "1", "X-Request-Id": event.headers.get("x-request-id", "")}
        return Respond(event.request_id, 503, headers, b"")

    def _on_work_timer(self, name: str, now: float) -> list[Effect]:
        event = self._in_progress.get(RequestId(name.removeprefix("work:")))
        effects = super()._on_work_timer(name, now)
        if event is None or not event.path.startswith(LARGE_PATH):
            return effects
        body = response_body(event.headers.get("x-request-id", ""), event.path)
        return [
            Respond(e.request_id, e.status, e.headers, body) if isinstance(e, Respond) else e
            for e in effects
        ]


class CrowdCaller:
    """Sends one tenant's requests of a crowd."""

    def __init__(
        self, name: str, gateways: Sequence[str], keys: Sequence[str], seconds: float, rate: float
    ) -> None:
        """Initialize without requests in flight.

        Args:
            name: Prefix of the request ids.
            gateways: Addresses of the gateways; each request draws one.
            keys: API keys of the tenant; each request draws one.
            seconds: Duration of sending.
            rate: Requests per second.
        """
        self._name = name
        self._gateways = gateways
        self._keys = keys
        self._count = int(seconds * rate)
        self._interval_seconds = 1.0 / rate
        self._random = random.Random(0)
        self._sent = 0
        self._pending: dict[CallId, tuple[str, str, float]] = {}

    def start(self, event: Started, now: float) -> list[Effect]:
        self._random = random.Random(event.seed)
        return [SetTimer("send", 0.01)]

    def reduce(self, event: Event, now: float) -> list[Effect]:
        match event:
            case TimerFired():
                return self._send(now)
            case CallResponded() | CallFailed():
                return [WriteRecord("crowd", self._build_response(event, now))]
            case _:
                return []

    def _send(self, now: float) -> list[Effect]:
        if self._sent >= self._count:
            return []
        self._sent += 1
        path = self._random.choice(PATHS)
        gateway = self._random.choice(self._gateways)
        call_id = CallId(f"{self._name}-{path.split('/')[1]}-{self._sent}")
        self._pending[call_id] = (gateway, path, now)
        call = StartCall(
            call_id=call_id,
            address=gateway,
            method="POST",
            path=path,
            headers=request_headers(call_id, self._random.choice(self._keys)),
            body=b"crowd " + call_id.encode(),
            timeout_seconds=CROWD_DEADLINE_MS / 1000 + RESPONSE_MARGIN_SECONDS,
            host=HOST,
            fresh_connection=True,
        )
        return [call, SetTimer("send", self._interval_seconds * self._random.uniform(0.5, 1.5))]

    def _build_response(self, event: CallResponded | CallFailed, now: float) -> CrowdResponse:
        gateway, path, sent_at = self._pending.pop(event.call_id)
        name = str(event.call_id)
        if isinstance(event, CallFailed):
            reason = f"{event.phase.value}_{event.reason}"
            return CrowdResponse(name, gateway, 0, False, False, sent_at, now, reason)
        is_own = event.headers.get("x-server-stamp", "") == expected_signature(name)
        is_complete = is_own and event.body == response_body(name, path)
        is_marked_not_run = "x-not-executed" in event.headers
        return CrowdResponse(
            name, gateway, event.status, is_complete, is_marked_not_run, sent_at, now
        )


def request_headers(request_id: str, key: str) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(CROWD_DEADLINE_MS),
        "Authorization": f"Bearer {key}",
    }


def read_slowly(request_id: str, gateway: str, key: str, clock: Any) -> CrowdResponse:
    """Request a large response and read it slowly; blocks its greenlet.

    Args:
        request_id: Id of the request.
        gateway: Address of the gateway.
        key: API key of the caller.
        clock: Returns the time used in records.
    """
    sent_at = clock()
    data = b""
    reason = ""
    try:
        with gevent.Timeout(SLOW_READER_SECONDS, TimeoutError):
            data = _exchange_slowly(request_id, gateway, key)
    except OSError as error:
        reason = type(error).__name__
    head, _blank, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1]) if lines[0].startswith("HTTP/1.1 ") else 0
    headers = {
        n.strip().lower(): v.strip() for n, _colon, v in (x.partition(":") for x in lines[1:])
    }
    is_own = headers.get("x-server-stamp", "") == expected_signature(request_id)
    is_complete = is_own and body == response_body(request_id, LARGE_PATH)
    is_answer = status and len(body) == int(headers.get("content-length", "0"))
    return CrowdResponse(
        request_id,
        gateway,
        status if is_answer else 0,
        is_complete,
        "x-not-executed" in headers,
        sent_at,
        clock(),
        reason or f"{len(body)} bytes",
    )


def _exchange_slowly(request_id: str, gateway: str, key: str) -> bytes:
    ip, _colon, port = gateway.rpartition(":")
    connection = socket.socket()
    try:
        # Set before connecting: the TCP window is derived from it.
        connection.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, READ_BYTES)
        connection.connect((ip, int(port)))
        headers = request_headers(request_id, key) | {"Host": HOST, "Connection": "close"}
        lines = [f"GET {LARGE_PATH}x HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
        connection.sendall("\r\n".join([*lines, "", ""]).encode())
        data = bytearray()
        while piece := connection.recv(READ_BYTES):
            data += piece
            gevent.sleep(READ_PAUSE_SECONDS)
        return bytes(data)
    finally:
        connection.close()


def crowd_violations(deployment: "ProcessDeployment") -> list[str]:
    """Return violations in the responses to crowds and slow readers.

    Each request gets a complete response or a refusal, unless its gateway had a fault. A request
    that must not run twice doesn't, and has not run if the refusal states that.
    """
    ran = Counter(a.request_id for a in _records(deployment, "arrivals") if isinstance(a, Arrival))
    machines = {machine.ip: machine for machine in deployment.gateways}
    violations = []
    for response in [*_records(deployment, "crowd"), *_records(deployment, "slow")]:
        machine = machines[response.gateway.rpartition(":")[0]]
        violations += _response_violations(response, ran[response.request_id], machine)
    return violations


def _response_violations(response: CrowdResponse, runs: int, machine: "Machine") -> list[str]:
    name = f"{response}, {runs} runs"
    is_non_repeatable = response.request_id.split("-")[KIND_FIELD] == ONCE_KIND
    violations = []
    if is_non_repeatable and runs > 1:
        violations.append(f"ran twice: {name}")
    claims_not_run = response.is_marked_not_run or (
        is_non_repeatable and response.status in NOT_RUN_STATUSES
    )
    if claims_not_run and runs:
        violations.append(f"refused but has run: {name}")
    if response.status == 200 and not response.is_complete:
        violations.append(f"incomplete: {name}")
    if response.status and response.status not in STATUSES:
        violations.append(f"unexpected status: {name}")
    if not response.status and not _is_excused(response, machine):
        violations.append(f"no response: {name}")
    return violations


def _is_excused(response: CrowdResponse, machine: "Machine") -> bool:
    """Return whether a fault of the gateway explains a missing response.

    The fault occurred during the request, or so shortly before that the gateway was restarting. A
    gateway that gets SIGTERM completes requests in flight: this excuses only later requests.
    """
    for at, number in machine.disruptions:
        was_in_flight = response.sent_at < at
        if at > response.ended_at or response.sent_at > at + STARTUP_SECONDS:
            continue
        if number != signal.SIGTERM or not was_in_flight:
            return True
    return False


def recovery_violations(deployment: "ProcessDeployment", ended_at: float) -> list[str]:
    """Return lookups that failed after a crowd although no more faults are injected.

    Args:
        deployment: Source of the records.
        ended_at: Send time of the crowd's last request, on the clock of the records.
    """
    first = ended_at + RECOVERY_SECONDS
    times = deployment.simulation.record_times.get("lookups", [])
    responses = [
        response
        for response, at in zip(_records(deployment, "lookups"), times, strict=True)
        if isinstance(response, LookupResponse)
        and first <= at - response.seconds < first + OBSERVATION_SECONDS
    ]
    missing = [response for response in responses if response.status != 200]
    if not responses:
        return ["no lookups after the crowd"]
    return [f"lookup failed {RECOVERY_SECONDS} s after a crowd: {a}" for a in missing]


def crowd_summary(deployment: "ProcessDeployment") -> str:
    """Return the counts of requests of crowds and slow readers by kind and status."""
    counts = Counter(
        (response.request_id.split("-")[KIND_FIELD], response.status)
        for stream in ("crowd", "slow")
        for response in _records(deployment, stream)
    )
    return ", ".join(f"{kind} {status}: {n}" for (kind, status), n in sorted(counts.items()))


def _records(deployment: "ProcessDeployment", stream: str) -> list[Any]:
    return list(deployment.simulation.records.get(stream, []))
