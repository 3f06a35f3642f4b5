"""Sends requests to back ends until one answers whole, or time or attempts run out.

Pure part of a reducer: the owner passes call events and timers of its prefix in, performs the
effects, and takes what `take_finished` gives.
"""

from collections.abc import Callable

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.places import Places
from merlinstand.cluster.regions import NO_SERVER_REASON, servers_within
from merlinstand.cluster.requests import (
    Answered,
    Finished,
    ForwardOutcome,
    ForwardRequest,
    NotRun,
    OutcomeUnknown,
)
from merlinstand.cluster.routes import RouteKind
from merlinstand.cold_servers.wait import COLD_REASON, ColdWait
from merlinstand.common.ids import BackendId, CallId
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.kernel.effects import (
    CancelCall,
    CancelTimer,
    Effect,
    LogEvent,
    SetTimer,
    StartCall,
)
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from merlinstand.quarantine.crash_watch import CrashWatch
from merlinstand.quarantine.follower import SuspectTable
from merlinstand.quarantine.gate import (
    QUARANTINED_REASON,
    SPARED_REASON,
    SPARED_RETRY_SECONDS,
    Admission,
    QuarantineGate,
    refusal_log,
)
from merlinstand.quarantine.request_digest import KnownRequest

CALL_PREFIX = "forward:"
TIMER_PREFIX = "forward."
MISDIRECTED_STATUS = 421
FIRST_SERVER_ERROR_STATUS = 500
BUSY_PAUSE_SECONDS = 0.02
"""Wait before a request that was turned away as not run is offered again."""
UNCONNECTED_TRIES = 2
"""Tries beyond the route's number of servers: connections that never came up ran nothing."""
CALL_TIMEOUT_REASON = "timeout"
HEDGE_SHARE = 0.6
"""A repeatable request is sent a second time after this share of its aim."""
SHORTEST_HEDGE_SECONDS = 0.06
RETRY_AFTER_SECONDS = 0.1
"""Told to callers whose request has not run."""
VERDICT_SECONDS = 0.05
"""Longest wait of a request whose try broke off for whether its server has ended: the next try goes
where that does least harm. A server that ended refuses a connection after one way there and back,
1 to 40 ms."""
DEADLINE_MARGIN_SECONDS = 0.01
SHORTEST_TIME_SECONDS = 0.005


class _Attempt(msgspec.Struct, frozen=True):
    backend: Backend
    started_at: float
    is_suspect: bool = False
    """Whether servers had ended under the request when it was sent."""


class _Pending(KnownRequest):
    """A request on its way."""

    tried: set[BackendId] = msgspec.field(default_factory=set)
    running: dict[CallId, _Attempt] = msgspec.field(default_factory=dict)
    tries: int = 0
    sent: int = 0
    """Tries that ran, may have run, or were turned away; not those that never connected."""
    may_have_run: bool = False
    failed_answers: int = 0
    last_error_answer: Answered | None = None
    last_reason: str = ""
    doubted: BackendId | None = None
    """Server at which its last try broke off, while that is asked whether it has ended."""

    def silent_backends(self) -> list[Backend]:
        """Back ends where a try is under way; asked for once it has taken too long."""
        return [attempt.backend for attempt in self.running.values()]


