"""Requests that full backends refuse: where they go next, and how often they are sent."""

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import Answered, ForwardRequest, NotRun
from merlinstand.cluster.routes import RouteKind
from merlinstand.common.ids import BackendId
from merlinstand.decisions.backend_evidence import BackendEvidence
from merlinstand.decisions.rejection import Reason
from merlinstand.decisions.retry import MAXIMUM_REFUSED_ATTEMPTS
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.forwarding.send_control import (
    HEDGES_WITHHELD_METRIC,
    SendControl,
    count_for_service,
)
from merlinstand.forwarding.stream_forwarder import StreamForwarder
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallEnded, CallFailed, CallHeaders, CallPhase, CallResponded
from tests.forwarding.fixed_load import FixedLoad, busy_service_load
from tests.routes import make_route

NAMES = HeaderNames()
BACKENDS = tuple(
    Backend(backend_id=BackendId(f"b{n}"), service="shop", address=f"10.0.0.{n}:1")
    for n in range(4)
)
FULL = {NAMES.not_run: "1"}


def request(kind: RouteKind, key: str = "k", deadline_at: float = 0.8) -> ForwardRequest:
    route = make_route(
        kind, "shop", "/l/", target_latency_seconds=0.2, maximum_attempts=2, is_resumable=True
    )
    return ForwardRequest(
        key=key,
        route=route,
        service="shop",
        method="POST",
        path="/l/1",
        headers={"host": "h"},
        body=b"",
        request_id="q1",
        deadline_at=deadline_at,
    )


class WholeRequest:
    """A whole request and its effects."""

    pause_timer = "forward.retry:k"

    def __init__(self, load: FixedLoad, kind: RouteKind = RouteKind.REPEATABLE) -> None:
        control = SendControl(load)
        self.forwarder = Forwarder(NAMES, lambda _service: BACKENDS, send_control=control)
        self.chooser = self.forwarder.chooser
        self.effects: list[Effect] = list(self.forwarder.begin(request(kind), 0.0))

    def refuse(self, call: StartCall, now: float) -> None:
        self.effects += self.forwarder.on_call(CallResponded(call.call_id, 503, FULL, b""), now)

    def respond(self, call: StartCall, status: int, now: float) -> None:
        self.effects += self.forwarder.on_call(CallResponded(call.call_id, status, {}, b""), now)

    def outcome(self) -> object:
        [finished] = self.forwarder.take_finished()
        return finished.outcome

    def end_pause(self, now: float) -> None:
        self.effects += self.forwarder.on_timer(self.pause_timer, now)

    @property
    def calls(self) -> list[StartCall]:
        return [effect for effect in self.effects if isinstance(effect, StartCall)]


class StreamRequest(WholeRequest):
    """The same for a stream."""

    pause_timer = "stream.pause:k"

    def __init__(self, load: FixedLoad) -> None:
        control = SendControl(load)
        self.chooser = BackendChooser()
        self.streams = StreamForwarder(
            NAMES, self.chooser, lambda _service: BACKENDS, send_control=control
        )
        self.effects = list(self.streams.begin(request(RouteKind.STREAM), 0.0))

    def refuse(self, call: StartCall, now: float) -> None:
        self.effects += self.streams.on_call(CallHeaders(call.call_id, 503, FULL), now)

    def respond(self, call: StartCall, status: int, now: float) -> None:
        self.effects += self.streams.on_call(CallHeaders(call.call_id, status, {}), now)
        self.effects += self.streams.on_call(CallEnded(call.call_id), now)

    def outcome(self) -> object:
        [unstarted] = self.streams.take_unstarted()
        return unstarted.outcome

    def end_pause(self, now: float) -> None:
        self.effects += self.streams.on_timer(self.pause_timer, now)


@pytest.mark.parametrize("kind", [WholeRequest, StreamRequest])
def test_a_request_goes_to_each_full_backend_once_and_pauses_once(kind: type[WholeRequest]) -> None:
    """Overload: all four backends refuse the request, and its route allows two attempts."""
    load = FixedLoad()
    run = kind(load)
    for n in range(len(BACKENDS)):
        assert len(run.calls) == n + 1
        run.refuse(run.calls[-1], 0.003 * (n + 1))
    assert len({call.address for call in run.calls}) == len(BACKENDS)
    assert SetTimer(run.pause_timer, 0.02) in run.effects
    run.end_pause(0.033)
    assert len(run.calls) == len(BACKENDS) + 1
    run.refuse(run.calls[-1], 0.036)
    outcome = run.outcome()
    assert isinstance(outcome, NotRun)
    assert outcome.reason == Reason.OVERLOADED
    first = run.calls[0].headers[NAMES.expected_backend]
    assert load.records[:3] == [f"begun {first}", f"refused {first}", load.records[2]]
    assert len([record for record in load.records if record.startswith("refused")]) == 5


@pytest.mark.parametrize("kind", [WholeRequest, StreamRequest])
@pytest.mark.parametrize(
    ("status", "end"),
    [
        (200, "responded"),
        (422, "responded"),
        (429, "inconclusive"),
        (500, "inconclusive"),
        (503, "inconclusive"),
    ],
)
def test_a_fast_failure_or_refusal_is_not_evidence_of_a_fast_backend(
    kind: type[WholeRequest], status: int, end: str
) -> None:
    """A backend that fails or refuses within 3 ms must not attract more requests."""
    load = FixedLoad()
    run = kind(load)
    [call] = run.calls
    run.respond(call, status, 0.003)
    backend_id = call.headers[NAMES.expected_backend]
    at_backend = [record for record in load.records if record.endswith(backend_id)]
    assert at_backend == [f"begun {backend_id}", f"{end} {backend_id}"]


