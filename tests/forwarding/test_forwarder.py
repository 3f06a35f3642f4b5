"""Whole requests: attempts within their limit, correct rejections, one response per request."""

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import Answered, ForwardRequest, NotRun, OutcomeUnknown
from merlinstand.cluster.routes import Route, RouteKind, RouteTarget
from merlinstand.common.ids import BackendId
from merlinstand.decisions.retry import EXTRA_UNCONNECTED_ATTEMPTS
from merlinstand.decisions.service_split import WeightedChoice
from merlinstand.decisions.waiting import FULL_SERVICE_PAUSE_SECONDS
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.forwarding.send_control import ATTEMPTS_REFUSED_METRIC, count_for_service
from merlinstand.kernel.effects import CancelCall, CancelTimer, Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from tests.routes import make_route

NAMES = HeaderNames()
BACKENDS = tuple(
    Backend(backend_id=BackendId(f"b{n}"), service="shop", address=f"10.0.0.{n}:1")
    for n in (1, 2, 3)
)
REFUSED_COUNT = count_for_service(ATTEMPTS_REFUSED_METRIC, "shop")


def route(kind: RouteKind = RouteKind.REPEATABLE, attempts: int = 3) -> Route:
    return make_route(kind, "shop", "/l/", target_latency_seconds=0.2, maximum_attempts=attempts)


def request(of_route: Route) -> ForwardRequest:
    return ForwardRequest(
        key="k",
        route=of_route,
        service="shop",
        method="POST",
        path="/l/1",
        headers={"host": "h", "x-other": "kept"},
        body=b"body",
        request_id="q1",
        deadline_at=1.5,
    )


def calls(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def begin(of_route: Route) -> tuple[Forwarder, StartCall]:
    forwarder = Forwarder(NAMES, lambda _service: BACKENDS)
    [call] = calls(forwarder.begin(request(of_route), 0.0))
    return forwarder, call


def response(call: StartCall, status: int, **headers: str) -> CallResponded:
    return CallResponded(call.call_id, status, headers, b"b")


def test_a_request_is_forwarded_unchanged_except_for_added_headers() -> None:
    _forwarder, call = begin(route())
    assert (call.method, call.path, call.body, call.host) == ("POST", "/l/1", b"body", "h")
    assert call.headers["x-other"] == "kept"
    assert call.headers[NAMES.request_id] == "q1"
    assert call.headers[NAMES.deadline_ms] == "1500"
    assert call.headers[NAMES.expected_backend] in {"b1", "b2", "b3"}


def test_a_response_is_passed_on_unchanged() -> None:
    forwarder, call = begin(route())
    forwarder.on_call(response(call, 404, stamp="s"), 0.05)
    [finished] = forwarder.take_finished()
    assert finished.outcome == Answered(404, {"stamp": "s"}, b"b")


def test_no_more_backends_than_allowed() -> None:
    forwarder, call = begin(route(attempts=2))
    [second] = calls(forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "reset"), 0.1))
    assert second.address != call.address
    effects = forwarder.on_call(CallFailed(second.call_id, CallPhase.SENT, "reset"), 0.2)
    assert calls(effects) == []
    [finished] = forwarder.take_finished()
    assert isinstance(finished.outcome, OutcomeUnknown)


def test_a_non_repeatable_request_runs_once() -> None:
    forwarder, call = begin(route(RouteKind.ONCE))
    assert call.fresh_connection
    assert calls(forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "reset"), 0.1)) == []
    [finished] = forwarder.take_finished()
    assert isinstance(finished.outcome, OutcomeUnknown)


def test_a_request_that_was_not_run_is_retried_elsewhere_and_then_rejected() -> None:
    forwarder, call = begin(route(RouteKind.ONCE, attempts=2))
    [second] = calls(forwarder.on_call(response(call, 503, **{NAMES.not_run: "1"}), 0.05))
    failed = CallFailed(second.call_id, CallPhase.CONNECT, "refused")
    [third] = calls(forwarder.on_call(failed, 0.1))
    waits = forwarder.on_call(response(third, 503, **{NAMES.not_run: "1"}), 0.15)
    assert waits == [REFUSED_COUNT, SetTimer("forward.retry:k", FULL_SERVICE_PAUSE_SECONDS)]
    [fourth] = calls(forwarder.on_timer("forward.retry:k", 0.17))
    [fifth] = calls(forwarder.on_call(response(fourth, 503, **{NAMES.not_run: "1"}), 0.18))
    assert calls(forwarder.on_call(response(fifth, 503, **{NAMES.not_run: "1"}), 0.19)) == []
    [finished] = forwarder.take_finished()
    assert isinstance(finished.outcome, NotRun)
    assert finished.attempts == len(BACKENDS) + 1
    assert finished.outcome.retry_after_seconds > 0


@pytest.mark.parametrize("status", [408, 429, 503])
def test_an_unconfirmed_refusal_makes_a_non_repeatable_outcome_unknown(
    status: int,
) -> None:
    """An overloaded backend may respond with a refusal although it has run the request."""
    forwarder, call = begin(route(RouteKind.ONCE))
    headers = {"retry-after": "1", NAMES.signature: "s"}
    assert calls(forwarder.on_call(response(call, status, **headers), 0.05)) == []
    [finished] = forwarder.take_finished()
    assert finished.outcome == OutcomeUnknown(f"status_{status}", is_timeout=False)


