"""Passes streams of events on as they come; resumes a broken one elsewhere where that is allowed.

Only whole events leave, so that a stream can go on after the last one at another server without
an event missing or standing twice. Pure part of a reducer, like `forwarder`.
"""

from collections.abc import Callable

import msgspec
from result import Err

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.places import Places
from merlinstand.cluster.regions import NO_SERVER_REASON, servers_within
from merlinstand.cluster.requests import ForwardRequest, NotRun, OutcomeUnknown
from merlinstand.cold_servers.wait import COLD_REASON, ColdWait
from merlinstand.common.event_stream import EVENT_END, EventCutter, parse_event
from merlinstand.common.ids import BackendId, CallId, RequestId
from merlinstand.common.whole_number import read_whole_number
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.forwarding.forwarder import (
    CALL_TIMEOUT_REASON,
    MISDIRECTED_STATUS,
    RETRY_AFTER_SECONDS,
)
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

CALL_PREFIX = "stream:"
TIMER_PREFIX = "stream."
COLD_MARK = "cold:"
"""Stands before the key in the name of the timer that ends a wait for a grant."""
TRIAL_MARK = "trial:"
"""The same for a wait for leave to be tried."""
SILENCE_SECONDS = 1.5
"""A server that sends nothing for this long is given up on."""
SUCCESS_STATUS = 200
LAST_EVENT_HEADER = "last-event-id"

StreamEvent = CallHeaders | CallChunk | CallEnded | CallFailed


