"""Streams at a gateway: events as they come, resumed after a break, never joined wrongly."""

from collections.abc import Callable

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import ForwardRequest, NotRun, OutcomeUnknown
from merlinstand.cluster.routes import RouteKind
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.common.ids import BackendId
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.forwarding.stream_forwarder import LAST_EVENT_HEADER, StreamForwarder
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
    """A forwarder with one request under way."""

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
            NAMES, self.chooser, lambda _service: backends, crash_watch=watch
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


def test_events_leave_whole_and_the_end_is_told() -> None:
    streaming = Streaming(is_resumable=False)
    [start] = streaming.head(signature="s")
    assert isinstance(start, RespondStart)
    assert chunks(streaming.data(event(1) + b"id: 2\nda")) == event(1)
    assert chunks(streaming.data(b"ta: d2\n\n")) == event(2)
    effects = streaming.forwarder.on_call(CallEnded(streaming.call.call_id), 0.4)
    assert RespondEnd("k", whole=True) in effects
    assert len(streaming.forwarder) == 0


def test_a_broken_stream_goes_on_after_its_last_whole_event() -> None:
    streaming = Streaming(is_resumable=True)
    streaming.head()
    streaming.data(event(1) + b"id: 2\nda")
    again = only_call(streaming.fail(CallPhase.BODY))
    assert again.headers["last-event-id"] == "1"
    assert again.address != streaming.call.address
    streaming.call = again
    assert streaming.head() == []
    assert chunks(streaming.data(event(2))) == event(2)


def test_a_stream_that_may_not_be_resumed_is_broken_off() -> None:
    streaming = Streaming(is_resumable=False)
    streaming.head()
    streaming.data(event(1))
    effects = streaming.fail(CallPhase.BODY)
    assert RespondEnd("k", whole=False) in effects
    assert not [effect for effect in effects if isinstance(effect, StartCall)]


def test_nothing_is_repeated_once_it_may_have_run() -> None:
    streaming = Streaming(is_resumable=False)
    streaming.fail(CallPhase.SENT)
    [refused] = streaming.forwarder.take_refused()
    assert isinstance(refused.outcome, OutcomeUnknown)


def test_a_server_that_did_not_run_it_is_replaced() -> None:
    streaming = Streaming(is_resumable=False)
    again = only_call(streaming.head(503, **{NAMES.not_run: "1"}))
    assert again.address != streaming.call.address
    streaming.call = again
    streaming.fail(CallPhase.CONNECT)
    [refused] = streaming.forwarder.take_refused()
    assert isinstance(refused.outcome, NotRun)


def test_a_failure_is_passed_on_as_the_server_gave_it() -> None:
    streaming = Streaming(is_resumable=True)
    [start] = streaming.head(500, signature="s")
    assert start == RespondStart("k", 500, {"signature": "s"})
    assert chunks(streaming.data(b"no events")) == b"no events"


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_refusal_without_proof_is_no_promise_to_a_stream(status: int) -> None:
    """A server under load answers as if it had refused, and may have begun the stream."""
    streaming = Streaming(is_resumable=False)
    effects = streaming.head(status, **{"retry-after": "1", NAMES.signature: "s"})
    assert CancelCall(streaming.call.call_id) in effects
    assert not [effect for effect in effects if isinstance(effect, RespondStart | StartCall)]
    [refused] = streaming.forwarder.take_refused()
    assert refused.outcome == OutcomeUnknown(f"status_{status}", is_timeout=False)


def test_a_refusal_without_proof_may_answer_a_stream_that_can_go_on() -> None:
    """A server under load answers as if it had refused: a resumable stream may run twice."""
    [start] = Streaming(is_resumable=True).head(503, **{NAMES.signature: "s"})
    assert start == RespondStart("k", 503, {NAMES.signature: "s"})


def test_a_caller_that_leaves_stops_the_work() -> None:
    streaming = Streaming(is_resumable=True)
    streaming.head()
    assert CancelCall(streaming.call.call_id) in streaming.forwarder.abort("k", 1.0)


