"""Streams of events on their way to callers; a broken one goes on elsewhere where it may.

Used by the gateway. Owns the streams on their way and their timers; `server_picker` says where a
try goes, `decisions` what follows from its end. Only whole events leave, so that a stream can go on
after the last one at another server without an event missing or standing twice. Pure part of a
reducer, like `forwarder`.
"""

from collections.abc import Callable
from http import HTTPStatus

import msgspec
from result import Err

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.places import ZoneMap
from merlinstand.cluster.requests import ForwardRequest, NotRun, OutcomeUnknown
from merlinstand.common.event_stream import EVENT_DELIMITER, EventSplitter, parse_event
from merlinstand.common.ids import CallId, RequestId
from merlinstand.common.whole_number import parse_whole_number
from merlinstand.decisions.rejection import Reason, Rejection
from merlinstand.decisions.retry import (
    MINIMUM_ATTEMPT_SECONDS,
    STREAM_IDLE_TIMEOUT_SECONDS,
    FailureAction,
    RefusalAction,
    is_not_run,
    is_unconfirmed_refusal,
    needs_new_connection,
)
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.decisions.waiting import CRASH_CHECK_SECONDS, FULL_SERVICE_PAUSE_SECONDS
from merlinstand.forwarding.pending_stream import PendingStream
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
"""Stands before the key in the name of the timer that ends a wait for a grant."""
TRIAL_TIMER = "trial:"
"""The same for a wait for a permit to be tried."""
VERDICT_TIMER = "verdict:"
"""The same for a wait for whether the last try's server has crashed."""
PAUSE_TIMER = "pause:"
"""The same for a wait for servers that turned it away."""
SHORTEST_TIMEOUT_SECONDS = 0.01
"""A call's time-out is never shorter: the stream's own timer ends it. Chosen, not measured."""
LAST_EVENT_HEADER = "last-event-id"
"""Where a server is to go on (WHATWG HTML, "Server-sent events")."""

StreamEvent = CallHeaders | CallChunk | CallEnded | CallFailed


class StreamRefused(msgspec.Struct, frozen=True):
    """A stream that never began."""

    request: ForwardRequest
    outcome: NotRun | OutcomeUnknown


