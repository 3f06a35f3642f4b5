"""Streams: events are passed on whole, and resume after a failure without loss or repetition."""

from collections.abc import Callable

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import ForwardRequest, NotRun, OutcomeUnknown
from merlinstand.cluster.routes import RouteKind
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.common.ids import BackendId
from merlinstand.decisions.retry import STREAM_IDLE_TIMEOUT_SECONDS
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.forwarding.stream_forwarder import (
    HEAD_TIMER,
    LAST_EVENT_HEADER,
    TIMER_PREFIX,
    StreamForwarder,
)
from merlinstand.kernel.effects import (
    CancelCall,
    CancelTimer,
    Effect,
    RespondChunk,
    RespondEnd,
    RespondStart,
    SetTimer,
    StartCall,
)
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
)
from merlinstand.quarantine.crash_watch import CrashDetector
from merlinstand.quarantine.follower import SuspectTable
from tests.routes import make_route

NAMES = HeaderNames()
BACKENDS = tuple(
    Backend(backend_id=BackendId(f"b{n}"), service="llm", address=f"10.0.0.{n}:1") for n in (1, 2)
)


class Streaming:
    """A forwarder with one pending stream."""

    def __init__(
        self,
        is_resumable: bool,
        attempts: int = 3,
        backends: tuple[Backend, ...] = BACKENDS,
        watch: CrashDetector | None = None,
        **headers: str,
    ) -> None:
        self.chooser = BackendChooser()
        self.forwarder = StreamForwarder(
            NAMES, self.chooser, lambda _service: backends, crash_detector=watch
        )
        route = make_route(
            RouteKind.STREAM,
            "llm",
            "/s/",
            timeout_seconds=10.0,
            maximum_attempts=attempts,
            is_resumable=is_resumable,
        )
        request = ForwardRequest(
            key="k",
            route=route,
            service="llm",
            method="POST",
            path="/s/1",
            headers={"host": "h", **headers},
            body=b"",
            request_id="q1",
            deadline_at=10.0,
        )
        self.call = only_call(self.forwarder.begin(request, 0.0))

    def head(self, status: int = 200, **headers: str) -> list[Effect]:
        return self.forwarder.on_call(CallHeaders(self.call.call_id, status, headers), 0.1)

    def data(self, data: bytes) -> list[Effect]:
        return self.forwarder.on_call(CallChunk(self.call.call_id, data), 0.2)

    def fail(self, phase: CallPhase) -> list[Effect]:
        return self.forwarder.on_call(CallFailed(self.call.call_id, phase, "reset"), 0.3)


def only_call(effects: list[Effect]) -> StartCall:
    [call] = [effect for effect in effects if isinstance(effect, StartCall)]
    return call


def chunks(effects: list[Effect]) -> bytes:
    return b"".join(effect.data for effect in effects if isinstance(effect, RespondChunk))


def event(number: int) -> bytes:
    return f"id: {number}\ndata: d{number}\n\n".encode()


def test_events_are_passed_on_whole_and_the_end_is_reported() -> None:
    streaming = Streaming(is_resumable=False)
    [start] = streaming.head(signature="s")
    assert isinstance(start, RespondStart)
    assert chunks(streaming.data(event(1) + b"id: 2\nda")) == event(1)
    assert chunks(streaming.data(b"ta: d2\n\n")) == event(2)
    effects = streaming.forwarder.on_call(CallEnded(streaming.call.call_id), 0.4)
    assert RespondEnd("k", whole=True) in effects
    assert len(streaming.forwarder) == 0


@pytest.mark.parametrize(
    ("is_resumable", "attempts", "expected_seconds"),
    [
        pytest.param(True, 2, STREAM_IDLE_TIMEOUT_SECONDS, id="can be resumed"),
        pytest.param(True, 1, 10.0, id="last attempt"),
        pytest.param(False, 3, 10.0, id="not resumable"),
    ],
)
def test_silence_ends_a_started_stream_only_if_it_can_be_resumed(
    is_resumable: bool, attempts: int, expected_seconds: float
) -> None:
    """A pause of 1.5 s cut off streams whose backend then went on."""
    streaming = Streaming(is_resumable=is_resumable, attempts=attempts)
    assert streaming.call.timeout_seconds == expected_seconds
    streaming.head()
    streaming.data(event(1))
    head_timer = f"{TIMER_PREFIX}{HEAD_TIMER}k"
    assert streaming.forwarder.on_timer(head_timer, STREAM_IDLE_TIMEOUT_SECONDS) == []
    assert chunks(streaming.data(event(2))) == event(2)