class _Stream(KnownRequest):
    """A caller's stream on its way."""

    tried: set[BackendId] = msgspec.field(default_factory=set)
    sent: int = 0
    call_id: CallId | None = None
    backend: Backend | None = None
    may_have_run: bool = False
    is_started: bool = False
    """Whether the caller has the head of the answer."""
    is_failure: bool = False
    """Whether the answer is no stream but a server's failure, passed on as it comes."""
    last_event_id: int = 0
    is_suspect: bool = False
    """Whether servers had ended under it when it was sent to the present one."""
    cutter: EventCutter = msgspec.field(default_factory=EventCutter)


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
        places: Places | None = None,
        watch: CrashWatch | None = None,
    ) -> None:
        """Begin without streams.

        Args:
            names: Header names.
            chooser: Evidence about back ends, shared with whole requests.
            backends_of: Gives the registered back ends of a service.
            places: Regions of the zones; without, no server is in any region.
            watch: Notices servers that end; without one, nobody else is told of them.
        """
        self._names = names
        self._chooser = chooser
        self._watch = watch or CrashWatch(SuspectTable(), names, lambda _service: "", chooser.cold)
        self._gate = QuarantineGate(self._watch.suspects, f"{TIMER_PREFIX}{TRIAL_MARK}")
        self._backends_of = backends_of
        self._places = Places() if places is None else places
        self._cold_wait = ColdWait(chooser.cold, f"{TIMER_PREFIX}{COLD_MARK}")
        self._streams: dict[str, _Stream] = {}
        self._by_call: dict[CallId, _Stream] = {}
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
        stream = _Stream(request, last_event_id=_last_event_id(request.headers))
        self._streams[request.key] = stream
        left = max(0.0, request.deadline_at - now)
        return [SetTimer(f"{TIMER_PREFIX}{request.key}", left), *self._send(stream, now)]

    def abort(self, key: str, now: float) -> list[Effect]:
        """The caller left: stop the work."""
        stream = self._streams.get(key)
        return [] if stream is None else self._close(stream, now)

    def on_timer(self, name: str, now: float) -> list[Effect]:
        """A timer with `TIMER_PREFIX` fired: the stream's time is over, or its wait for a grant."""
        key = name.removeprefix(TIMER_PREFIX)
        stream = self._streams.get(key.removeprefix(COLD_MARK).removeprefix(TRIAL_MARK))
        if stream is None:
            return []
        if key.startswith(TRIAL_MARK):
            return self._refuse_quarantined(stream, now)
        if key.startswith(COLD_MARK):
            return self._give_up(stream, COLD_REASON, False, now)
        return self._give_up(stream, "time ran out", True, now)

    def resume(self, now: float) -> list[Effect]:
        """The leader answered: go on with streams that waited for grants, or refuse them."""
        effects: list[Effect] = []
        for key in self._cold_wait.take_all():
            stream = self._streams.get(key)
            if stream is not None and stream.call_id is None:
                effects.extend(self._resume(stream, now))
        return effects

    def on_suspects(self, now: float) -> list[Effect]:
        """What is held against requests has changed: go on with those that waited for leave."""
        effects: list[Effect] = []
        for key in self._gate.waiting:
            stream = self._streams.get(key)
            if stream is not None and self._admit(stream, now) is not Admission.WAIT:
                effects.extend(self._gate.end(key))
                effects.extend(self._send(stream, now))
        return effects

    def _resume(self, stream: _Stream, now: float) -> list[Effect]:
        allowed = self._allowed(stream.request)
        is_open = self._chooser.choose(allowed, stream.tried, now) is not None
        closed = self._chooser.closed(allowed, stream.tried, now)
        if not is_open and self._cold_wait.go_on(stream.request, closed, now):
            return []
        timer = CancelTimer(f"{TIMER_PREFIX}{COLD_MARK}{stream.request.key}")
        return [timer, *self._send(stream, now, may_wait=False)]

    def _allowed(self, request: ForwardRequest) -> tuple[Backend, ...]:
        """Back ends of the request's service in the regions that may serve it."""
        backends = self._backends_of(request.service)
        return servers_within(backends, request.allowed_regions, self._places)

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

    def _on_head(self, stream: _Stream, event: CallHeaders, now: float) -> list[Effect]:
        if stream.backend is not None:
            self._chooser.note_heard(stream.backend, now)
        is_not_run = self._names.not_run in event.headers or event.status == MISDIRECTED_STATUS
        if is_not_run:
            self._watch.turned_away(event.call_id)
            return [*self._drop_call(stream, now), *self._try_again(stream, "not run", now)]
        stream.may_have_run = True
        if event.status != SUCCESS_STATUS and stream.is_started:
            self._watch.answered(event.call_id, now)
            return [*self._drop_call(stream, now), *self._try_again(stream, "failed", now)]
        stream.cutter = EventCutter()
        if stream.is_started:
            return []
        stream.is_started = True
        stream.is_failure = event.status != SUCCESS_STATUS
        return [RespondStart(RequestId(stream.request.key), event.status, event.headers)]

    def _on_chunk(self, stream: _Stream, data: bytes, now: float) -> list[Effect]:
        request_id = RequestId(stream.request.key)
        if stream.is_failure:
            return [RespondChunk(request_id, data)]
        effects: list[Effect] = []
        for raw in stream.cutter.feed(data):
            parsed = parse_event(raw, self._names.weight_versions)
            if isinstance(parsed, Err):
                self._note_failure(stream, now)
                return [
                    *effects,
                    *self._drop_call(stream, now),
                    *self._try_again(stream, "malformed event", now),
                ]
            event = parsed.ok_value
            if event is not None:
                if event.event_id <= stream.last_event_id:
                    continue
                stream.last_event_id = event.event_id
            effects.append(RespondChunk(request_id, raw + EVENT_END))
        return effects

    def _on_end(self, stream: _Stream, now: float) -> list[Effect]:
        if stream.cutter.pending_bytes and not stream.is_failure:
            # A server that stops within an event has not ended its stream.
            return [*self._drop_call(stream, now), *self._try_again(stream, "cut short", now)]
        if stream.call_id is not None:
            self._watch.answered(stream.call_id, now)
        if stream.backend is not None:
            self._chooser.evidence(stream.backend.backend_id).note_success()
        end = RespondEnd(RequestId(stream.request.key), whole=True)
        return [end, *self._close(stream, now)]

    def _on_failure(self, stream: _Stream, event: CallFailed, now: float) -> list[Effect]:
        self._note_failure(stream, now, event)
        asked = self._watch.failed(event, now)
        if event.phase is not CallPhase.CONNECT:
            stream.may_have_run = True
        fields: dict[str, object] = {
            "request": stream.request.request_id,
            "backend": stream.backend.backend_id if stream.backend else "",
            "phase": event.phase.value,
            "reason": event.reason,
            "last_event": stream.last_event_id,
        }
        if event.phase is not CallPhase.CONNECT:
            fields["content"] = stream.content(self._names)
            fields["caller"] = stream.request.caller
        log = LogEvent("request.stream_broken", fields)
        dropped = self._drop_call(stream, now)
        return [log, *asked, *dropped, *self._try_again(stream, event.reason, now)]

    def _note_failure(self, stream: _Stream, now: float, event: CallFailed | None = None) -> None:
        if stream.backend is None:
            return
        self._chooser.evidence(stream.backend.backend_id).note_failure(now)
        if event is None:
            return
        self._chooser.cold.note_failure(stream.backend, event, now)
        if event.reason == CALL_TIMEOUT_REASON:
            self._chooser.note_silence(stream.backend, now)

    # What is held against a request

    def _admit(self, stream: _Stream, now: float) -> Admission:
        return self._gate.admit(lambda: stream.content(self._names), now)

    def _refuse_quarantined(self, stream: _Stream, now: float) -> list[Effect]:
        log = refusal_log(stream.request.request_id, stream.content(self._names))
        return [log, *self._give_up(stream, QUARANTINED_REASON, False, now)]

    # Sending

    def _try_again(self, stream: _Stream, reason: str, now: float) -> list[Effect]:
        route = stream.request.route
        is_allowed = not stream.may_have_run or route.is_resumable
        if stream.is_failure or not is_allowed or stream.sent >= max(1, route.maximum_attempts):
            return self._give_up(stream, reason, False, now)
        return self._send(stream, now)

    def _send(self, stream: _Stream, now: float, may_wait: bool = True) -> list[Effect]:
        request = stream.request
        admission = self._admit(stream, now)
        if admission is Admission.WAIT:
            return self._gate.wait(request.key, stream.content(self._names))
        if admission is Admission.REJECTED:
            return self._refuse_quarantined(stream, now)
        is_suspect = admission is not Admission.ALLOWED
        is_sparing = admission is Admission.NOT_LAST_SERVER
        allowed = self._allowed(request)
        backend = self._chooser.choose(
            allowed, stream.tried, now, is_suspect=is_suspect, spares_last=is_sparing
        )
        if backend is None:
            closed = self._chooser.closed(allowed, stream.tried, now)
            wait = self._cold_wait.begin(request, closed, now) if may_wait else []
            is_bound = bool(request.allowed_regions)
            reason = NO_SERVER_REASON if is_bound else "no back end"
            reason = SPARED_REASON if is_sparing else reason
            return wait or self._give_up(stream, COLD_REASON if closed else reason, False, now)
        left = request.deadline_at - now
        self._calls += 1
        call_id = CallId(f"{CALL_PREFIX}{self._calls}")
        stream.call_id = call_id
        stream.backend = backend
        stream.tried.add(backend.backend_id)
        stream.sent += 1
        stream.is_suspect = is_suspect
        if is_suspect:
            self._chooser.evidence(backend.backend_id).suspects += 1
            self._gate.note_sent(lambda: stream.content(self._names))
        self._watch.sent(call_id, backend, lambda: stream.content(self._names), now)
        self._by_call[call_id] = stream
        self._chooser.begin(backend, now)
        headers = {
            **request.headers,
            self._names.request_id: request.request_id,
            self._names.deadline_ms: str(max(1, int(left * 1000))),
            self._names.expected_backend: backend.backend_id,
        }
        if stream.last_event_id:
            headers[LAST_EVENT_HEADER] = str(stream.last_event_id)
        return [
            StartCall(
                call_id=call_id,
                address=backend.address,
                method=request.method,
                path=request.path,
                headers=headers,
                body=request.body,
                timeout_seconds=min(SILENCE_SECONDS, max(0.01, left)),
                connect_seconds=self._chooser.reach(backend).connect_seconds,
                stream=True,
                host=request.headers.get("host", ""),
                echo_header=self._names.request_id,
                # Not to be reset by a server that was gone before: see `Forwarder`.
                fresh_connection=not request.route.is_resumable
                or is_suspect
                or stream.may_have_run,
            )
        ]

    # Ends

    def _give_up(self, stream: _Stream, reason: str, is_late: bool, now: float) -> list[Effect]:
        request = stream.request
        fields = {
            "request": request.request_id,
            "route": request.route.name,
            "reason": reason,
            "attempts": stream.sent,
            "begun": stream.is_started,
        }
        effects: list[Effect] = [LogEvent("request.stream_failed", fields)]
        is_running = stream.call_id is not None
        effects.extend(self._close(stream, now))
        if stream.is_started:
            return [*effects, RespondEnd(RequestId(request.key), whole=False)]
        retry_after = RETRY_AFTER_SECONDS
        if reason == COLD_REASON:
            retry_after = self._cold_wait.retry_after_seconds(request.service, now)
        if reason == SPARED_REASON:
            retry_after = SPARED_RETRY_SECONDS
        if reason == QUARANTINED_REASON:
            retry_after = self._gate.retry_after_seconds(stream.content(self._names), now)
        outcome: NotRun | OutcomeUnknown = NotRun(reason, retry_after)
        if stream.may_have_run or is_running:
            outcome = OutcomeUnknown(reason, is_late)
        self._refused.append(StreamRefused(request, outcome))
        return effects

    def _drop_call(self, stream: _Stream, now: float) -> list[Effect]:
        call_id = stream.call_id
        if call_id is None:
            return []
        stream.call_id = None
        self._watch.given_up(call_id, now)
        self._by_call.pop(call_id, None)
        if stream.backend is not None:
            evidence = self._chooser.evidence(stream.backend.backend_id)
            evidence.in_flight -= 1
            evidence.suspects -= stream.is_suspect
        return [CancelCall(call_id)]

    def _close(self, stream: _Stream, now: float) -> list[Effect]:
        self._streams.pop(stream.request.key, None)
        timer = CancelTimer(f"{TIMER_PREFIX}{stream.request.key}")
        key = stream.request.key
        waits = [*self._cold_wait.end(key), *self._gate.end(key)]
        return [timer, *waits, *self._drop_call(stream, now)]


def _last_event_id(headers: dict[str, str]) -> int:
    return read_whole_number(headers.get(LAST_EVENT_HEADER, "")) or 0
