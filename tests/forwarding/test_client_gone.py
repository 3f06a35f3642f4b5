"""After a caller disconnects, its calls are cancelled and no event starts another one."""

from typing import Any

import pytest

from merlinstand.batch_calls.calls import NotLeader, encode
from merlinstand.cluster.routes import Route, RouteKind
from merlinstand.common.ids import RequestId
from merlinstand.forwarding.daemon import ForwardingGateway
from merlinstand.kernel.effects import CancelCall, Effect, StartCall
from merlinstand.kernel.events import (
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
    Event,
    RequestAborted,
    TimerFired,
)
from tests.forwarding.test_regions import batch, calls, gateway, job, lookup, request, update
from tests.routes import make_route

DISCONNECTED = RequestAborted(RequestId("q"))
TIMERS = ("forward.retry:q", "forward.hedge:q", "forward.deadline:q", "stream.q", "batch.q")


def stream() -> Route:
    return make_route(
        RouteKind.STREAM, "shop", "/l/", is_resumable=True, maximum_attempts=4, timeout_seconds=9.0
    )


def booking() -> Route:
    return make_route(RouteKind.ONCE, "shop", "/l/", maximum_attempts=4)


def begin(route: Route, path: str = "/l/1", body: bytes = b"") -> tuple[ForwardingGateway, Any]:
    daemon = gateway(update((route,)))
    [call] = calls(daemon.reduce(request(path, body), 0.0))
    return daemon, call


def not_run(call: StartCall) -> Event:
    return CallResponded(call.call_id, 503, {"x-not-executed": "1"}, b"")


def late_events(daemon: ForwardingGateway, started: list[StartCall], now: float) -> list[Effect]:
    """Deliver late responses and timers that were already pending."""
    effects: list[Effect] = []
    for call in started:
        effects += daemon.reduce(CallFailed(call.call_id, CallPhase.SENT, "reset"), now)
        effects += daemon.reduce(not_run(call), now)
        effects += daemon.reduce(CallHeaders(call.call_id, 200, {}), now)
    for name in TIMERS:
        effects += daemon.reduce(TimerFired(name), now)
    return effects


@pytest.mark.parametrize(
    ("route", "path", "body", "events_before"),
    [
        pytest.param(lookup(), "/l/1", b"", [], id="lookup"),
        pytest.param(lookup(), "/l/1", b"", [TimerFired("forward.hedge:q")], id="hedged-lookup"),
        pytest.param(
            make_route(RouteKind.ONCE, "shop", "/l/", maximum_attempts=4),
            "/l/1",
            b"",
            [],
            id="once",
        ),
        pytest.param(stream(), "/l/1", b"", [], id="stream-before-response-headers"),
        pytest.param(batch(), "/b/x", job(), [], id="batch-job-sent"),
    ],
)
def test_running_calls_are_cancelled(
    route: Route, path: str, body: bytes, events_before: list[Event]
) -> None:
    daemon, call = begin(route, path, body)
    started = [call]
    for event in events_before:
        started += calls(daemon.reduce(event, 0.12))
    effects = list(daemon.reduce(DISCONNECTED, 0.2))
    cancelled = {effect.call_id for effect in effects if isinstance(effect, CancelCall)}
    assert cancelled == {each.call_id for each in started}
    assert len(started) == 1 + len(events_before)
    assert calls(late_events(daemon, started, 0.8)) == []


def test_a_running_stream_is_cancelled() -> None:
    daemon, call = begin(stream())
    daemon.reduce(CallHeaders(call.call_id, 200, {}), 0.1)
    assert CancelCall(call.call_id) in daemon.reduce(DISCONNECTED, 0.2)
    assert calls(late_events(daemon, [call], 0.8)) == []


def test_a_paused_lookup_is_not_sent_again() -> None:
    daemon, call = begin(lookup(maximum_attempts=9))
    started = [call]
    while following := calls(daemon.reduce(not_run(started[-1]), 0.1)):
        started += following
    daemon.reduce(DISCONNECTED, 0.11)
    assert calls(late_events(daemon, started, 0.13)) == []


def test_a_batch_job_that_waits_for_a_leader_is_not_sent_again() -> None:
    daemon, call = begin(batch(), "/b/x", job())
    daemon.reduce(CallResponded(call.call_id, 200, {}, encode(NotLeader())), 0.1)
    daemon.reduce(DISCONNECTED, 0.15)
    assert calls(late_events(daemon, [call], 0.2)) == []
