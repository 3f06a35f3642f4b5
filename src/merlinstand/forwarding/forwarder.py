"""Forwards non-streaming requests until a backend responds or the time or attempts run out.

Used by the gateway for callers' requests and by the leading keeper for scoring calls.
`server_picker` selects the backend of each attempt, `hedges` decides on hedged attempts (copies of
a slow request that are sent to a second backend), and `decisions` holds the retry rules. This
module performs no I/O: the owner passes in the call events and timers whose names start with this
module's prefixes, performs the returned effects, and collects the results with `take_finished`.
"""

from collections.abc import Callable
from http import HTTPStatus

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import (
    Answered,
    FinishedRequest,
    ForwardOutcome,
    ForwardRequest,
    NotRun,
    OutcomeUnknown,
)
from merlinstand.cluster.routes import RouteKind
from merlinstand.cluster.zone_map import ZoneMap
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
from merlinstand.forwarding.hedges import Hedger
from merlinstand.forwarding.pending_request import Attempt, PendingRequest
from merlinstand.forwarding.send_control import (
    RETRIES_WITHHELD_METRIC,
    AttemptEnd,
    SendControl,
    count_for_service,
    end_of_response,
)
from merlinstand.forwarding.server_picker import ServerPicker, Target, Waiting
from merlinstand.forwarding.try_call import attempt_call, attempt_headers
from merlinstand.forwarding.try_failure import failure_fields, record_failed_attempt
from merlinstand.kernel.effects import CancelCall, CancelTimer, Effect, LogEvent, SetTimer
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from merlinstand.quarantine.crash_watch import CrashDetector
from merlinstand.quarantine.follower import SuspectTable

CALL_PREFIX = "forward:"
TIMER_PREFIX = "forward."
_TIMER_KINDS = ("deadline", "hedge", "retry", "verdict")
"""Kinds of timers of one request, except those for waits for grants or permits. In a timer's name,
the request's key follows the kind."""


