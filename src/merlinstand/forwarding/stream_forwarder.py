"""Forwards event streams to callers, and resumes a broken stream at another backend if allowed.

Only complete events are passed on, so that a stream can resume after the last of them without
losing or repeating an event. `server_picker` selects the backend of each attempt and `decisions`
holds the retry rules. Like `forwarder`, this module performs no I/O.
"""

from collections.abc import Callable
from http import HTTPStatus

import msgspec
from result import Err

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import ForwardRequest, NotRun, OutcomeUnknown
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.event_stream import EVENT_DELIMITER, EventSplitter, parse_event
from merlinstand.common.ids import CallId, RequestId
from merlinstand.common.whole_number import parse_whole_number
from merlinstand.decisions.rejection import Reason, Rejection
from merlinstand.decisions.retry import (
    MINIMUM_ATTEMPT_SECONDS,
    STREAM_IDLE_TIMEOUT_SECONDS,
    FailureAction,
    RefusalAction,
    idle_timeout_seconds,
    is_not_run,
    is_unconfirmed_refusal,
    needs_new_connection,
)
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.decisions.waiting import CRASH_CHECK_SECONDS, FULL_SERVICE_PAUSE_SECONDS
from merlinstand.forwarding.pending_stream import PendingStream
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
from merlinstand.kernel.effects import (
    CancelCall,
    CancelTimer,
    Effect,
    LogEvent,
    RespondChunk,
    RespondEnd,
    RespondStart,
    SetTimer,
    StartCall,
)
from merlinstand.kernel.events import CallChunk, CallEnded, CallFailed, CallHeaders, CallPhase
from merlinstand.quarantine.crash_watch import CrashDetector
from merlinstand.quarantine.follower import SuspectTable

CALL_PREFIX = "stream:"
TIMER_PREFIX = "stream."
COLD_TIMER = "cold:"
"""Prefix, before the stream's key, in the name of the timer that limits a wait for a grant."""
TRIAL_TIMER = "trial:"
"""Prefix for the timer that limits a wait for a trial permit."""
CRASH_CHECK_TIMER = "verdict:"
"""Prefix for the timer that limits a wait for the crash check of the last attempt's backend."""
PAUSE_TIMER = "pause:"
"""Prefix for the timer that ends a pause after backends refused the stream."""
HEAD_TIMER = "head:"
"""Prefix for the timer that limits the wait for response headers if the body has no such limit."""
MINIMUM_TIMEOUT_SECONDS = 0.01
"""Minimum timeout of a call; the stream's own timer enforces its deadline."""
LAST_EVENT_HEADER = "last-event-id"
"""Event id after which a backend is to resume (WHATWG HTML, "Server-sent events")."""

StreamEvent = CallHeaders | CallChunk | CallEnded | CallFailed


class UnstartedStream(msgspec.Struct, frozen=True):
    """A stream that ended before its response headers were sent to the caller."""

    request: ForwardRequest
    outcome: NotRun | OutcomeUnknown