def test_a_backend_that_sends_no_head_is_given_up() -> None:
    streaming = Streaming(is_resumable=False)
    head_timer = f"{TIMER_PREFIX}{HEAD_TIMER}k"
    effects = streaming.forwarder.on_timer(head_timer, STREAM_IDLE_TIMEOUT_SECONDS)
    assert CancelCall(streaming.call.call_id) in effects
    [unstarted] = streaming.forwarder.take_unstarted()
    assert unstarted.outcome == OutcomeUnknown("timeout", is_timeout=False)


def test_a_broken_stream_resumes_after_its_last_whole_event() -> None:
    streaming = Streaming(is_resumable=True)
    streaming.head()
    streaming.data(event(1) + b"id: 2\nda")
    retry = only_call(streaming.fail(CallPhase.BODY))
    assert retry.headers["last-event-id"] == "1"
    assert retry.address != streaming.call.address
    streaming.call = retry
    assert streaming.head() == []
    assert chunks(streaming.data(event(2))) == event(2)


def test_a_non_resumable_stream_ends_incomplete() -> None:
    streaming = Streaming(is_resumable=False)
    streaming.head()
    streaming.data(event(1))
    effects = streaming.fail(CallPhase.BODY)
    assert RespondEnd("k", whole=False) in effects
    assert not [effect for effect in effects if isinstance(effect, StartCall)]


def test_a_non_resumable_stream_that_may_have_run_is_not_sent_again() -> None:
    streaming = Streaming(is_resumable=False)
    streaming.fail(CallPhase.SENT)
    [unstarted] = streaming.forwarder.take_unstarted()
    assert isinstance(unstarted.outcome, OutcomeUnknown)


def test_a_stream_that_was_not_run_goes_to_another_backend() -> None:
    streaming = Streaming(is_resumable=False)
    retry = only_call(streaming.head(503, **{NAMES.not_run: "1"}))
    assert retry.address != streaming.call.address
    streaming.call = retry
    streaming.fail(CallPhase.CONNECT)
    [unstarted] = streaming.forwarder.take_unstarted()
    assert isinstance(unstarted.outcome, NotRun)


def test_an_error_response_is_passed_on_unchanged() -> None:
    streaming = Streaming(is_resumable=True)
    [start] = streaming.head(500, signature="s")
    assert start == RespondStart("k", 500, {"signature": "s"})
    assert chunks(streaming.data(b"no events")) == b"no events"


@pytest.mark.parametrize("status", [408, 429, 503])
def test_an_unconfirmed_refusal_makes_the_outcome_unknown(status: int) -> None:
    """An overloaded backend may respond with a refusal although it has started the stream."""
    streaming = Streaming(is_resumable=False)
    effects = streaming.head(status, **{"retry-after": "1", NAMES.signature: "s"})
    assert CancelCall(streaming.call.call_id) in effects
    assert not [effect for effect in effects if isinstance(effect, RespondStart | StartCall)]
    [unstarted] = streaming.forwarder.take_unstarted()
    assert unstarted.outcome == OutcomeUnknown(f"status_{status}", is_timeout=False)


def test_an_unconfirmed_refusal_is_passed_on_for_a_resumable_stream() -> None:
    """A resumable stream may run twice, so an unconfirmed refusal is passed on."""
    [start] = Streaming(is_resumable=True).head(503, **{NAMES.signature: "s"})
    assert start == RespondStart("k", 503, {NAMES.signature: "s"})


def test_an_aborted_stream_cancels_its_call() -> None:
    streaming = Streaming(is_resumable=True)
    streaming.head()
    assert CancelCall(streaming.call.call_id) in streaming.forwarder.abort("k", 1.0)


