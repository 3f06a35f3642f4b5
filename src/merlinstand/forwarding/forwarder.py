"""Whole requests on their way to servers, until one answers, or time or tries run out.

Used by the gateway for callers' requests and by the leading keeper for scoring calls. Owns the
requests on their way and their timers; `server_picker` says where a try goes, `hedges` when a
second one goes beside it, `decisions` what follows from its end. Pure part of a reducer: the owner
passes call events and timers of its prefix in, performs the effects, and takes what `take_finished`
gives.
"""

from collections.abc import Callable
from http import HTTPStatus

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.places import ZoneMap
from merlinstand.cluster.requests import (
    Answered,
    FinishedRequest,
    ForwardOutcome,
    ForwardRequest,
    NotRun,
    OutcomeUnknown,
)
from merlinstand.cluster.routes import RouteKind
from merlinstand.common.ids import BackendId, CallId
from merlinstand.decisions.admission import Admission
from merlinstand.decisions.rejection import Reason, Rejection
from merlinstand.decisions.retry import (
    DEADLINE_MARGIN_SECONDS,
    MINIMUM_ATTEMPT_SECONDS,
    FailureAction,
    RefusalAction,
    ResponseVerdict,
    classify_response,
    decide_after_failure,
    has_attempts_left,
    needs_new_connection,
)
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.decisions.waiting import CRASH_CHECK_SECONDS, FULL_SERVICE_PAUSE_SECONDS
from merlinstand.forwarding.hedges import Hedges
from merlinstand.forwarding.pending_request import Attempt, PendingRequest
from merlinstand.forwarding.send_control import (
    RETRIES_WITHHELD_METRIC,
    SendControl,
    TryEnd,
    count_of,
    end_of_answer,
)
from merlinstand.forwarding.server_picker import ServerPicker, Target, Waiting
from merlinstand.forwarding.try_call import try_call, try_headers
from merlinstand.forwarding.try_failure import failure_fields, note_failed_try
from merlinstand.kernel.effects import CancelCall, CancelTimer, Effect, LogEvent, SetTimer
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from merlinstand.quarantine.crash_watch import CrashDetector
from merlinstand.quarantine.follower import SuspectTable

CALL_PREFIX = "forward:"
TIMER_PREFIX = "forward."
_TIMER_KINDS = ("deadline", "hedge", "retry", "verdict")
"""Timers of one request, beside those of its waits; the request's key follows."""