class StreamForwarder:
    """All streams that one gateway forwards."""

    def __init__(
        self,
        names: HeaderNames,
        chooser: BackendChooser,
        backends_of: Callable[[str], tuple[Backend, ...]],
        zone_map: ZoneMap | None = None,
        crash_detector: CrashDetector | None = None,
        send_control: SendControl | None = None,
    ) -> None:
        """Start without streams.

        Args:
            names: Names of the HTTP headers.
            chooser: Evidence about backends, shared with the forwarder of non-streaming requests.
            backends_of: Returns the registered backends of a service.
            zone_map: Maps zones to regions; if omitted, no backend is in any region.
            crash_detector: Detects crashed backends; by default, nothing is reported to other
                daemons.
            send_control: Limits the requests that are sent; shared with the forwarder of
                non-streaming requests.
        """
        self._names = names
        self._chooser = chooser
        self._crash_detector = crash_detector or CrashDetector(
            SuspectTable(), names, lambda _service: "", chooser.cold
        )
        self._send_control = send_control or SendControl()
        self._picker = ServerPicker(
            names,
            chooser,
            backends_of,
            zone_map or ZoneMap(),
            self._crash_detector,
            self._send_control,
            TIMER_PREFIX,
        )
        self._streams: dict[str, PendingStream] = {}
        self._by_call: dict[CallId, PendingStream] = {}
        self._unstarted: list[UnstartedStream] = []
        self._call_count = 0

    def __len__(self) -> int:
        """Return the number of pending streams."""
        return len(self._streams)

    def take_unstarted(self) -> list[UnstartedStream]:
        """Return the streams that ended unstarted since this method was last called."""
        unstarted, self._unstarted = self._unstarted, []
        return unstarted

    def begin(self, request: ForwardRequest, now: float) -> list[Effect]:
        """Start a stream."""
        stream = PendingStream(request, last_event_id=_last_event_id(request.headers))
        self._streams[request.key] = stream
        remaining = max(0.0, request.deadline_at - now)
        return [SetTimer(f"{TIMER_PREFIX}{request.key}", remaining), *self._send(stream, now)]

    def abort(self, key: str, now: float) -> list[Effect]:
        """Cancel a stream whose caller disconnected."""
        stream = self._streams.get(key)
        return [] if stream is None else self._close(stream, now)

    def end_all(self, reason: Reason, now: float) -> list[Effect]:
        """End all pending streams; a caller sees a started one as truncated."""
        effects: list[Effect] = []
        for stream in list(self._streams.values()):
            effects.extend(self._fail(stream, reason, False, now))
        return effects

    def on_timer(self, name: str, now: float) -> list[Effect]:
        """Handle a timer whose name starts with `TIMER_PREFIX`: a deadline or the end of a wait."""
        key = name.removeprefix(TIMER_PREFIX)
        for prefix in (COLD_TIMER, TRIAL_TIMER, CRASH_CHECK_TIMER, PAUSE_TIMER, HEAD_TIMER):
            key = key.removeprefix(prefix)
        stream = self._streams.get(key)
        if stream is None:
            return []
        return self._on_timer(stream, name.removeprefix(TIMER_PREFIX), now)

    def _on_timer(self, stream: PendingStream, key: str, now: float) -> list[Effect]:
        if key.startswith(CRASH_CHECK_TIMER):
            return self._after_crash_check(stream, now)
        if key.startswith(PAUSE_TIMER):
            return self._after_pause(stream, now)
        if key.startswith(HEAD_TIMER):
            return self._after_head_timeout(stream, now)
        if key.startswith(TRIAL_TIMER):
            return self._reject(stream, Reason.QUARANTINED, now)
        if key.startswith(COLD_TIMER):
            return self._reject(stream, Reason.COLD, now)
        return self._fail(stream, Reason.TIME_RAN_OUT, True, now)

    def on_crash_check_results(self, now: float) -> list[Effect]:
        """Continue the streams that waited for a crash check which has ended."""
        effects: list[Effect] = []
        for stream in list(self._streams.values()):
            probed = stream.probed_backend
            if probed is not None and not self._crash_detector.is_probing(probed):
                effects.append(_cancel_crash_check_timer(stream))
                effects.extend(self._after_crash_check(stream, now))
        return effects

    def _after_crash_check(self, stream: PendingStream, now: float) -> list[Effect]:
        if stream.probed_backend is None:
            return []
        stream.probed_backend = None
        return self._send_next_attempt(stream, stream.last_failure_reason, now)

    def on_cold_grants(self, now: float) -> list[Effect]:
        """Send the streams that waited for grants, or reject them, after the leader's response."""
        effects: list[Effect] = []
        for key in self._picker.grant_queue.pop_all():
            stream = self._streams.get(key)
            if stream is not None and stream.call_id is None:
                effects.extend(self._continue_after_grants(stream, now))
        return effects

    def on_quarantine_change(self, now: float) -> list[Effect]:
        """Continue the streams that waited for a trial permit and no longer need to."""
        effects: list[Effect] = []
        for stream, wait_end in self._picker.release_permitted(self._streams, now):
            effects.extend(wait_end)
            effects.extend(self._send(stream, now))
        return effects

    def _continue_after_grants(self, stream: PendingStream, now: float) -> list[Effect]:
        has_candidate = self._picker.candidate(stream, stream.tried_backends, now) is not None
        if not has_candidate and self._picker.keep_waiting_for_grant(
            stream, stream.tried_backends, now
        ):
            return []
        timer = CancelTimer(f"{TIMER_PREFIX}{COLD_TIMER}{stream.request.key}")
        return [timer, *self._send(stream, now, may_wait=False)]

    def on_call(self, event: StreamEvent, now: float) -> list[Effect]:
        """Handle an event of a call whose id starts with `CALL_PREFIX`."""
        stream = self._by_call.get(event.call_id)
        if stream is None:
            return []
        match event:
            case CallHeaders():
                return self._on_headers(stream, event, now)
            case CallChunk():
                return self._on_chunk(stream, event.data, now)
            case CallEnded():
                return self._on_end(stream, now)
            case CallFailed():
                return self._on_failure(stream, event, now)

    def _after_head_timeout(self, stream: PendingStream, now: float) -> list[Effect]:
        if stream.call_id is None or not stream.awaits_head:
            return []
        return self._on_failure(stream, CallFailed(stream.call_id, CallPhase.SENT, "timeout"), now)

    def _on_headers(self, stream: PendingStream, event: CallHeaders, now: float) -> list[Effect]:
        stream.awaits_head = False
        if stream.backend is not None:
            self._chooser.record_response(stream.backend, now)
            self._send_control.record_reported_load(stream.backend.backend_id, event.headers)
        has_not_run_header = self._names.not_run in event.headers
        if is_not_run(event.status, has_not_run_header):
            self._crash_detector.record_refusal(event.call_id)
            return self._after_not_run(stream, event.status, now)
        stream.may_have_run = True
        stream.attempt_end = end_of_response(event.status)
        if stream.backend is not None and event.status == HTTPStatus.OK:
            self._chooser.evidence(stream.backend.backend_id).clear_full()
        if event.status != HTTPStatus.OK and stream.is_started:
            self._crash_detector.record_response(event.call_id, now)
            cancelled = self._cancel_call(stream, now, stream.attempt_end)
            return [*cancelled, *self._retry_within_budget(stream, "error status on resume", now)]
        if is_unconfirmed_refusal(event.status, has_not_run_header, stream.request.route):
            self._crash_detector.record_response(event.call_id, now)
            cancelled = self._cancel_call(stream, now)
            return [*cancelled, *self._fail(stream, f"status_{event.status}", False, now)]
        stream.splitter = EventSplitter()
        if stream.is_started:
            return []
        stream.is_started = True
        stream.is_error_response = event.status != HTTPStatus.OK
        return [RespondStart(RequestId(stream.request.key), event.status, event.headers)]

    def _on_chunk(self, stream: PendingStream, data: bytes, now: float) -> list[Effect]:
        request_id = RequestId(stream.request.key)
        if stream.is_error_response:
            return [RespondChunk(request_id, data)]
        effects: list[Effect] = []
        for raw in stream.splitter.feed(data):
            parsed = parse_event(raw, self._names.weight_versions)
            if isinstance(parsed, Err):
                if stream.backend is not None:
                    self._chooser.evidence(stream.backend.backend_id).record_failure(now)
                return [
                    *effects,
                    *self._cancel_call(stream, now),
                    *self._retry_within_budget(stream, "malformed event", now),
                ]
            event = parsed.ok_value
            if event is not None:
                if event.event_id <= stream.last_event_id:
                    continue
                stream.last_event_id = event.event_id
            effects.append(RespondChunk(request_id, raw + EVENT_DELIMITER))
        return effects

    def _on_end(self, stream: PendingStream, now: float) -> list[Effect]:
        if stream.splitter.pending_bytes and not stream.is_error_response:
            # The backend ended the response in the middle of an event, so the stream is incomplete.
            return [
                *self._cancel_call(stream, now),
                *self._retry_within_budget(stream, "response ended inside an event", now),
            ]
        if stream.call_id is not None:
            self._crash_detector.record_response(stream.call_id, now)
        if stream.backend is not None:
            self._chooser.evidence(stream.backend.backend_id).record_success()
        end = RespondEnd(RequestId(stream.request.key), whole=True)
        return [end, *self._close(stream, now, stream.attempt_end)]

    def _on_failure(self, stream: PendingStream, event: CallFailed, now: float) -> list[Effect]:
        if stream.backend is not None:
            record_failed_attempt(self._chooser, stream.backend, event, now)
        probes = self._crash_detector.record_failure(event, now)
        if event.phase is CallPhase.CONNECT:
            stream.record_connect_failure()
        else:
            stream.may_have_run = True
        stream.last_failure_reason = event.reason
        fields = failure_fields(stream, stream.backend, event, self._names)
        fields["last_event"] = stream.last_event_id
        log = LogEvent("request.stream_broken", fields)
        cancelled = self._cancel_call(stream, now)
        return [log, *probes, *cancelled, *self._after_failure(stream, event, now)]

    def _after_failure(self, stream: PendingStream, event: CallFailed, now: float) -> list[Effect]:
        backend = stream.backend
        probed = None
        if event.phase is not CallPhase.CONNECT and backend is not None:
            probed = self._picker.crash_check_to_await(stream, backend, now)
        if event.phase is CallPhase.CONNECT:
            return self._send_next_attempt(stream, event.reason, now)
        if stream.next_action(probed is not None) is not FailureAction.AWAIT_CRASH_CHECK:
            return self._retry_within_budget(stream, event.reason, now)
        failed = self._fail_without_retry_token(stream, event.reason, now)
        if failed:
            return failed
        stream.probed_backend = probed
        return [
            SetTimer(f"{TIMER_PREFIX}{CRASH_CHECK_TIMER}{stream.request.key}", CRASH_CHECK_SECONDS)
        ]

    def _retry_within_budget(self, stream: PendingStream, reason: str, now: float) -> list[Effect]:
        """Retry after an attempt that may have run; this costs a retry token."""
        failed = self._fail_without_retry_token(stream, reason, now)
        return failed or self._send_next_attempt(stream, reason, now)

    def _fail_without_retry_token(
        self, stream: PendingStream, reason: str, now: float
    ) -> list[Effect]:
        """Spend a retry token, or fail the stream if its service has none left."""
        if stream.next_action(is_backend_probed=False) is FailureAction.GIVE_UP:
            return []
        service = stream.request.service
        if self._send_control.take_retry(service, now):
            return []
        counted = count_for_service(RETRIES_WITHHELD_METRIC, service)
        return [counted, *self._fail(stream, reason, False, now)]

    def _send_next_attempt(self, stream: PendingStream, reason: str, now: float) -> list[Effect]:
        """Send a stream to another backend after a failed attempt."""
        if stream.next_action(is_backend_probed=False) is FailureAction.GIVE_UP:
            return self._fail(stream, reason, False, now)
        return self._send(stream, now)

    def _after_not_run(self, stream: PendingStream, status: int, now: float) -> list[Effect]:
        """Continue after a backend that has not run the stream."""
        end = stream.record_not_run(status)
        effects = self._cancel_call(stream, now, end)
        if not stream.attempts_refused:
            return [*effects, *self._send_next_attempt(stream, stream.last_failure_reason, now)]
        if stream.next_action(is_backend_probed=False) is FailureAction.GIVE_UP:
            return [*effects, *self._fail(stream, stream.last_failure_reason, False, now)]
        candidate = self._picker.candidate(stream, stream.tried_backends, now)
        action = self._picker.decide_after_refusal(stream, candidate, now)
        if action is RefusalAction.SEND:
            return [*effects, *self._send(stream, now)]
        has_no_candidate = candidate is None
        grant_wait = (
            self._picker.await_grant(stream, stream.tried_backends, now) if has_no_candidate else []
        )
        if grant_wait:
            return [*effects, *grant_wait]
        if action is RefusalAction.REJECT:
            return [*effects, *self._fail(stream, stream.last_failure_reason, False, now)]
        stream.begin_pause()
        stream.is_pausing = True
        name = f"{TIMER_PREFIX}{PAUSE_TIMER}{stream.request.key}"
        return [*effects, SetTimer(name, FULL_SERVICE_PAUSE_SECONDS)]

    def _after_pause(self, stream: PendingStream, now: float) -> list[Effect]:
        """Send the stream after a pause, if a backend that refused it has capacity now."""
        if not stream.is_pausing:
            return []
        stream.is_pausing = False
        candidate = self._picker.candidate(stream, stream.tried_backends, now)
        if candidate is not None:
            action = self._picker.decide_after_refusal(stream, candidate, now)
            if action is not RefusalAction.SEND:
                return self._fail(stream, stream.last_failure_reason, False, now)
        return self._send(stream, now)

    def _send(self, stream: PendingStream, now: float, may_wait: bool = True) -> list[Effect]:
        picked = self._picker.pick(stream, stream.tried_backends, now, may_wait=may_wait)
        if isinstance(picked, Waiting):
            return picked.effects
        if isinstance(picked, Rejection):
            return self._reject(stream, picked.reason, now)
        if stream.request.deadline_at - now < MINIMUM_ATTEMPT_SECONDS:
            return self._fail(stream, Reason.TIME_RAN_OUT, True, now)
        self._call_count += 1
        call_id = CallId(f"{CALL_PREFIX}{self._call_count}")
        stream.call_id = call_id
        stream.target = picked
        self._by_call[call_id] = stream
        self._picker.begin_attempt(stream, picked, call_id, now)
        stream.awaits_head = True
        call = self._call(stream, picked, call_id, now)
        if call.timeout_seconds <= STREAM_IDLE_TIMEOUT_SECONDS:
            return [call]
        head_timer = f"{TIMER_PREFIX}{HEAD_TIMER}{stream.request.key}"
        return [call, SetTimer(head_timer, STREAM_IDLE_TIMEOUT_SECONDS)]

    def _call(
        self, stream: PendingStream, target: Target, call_id: CallId, now: float
    ) -> StartCall:
        request = stream.request
        remaining = request.deadline_at - now
        headers = attempt_headers(request, target.backend, remaining, self._names)
        if stream.last_event_id:
            headers[LAST_EVENT_HEADER] = str(stream.last_event_id)
        return attempt_call(
            call_id,
            request,
            target.backend,
            headers=headers,
            timeout_seconds=idle_timeout_seconds(
                stream.can_resume, max(MINIMUM_TIMEOUT_SECONDS, remaining)
            ),
            connect_seconds=self._chooser.distance_profile(target.backend).connect_timeout_seconds,
            fresh_connection=needs_new_connection(
                request.route.is_resumable, target.is_suspect, stream.may_have_run
            ),
            names=self._names,
            stream=True,
        )

    def _reject(self, stream: PendingStream, reason: Reason, now: float) -> list[Effect]:
        """End a stream that may not be sent to any backend, or not to any further backend."""
        log = self._picker.log_rejection(stream, reason)
        return [*log, *self._fail(stream, reason, False, now)]

    def _fail(self, stream: PendingStream, reason: str, is_late: bool, now: float) -> list[Effect]:
        request = stream.request
        fields: dict[str, object] = {
            "request": request.request_id,
            "route": request.route.name,
            "reason": reason,
            "attempts": stream.attempts_connected,
            "response_started": stream.is_started,
        }
        has_run = stream.may_have_run or stream.call_id is not None
        is_overload = reason == Reason.OVERLOADED and not has_run
        effects = self._log_end(request.service, is_overload, fields, now)
        effects.extend(self._close(stream, now))
        if stream.is_started:
            return [*effects, RespondEnd(RequestId(request.key), whole=False)]
        outcome: NotRun | OutcomeUnknown
        if has_run:
            outcome = OutcomeUnknown(reason, is_late)
        else:
            outcome = NotRun(reason, self._picker.retry_after_seconds(stream, reason, now))
        self._unstarted.append(UnstartedStream(request, outcome))
        return effects

    def _log_end(
        self, service: str, is_overload: bool, fields: dict[str, object], now: float
    ) -> list[Effect]:
        """Log a stream that fails; overload rejections are sampled."""
        name = "request.stream_failed"
        if is_overload:
            return self._send_control.rejections.record(service, name, fields, now)
        return [LogEvent(name, fields)]

    def _cancel_call(
        self, stream: PendingStream, now: float, end: AttemptEnd = AttemptEnd.INCONCLUSIVE
    ) -> list[Effect]:
        call_id = stream.call_id
        if call_id is None:
            return []
        stream.call_id = None
        self._crash_detector.record_cancellation(call_id, now)
        self._by_call.pop(call_id, None)
        if stream.target is not None:
            return [CancelCall(call_id), *self._picker.end_attempt(stream.target, end, now)]
        return [CancelCall(call_id)]

    def _close(
        self, stream: PendingStream, now: float, end: AttemptEnd = AttemptEnd.INCONCLUSIVE
    ) -> list[Effect]:
        key = stream.request.key
        self._streams.pop(key, None)
        timers = [CancelTimer(f"{TIMER_PREFIX}{key}")]
        if stream.probed_backend is not None:
            timers.append(_cancel_crash_check_timer(stream))
        if stream.is_pausing:
            timers.append(CancelTimer(f"{TIMER_PREFIX}{PAUSE_TIMER}{key}"))
        if stream.awaits_head:
            timers.append(CancelTimer(f"{TIMER_PREFIX}{HEAD_TIMER}{key}"))
        return [*timers, *self._picker.end_waits(key), *self._cancel_call(stream, now, end)]


def _cancel_crash_check_timer(stream: PendingStream) -> CancelTimer:
    return CancelTimer(f"{TIMER_PREFIX}{CRASH_CHECK_TIMER}{stream.request.key}")


def _last_event_id(headers: dict[str, str]) -> int:
    return parse_whole_number(headers.get(LAST_EVENT_HEADER, "")) or 0
