"""Detects backends that crash while they run this daemon's requests.

Items of batch jobs never crash backends by themselves: their calls serve to detect crashes, but the
items are neither suspects nor reported, and no crash holds them back.

Tracks this daemon's calls in flight and those that ended without a response. A broken connection is
no evidence of a crash: responses are lost and connections are reset while the backend keeps
running. A backend at which a call broke off is therefore probed on a new connection. It has crashed
only if it refuses the connection, or if another incarnation has taken its address. All requests
that this daemon had in flight at the backend, or cancelled shortly before, are then suspects.
Attempts that end without a response are reported at once. While the control leader requests it,
each attempt is even reported on send (`attempt_reports`). Both are necessary because this daemon
may die before it finds out whether the backend crashed.
Used by the reducers of gateways and keepers.
"""

from collections.abc import Callable, Collection
from http import HTTPStatus

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.kernel.effects import Effect, LogEvent, StartCall
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from merlinstand.quarantine.follower import SuspectTable
from merlinstand.quarantine.rules import has_backend_outlived, may_have_crashed_backend

CALL_PREFIX = "alive:"
"""Prefix of the call ids of probes, whose results go to `CrashDetector.on_call`."""
PROBE_TIMEOUT_SECONDS = 0.5
"""Timeout of a probe. A crashed backend refuses a connection within some ms. An overloaded backend
may not respond to the probe in time, but the established connection alone shows that it is alive.
"""
UNANSWERED_PER_BACKEND_LIMIT = 64
"""Maximum unanswered attempts remembered for each backend."""
BROKEN_CONNECTION_REASONS = frozenset(("reset", "truncated"))
"""Failure reasons that a crash of the backend may cause. Timeouts and malformed responses, in
contrast, come from backends that are still running."""
REFUSED_REASON = "refused"
"""Failure reason of a connection to an address at which no process listens."""


class _InFlightCall(msgspec.Struct, frozen=True):
    """A call in flight."""

    backend: Backend
    content_of: Callable[[], ContentDigest] | None
    sent_at: float


class _UnansweredAttempt(msgspec.Struct, frozen=True):
    """A call that ended without a response."""

    content: ContentDigest | None
    """None for an item of a batch job."""
    ended_at: float


class _UnansweredAtBackend(msgspec.Struct):
    """A backend and the calls to it that ended without a response."""

    backend: Backend
    attempts: list[_UnansweredAttempt]