class StreamForwarder:
    """All streams that one gateway passes on."""

    def __init__(
        self,
        names: HeaderNames,
        chooser: BackendChooser,
        backends_of: Callable[[str], tuple[Backend, ...]],
        places: ZoneMap | None = None,
        crash_watch: CrashDetector | None = None,
        send_control: SendControl | None = None,
    ) -> None:
        """Begin without streams.

        Args:
            names: Header names.
            chooser: Evidence about back ends, shared with whole requests.
            backends_of: Gives the registered back ends of a service.
            places: Regions of the zones; without, no server is in any region.
            watch: Notices servers that crash; without one, nobody else learns of them.
            control: Bounds what is sent, shared with whole requests.
        """
        self._names = names
        self._chooser = chooser
        self._watch = crash_watch or CrashDetector(
            SuspectTable(), names, lambda _service: "", chooser.cold
        )
        self._control = send_control or SendControl()
        self._picker = ServerPicker(
            names,
            chooser,
            backends_of,
            places or ZoneMap(),
            self._watch,
            self._control,
            TIMER_PREFIX,
        )
        self._streams: dict[str, PendingStream] = {}
        self._by_call: dict[CallId, PendingStream] = {}
        self._refused: list[StreamRefused] = []
        self._calls = 0

    def __len__(self) -> int:
        """Streams on their way."""
        return len(self._streams)

    def take_refused(self) -> list[StreamRefused]:
        """Give the streams that ended before they began."""
        refused, self._refused = self._refused, []
        return refused

    def begin(self, request: ForwardRequest, now: float) -> list[Effect]:
        """Take a request for a stream."""
        stream = PendingStream(request, last_event_id=_last_event_id(request.headers))
        self._streams[request.key] = stream
        left = max(0.0, request.deadline_at - now)
        return [SetTimer(f"{TIMER_PREFIX}{request.key}", left), *self._send(stream, now)]

    def abort(self, key: str, now: float) -> list[Effect]:
        """The caller left: stop the work."""
        stream = self._streams.get(key)
        return [] if stream is None else self._close(stream, now)

    def on_timer(self, name: str, now: float) -> list[Effect]:
        """A timer with `TIMER_PREFIX` fired: the stream's time is over, or one of its waits."""
        key = name.removeprefix(TIMER_PREFIX)
        for prefix in (COLD_TIMER, TRIAL_TIMER, VERDICT_TIMER, PAUSE_TIMER):
            key = key.removeprefix(prefix)
        stream = self._streams.get(key)
        if stream is None:
            return []
        return self._on_timer(stream, name.removeprefix(TIMER_PREFIX), now)

    def _on_timer(self, stream: PendingStream, key: str, now: float) -> list[Effect]:
        if key.startswith(VERDICT_TIMER):
            return self._after_verdict(stream, now)
        if key.startswith(PAUSE_TIMER):
            return self._after_pause(stream, now)
        if key.startswith(TRIAL_TIMER):
            return self._reject(stream, Reason.QUARANTINED, now)
        if key.startswith(COLD_TIMER):
            return self._reject(stream, Reason.COLD, now)
        return self._give_up(stream, Reason.TIME_RAN_OUT, True, now)

    def on_probe_results(self, now: float) -> list[Effect]:
        """Servers were found gone, or there: go on with the streams that waited for that."""
        effects: list[Effect] = []
        for stream in list(self._streams.values()):
            probed = stream.probed_backend
            if probed is not None and not self._watch.is_probing(probed):
                effects.append(_cancel_verdict(stream))
                effects.extend(self._after_verdict(stream, now))
        return effects

    def _after_verdict(self, stream: PendingStream, now: float) -> list[Effect]:
        if stream.probed_backend is None:
            return []
        stream.probed_backend = None
        return self._try_again(stream, stream.last_reason, now)

    def on_cold_grants(self, now: float) -> list[Effect]:
        """The leader answered: go on with streams that waited for grants, or refuse them."""
        effects: list[Effect] = []
        for key in self._picker.cold_wait.take_all():
            stream = self._streams.get(key)
            if stream is not None and stream.call_id is None:
                effects.extend(self._resume(stream, now))
        return effects

    def on_quarantine_change(self, now: float) -> list[Effect]:
        """What is held against requests has changed: go on with those that waited for a permit."""
        effects: list[Effect] = []
        for stream, ended in self._picker.permitted(self._streams, now):
            effects.extend(ended)
            effects.extend(self._send(stream, now))
        return effects

    def _resume(self, stream: PendingStream, now: float) -> list[Effect]:
        is_open = self._picker.candidate(stream, stream.tried, now) is not None
        if not is_open and self._picker.waits_on(stream, stream.tried, now):
            return []
        timer = CancelTimer(f"{TIMER_PREFIX}{COLD_TIMER}{stream.request.key}")
        return [timer, *self._send(stream, now, may_wait=False)]

    def on_call(self, event: StreamEvent, now: float) -> list[Effect]:
        """Something happened to a call with `CALL_PREFIX`."""
        stream = self._by_call.get(event.call_id)
        if stream is None:
            return []
        match event:
            case CallHeaders():
                return self._on_head(stream, event, now)
            case CallChunk():
                return self._on_chunk(stream, event.data, now)
            case CallEnded():
                return self._on_end(stream, now)
            case CallFailed():
                return self._on_failure(stream, event, now)

    # Answers

    def _on_head(self, stream: PendingStream, event: CallHeaders, now: float) -> list[Effect]:
        if stream.backend is not None:
            self._chooser.record_response(stream.backend, now)
            self._control.note_headers(stream.backend.backend_id, event.headers)
        is_refusal = self._names.not_run in event.headers
        if is_not_run(event.status, is_refusal):
            self._watch.record_refusal(event.call_id)
            return self._after_not_run(stream, event.status, now)
        stream.may_have_run = True
        stream.end = end_of_answer(event.status)
        if stream.backend is not None and event.status == HTTPStatus.OK:
            self._chooser.evidence(stream.backend.backend_id).clear_full()
        if event.status != HTTPStatus.OK and stream.is_started:
            self._watch.record_response(event.call_id, now)
            dropped = self._drop_call(stream, now, stream.end)
            return [*dropped, *self._retry(stream, "failed", now)]
        if is_unconfirmed_refusal(event.status, is_refusal, stream.request.route):
            self._watch.record_response(event.call_id, now)
            dropped = self._drop_call(stream, now)
            return [*dropped, *self._give_up(stream, f"status_{event.status}", False, now)]
        stream.cutter = EventSplitter()
        if stream.is_started:
            return []
        stream.is_started = True
        stream.is_failure = event.status != HTTPStatus.OK
        return [RespondStart(RequestId(stream.request.key), event.status, event.headers)]

    def _on_chunk(self, stream: PendingStream, data: bytes, now: float) -> list[Effect]:
        request_id = RequestId(stream.request.key)
        if stream.is_failure:
            return [RespondChunk(request_id, data)]
        effects: list[Effect] = []
        for raw in stream.cutter.feed(data):
            parsed = parse_event(raw, self._names.weight_versions)
            if isinstance(parsed, Err):
                if stream.backend is not None:
                    self._chooser.evidence(stream.backend.backend_id).record_failure(now)
                return [
                    *effects,
                    *self._drop_call(stream, now),
                    *self._retry(stream, "malformed event", now),
                ]
            event = parsed.ok_value
            if event is not None:
                if event.event_id <= stream.last_event_id:
                    continue
                stream.last_event_id = event.event_id
            effects.append(RespondChunk(request_id, raw + EVENT_DELIMITER))
        return effects

    def _on_end(self, stream: PendingStream, now: float) -> list[Effect]:
        if stream.cutter.pending_bytes and not stream.is_failure:
            # A server that stops within an event has not ended its stream.
            return [*self._drop_call(stream, now), *self._retry(stream, "cut short", now)]
        if stream.call_id is not None:
            self._watch.record_response(stream.call_id, now)
        if stream.backend is not None:
            self._chooser.evidence(stream.backend.backend_id).record_success()
        end = RespondEnd(RequestId(stream.request.key), whole=True)
        return [end, *self._close(stream, now, stream.end)]

    def _on_failure(self, stream: PendingStream, event: CallFailed, now: float) -> list[Effect]:
        if stream.backend is not None:
            note_failed_try(self._chooser, stream.backend, event, now)
        asked = self._watch.record_failure(event, now)
        if event.phase is CallPhase.CONNECT:
            stream.note_unconnected()
        else:
            stream.may_have_run = True
        stream.last_reason = event.reason
        fields = failure_fields(stream, stream.backend, event, self._names)
        fields["last_event"] = stream.last_event_id
        log = LogEvent("request.stream_broken", fields)
        dropped = self._drop_call(stream, now)
        return [log, *asked, *dropped, *self._after_failure(stream, event, now)]

    def _after_failure(self, stream: PendingStream, event: CallFailed, now: float) -> list[Effect]:
        backend = stream.backend
        probed = None
        if event.phase is not CallPhase.CONNECT and backend is not None:
            probed = self._picker.probed_server(stream, backend, now)
        if event.phase is CallPhase.CONNECT:
            return self._try_again(stream, event.reason, now)
        if stream.judge_try(probed is not None) is not FailureAction.AWAIT_CRASH_CHECK:
            return self._retry(stream, event.reason, now)
        withheld = self._withhold_retry(stream, event.reason, now)
        if withheld:
            return withheld
        stream.probed_backend = probed
        return [SetTimer(f"{TIMER_PREFIX}{VERDICT_TIMER}{stream.request.key}", CRASH_CHECK_SECONDS)]

    # Sending

    def _retry(self, stream: PendingStream, reason: str, now: float) -> list[Effect]:
        """Go on after a try that may have run: another one costs a token."""
        withheld = self._withhold_retry(stream, reason, now)
        return withheld or self._try_again(stream, reason, now)

    def _withhold_retry(self, stream: PendingStream, reason: str, now: float) -> list[Effect]:
        """Give a stream up whose service has no token for another try; else spend one."""
        if stream.judge_try(is_server_probed=False) is FailureAction.GIVE_UP:
            return []
        service = stream.request.service
        if self._control.take_retry(service, now):
            return []
        counted = count_of(RETRIES_WITHHELD_METRIC, service)
        return [counted, *self._give_up(stream, reason, False, now)]

    def _try_again(self, stream: PendingStream, reason: str, now: float) -> list[Effect]:
        """Go on at another server after a try that failed."""
        if stream.judge_try(is_server_probed=False) is FailureAction.GIVE_UP:
            return self._give_up(stream, reason, False, now)
        return self._send(stream, now)

    def _after_not_run(self, stream: PendingStream, status: int, now: float) -> list[Effect]:
        """Go on at another server after one that has not run it."""
        end = stream.note_not_run(status)
        effects = self._drop_call(stream, now, end)
        if not stream.turned_away:
            return [*effects, *self._try_again(stream, stream.last_reason, now)]
        if stream.judge_try(is_server_probed=False) is FailureAction.GIVE_UP:
            return [*effects, *self._give_up(stream, stream.last_reason, False, now)]
        candidate = self._picker.candidate(stream, stream.tried, now)
        verdict = self._picker.judge_turned_away(stream, candidate, now)
        if verdict is RefusalAction.SEND:
            return [*effects, *self._send(stream, now)]
        is_gone = candidate is None
        waits = self._picker.await_grant(stream, stream.tried, now) if is_gone else []
        if waits:
            return [*effects, *waits]
        if verdict is RefusalAction.REJECT:
            return [*effects, *self._give_up(stream, stream.last_reason, False, now)]
        stream.pause()
        stream.is_pausing = True
        name = f"{TIMER_PREFIX}{PAUSE_TIMER}{stream.request.key}"
        return [*effects, SetTimer(name, FULL_SERVICE_PAUSE_SECONDS)]

    def _after_pause(self, stream: PendingStream, now: float) -> list[Effect]:
        """Ask servers again that turned it away, if one of them has room now."""
        if not stream.is_pausing:
            return []
        stream.is_pausing = False
        candidate = self._picker.candidate(stream, stream.tried, now)
        if candidate is not None:
            verdict = self._picker.judge_turned_away(stream, candidate, now)
            if verdict is not RefusalAction.SEND:
                return self._give_up(stream, stream.last_reason, False, now)
        return self._send(stream, now)

    def _send(self, stream: PendingStream, now: float, may_wait: bool = True) -> list[Effect]:
        picked = self._picker.pick(stream, stream.tried, now, may_wait=may_wait)
        if isinstance(picked, Waiting):
            return picked.effects
        if isinstance(picked, Rejection):
            return self._reject(stream, picked.reason, now)
        if stream.request.deadline_at - now < MINIMUM_ATTEMPT_SECONDS:
            return self._give_up(stream, Reason.TIME_RAN_OUT, True, now)
        self._calls += 1
        call_id = CallId(f"{CALL_PREFIX}{self._calls}")
        stream.call_id = call_id
        stream.target = picked
        self._by_call[call_id] = stream
        self._picker.begin_try(stream, picked, call_id, now)
        return [self._call(stream, picked, call_id, now)]

    def _call(
        self, stream: PendingStream, target: Target, call_id: CallId, now: float
    ) -> StartCall:
        request = stream.request
        left = request.deadline_at - now
        headers = try_headers(request, target.backend, left, self._names)
        if stream.last_event_id:
            headers[LAST_EVENT_HEADER] = str(stream.last_event_id)
        return try_call(
            call_id,
            request,
            target.backend,
            headers=headers,
            timeout_seconds=min(STREAM_IDLE_TIMEOUT_SECONDS, max(SHORTEST_TIMEOUT_SECONDS, left)),
            connect_seconds=self._chooser.distance_profile(target.backend).connect_timeout_seconds,
            fresh_connection=needs_new_connection(
                request.route.is_resumable, target.is_suspect, stream.may_have_run
            ),
            names=self._names,
            stream=True,
        )

    # Ends

    def _reject(self, stream: PendingStream, reason: Reason, now: float) -> list[Effect]:
        """End a stream that goes to no server, or to none any more."""
        log = self._picker.log_rejection(stream, reason)
        return [*log, *self._give_up(stream, reason, False, now)]

    def _give_up(
        self, stream: PendingStream, reason: str, is_late: bool, now: float
    ) -> list[Effect]:
        request = stream.request
        fields: dict[str, object] = {
            "request": request.request_id,
            "route": request.route.name,
            "reason": reason,
            "attempts": stream.attempts,
            "begun": stream.is_started,
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
        self._refused.append(StreamRefused(request, outcome))
        return effects

    def _log_end(
        self, service: str, is_overload: bool, fields: dict[str, object], now: float
    ) -> list[Effect]:
        """Log a stream that is given up; of those that a full service refuses, some."""
        name = "request.stream_failed"
        if is_overload:
            return self._control.refusals.note(service, name, fields, now)
        return [LogEvent(name, fields)]

    def _drop_call(
        self, stream: PendingStream, now: float, end: TryEnd = TryEnd.BROKEN_OFF
    ) -> list[Effect]:
        call_id = stream.call_id
        if call_id is None:
            return []
        stream.call_id = None
        self._watch.record_cancellation(call_id, now)
        self._by_call.pop(call_id, None)
        if stream.target is not None:
            return [CancelCall(call_id), *self._picker.end_try(stream.target, end, now)]
        return [CancelCall(call_id)]

    def _close(
        self, stream: PendingStream, now: float, end: TryEnd = TryEnd.BROKEN_OFF
    ) -> list[Effect]:
        key = stream.request.key
        self._streams.pop(key, None)
        timers = [CancelTimer(f"{TIMER_PREFIX}{key}")]
        if stream.probed_backend is not None:
            timers.append(_cancel_verdict(stream))
        if stream.is_pausing:
            timers.append(CancelTimer(f"{TIMER_PREFIX}{PAUSE_TIMER}{key}"))
        return [*timers, *self._picker.end(key), *self._drop_call(stream, now, end)]


def _cancel_verdict(stream: PendingStream) -> CancelTimer:
    return CancelTimer(f"{TIMER_PREFIX}{VERDICT_TIMER}{stream.request.key}")


def _last_event_id(headers: dict[str, str]) -> int:
    return parse_whole_number(headers.get(LAST_EVENT_HEADER, "")) or 0