class Forwarder:
    """All requests that one process forwards."""

    def __init__(
        self,
        names: HeaderNames,
        backends_of: Callable[[str], tuple[Backend, ...]],
        places: ZoneMap | None = None,
        chooser: BackendChooser | None = None,
        crash_watch: CrashDetector | None = None,
        send_control: SendControl | None = None,
    ) -> None:
        """Begin without requests.

        Args:
            names: Header names.
            backends_of: Gives the registered back ends of a service.
            places: Regions of the zones; without, no server is in any region.
            chooser: Chooses among them; without one, all are taken to be equally far.
            watch: Notices servers that crash; without one, nobody else learns of them.
            control: Bounds what is sent; without one, by budgets of its own alone.
        """
        self.chooser = chooser or BackendChooser()
        self._watch = crash_watch or CrashDetector(
            SuspectTable(), names, _no_path, self.chooser.cold
        )
        self._names = names
        self._control = send_control or SendControl()
        self._picker = ServerPicker(
            names,
            self.chooser,
            backends_of,
            places or ZoneMap(),
            self._watch,
            self._control,
            TIMER_PREFIX,
        )
        self._hedges = Hedges(self.chooser, self._picker, self._control, TIMER_PREFIX)
        self._pending: dict[str, PendingRequest] = {}
        self._finished: list[FinishedRequest] = []
        self._calls = 0

    def __len__(self) -> int:
        """Requests on their way."""
        return len(self._pending)

    def take_finished(self) -> list[FinishedRequest]:
        """Give the requests that ended since the last time."""
        finished, self._finished = self._finished, []
        return finished

    def begin(self, request: ForwardRequest, now: float) -> list[Effect]:
        """Take a request."""
        pending = PendingRequest(request)
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
            return self._give_up(pending, Reason.TIME_RAN_OUT, now, is_late=True)
        if kind == "hedge" and pending.running:
            return self._hedges.on_timer(pending, self._candidate, self._send, now)
        if kind == "retry" and not pending.running:
            return self._after_pause(pending, now)
        if kind == "cold" and not pending.running:
            self._picker.cold_wait.end(key)
            return self._refuse_cold(pending, now)
        if kind == "trial" and not pending.running:
            return self._give_up(pending, Reason.QUARANTINED, now)
        if kind == "verdict" and pending.probed_backend is not None:
            return self._after_verdict(pending, now)
        return []

    def on_probe_results(self, now: float) -> list[Effect]:
        """Servers were found gone, or there: go on with the requests that waited for that."""
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            probed = pending.probed_backend
            if probed is not None and not self._watch.is_probing(probed):
                effects.append(CancelTimer(f"{TIMER_PREFIX}verdict:{pending.request.key}"))
                effects.extend(self._after_verdict(pending, now))
        return effects

    def _after_verdict(self, pending: PendingRequest, now: float) -> list[Effect]:
        pending.probed_backend = None
        return self._try_again(pending, now)

    def on_quarantine_change(self, now: float) -> list[Effect]:
        """What is held against requests has changed: go on with those that waited for a permit."""
        effects: list[Effect] = []
        for pending, ended in self._picker.permitted(self._pending, now):
            effects.extend(ended)
            effects.extend(self._send(pending, now))
        return effects

    def on_cold_grants(self, now: float) -> list[Effect]:
        """The leader answered: go on with requests that waited for grants, or refuse them."""
        effects: list[Effect] = []
        for key in self._picker.cold_wait.take_all():
            pending = self._pending.get(key)
            if pending is None or pending.running:
                continue
            is_open = self._candidate(pending, now) is not None
            if not is_open and self._picker.waits_on(pending, pending.tried, now):
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
        if isinstance(event, CallFailed):
            self._picker.end_try(attempt.target, TryEnd.BROKEN_OFF, now)
            return self._after_failure(pending, event, attempt, now)
        return self._after_answer(pending, event, attempt, now)

    # After a try

    def _after_answer(
        self, pending: PendingRequest, event: CallResponded, attempt: Attempt, now: float
    ) -> list[Effect]:
        backend = attempt.target.backend
        evidence = self.chooser.evidence(backend.backend_id)
        self.chooser.record_response(backend, now)
        self._control.note_headers(backend.backend_id, event.headers)
        is_refusal = self._names.not_run in event.headers
        verdict = classify_response(event.status, is_refusal, pending.request.route)
        if verdict is ResponseVerdict.NOT_RUN:
            return self._after_not_run(pending, event, attempt, now)
        self._picker.end_try(attempt.target, end_of_answer(event.status), now)
        self._watch.record_response(event.call_id, now)
        if verdict is ResponseVerdict.UNCONFIRMED_REFUSAL:
            pending.may_have_run = True
            return self._give_up(pending, f"status_{event.status}", now)
        answer = Answered(event.status, event.headers, event.body)
        if event.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            evidence.record_success()
            evidence.record_latency(now - attempt.started_at, now)
            return self._finish(pending, answer, backend.backend_id, now)
        pending.may_have_run = True
        pending.last_error_answer = answer
        pending.failed_answers += event.status == HTTPStatus.INTERNAL_SERVER_ERROR
        pending.last_reason = f"status_{event.status}"
        if verdict is ResponseVerdict.FAILED:
            return self._retry(pending, now)
        return self._finish(pending, answer, backend.backend_id, now)

    def _after_not_run(
        self, pending: PendingRequest, event: CallResponded, attempt: Attempt, now: float
    ) -> list[Effect]:
        self._watch.record_refusal(event.call_id)
        evidence = self.chooser.evidence(attempt.target.backend.backend_id)
        evidence.record_latency(now - attempt.started_at + FULL_SERVICE_PAUSE_SECONDS, now)
        if event.status == HTTPStatus.MISDIRECTED_REQUEST:
            evidence.record_failure(now)
        end = pending.note_not_run(event.status)
        ended = self._picker.end_try(attempt.target, end, now)
        return [*ended, *self._try_again(pending, now)]

    def _after_failure(
        self, pending: PendingRequest, event: CallFailed, attempt: Attempt, now: float
    ) -> list[Effect]:
        backend = attempt.target.backend
        note_failed_try(self.chooser, backend, event, now)
        if event.phase is CallPhase.CONNECT:
            pending.note_unconnected()
        else:
            pending.may_have_run = True
        pending.last_reason = f"{event.phase.value}_{event.reason}"
        effects = self._watch.record_failure(event, now)
        fields = failure_fields(pending, backend, event, self._names)
        effects.append(LogEvent("request.attempt_failed", fields))
        probed = None
        if event.phase is not CallPhase.CONNECT:
            probed = self._picker.probed_server(pending, backend, now)
        verdict = decide_after_failure(
            pending.request.route.kind is RouteKind.REPEATABLE,
            pending.may_have_run,
            is_server_probed=probed is not None,
            has_next_try=not pending.running and pending.has_tries_left(),
        )
        match verdict:
            case FailureAction.AWAIT_CRASH_CHECK:
                return [*effects, *self._await_verdict(pending, probed, now)]
            case FailureAction.RETRY if event.phase is CallPhase.CONNECT:
                return [*effects, *self._try_again(pending, now)]
            case FailureAction.RETRY:
                return [*effects, *self._retry(pending, now)]
            case FailureAction.GIVE_UP:
                return [*effects, *self._give_up(pending, pending.last_reason, now)]

    def _await_verdict(
        self, pending: PendingRequest, probed: BackendId | None, now: float
    ) -> list[Effect]:
        """Let a request wait for whether the server of its last try has crashed."""
        withheld = self._withhold_retry(pending, now)
        if withheld:
            return withheld
        pending.probed_backend = probed
        return [SetTimer(f"{TIMER_PREFIX}verdict:{pending.request.key}", CRASH_CHECK_SECONDS)]

    def _retry(self, pending: PendingRequest, now: float) -> list[Effect]:
        """Go on after a try that may have run: another one costs a token."""
        return self._withhold_retry(pending, now) or self._try_again(pending, now)

    def _withhold_retry(self, pending: PendingRequest, now: float) -> list[Effect]:
        """Give a request up whose service has no token for another try; else spend one."""
        if pending.running or not pending.has_tries_left():
            return []
        service = pending.request.service
        if self._control.take_retry(service, now):
            return []
        counted = count_of(RETRIES_WITHHELD_METRIC, service)
        return [counted, *self._give_up(pending, pending.last_reason, now)]

    def _try_again(self, pending: PendingRequest, now: float) -> list[Effect]:
        if pending.running:
            # The other try goes on; it gets company in its turn.
            return self._hedges.plan(pending)
        if not pending.has_tries_left():
            return self._give_up(pending, pending.last_reason, now)
        candidate = self._candidate(pending, now)
        verdict = RefusalAction.SEND
        if pending.turned_away:
            verdict = self._picker.judge_turned_away(pending, candidate, now)
        if candidate is not None and verdict is RefusalAction.SEND:
            return self._send(pending, now)
        if candidate is None:
            waits = self._picker.await_grant(pending, pending.tried, now)
            if waits:
                return waits
            if self._picker.admit(pending, now) is Admission.NOT_LAST_SERVER:
                return self._give_up(pending, Reason.LAST_SERVER, now)
        if verdict is RefusalAction.REJECT:
            return self._give_up(pending, pending.last_reason, now)
        return self._pause(pending)

    def _pause(self, pending: PendingRequest) -> list[Effect]:
        """Every server was asked, or is full: ask them once more, after a pause."""
        pending.pause()
        return [SetTimer(f"{TIMER_PREFIX}retry:{pending.request.key}", FULL_SERVICE_PAUSE_SECONDS)]

    def _after_pause(self, pending: PendingRequest, now: float) -> list[Effect]:
        """Servers are asked again; one that turned them away before only if it has room now."""
        candidate = self._candidate(pending, now) if pending.turned_away else None
        if candidate is not None:
            verdict = self._picker.judge_turned_away(pending, candidate, now)
            if verdict is not RefusalAction.SEND:
                return self._give_up(pending, pending.last_reason, now)
        return self._send(pending, now)

    def _refuse_cold(self, pending: PendingRequest, now: float) -> list[Effect]:
        """Nothing may be sent to cold back ends: ask the others again, or refuse the request."""
        may_ask = has_attempts_left(pending.request.route, pending.attempts, pending.tries)
        if pending.attempts and may_ask:
            return self._pause(pending)
        return self._give_up(pending, Reason.COLD, now)

    # Sending

    def _candidate(self, pending: PendingRequest, now: float) -> Backend | None:
        return self._picker.candidate(pending, pending.tried, now, pending.silent_backends())

    def _send(self, pending: PendingRequest, now: float) -> list[Effect]:
        picked = self._picker.pick(pending, pending.tried, now, pending.silent_backends())
        if isinstance(picked, Waiting):
            return picked.effects
        if isinstance(picked, Rejection):
            return self._give_up(pending, picked.reason, now)
        left = pending.request.deadline_at - now
        if left < MINIMUM_ATTEMPT_SECONDS:
            return self._give_up(pending, Reason.TIME_RAN_OUT, now, is_late=True)
        call_id = self._begin_try(pending, picked, now)
        return [self._call(pending, picked, call_id, left), *self._hedges.plan(pending)]

    def _begin_try(self, pending: PendingRequest, target: Target, now: float) -> CallId:
        self._calls += 1
        call_id = CallId(f"{CALL_PREFIX}{pending.request.key}#{self._calls}")
        pending.running[call_id] = Attempt(target, now)
        self._picker.begin_try(pending, target, call_id, now)
        return call_id

    def _call(
        self, pending: PendingRequest, target: Target, call_id: CallId, left: float
    ) -> Effect:
        request = pending.request
        return try_call(
            call_id,
            request,
            target.backend,
            headers=try_headers(request, target.backend, left, self._names),
            timeout_seconds=left + DEADLINE_MARGIN_SECONDS,
            connect_seconds=self.chooser.distance_profile(target.backend).connect_timeout_seconds,
            fresh_connection=needs_new_connection(
                request.route.kind is RouteKind.REPEATABLE, target.is_suspect, pending.may_have_run
            ),
            names=self._names,
        )

    # Ends

    def _finish(
        self, pending: PendingRequest, outcome: ForwardOutcome, backend_id: str, now: float
    ) -> list[Effect]:
        del self._pending[pending.request.key]
        self._finished.append(
            FinishedRequest(
                pending.request, outcome, pending.attempts, backend_id, pending.failed_answers
            )
        )
        return self._clean_up(pending, now)

    def _give_up(
        self, pending: PendingRequest, reason: str, now: float, is_late: bool = False
    ) -> list[Effect]:
        outcome: ForwardOutcome
        if pending.last_error_answer is not None and not is_late:
            outcome = pending.last_error_answer
        elif pending.may_have_run or pending.running:
            outcome = OutcomeUnknown(reason, is_late)
        else:
            outcome = NotRun(reason, self._picker.retry_after_seconds(pending, reason, now))
        log = self._picker.log_rejection(pending, reason)
        return [*log, *self._finish(pending, outcome, "", now)]

    def _clean_up(self, pending: PendingRequest, now: float) -> list[Effect]:
        """Stop attempts that are still running, and the timers."""
        key = pending.request.key
        effects = self._picker.end(key)
        for call_id, attempt in pending.running.items():
            self._watch.record_cancellation(call_id, now)
            self._picker.end_try(attempt.target, TryEnd.BROKEN_OFF, now)
            evidence = self.chooser.evidence(attempt.target.backend.backend_id)
            elapsed = now - attempt.started_at
            if elapsed > evidence.latency(now):
                evidence.record_latency(elapsed, now)
            evidence.record_cancellation()
            effects.append(CancelCall(call_id))
        pending.running.clear()
        effects.extend(CancelTimer(f"{TIMER_PREFIX}{kind}:{key}") for kind in _TIMER_KINDS)
        return effects


def _no_path(_service: str) -> str:
    return ""