class CrashDetector:
    """Tracks all requests that one daemon has in flight and detects crashed backends."""

    def __init__(
        self,
        suspects: SuspectTable,
        names: HeaderNames,
        health_path_of: Callable[[str], str],
        cold_budget: ColdBackendBudget,
    ) -> None:
        """Create a detector without calls in flight.

        Args:
            suspects: Table in which crashes and served requests are recorded.
            names: Header names.
            health_path_of: Returns the path of a service's health check; empty if there is none, in
                which case the service's backends are not probed.
            cold_budget: Limits the sends, including probes, to cold backends.
        """
        self.suspects = suspects
        self._names = names
        self._health_path_of = health_path_of
        self._cold_budget = cold_budget
        self._in_flight: dict[CallId, _InFlightCall] = {}
        self._unanswered: dict[BackendId, _UnansweredAtBackend] = {}
        self._probes: dict[CallId, Backend] = {}
        self._probed_ids: set[BackendId] = set()
        self._probe_count = 0

    def record_send(
        self,
        call_id: CallId,
        backend: Backend,
        content_of: Callable[[], ContentDigest] | None,
        now: float,
    ) -> None:
        """Record that a request is sent to a backend.

        Args:
            call_id: Id of the call.
            backend: Receiver of the request.
            content_of: Returns the request's content digest; called when the call has ended, or at
                once if the attempt is announced. None for an item of a batch job, which is never
                to blame for a crash.
            now: Local time in seconds.
        """
        self._in_flight[call_id] = _InFlightCall(backend, content_of, now)
        if content_of is not None:
            self.suspects.record_send(call_id, backend, content_of, now)

    def _remove_call(self, call_id: CallId) -> _InFlightCall | None:
        """Remove and return a call that has ended; None if it is unknown."""
        self.suspects.record_end(call_id)
        return self._in_flight.pop(call_id, None)

    def record_response(self, call_id: CallId, now: float) -> None:
        """Record a complete response: the backend is alive, and the request didn't crash it."""
        call = self._remove_call(call_id)
        if call is None:
            return
        self._record_alive(call.backend.backend_id, call.sent_at)
        if call.content_of is not None:
            self.suspects.record_served(call.content_of(), now)

    def record_refusal(self, call_id: CallId) -> None:
        """Record a response that says that the request was not started.

        The response does not clear the request of suspicion.
        """
        call = self._remove_call(call_id)
        if call is not None:
            self._record_alive(call.backend.backend_id, call.sent_at)
            self._release_permit(call)

    def _release_permit(self, call: _InFlightCall) -> None:
        if call.content_of is not None and not self.suspects.is_empty:
            self.suspects.return_permit(call.content_of())

    def _record_alive(self, backend_id: BackendId, alive_at: float) -> None:
        """Record a time at which a backend was alive, and drop the attempts it has outlived."""
        self.suspects.record_alive(backend_id)
        unanswered = self._unanswered.get(backend_id)
        if unanswered is None:
            return
        unanswered.attempts = [
            attempt
            for attempt in unanswered.attempts
            if not has_backend_outlived(attempt.ended_at, alive_at=alive_at)
        ]
        if not unanswered.attempts:
            del self._unanswered[backend_id]
            self.suspects.record_outlived(backend_id)

    def record_cancellation(self, call_id: CallId, now: float) -> None:
        """Record a call that was cancelled or whose response was unusable."""
        call = self._remove_call(call_id)
        if call is not None:
            self._record_unanswered(call, now)

    def _record_unanswered(self, call: _InFlightCall, now: float) -> None:
        unanswered = self._unanswered.setdefault(
            call.backend.backend_id, _UnansweredAtBackend(call.backend, [])
        )
        held = [
            attempt
            for attempt in unanswered.attempts
            if may_have_crashed_backend(attempt.ended_at, now)
        ]
        content = call.content_of() if call.content_of is not None else None
        held.append(_UnansweredAttempt(content, now))
        unanswered.attempts = held[-UNANSWERED_PER_BACKEND_LIMIT:]
        if content is not None:
            self.suspects.record_unanswered(call.backend.backend_id, content, now)

    def record_failure(self, event: CallFailed, now: float) -> list[Effect]:
        """Record a failed call; return a probe of its backend if the connection broke."""
        call = self._remove_call(event.call_id)
        if call is None:
            return []
        if event.phase is CallPhase.CONNECT:
            self._release_permit(call)
            is_refused = event.reason == REFUSED_REASON
            return self._record_crash(call.backend, now) if is_refused else []
        self._record_unanswered(call, now)
        return self._probe(call.backend, now) if event.reason in BROKEN_CONNECTION_REASONS else []

    def _probe(self, backend: Backend, now: float) -> list[Effect]:
        path = self._health_path_of(backend.service)
        needs_no_probe = backend.is_draining or backend.backend_id in self._probed_ids
        if not path or needs_no_probe or not self._cold_budget.may_send_to(backend, now):
            return []
        self._probe_count += 1
        call_id = CallId(f"{CALL_PREFIX}{self._probe_count}")
        self._probes[call_id] = backend
        self._probed_ids.add(backend.backend_id)
        self._cold_budget.record_send(backend, now)
        headers = {
            self._names.request_id: f"{backend.backend_id}-{self._probe_count}",
            self._names.deadline_ms: str(int(PROBE_TIMEOUT_SECONDS * 1000)),
            self._names.expected_backend: backend.backend_id,
        }
        return [
            StartCall(
                call_id=call_id,
                address=backend.address,
                method="GET",
                path=path,
                headers=headers,
                body=b"",
                timeout_seconds=PROBE_TIMEOUT_SECONDS,
                fresh_connection=True,
            )
        ]

    def is_probing(self, backend_id: BackendId) -> bool:
        """Whether a probe of a backend is in flight."""
        return backend_id in self._probed_ids

    def on_call(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """Handle the result of a probe: a call whose id begins with `CALL_PREFIX`."""
        backend = self._probes.pop(event.call_id, None)
        if backend is None:
            return []
        self._probed_ids.discard(backend.backend_id)
        if isinstance(event, CallFailed):
            is_refused = event.phase is CallPhase.CONNECT and event.reason == REFUSED_REASON
            return self._record_crash(backend, now) if is_refused else []
        if event.status == HTTPStatus.MISDIRECTED_REQUEST:
            return self._record_crash(backend, now)
        self._record_alive(backend.backend_id, now)
        return []

    def _record_crash(self, backend: Backend, now: float) -> list[Effect]:
        """Record that a backend crashed, and as suspects its recent attempts without a response.

        The end of a draining backend is expected and not recorded. Calls still in flight are not
        suspects yet: they may still be connecting, and calls that were sent will fail and then
        count.
        """
        unanswered = self._unanswered.pop(backend.backend_id, None)
        held = unanswered.attempts if unanswered is not None else []
        attempts = [a for a in held if may_have_crashed_backend(a.ended_at, now)]
        if backend.is_draining:
            return []
        contents = dict.fromkeys(a.content for a in attempts if a.content is not None)
        suspected = self.suspects.record_crash(backend.backend_id, contents, now)
        if not attempts:
            return []
        fields = {
            "backend": backend.backend_id,
            "service": backend.service,
            "in_flight": len(attempts),
            "suspected": ",".join(suspected),
        }
        return [LogEvent("backend.crashed", fields)]

    def update_backends(self, present: Collection[Backend], now: float) -> list[Effect]:
        """Compare with the backends that are registered now, and report crashed backends.

        A backend whose address now belongs to another incarnation of its service has crashed,
        unless it was draining.
        """
        effects: list[Effect] = []
        if not self._unanswered:
            return effects
        ids = {backend.backend_id for backend in present}
        for backend_id, unanswered in list(self._unanswered.items()):
            if backend_id in ids:
                continue
            place = (unanswered.backend.address, unanswered.backend.service)
            if any((backend.address, backend.service) == place for backend in present):
                effects.extend(self._record_crash(unanswered.backend, now))
            self._unanswered.pop(backend_id, None)
        return effects