class Forwarder:
    """All requests that one process forwards."""

    def __init__(
        self,
        names: HeaderNames,
        backends_of: Callable[[str], tuple[Backend, ...]],
        places: Places | None = None,
        chooser: BackendChooser | None = None,
        watch: CrashWatch | None = None,
    ) -> None:
        """Begin without requests.

        Args:
            names: Header names.
            backends_of: Gives the registered back ends of a service.
            places: Regions of the zones; without, no server is in any region.
            chooser: Chooses among them; without one, all are taken to be equally far.
            watch: Notices servers that end; without one, nobody else is told of them.
        """
        self.chooser = chooser or BackendChooser()
        self._watch = watch or CrashWatch(SuspectTable(), names, _no_path, self.chooser.cold)
        self._gate = QuarantineGate(self._watch.suspects, f"{TIMER_PREFIX}trial:")
        self._cold_wait = ColdWait(self.chooser.cold, f"{TIMER_PREFIX}cold:")
        self._names = names
        self._backends_of = backends_of
        self._places = Places() if places is None else places
        self._pending: dict[str, _Pending] = {}
        self._finished: list[Finished] = []
        self._calls = 0

    def __len__(self) -> int:
        """Requests on their way."""
        return len(self._pending)

    def take_finished(self) -> list[Finished]:
        """Give the requests that ended since the last time."""
        finished, self._finished = self._finished, []
        return finished

    def begin(self, request: ForwardRequest, now: float) -> list[Effect]:
        """Take a request."""
        pending = _Pending(request)
        self._pending[request.key] = pending
        left = request.deadline_at - now
        effects: list[Effect] = [SetTimer(f"{TIMER_PREFIX}deadline:{request.key}", max(0.0, left))]
        return effects + self._send(pending, now)

    def abort(self, key: str, now: float) -> list[Effect]:
        """The caller left: stop the work everywhere."""
        pending = self._pending.pop(key, None)
        return [] if pending is None else self._clean_up(pending, now)

    def on_timer(self, name: str, now: float) -> list[Effect]:
        """A timer with `TIMER_PREFIX` fired."""
        kind, _colon, key = name.removeprefix(TIMER_PREFIX).partition(":")
        pending = self._pending.get(key)
        if pending is None:
            return []
        if kind == "deadline":
            return self._give_up(pending, "time ran out", now, is_late=True)
        if kind == "hedge" and pending.running:
            return self._hedge(pending, now)
        if kind == "retry" and not pending.running:
            return self._send(pending, now)
        if kind == "cold" and not pending.running:
            self._cold_wait.end(key)
            return self._refuse_cold(pending, now)
        if kind == "trial" and not pending.running:
            return self._refuse_quarantined(pending, now)
        if kind == "verdict" and pending.doubted is not None:
            return self._after_verdict(pending, now)
        return []

    def on_verdicts(self, now: float) -> list[Effect]:
        """Servers were found gone, or there: go on with the requests that waited for that."""
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            if pending.doubted is not None and not self._watch.is_asked(pending.doubted):
                effects.append(CancelTimer(f"{TIMER_PREFIX}verdict:{pending.request.key}"))
                effects.extend(self._after_verdict(pending, now))
        return effects

    def _after_verdict(self, pending: _Pending, now: float) -> list[Effect]:
        pending.doubted = None
        return self._try_again(pending, now)

    def on_suspects(self, now: float) -> list[Effect]:
        """What is held against requests has changed: go on with those that waited for leave."""
        effects: list[Effect] = []
        for key in self._gate.waiting:
            pending = self._pending.get(key)
            if pending is not None and self._admit(pending, now) is not Admission.WAIT:
                effects.extend(self._gate.end(key))
                effects.extend(self._send(pending, now))
        return effects

    def resume(self, now: float) -> list[Effect]:
        """The leader answered: go on with requests that waited for grants, or refuse them."""
        effects: list[Effect] = []
        for key in self._cold_wait.take_all():
            pending = self._pending.get(key)
            if pending is None or pending.running:
                continue
            is_open = self._candidate(pending, now) is not None
            if not is_open and self._waits_on(pending, now):
                continue
            effects.append(CancelTimer(f"{TIMER_PREFIX}cold:{key}"))
            effects.extend((self._send if is_open else self._refuse_cold)(pending, now))
        return effects

    def on_call(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """A call with `CALL_PREFIX` ended."""
        key = event.call_id.removeprefix(CALL_PREFIX).rpartition("#")[0]
        pending = self._pending.get(key)
        attempt = pending.running.pop(event.call_id, None) if pending is not None else None
        if pending is None or attempt is None:
            return []
        evidence = self.chooser.evidence(attempt.backend.backend_id)
        evidence.in_flight -= 1
        evidence.suspects -= attempt.is_suspect
        if isinstance(event, CallFailed):
            evidence.note_failure(now)
            self.chooser.cold.note_failure(attempt.backend, event, now)
            if event.reason == CALL_TIMEOUT_REASON:
                self.chooser.note_silence(attempt.backend, now)
            if event.phase is CallPhase.CONNECT:
                pending.sent -= 1
            else:
                pending.may_have_run = True
            pending.last_reason = f"{event.phase.value}_{event.reason}"
            asked = self._watch.failed(event, now)
            return asked + self._after_failure(pending, event, attempt, now)
        return self._after_answer(pending, event, attempt, now)

    # Answers

    def _after_answer(
        self, pending: _Pending, event: CallResponded, attempt: _Attempt, now: float
    ) -> list[Effect]:
        evidence = self.chooser.evidence(attempt.backend.backend_id)
        self.chooser.note_heard(attempt.backend, now)
        if self._is_not_run(event):
            self._watch.turned_away(event.call_id)
            evidence.note_latency(now - attempt.started_at + BUSY_PAUSE_SECONDS, now)
            if event.status == MISDIRECTED_STATUS:
                evidence.note_failure(now)
            pending.last_reason = f"not_run_{event.status}"
            return self._try_again(pending, now)
        self._watch.answered(event.call_id, now)
        answer = Answered(event.status, event.headers, event.body)
        if event.status < FIRST_SERVER_ERROR_STATUS:
            evidence.note_success()
            evidence.note_latency(now - attempt.started_at, now)
            return self._finish(pending, answer, attempt, now)
        pending.may_have_run = True
        pending.last_error_answer = answer
        pending.failed_answers += event.status == FIRST_SERVER_ERROR_STATUS
        pending.last_reason = f"status_{event.status}"
        if pending.request.route.kind is RouteKind.REPEATABLE:
            return self._try_again(pending, now)
        return self._finish(pending, answer, attempt, now)

    def _is_not_run(self, event: CallResponded) -> bool:
        return self._names.not_run in event.headers or event.status == MISDIRECTED_STATUS

    def _after_failure(
        self, pending: _Pending, event: CallFailed, attempt: _Attempt, now: float
    ) -> list[Effect]:
        fields = {
            "request": pending.request.request_id,
            "backend": attempt.backend.backend_id,
            "phase": event.phase.value,
            "reason": event.reason,
        }
        if event.phase is not CallPhase.CONNECT:
            # What failed at a server is looked for over tries, callers and gateways.
            fields["content"] = pending.content(self._names)
            fields["caller"] = pending.request.caller
        log = LogEvent("request.attempt_failed", fields)
        is_repeatable = pending.request.route.kind is RouteKind.REPEATABLE
        if is_repeatable and self._awaits_verdict(pending, event, attempt):
            pending.doubted = attempt.backend.backend_id
            name = f"{TIMER_PREFIX}verdict:{pending.request.key}"
            return [log, SetTimer(name, VERDICT_SECONDS)]
        if is_repeatable or event.phase is CallPhase.CONNECT:
            return [log, *self._try_again(pending, now)]
        return [log, *self._give_up(pending, pending.last_reason, now)]

    def _awaits_verdict(self, pending: _Pending, event: CallFailed, attempt: _Attempt) -> bool:
        """Whether the next try had better wait for whether the server of the last one has ended."""
        is_broken = event.phase is not CallPhase.CONNECT
        is_last = pending.running or not self._has_attempts(pending)
        return is_broken and not is_last and self._watch.is_asked(attempt.backend.backend_id)

    def _try_again(self, pending: _Pending, now: float) -> list[Effect]:
        if pending.running:
            # The other try goes on; it gets company in its turn.
            return self._plan_hedge(pending)
        if not self._has_attempts(pending):
            return self._give_up(pending, pending.last_reason, now)
        if self._candidate(pending, now) is not None:
            return self._send(pending, now)
        waits = self._await_cold(pending, now)
        if not waits and self._admit(pending, now) is Admission.NOT_LAST_SERVER:
            return self._give_up(pending, SPARED_REASON, now)
        return waits or self._pause(pending)

    def _pause(self, pending: _Pending) -> list[Effect]:
        """Every server was asked: ask them once more, after a pause."""
        pending.tried.clear()
        return [SetTimer(f"{TIMER_PREFIX}retry:{pending.request.key}", BUSY_PAUSE_SECONDS)]

    def _has_attempts(self, pending: _Pending) -> bool:
        most = max(1, pending.request.route.maximum_attempts)
        return pending.sent < most and pending.tries < most + UNCONNECTED_TRIES

    # What is held against a request

    def _admit(self, pending: _Pending, now: float) -> Admission:
        return self._gate.admit(lambda: pending.content(self._names), now)

    def _is_suspect(self, pending: _Pending, now: float) -> bool:
        return self._admit(pending, now) is not Admission.ALLOWED

    def _refuse_quarantined(self, pending: _Pending, now: float) -> list[Effect]:
        log = refusal_log(pending.request.request_id, pending.content(self._names))
        return [log, *self._give_up(pending, QUARANTINED_REASON, now)]

    # Sending

    def _candidate(self, pending: _Pending, now: float) -> Backend | None:
        allowed = self._allowed(pending)
        silent = pending.silent_backends()
        admission = self._admit(pending, now)
        is_suspect = admission is not Admission.ALLOWED
        is_sparing = admission is Admission.NOT_LAST_SERVER
        return self.chooser.choose(allowed, pending.tried, now, silent, is_suspect, is_sparing)

    def _allowed(self, pending: _Pending) -> tuple[Backend, ...]:
        """Back ends of the request's service in the regions that may serve it."""
        request = pending.request
        backends = self._backends_of(request.service)
        return servers_within(backends, request.allowed_regions, self._places)

    def _closed(self, pending: _Pending, now: float) -> list[Backend]:
        """Cold back ends that only a grant opens to the request."""
        return self.chooser.closed(self._allowed(pending), pending.tried, now)

    def _await_cold(self, pending: _Pending, now: float) -> list[Effect]:
        """Wait for a grant if cold back ends are left; nothing if there are none, or in vain."""
        return self._cold_wait.begin(pending.request, self._closed(pending, now), now)

    def _waits_on(self, pending: _Pending, now: float) -> bool:
        return self._cold_wait.go_on(pending.request, self._closed(pending, now), now)

    def _refuse_cold(self, pending: _Pending, now: float) -> list[Effect]:
        """Nothing may be sent to cold back ends: ask the others again, or refuse the request."""
        if pending.sent and self._has_attempts(pending):
            return self._pause(pending)
        return self._give_up(pending, COLD_REASON, now)

    def _send(self, pending: _Pending, now: float) -> list[Effect]:
        # Each try passes here, also second ones: what ended servers must not end the next one.
        admission = self._admit(pending, now)
        if admission is Admission.WAIT:
            return self._gate.wait(pending.request.key, pending.content(self._names))
        if admission is Admission.REJECTED:
            return self._refuse_quarantined(pending, now)
        backend = self._candidate(pending, now)
        if backend is None:
            reason = self._reason_for_none(pending, now)
            return self._await_cold(pending, now) or self._give_up(pending, reason, now)
        request = pending.request
        left = request.deadline_at - now
        if left < SHORTEST_TIME_SECONDS:
            return self._give_up(pending, "time ran out", now, is_late=True)
        self._calls += 1
        call_id = CallId(f"{CALL_PREFIX}{request.key}#{self._calls}")
        is_suspect = admission is not Admission.ALLOWED
        pending.running[call_id] = _Attempt(backend, now, is_suspect)
        if is_suspect:
            self.chooser.evidence(backend.backend_id).suspects += 1
            self._gate.note_sent(lambda: pending.content(self._names))
        self._watch.sent(call_id, backend, lambda: pending.content(self._names), now)
        pending.tried.add(backend.backend_id)
        pending.tries += 1
        pending.sent += 1
        self.chooser.begin(backend, now)
        headers = {
            **request.headers,
            self._names.request_id: request.request_id,
            self._names.deadline_ms: str(max(1, int(left * 1000))),
            self._names.expected_backend: backend.backend_id,
        }
        call = StartCall(
            call_id=call_id,
            address=backend.address,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            timeout_seconds=left + DEADLINE_MARGIN_SECONDS,
            connect_seconds=self.chooser.reach(backend).connect_seconds,
            host=request.headers.get("host", ""),
            echo_header=self._names.request_id,
            accepts_unframed=True,
            # A kept connection may belong to a server that is gone: its reset would look as if the
            # server had ended under this request. A new one is refused there.
            fresh_connection=request.route.kind is not RouteKind.REPEATABLE
            or is_suspect
            or pending.may_have_run,
        )
        return [call, *self._plan_hedge(pending)]

    def _plan_hedge(self, pending: _Pending) -> list[Effect]:
        request = pending.request
        name = f"{TIMER_PREFIX}hedge:{request.key}"
        if not self._may_hedge(pending):
            # The timer of an earlier try would take this one for silent too soon.
            is_planned = request.route.kind is RouteKind.REPEATABLE and pending.tries > 1
            return [CancelTimer(name)] if is_planned else []
        aim = request.route.target_latency_seconds
        delay = max(SHORTEST_HEDGE_SECONDS, HEDGE_SHARE * aim)
        return [SetTimer(name, delay)]

    def _may_hedge(self, pending: _Pending) -> bool:
        is_repeatable = pending.request.route.kind is RouteKind.REPEATABLE
        return is_repeatable and len(pending.running) == 1 and self._has_attempts(pending)

    def _hedge(self, pending: _Pending, now: float) -> list[Effect]:
        for backend in pending.silent_backends():
            self.chooser.note_silence(backend, now)
        candidate = self._candidate(pending, now)
        if candidate is None or not self._may_hedge(pending) or self._is_suspect(pending, now):
            # A request that may end servers is at one of them at a time.
            return []
        if self.chooser.evidence(candidate.backend_id).avoid_until > now:
            return []
        return self._send(pending, now)

    def _reason_for_none(self, pending: _Pending, now: float) -> str:
        if self._closed(pending, now):
            return COLD_REASON
        if self._admit(pending, now) is Admission.NOT_LAST_SERVER:
            return SPARED_REASON
        return NO_SERVER_REASON if pending.request.allowed_regions else "no back end"

    # Ends

    def _finish(
        self, pending: _Pending, outcome: ForwardOutcome, attempt: _Attempt | None, now: float
    ) -> list[Effect]:
        del self._pending[pending.request.key]
        backend_id = attempt.backend.backend_id if attempt is not None else ""
        self._finished.append(
            Finished(pending.request, outcome, pending.sent, backend_id, pending.failed_answers)
        )
        return self._clean_up(pending, now)

    def _give_up(
        self, pending: _Pending, reason: str, now: float, is_late: bool = False
    ) -> list[Effect]:
        is_running = bool(pending.running)
        outcome: ForwardOutcome
        if pending.last_error_answer is not None and not is_late:
            outcome = pending.last_error_answer
        elif pending.may_have_run or is_running:
            outcome = OutcomeUnknown(reason, is_late)
        else:
            outcome = NotRun(reason, self._retry_after_seconds(pending, reason, now))
        return self._finish(pending, outcome, None, now)

    def _retry_after_seconds(self, pending: _Pending, reason: str, now: float) -> float:
        if reason == SPARED_REASON:
            return SPARED_RETRY_SECONDS
        if reason == QUARANTINED_REASON:
            return self._gate.retry_after_seconds(pending.content(self._names), now)
        if reason != COLD_REASON:
            return RETRY_AFTER_SECONDS
        return self._cold_wait.retry_after_seconds(pending.request.service, now)

    def _clean_up(self, pending: _Pending, now: float) -> list[Effect]:
        """Stop attempts that are still running, and the timers."""
        effects = self._cold_wait.end(pending.request.key)
        effects.extend(self._gate.end(pending.request.key))
        for call_id, attempt in pending.running.items():
            self._watch.given_up(call_id, now)
            evidence = self.chooser.evidence(attempt.backend.backend_id)
            evidence.in_flight -= 1
            evidence.suspects -= attempt.is_suspect
            elapsed = now - attempt.started_at
            if elapsed > evidence.latency(now):
                evidence.note_latency(elapsed, now)
            evidence.note_given_up()
            effects.append(CancelCall(call_id))
        pending.running.clear()
        key = pending.request.key
        effects.extend(
            CancelTimer(f"{TIMER_PREFIX}{kind}:{key}")
            for kind in ("deadline", "hedge", "retry", "verdict")
        )
        return effects


def _no_path(_service: str) -> str:
    return ""