class Forwarder:
    """All requests that one process forwards."""

    def __init__(
        self,
        names: HeaderNames,
        backends_of: Callable[[str], tuple[Backend, ...]],
        zone_map: ZoneMap | None = None,
        chooser: BackendChooser | None = None,
        crash_detector: CrashDetector | None = None,
        send_control: SendControl | None = None,
    ) -> None:
        """Start without requests.

        Args:
            names: Names of the HTTP headers.
            backends_of: Returns the registered backends of a service.
            zone_map: Maps zones to regions; if omitted, no backend is in any region.
            chooser: Chooses among backends; by default all are treated as equally distant.
            crash_detector: Detects crashed backends; by default, nothing is reported to other
                daemons.
            send_control: Limits the requests that are sent; by default only by the budgets of this
                forwarder.
        """
        self.chooser = chooser or BackendChooser()
        self._crash_detector = crash_detector or CrashDetector(
            SuspectTable(), names, _no_health_path, self.chooser.cold
        )
        self._names = names
        self._send_control = send_control or SendControl()
        self._picker = ServerPicker(
            names,
            self.chooser,
            backends_of,
            zone_map or ZoneMap(),
            self._crash_detector,
            self._send_control,
            TIMER_PREFIX,
        )
        self._hedger = Hedger(self.chooser, self._picker, self._send_control, TIMER_PREFIX)
        self._pending: dict[str, PendingRequest] = {}
        self._finished: list[FinishedRequest] = []
        self._call_count = 0

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._pending)

    def take_finished(self) -> list[FinishedRequest]:
        """Return the requests that ended since this method was last called."""
        finished, self._finished = self._finished, []
        return finished

    def begin(self, request: ForwardRequest, now: float) -> list[Effect]:
        """Start forwarding a request."""
        pending = PendingRequest(request)
        self._pending[request.key] = pending
        remaining = request.deadline_at - now
        effects: list[Effect] = [
            SetTimer(f"{TIMER_PREFIX}deadline:{request.key}", max(0.0, remaining))
        ]
        return effects + self._send(pending, now)

    def abort(self, key: str, now: float) -> list[Effect]:
        """Cancel a request whose caller disconnected, and all its attempts."""
        pending = self._pending.pop(key, None)
        return [] if pending is None else self._clean_up(pending, now)

    def end_all(self, reason: Reason, now: float) -> list[Effect]:
        """End all pending requests; their callers are told whether they may have run."""
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            effects.extend(self._fail(pending, reason, now))
        return effects

    def on_timer(self, name: str, now: float) -> list[Effect]:
        """Handle a timer whose name starts with `TIMER_PREFIX`."""
        kind, _colon, key = name.removeprefix(TIMER_PREFIX).partition(":")
        pending = self._pending.get(key)
        if pending is None:
            return []
        if kind == "deadline":
            return self._fail(pending, Reason.TIME_RAN_OUT, now, is_late=True)
        if kind == "hedge" and pending.running:
            return self._hedger.on_timer(pending, self._candidate, self._send, now)
        if kind == "retry" and not pending.running:
            return self._after_pause(pending, now)
        if kind == "cold" and not pending.running:
            self._picker.grant_queue.remove(key)
            return self._after_grant_rejection(pending, now)
        if kind == "trial" and not pending.running:
            return self._fail(pending, Reason.QUARANTINED, now)
        if kind == "verdict" and pending.probed_backend is not None:
            return self._after_crash_check(pending, now)
        return []

    def on_crash_check_results(self, now: float) -> list[Effect]:
        """Continue the requests that waited for a crash check which has ended."""
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            probed = pending.probed_backend
            if probed is not None and not self._crash_detector.is_probing(probed):
                effects.append(CancelTimer(f"{TIMER_PREFIX}verdict:{pending.request.key}"))
                effects.extend(self._after_crash_check(pending, now))
        return effects

    def _after_crash_check(self, pending: PendingRequest, now: float) -> list[Effect]:
        pending.probed_backend = None
        return self._send_next_attempt(pending, now)

    def on_quarantine_change(self, now: float) -> list[Effect]:
        """Continue the requests that waited for a trial permit and no longer need to."""
        effects: list[Effect] = []
        for pending, wait_end in self._picker.release_permitted(self._pending, now):
            effects.extend(wait_end)
            effects.extend(self._send(pending, now))
        return effects

    def on_cold_grants(self, now: float) -> list[Effect]:
        """Send the requests that waited for grants, or reject them, after the leader's response."""
        effects: list[Effect] = []
        for key in self._picker.grant_queue.pop_all():
            pending = self._pending.get(key)
            if pending is None or pending.running:
                continue
            has_candidate = self._candidate(pending, now) is not None
            if not has_candidate and self._picker.keep_waiting_for_grant(
                pending, pending.tried_backends, now
            ):
                continue
            effects.append(CancelTimer(f"{TIMER_PREFIX}cold:{key}"))
            effects.extend(
                (self._send if has_candidate else self._after_grant_rejection)(pending, now)
            )
        return effects

    def on_call(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """Handle the end of a call whose id starts with `CALL_PREFIX`."""
        key = event.call_id.removeprefix(CALL_PREFIX).rpartition("#")[0]
        pending = self._pending.get(key)
        attempt = pending.running.pop(event.call_id, None) if pending is not None else None
        if pending is None or attempt is None:
            return []
        if isinstance(event, CallFailed):
            self._picker.end_attempt(attempt.target, AttemptEnd.INCONCLUSIVE, now)
            return self._after_failure(pending, event, attempt, now)
        return self._after_response(pending, event, attempt, now)

    def _after_response(
        self, pending: PendingRequest, event: CallResponded, attempt: Attempt, now: float
    ) -> list[Effect]:
        backend = attempt.target.backend
        evidence = self.chooser.evidence(backend.backend_id)
        self.chooser.record_response(backend, now)
        self._send_control.record_reported_load(backend.backend_id, event.headers)
        has_not_run_header = self._names.not_run in event.headers
        verdict = classify_response(event.status, has_not_run_header, pending.request.route)
        if verdict is ResponseVerdict.NOT_RUN:
            return self._after_not_run(pending, event, attempt, now)
        self._picker.end_attempt(attempt.target, end_of_response(event.status), now)
        self._crash_detector.record_response(event.call_id, now)
        if verdict is ResponseVerdict.UNCONFIRMED_REFUSAL:
            pending.may_have_run = True
            return self._fail(pending, f"status_{event.status}", now)
        response = Answered(event.status, event.headers, event.body)
        if event.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            evidence.record_success()
            evidence.record_latency(now - attempt.started_at, now)
            return self._finish(pending, response, backend.backend_id, now)
        pending.may_have_run = True
        pending.last_error_response = response
        pending.server_errors += event.status == HTTPStatus.INTERNAL_SERVER_ERROR
        pending.last_failure_reason = f"status_{event.status}"
        if verdict is ResponseVerdict.FAILED:
            return self._retry_within_budget(pending, now)
        return self._finish(pending, response, backend.backend_id, now)

    def _after_not_run(
        self, pending: PendingRequest, event: CallResponded, attempt: Attempt, now: float
    ) -> list[Effect]:
        self._crash_detector.record_refusal(event.call_id)
        evidence = self.chooser.evidence(attempt.target.backend.backend_id)
        evidence.record_latency(now - attempt.started_at + FULL_SERVICE_PAUSE_SECONDS, now)
        if event.status == HTTPStatus.MISDIRECTED_REQUEST:
            evidence.record_failure(now)
        end = pending.record_not_run(event.status)
        ended = self._picker.end_attempt(attempt.target, end, now)
        return [*ended, *self._send_next_attempt(pending, now)]

    def _after_failure(
        self, pending: PendingRequest, event: CallFailed, attempt: Attempt, now: float
    ) -> list[Effect]:
        backend = attempt.target.backend
        record_failed_attempt(self.chooser, backend, event, now)
        if event.phase is CallPhase.CONNECT:
            pending.record_connect_failure()
        else:
            pending.may_have_run = True
        pending.last_failure_reason = f"{event.phase.value}_{event.reason}"
        effects = self._crash_detector.record_failure(event, now)
        fields = failure_fields(pending, backend, event, self._names)
        effects.append(LogEvent("request.attempt_failed", fields))
        probed = None
        if event.phase is not CallPhase.CONNECT:
            probed = self._picker.crash_check_to_await(pending, backend, now)
        action = decide_after_failure(
            pending.request.route.kind is RouteKind.REPEATABLE,
            pending.may_have_run,
            is_backend_probed=probed is not None,
            has_next_attempt=not pending.running and pending.has_attempts_left(),
        )
        match action:
            case FailureAction.AWAIT_CRASH_CHECK:
                return [*effects, *self._await_crash_check(pending, probed, now)]
            case FailureAction.RETRY if event.phase is CallPhase.CONNECT:
                return [*effects, *self._send_next_attempt(pending, now)]
            case FailureAction.RETRY:
                return [*effects, *self._retry_within_budget(pending, now)]
            case FailureAction.GIVE_UP:
                return [*effects, *self._fail(pending, pending.last_failure_reason, now)]

    def _await_crash_check(
        self, pending: PendingRequest, probed: BackendId | None, now: float
    ) -> list[Effect]:
        """Delay the next attempt until a crash check of the last attempt's backend has ended."""
        failed = self._fail_without_retry_token(pending, now)
        if failed:
            return failed
        pending.probed_backend = probed
        return [SetTimer(f"{TIMER_PREFIX}verdict:{pending.request.key}", CRASH_CHECK_SECONDS)]

    def _retry_within_budget(self, pending: PendingRequest, now: float) -> list[Effect]:
        """Retry after an attempt that may have run; this costs a retry token."""
        return self._fail_without_retry_token(pending, now) or self._send_next_attempt(pending, now)

    def _fail_without_retry_token(self, pending: PendingRequest, now: float) -> list[Effect]:
        """Spend a retry token, or fail the request if its service has none left."""
        if pending.running or not pending.has_attempts_left():
            return []
        service = pending.request.service
        if self._send_control.take_retry(service, now):
            return []
        counted = count_for_service(RETRIES_WITHHELD_METRIC, service)
        return [counted, *self._fail(pending, pending.last_failure_reason, now)]

    def _send_next_attempt(self, pending: PendingRequest, now: float) -> list[Effect]:
        if pending.running:
            # The other attempt is still running; schedule a hedge for it.
            return self._hedger.schedule(pending)
        if not pending.has_attempts_left():
            return self._fail(pending, pending.last_failure_reason, now)
        candidate = self._candidate(pending, now)
        action = RefusalAction.SEND
        if pending.attempts_refused:
            action = self._picker.decide_after_refusal(pending, candidate, now)
        if candidate is not None and action is RefusalAction.SEND:
            return self._send(pending, now)
        if candidate is None:
            grant_wait = self._picker.await_grant(pending, pending.tried_backends, now)
            if grant_wait:
                return grant_wait
            if self._picker.admit(pending, now) is Admission.NOT_LAST_BACKEND:
                return self._fail(pending, Reason.LAST_BACKEND, now)
        if action is RefusalAction.REJECT:
            return self._fail(pending, pending.last_failure_reason, now)
        return self._begin_pause(pending)

    def _begin_pause(self, pending: PendingRequest) -> list[Effect]:
        """Start a pause, as each backend was tried or is full; all are allowed after the pause."""
        pending.begin_pause()
        return [SetTimer(f"{TIMER_PREFIX}retry:{pending.request.key}", FULL_SERVICE_PAUSE_SECONDS)]

    def _after_pause(self, pending: PendingRequest, now: float) -> list[Effect]:
        """Retry after a pause, if a backend that had refused the request has capacity now."""
        candidate = self._candidate(pending, now) if pending.attempts_refused else None
        if candidate is not None:
            action = self._picker.decide_after_refusal(pending, candidate, now)
            if action is not RefusalAction.SEND:
                return self._fail(pending, pending.last_failure_reason, now)
        return self._send(pending, now)

    def _after_grant_rejection(self, pending: PendingRequest, now: float) -> list[Effect]:
        """Retry the other backends if the request has reached any backend; otherwise reject it.

        Called when the request gets no grant for the cold backends.
        """
        can_retry = has_attempts_left(
            pending.request.route, pending.attempts_connected, pending.attempts_started
        )
        if pending.attempts_connected and can_retry:
            return self._begin_pause(pending)
        return self._fail(pending, Reason.COLD, now)

    def _candidate(self, pending: PendingRequest, now: float) -> Backend | None:
        return self._picker.candidate(
            pending, pending.tried_backends, now, pending.unresponsive_backends()
        )

    def _send(self, pending: PendingRequest, now: float) -> list[Effect]:
        picked = self._picker.pick(
            pending, pending.tried_backends, now, pending.unresponsive_backends()
        )
        if isinstance(picked, Waiting):
            return picked.effects
        if isinstance(picked, Rejection):
            return self._fail(pending, picked.reason, now)
        remaining = pending.request.deadline_at - now
        if remaining < MINIMUM_ATTEMPT_SECONDS:
            return self._fail(pending, Reason.TIME_RAN_OUT, now, is_late=True)
        call_id = self._begin_attempt(pending, picked, now)
        return [self._call(pending, picked, call_id, remaining), *self._hedger.schedule(pending)]

    def _begin_attempt(self, pending: PendingRequest, target: Target, now: float) -> CallId:
        self._call_count += 1
        call_id = CallId(f"{CALL_PREFIX}{pending.request.key}#{self._call_count}")
        pending.running[call_id] = Attempt(target, now)
        self._picker.begin_attempt(pending, target, call_id, now)
        return call_id

    def _call(
        self, pending: PendingRequest, target: Target, call_id: CallId, remaining: float
    ) -> Effect:
        request = pending.request
        return attempt_call(
            call_id,
            request,
            target.backend,
            headers=attempt_headers(request, target.backend, remaining, self._names),
            timeout_seconds=remaining + DEADLINE_MARGIN_SECONDS,
            connect_seconds=self.chooser.distance_profile(target.backend).connect_timeout_seconds,
            fresh_connection=needs_new_connection(
                request.route.kind is RouteKind.REPEATABLE, target.is_suspect, pending.may_have_run
            ),
            names=self._names,
        )

    def _finish(
        self, pending: PendingRequest, outcome: ForwardOutcome, backend_id: str, now: float
    ) -> list[Effect]:
        del self._pending[pending.request.key]
        self._finished.append(
            FinishedRequest(
                pending.request,
                outcome,
                pending.attempts_connected,
                backend_id,
                pending.server_errors,
            )
        )
        return self._clean_up(pending, now)

    def _fail(
        self, pending: PendingRequest, reason: str, now: float, is_late: bool = False
    ) -> list[Effect]:
        outcome: ForwardOutcome
        if pending.last_error_response is not None and not is_late:
            outcome = pending.last_error_response
        elif pending.may_have_run or pending.running:
            outcome = OutcomeUnknown(reason, is_late)
        else:
            outcome = NotRun(reason, self._picker.retry_after_seconds(pending, reason, now))
        log = self._picker.log_rejection(pending, reason)
        return [*log, *self._finish(pending, outcome, "", now)]

    def _clean_up(self, pending: PendingRequest, now: float) -> list[Effect]:
        """Cancel the running attempts and all timers of a request."""
        key = pending.request.key
        effects = self._picker.end_waits(key)
        for call_id, attempt in pending.running.items():
            self._crash_detector.record_cancellation(call_id, now)
            self._picker.end_attempt(attempt.target, AttemptEnd.INCONCLUSIVE, now)
            evidence = self.chooser.evidence(attempt.target.backend.backend_id)
            elapsed = now - attempt.started_at
            if elapsed > evidence.latency(now):
                evidence.record_latency(elapsed, now)
            evidence.record_cancellation()
            effects.append(CancelCall(call_id))
        pending.running.clear()
        effects.extend(CancelTimer(f"{TIMER_PREFIX}{kind}:{key}") for kind in _TIMER_KINDS)
        return effects


def _no_health_path(_service: str) -> str:
    return ""