@pytest.mark.parametrize("kind", [WholeRequest, StreamRequest])
def test_backends_that_stay_full_are_not_tried_again(kind: type[WholeRequest]) -> None:
    """While backends stay full, a request is sent once, pauses, and is rejected."""
    run = kind(FixedLoad())
    for backend in BACKENDS:
        run.chooser.evidence(backend.backend_id).full_until = 0.2
    run.refuse(run.calls[0], 0.003)
    assert len(run.calls) == 1
    run.end_pause(0.023)
    assert len(run.calls) == 1
    assert isinstance(run.outcome(), NotRun)


def test_attempts_at_a_full_service_with_many_backends_are_limited() -> None:
    """Overload of a service with 400 backends: a request goes to some of them only."""
    servers = tuple(
        Backend(backend_id=BackendId(f"b{n}"), service="shop", address=f"10.0.{n}.1:1")
        for n in range(400)
    )
    forwarder = Forwarder(NAMES, lambda _service: servers)
    effects = forwarder.begin(request(RouteKind.REPEATABLE), 0.0)
    sent = 0
    while calls := [effect for effect in effects if isinstance(effect, StartCall)]:
        sent += 1
        effects = forwarder.on_call(CallResponded(calls[0].call_id, 503, FULL, b""), 0.003 * sent)
    [finished] = forwarder.take_finished()
    assert isinstance(finished.outcome, NotRun)
    assert sent == MAXIMUM_REFUSED_ATTEMPTS + 1


def test_a_request_goes_to_a_backend_that_refused_none() -> None:
    """Three backends are full, the fourth one is not."""
    chooser = BackendChooser()
    for backend in BACKENDS[:3]:
        chooser.evidence(backend.backend_id).record_refusal(0.0)
    assert chooser.choose(BACKENDS, (), 0.01) == BACKENDS[3]


def test_a_backend_that_stays_full_is_avoided_for_longer() -> None:
    """A backend stays full for a second and then responds."""
    evidence = BackendEvidence()
    refusal_count = 0
    for step in range(100):
        now = step / 100
        if not evidence.is_full(now):
            evidence.record_refusal(now)
            refusal_count += 1
    assert refusal_count <= 7
    evidence.clear_full()
    assert not evidence.is_full(0.99)
    evidence.record_refusal(1.0)
    assert not evidence.is_full(1.03)


def test_a_short_deadline_is_not_spent_on_a_pause() -> None:
    """A caller with 20 ms left is rejected while it can still send the request again."""
    forwarder = Forwarder(NAMES, lambda _service: BACKENDS[:1])
    effects = forwarder.begin(request(RouteKind.REPEATABLE, deadline_at=0.02), 0.0)
    [call] = [effect for effect in effects if isinstance(effect, StartCall)]
    forwarder.on_call(CallResponded(call.call_id, 503, FULL, b""), 0.003)
    [finished] = forwarder.take_finished()
    assert isinstance(finished.outcome, NotRun)


def test_a_non_repeatable_request_may_be_refused_often() -> None:
    """Three backends are full; a route with two attempts is served by the fourth one."""
    run = WholeRequest(FixedLoad(), RouteKind.ONCE)
    for n in range(3):
        run.refuse(run.calls[-1], 0.003 * (n + 1))
    run.forwarder.on_call(CallResponded(run.calls[-1].call_id, 200, {}, b"b"), 0.05)
    assert run.outcome() == Answered(200, {}, b"b")


def test_a_full_service_is_not_hedged_until_the_target_latency_has_passed() -> None:
    """A service at full load in which one backend is unresponsive."""
    shares = {backend.backend_id: 0.25 for backend in BACKENDS}
    run = WholeRequest(FixedLoad(busy_service_load("shop", 1.0, shares)))
    effects = run.forwarder.on_timer("forward.hedge:k", 0.12)
    again = SetTimer("forward.hedge:k", 0.08)
    assert count_for_service(HEDGES_WITHHELD_METRIC, "shop") in effects
    assert [round(e.delay_seconds, 6) for e in effects if isinstance(e, SetTimer)] == [
        again.delay_seconds
    ]
    run.effects += run.forwarder.on_timer("forward.hedge:k", 0.2)
    assert len(run.calls) == 2


def test_an_unresponsive_backend_at_low_load_is_hedged() -> None:
    """At low load, requests to an unresponsive backend are hedged."""
    run = WholeRequest(FixedLoad())
    run.effects += run.forwarder.on_timer("forward.hedge:k", 0.12)
    assert len(run.calls) == 2


def test_no_hedge_goes_to_a_full_backend() -> None:
    """All other backends refuse requests."""
    run = WholeRequest(FixedLoad())
    first = run.calls[0].headers[NAMES.expected_backend]
    for backend in BACKENDS:
        if backend.backend_id != first:
            run.forwarder.chooser.evidence(backend.backend_id).record_refusal(0.11)
    assert run.forwarder.on_timer("forward.hedge:k", 0.12) == []


def test_retries_are_limited_when_a_whole_service_fails() -> None:
    """When each request of a service breaks off, only few may be sent again."""
    forwarder = Forwarder(NAMES, lambda _service: BACKENDS)
    sent = 0
    for n in range(400):
        now = n / 100
        effects = forwarder.begin(request(RouteKind.REPEATABLE, f"k{n}", now + 0.8), now)
        while calls := [effect for effect in effects if isinstance(effect, StartCall)]:
            sent += 1
            failed = CallFailed(calls[0].call_id, CallPhase.SENT, "reset")
            effects = forwarder.on_call(failed, now)
    assert 400 < sent <= 400 * 1.2 + 40 + 5
