"""Crowds of callers at the real programs, servers that fill up or become slow, and slow readers.

A crowd sends many times the usual rate for some seconds, of several tenants and ranks, some of it
requests that must not run twice. `crowd_violations` judges what outsiders saw of it. Used by the
fault soak; relies on `real_world` for the programs and for when their machines were struck.
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
"""A run at the usual pace: three servers bear 120 requests a second."""
QUEUE_LIMIT = 8
"""Requests that wait at a server; more are turned away."""
LARGE_PATH = "/large/"
LARGE_BYTES = 1_000_000
"""More than the buffers of the connections between a server and its caller take."""
ONCE_KIND = "once"
KIND_FIELD = 3
"""Of a request's id: crowd, tenant, number of the crowd, kind, number."""
CROWD_RATE = 150.0
"""Requests a second, over twenty times the usual rate."""
CROWD_DEADLINE_MS = 1500
RESPONSE_MARGIN_SECONDS = 1.0
"""A caller of a crowd waits this much longer than it says: the stand-ins share one process."""
PATHS = ("/lookup/crowd", "/urgent/crowd", "/once/crowd")
STATUSES = frozenset((200, 429, 502, 503, 504))
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""They say that a request which must not run twice has not run and never will."""
STARTUP_SECONDS = 8.0
"""So long after a strike a gateway may be missing: its process starts, beside many others."""
READ_BYTES = 32_768
READ_PAUSE_SECONDS = 0.05
SLOW_READER_SECONDS = 12.0
"""Longest time from a slow reader's request to the end of its answer; reading takes 1.6 s of it."""
RECOVERY_SECONDS = 5.0
"""So long after a crowd has gone all requests are served again."""
OBSERVATION_SECONDS = 2.0
"""For so long that is looked at."""


class CrowdResponse(msgspec.Struct, frozen=True):
    """How a request of a crowd, or of a slow reader, ended; status 0 is no answer."""

    request_id: str
    gateway: str
    status: int
    is_complete: bool
    """Whether an answer with status 200 was the one of this request, and complete."""
    is_marked_not_run: bool
    sent_at: float
    ended_at: float
    reason: str = ""


def response_body(request_id: str, path: str) -> bytes:
    """The body of the answer to a request."""
    body = b"answer to " + request_id.encode()
    return body.ljust(LARGE_BYTES, b".") if path.startswith(LARGE_PATH) else body


class LoadedServer(RegisteredServer):
    """A server with slots and a queue, which says how full and how slow it is."""

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
    """One tenant's part of a crowd."""

    def __init__(
        self, name: str, gateways: Sequence[str], keys: Sequence[str], seconds: float, rate: float
    ) -> None:
        """Begin with nothing sent.

        Args:
            name: Begins its requests' ids.
            gateways: Addresses; each request draws one.
            keys: Of its tenant.
            seconds: How long it sends.
            rate: Requests a second.
        """
        self._name = name
        self._gateways = gateways
        self._keys = keys
        self._count = int(seconds * rate)
        self._gap_seconds = 1.0 / rate
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
        return [call, SetTimer("send", self._gap_seconds * self._random.uniform(0.5, 1.5))]

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
    """Headers of a caller's request."""
    return {
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(CROWD_DEADLINE_MS),
        "Authorization": f"Bearer {key}",
    }


def read_slowly(request_id: str, gateway: str, key: str, clock: Any) -> CrowdResponse:
    """Ask for a large answer and read it little by little; runs in a greenlet of its own.

    Args:
        request_id: Of the request.
        gateway: Whom to ask.
        key: The caller's key.
        clock: Gives the time of the records.
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
        # Before the connection stands: the window follows from it.
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
    """Broken promises to crowds and slow readers.

    Each request gets a whole answer or a refusal, unless its gateway was struck; one that must not
    run twice doesn't, and has not run if it was refused as such.
    """
    ran = Counter(a.request_id for a in _records(deployment, "arrivals") if isinstance(a, Arrival))
    machines = {machine.ip: machine for machine in deployment.gateways}
    found = []
    for response in [*_records(deployment, "crowd"), *_records(deployment, "slow")]:
        machine = machines[response.gateway.rpartition(":")[0]]
        found += _response_violations(response, ran[response.request_id], machine)
    return found


def _response_violations(response: CrowdResponse, runs: int, machine: "Machine") -> list[str]:
    name = f"{response}, {runs} runs"
    is_once = response.request_id.split("-")[KIND_FIELD] == ONCE_KIND
    found = []
    if is_once and runs > 1:
        found.append(f"ran twice: {name}")
    claims_not_run = response.is_marked_not_run or (is_once and response.status in NOT_RUN_STATUSES)
    if claims_not_run and runs:
        found.append(f"refused and has run: {name}")
    if response.status == 200 and not response.is_complete:
        found.append(f"not whole: {name}")
    if response.status and response.status not in STATUSES:
        found.append(f"neither an answer nor a refusal: {name}")
    if not response.status and not _is_excused(response, machine):
        found.append(f"no answer: {name}")
    return found


def _is_excused(response: CrowdResponse, machine: "Machine") -> bool:
    """Whether a request's gateway was struck while it was under way, or was about to start.

    A gateway that is asked to stop ends what it has begun: only later requests are excused by that.
    """
    for at, number in machine.disruptions:
        was_begun = response.sent_at < at
        if at > response.ended_at or response.sent_at > at + STARTUP_SECONDS:
            continue
        if number != signal.SIGTERM or not was_begun:
            return True
    return False


def recovery_violations(deployment: "ProcessDeployment", ended_at: float) -> list[str]:
    """Lookups that weren't served a while after a crowd, when nothing is struck any more.

    Args:
        world: Whose records are read.
        ended_at: When the crowd's last request was sent, by the time of the records.
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
        return ["nobody asked after the crowd"]
    return [f"not served {RECOVERY_SECONDS} s after a crowd: {a}" for a in missing]


def crowd_summary(deployment: "ProcessDeployment") -> str:
    """How requests of crowds and slow readers ended, by kind and status."""
    counts = Counter(
        (response.request_id.split("-")[KIND_FIELD], response.status)
        for stream in ("crowd", "slow")
        for response in _records(deployment, stream)
    )
    return ", ".join(f"{kind} {status}: {n}" for (kind, status), n in sorted(counts.items()))


def _records(deployment: "ProcessDeployment", stream: str) -> list[Any]:
    return list(deployment.simulation.records.get(stream, []))