def test_a_stream_that_begins_shows_that_its_zone_can_be_reached() -> None:
    """Otherwise one silent server would put the zone in doubt for ever after."""
    ours, silent = (
        Backend(backend_id=BackendId(name), service="llm", address=f"{name}:1", zone="z")
        for name in ("ours", "silent")
    )
    other = Backend(backend_id=BackendId("other"), service="llm", address="other:1", zone="y")
    streaming = Streaming(is_resumable=True, backends=(ours,))
    for backend in (ours, silent):
        streaming.chooser.record_timeout(backend, 0.0)
    streaming.head()
    streaming.chooser.evidence(other.backend_id).in_flight = 9
    streaming.chooser.record_timeout(silent, 4.0)
    assert streaming.chooser.choose((ours, other), set(), 4.1) == ours


def test_a_number_too_long_to_read_is_no_last_event() -> None:
    streaming = Streaming(is_resumable=True, **{LAST_EVENT_HEADER: "9" * 5000})
    streaming.head()
    assert chunks(streaming.data(event(1))) == event(1)


def refused_connections_use_up_no_try() -> None:
    """Two servers that refuse leave the third, sound one to be asked."""
    third = Backend(backend_id=BackendId("b3"), service="llm", address="10.0.0.3:1")
    streaming = Streaming(is_resumable=True, attempts=2, backends=(*BACKENDS, third))
    for _refusal in range(2):
        effects = streaming.fail(CallPhase.CONNECT)
        streaming.call = only_call(effects)
    assert streaming.forwarder.take_refused() == []


def the_next_try_waits_for_whether_the_server_has_crashed() -> None:
    """Until then it may go to the next server that it would crash."""
    watch = CrashDetector(SuspectTable(), NAMES, lambda _service: "/alive", ColdBackendBudget())
    streaming = Streaming(is_resumable=True, watch=watch)
    effects = streaming.fail(CallPhase.SENT)
    [probe] = [effect for effect in effects if isinstance(effect, StartCall)]
    assert probe.path == "/alive"


def test_a_stream_without_time_left_is_not_sent() -> None:
    """Its server would begin what nobody waits for any more."""
    streaming = Streaming(is_resumable=True)
    late = CallFailed(streaming.call.call_id, CallPhase.CONNECT, "refused")
    effects = streaming.forwarder.on_call(late, 9.998)
    assert [effect for effect in effects if isinstance(effect, StartCall)] == []


def test_a_stream_waits_for_the_verdict_and_goes_on_when_it_comes() -> None:
    """The server answers, so the stream may go to the next one; it doesn't wait on in vain."""
    watch = CrashDetector(SuspectTable(), NAMES, lambda _service: "/alive", ColdBackendBudget())
    streaming = Streaming(is_resumable=True, watch=watch)
    streaming.head()
    streaming.data(event(1))
    effects = streaming.fail(CallPhase.BODY)
    [probe] = [effect for effect in effects if isinstance(effect, StartCall)]
    watch.on_call(CallResponded(probe.call_id, 200, {}, b""), 0.31)
    again = only_call(streaming.forwarder.on_probe_results(0.31))
    assert again.headers["last-event-id"] == "1"
    assert again.address != streaming.call.address
    assert streaming.forwarder.on_probe_results(0.32) == []


def test_a_caller_that_leaves_during_the_wait_for_a_verdict_ends_it() -> None:
    watch = CrashDetector(SuspectTable(), NAMES, lambda _service: "/alive", ColdBackendBudget())
    streaming = Streaming(is_resumable=True, watch=watch)
    [timer] = [e for e in streaming.fail(CallPhase.SENT) if isinstance(e, SetTimer)]
    assert CancelTimer(timer.name) in streaming.forwarder.abort("k", 0.31)
    assert streaming.forwarder.on_timer(timer.name, 0.35) == []


@pytest.mark.parametrize(
    "check",
    [
        pytest.param(refused_connections_use_up_no_try, id="refused connections"),
        pytest.param(
            the_next_try_waits_for_whether_the_server_has_crashed, id="wait for a verdict"
        ),
    ],
)
def test_streams_are_tried_again_like_whole_requests(check: Callable[[], None]) -> None:
    """No reason is recorded why they should not be."""
    check()
