"""Stubs of the platform's live clients: lookups, and calls for another tenant's jobs."""

import random
from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import Effect, SetTimer, StartCall, WriteRecord
from merlinstand.kernel.events import CallFailed, CallResponded, Event, Started, TimerFired
from tests.users_platform.callers import HOST, JOB_CALL_TIMEOUT_SECONDS
from tests.users_platform.servers import CRASH_BODY_PREFIX

LOOKUP_INTERVAL_SECONDS = 0.15
LOOKUP_DEADLINE_MS = 1500
RESPONSE_MARGIN_SECONDS = 0.2
"""Client timeout beyond the deadline that the request states."""


class CrossTenantResponse(msgspec.Struct, frozen=True):
    """Response to a tenant's call for another tenant's job."""

    call: str
    status: int


class LookupResponse(msgspec.Struct, frozen=True):
    """Outcome of a lookup; status 0: no response."""

    request_id: str
    status: int
    signature: str
    body: bytes
    seconds: float


class _LookupSender:
    """Sends the lookups of one client and tracks those in flight."""

    def __init__(self, gateways: list[str], keys: Sequence[str], deadline_ms: int) -> None:
        self._gateways = gateways
        self._keys = keys
        self._deadline_ms = deadline_ms
        self._random = random.Random(0)
        self._pending: dict[CallId, float] = {}

    def seed(self, seed: int) -> None:
        """Seed the random choices."""
        self._random = random.Random(seed)

    def send(
        self,
        request_id: str,
        path: str,
        body: bytes,
        now: float,
        headers: dict[str, str] | None = None,
        fresh_connection: bool = False,
    ) -> StartCall:
        """Send a lookup to a random gateway, with one of the client's API keys if it has any."""
        call_id = CallId(request_id)
        self._pending[call_id] = now
        own = {"X-Request-Id": request_id, "X-Deadline-Ms": str(self._deadline_ms)}
        if self._keys:
            own["Authorization"] = f"Bearer {self._random.choice(self._keys)}"
        return StartCall(
            call_id=call_id,
            address=self._random.choice(self._gateways),
            method="POST",
            path=path,
            headers=own | (headers or {}),
            body=body,
            timeout_seconds=self._deadline_ms / 1000 + RESPONSE_MARGIN_SECONDS,
            host=HOST,
            fresh_connection=fresh_connection,
        )

    def response(self, event: CallResponded | CallFailed, now: float) -> LookupResponse:
        """Return the outcome of a lookup that is no longer in flight."""
        seconds = now - self._pending.pop(event.call_id)
        if isinstance(event, CallFailed):
            return LookupResponse(event.call_id, 0, "", b"", seconds)
        signature = event.headers.get("x-server-stamp", "")
        return LookupResponse(event.call_id, event.status, signature, event.body, seconds)


class LookupClient:
    """Sends lookups at a fixed interval; never retries."""

    def __init__(
        self, name: str, gateways: list[str], first_at: float = 6.0, keys: tuple[str, ...] = ()
    ) -> None:
        self._name = name
        # The gateway must ignore a tenant header that a caller sends.
        self._headers = {"X-Tenant": "somebody-else"} if keys else {}
        self._first_at = first_at
        self._lookups = _LookupSender(gateways, keys, LOOKUP_DEADLINE_MS)
        self._count = 0

    def start(self, event: Started, now: float) -> list[Effect]:
        self._lookups.seed(event.seed)
        return [SetTimer("ask", self._first_at)]

    def reduce(self, event: Event, now: float) -> list[Effect]:
        match event:
            case TimerFired(name="ask"):
                self._count += 1
                request_id = f"{self._name}-{self._count}"
                path = "/lookup/stock?q=1"
                call = self._lookups.send(request_id, path, b"body", now, self._headers)
                return [SetTimer("ask", LOOKUP_INTERVAL_SECONDS), call]
            case CallResponded() | CallFailed():
                return [WriteRecord("lookups", self._lookups.response(event, now))]
            case _:
                return []


class RepeatingCaller:
    """Repeats one request at given times, each time with a new request id."""

    def __init__(
        self,
        name: str,
        gateways: list[str],
        times: tuple[float, ...],
        keys: tuple[str, ...] = (),
        body: bytes = CRASH_BODY_PREFIX,
        deadline_ms: int = LOOKUP_DEADLINE_MS,
    ) -> None:
        """Initialize without requests in flight.

        Args:
            name: Prefix of the request ids.
            gateways: Addresses of the gateways; each send draws one.
            times: Send times, in seconds after the start.
            keys: API keys; each send draws one.
            body: Request body; the default crashes servers.
            deadline_ms: Deadline stated in each request.
        """
        self._name = name
        self._times = times
        self._body = body
        self._lookups = _LookupSender(gateways, keys, deadline_ms)

    def start(self, event: Started, now: float) -> list[Effect]:
        self._lookups.seed(event.seed)
        return [SetTimer(f"{n}", max(0.01, at)) for n, at in enumerate(self._times)]

    def reduce(self, event: Event, now: float) -> list[Effect]:
        match event:
            case TimerFired(name=name):
                request_id = f"{self._name}-{name}"
                path = "/lookup/repeated"
                return [
                    self._lookups.send(request_id, path, self._body, now, fresh_connection=True)
                ]
            case CallResponded() | CallFailed():
                response = self._lookups.response(event, now)
                return [WriteRecord(f"repeated-{self._name}", response)]
            case _:
                return []


class CrossTenantReader:
    """Client of another tenant that tries to read and delete a trainer's jobs."""

    def __init__(self, gateways: list[str], jobs: list[str], key: str) -> None:
        self._gateways = gateways
        self._jobs = jobs
        self._key = key
        self._random = random.Random(0)
        self._count = 0

    def start(self, event: Started, now: float) -> list[Effect]:
        self._random = random.Random(event.seed)
        return [SetTimer("ask", 7.0)]

    def reduce(self, event: Event, now: float) -> list[Effect]:
        match event:
            case TimerFired():
                return [SetTimer("ask", 0.1), *self._ask()]
            case CallResponded():
                kind = event.call_id.partition("#")[0]
                return [WriteRecord("foreign", CrossTenantResponse(kind, event.status))]
            case _:
                return []

    def _ask(self) -> list[Effect]:
        self._count += 1
        job = self._random.choice(self._jobs)
        item = f"{job.removeprefix('job-')}-0-0"
        method, path = self._random.choice(
            [
                ("GET", f"/lots/{job}?After=0"),
                ("GET", f"/items/{job}?Id={item}"),
                ("DELETE", f"/lots/{job}"),
            ]
        )
        return [
            StartCall(
                call_id=CallId(f"{method} {path}#{self._count}"),
                address=self._random.choice(self._gateways),
                method=method,
                path=path,
                headers={"Authorization": f"Bearer {self._key}", "X-Tenant": "alpha"},
                body=b"",
                timeout_seconds=JOB_CALL_TIMEOUT_SECONDS,
                host=HOST,
                fresh_connection=True,
            )
        ]