@pytest.mark.parametrize("status", [429, 503])
def test_an_unconfirmed_refusal_is_passed_on_for_a_repeatable_request(
    status: int,
) -> None:
    """A refusal without the not-run header is passed on when no attempt is left."""
    forwarder, call = begin(route(attempts=1))
    forwarder.on_call(response(call, status, **{NAMES.signature: "s"}), 0.05)
    [finished] = forwarder.take_finished()
    assert finished.outcome == Answered(status, {NAMES.signature: "s"}, b"b")


def test_a_slow_attempt_is_hedged_and_the_first_response_wins() -> None:
    forwarder, call = begin(route())
    [second] = calls(forwarder.on_timer("forward.hedge:k", 0.12))
    effects = forwarder.on_call(response(second, 200), 0.15)
    assert CancelCall(call.call_id) in effects
    [finished] = forwarder.take_finished()
    assert isinstance(finished.outcome, Answered)
    assert forwarder.on_call(response(call, 200), 0.2) == []


def test_a_non_repeatable_request_is_never_hedged() -> None:
    forwarder, _call = begin(route(RouteKind.ONCE))
    assert forwarder.on_timer("forward.hedge:k", 0.12) == []


def test_a_missed_deadline_is_reported_at_once() -> None:
    forwarder, call = begin(route())
    effects = forwarder.on_timer("forward.deadline:k", 1.5)
    assert CancelCall(call.call_id) in effects
    [finished] = forwarder.take_finished()
    assert finished.outcome == OutcomeUnknown("time ran out", True)


def test_later_attempts_send_the_remaining_time() -> None:
    forwarder, call = begin(route())
    [second] = calls(forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "reset"), 0.5))
    assert second.headers[NAMES.deadline_ms] == "1000"


def test_route_weights_hold_over_few_requests() -> None:
    split = WeightedChoice()
    split.seed(5)
    targets = (RouteTarget("a", 90.0), RouteTarget("b", 10.0))
    weighted = Route(
        name="w",
        host="h",
        path_prefix="/w/",
        kind=RouteKind.REPEATABLE,
        timeout_seconds=1.0,
        targets=targets,
    )
    chosen = [split.choose(weighted) for _ in range(100)]
    assert 8 <= chosen.count("b") <= 12


def test_only_responses_count_as_server_errors() -> None:
    """Lost responses must not count as failures of a scoring call, or its item fails too early."""
    forwarder, call = begin(route(attempts=3))
    [second] = calls(forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "reset"), 0.1))
    [third] = calls(forwarder.on_call(response(second, 500), 0.2))
    forwarder.on_call(response(third, 500), 0.3)
    [finished] = forwarder.take_finished()
    assert (finished.attempts, finished.server_errors) == (3, 2)


def test_a_failed_connection_does_not_count_as_an_attempt() -> None:
    """When a zone is cut off, attempts that never connected must not use up the limit."""
    forwarder, call = begin(route(attempts=2))
    [second] = calls(forwarder.on_call(CallFailed(call.call_id, CallPhase.CONNECT, "timeout"), 0.1))
    [third] = calls(
        forwarder.on_call(CallFailed(second.call_id, CallPhase.CONNECT, "timeout"), 0.2)
    )
    assert {call.address, second.address, third.address} == {b.address for b in BACKENDS}
    forwarder.on_call(response(third, 200), 0.25)
    [finished] = forwarder.take_finished()
    assert isinstance(finished.outcome, Answered)


@pytest.mark.parametrize("kind", [RouteKind.REPEATABLE, RouteKind.ONCE])
def test_attempts_at_unreachable_backends_are_limited(kind: RouteKind) -> None:
    forwarder, call = begin(route(kind, attempts=1))
    started = [call]
    now = 0.0
    while not forwarder.take_finished():
        now += 0.1
        failed = CallFailed(started[-1].call_id, CallPhase.CONNECT, "refused")
        started += calls(forwarder.on_call(failed, now))
        started += calls(forwarder.on_timer("forward.retry:k", now))
    assert len(started) == 1 + EXTRA_UNCONNECTED_ATTEMPTS


def test_the_connect_timeout_is_well_before_the_deadline() -> None:
    _forwarder, call = begin(route())
    assert 0.0 < call.connect_seconds < 0.15


def test_the_remaining_attempt_is_hedged_again() -> None:
    forwarder, call = begin(route(attempts=3))
    [second] = calls(forwarder.on_timer("forward.hedge:k", 0.12))
    effects = forwarder.on_call(CallFailed(second.call_id, CallPhase.SENT, "reset"), 0.13)
    assert any(isinstance(e, SetTimer) and e.name == "forward.hedge:k" for e in effects)
    [third] = calls(forwarder.on_timer("forward.hedge:k", 0.25))
    assert len({call.address, second.address, third.address}) == 3


def test_at_most_two_attempts_run_at_once() -> None:
    forwarder, _call = begin(route(attempts=3))
    assert len(calls(forwarder.on_timer("forward.hedge:k", 0.12))) == 1
    assert calls(forwarder.on_timer("forward.hedge:k", 0.24)) == []


def test_a_cancelled_attempt_leaves_no_open_connection() -> None:
    forwarder, call = begin(route())
    [second] = calls(forwarder.on_timer("forward.hedge:k", 0.12))
    first = BackendId(call.headers[NAMES.expected_backend])
    forwarder.chooser.evidence(first).record_response(0.12)
    forwarder.on_call(response(second, 200), 0.15)
    assert forwarder.chooser.evidence(first).connected_until == 0.0


def test_an_earlier_hedge_timer_is_cancelled_for_the_last_attempt() -> None:
    forwarder, call = begin(route(attempts=2))
    effects = forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "reset"), 0.11)
    assert len(calls(effects)) == 1
    assert CancelTimer("forward.hedge:k") in effects