def test_response_headers_are_evidence_that_the_zone_is_reachable() -> None:
    """Otherwise one unresponsive backend would put the zone in doubt forever."""
    responding, unresponsive = (
        Backend(backend_id=BackendId(name), service="llm", address=f"{name}:1", zone="z")
        for name in ("ours", "silent")
    )
    other = Backend(backend_id=BackendId("other"), service="llm", address="other:1", zone="y")
    streaming = Streaming(is_resumable=True, backends=(responding,))
    for backend in (responding, unresponsive):
        streaming.chooser.record_timeout(backend, 0.0)
    streaming.head()
    streaming.chooser.evidence(other.backend_id).in_flight = 9
    streaming.chooser.record_timeout(unresponsive, 4.0)
    assert streaming.chooser.choose((responding, other), set(), 4.1) == responding


def test_an_overlong_last_event_id_is_ignored() -> None:
    streaming = Streaming(is_resumable=True, **{LAST_EVENT_HEADER: "9" * 5000})
    streaming.head()
    assert chunks(streaming.data(event(1))) == event(1)


def check_refused_connections_use_up_no_attempt() -> None:
    """Two backends that refuse the connection leave the third one to be tried."""
    third = Backend(backend_id=BackendId("b3"), service="llm", address="10.0.0.3:1")
    streaming = Streaming(is_resumable=True, attempts=2, backends=(*BACKENDS, third))
    for _refusal in range(2):
        effects = streaming.fail(CallPhase.CONNECT)
        streaming.call = only_call(effects)
    assert streaming.forwarder.take_unstarted() == []


def check_next_attempt_waits_for_crash_check() -> None:
    """Without the wait, the stream could crash the next backend too."""
    watch = CrashDetector(SuspectTable(), NAMES, lambda _service: "/alive", ColdBackendBudget())
    streaming = Streaming(is_resumable=True, watch=watch)
    effects = streaming.fail(CallPhase.SENT)
    [probe] = [effect for effect in effects if isinstance(effect, StartCall)]
    assert probe.path == "/alive"


def test_a_stream_without_remaining_time_is_not_sent() -> None:
    """Its backend would start work that no caller waits for any more."""
    streaming = Streaming(is_resumable=True)
    late = CallFailed(streaming.call.call_id, CallPhase.CONNECT, "refused")
    effects = streaming.forwarder.on_call(late, 9.998)
    assert [effect for effect in effects if isinstance(effect, StartCall)] == []


def test_a_stream_waits_for_the_crash_check_and_resumes_after_it() -> None:
    """The backend has not crashed, so the stream is sent again before the timer ends its wait."""
    watch = CrashDetector(SuspectTable(), NAMES, lambda _service: "/alive", ColdBackendBudget())
    streaming = Streaming(is_resumable=True, watch=watch)
    streaming.head()
    streaming.data(event(1))
    effects = streaming.fail(CallPhase.BODY)
    [probe] = [effect for effect in effects if isinstance(effect, StartCall)]
    watch.on_call(CallResponded(probe.call_id, 200, {}, b""), 0.31)
    retry = only_call(streaming.forwarder.on_crash_check_results(0.31))
    assert retry.headers["last-event-id"] == "1"
    assert retry.address != streaming.call.address
    assert streaming.forwarder.on_crash_check_results(0.32) == []


def test_aborting_a_stream_ends_its_wait_for_the_crash_check() -> None:
    watch = CrashDetector(SuspectTable(), NAMES, lambda _service: "/alive", ColdBackendBudget())
    streaming = Streaming(is_resumable=True, watch=watch)
    [timer] = [e for e in streaming.fail(CallPhase.SENT) if isinstance(e, SetTimer)]
    assert CancelTimer(timer.name) in streaming.forwarder.abort("k", 0.31)
    assert streaming.forwarder.on_timer(timer.name, 0.35) == []


@pytest.mark.parametrize(
    "check",
    [
        pytest.param(check_refused_connections_use_up_no_attempt, id="refused connections"),
        pytest.param(check_next_attempt_waits_for_crash_check, id="wait for the crash check"),
    ],
)
def test_streams_are_retried_like_whole_requests(check: Callable[[], None]) -> None:
    check()
