"""A client that closes: its work is stopped, and nothing more is begun for it, whatever comes."""

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

GONE = RequestAborted(RequestId("q"))
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


def whatever_comes(daemon: ForwardingGateway, begun: list[StartCall], now: float) -> list[Effect]:
    """Let late answers come and timers fire that were on their way already."""
    effects: list[Effect] = []
    for call in begun:
        effects += daemon.reduce(CallFailed(call.call_id, CallPhase.SENT, "reset"), now)
        effects += daemon.reduce(not_run(call), now)
        effects += daemon.reduce(CallHeaders(call.call_id, 200, {}), now)
    for name in TIMERS:
        effects += daemon.reduce(TimerFired(name), now)
    return effects


@pytest.mark.parametrize(
    ("route", "path", "body", "before"),
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
        pytest.param(stream(), "/l/1", b"", [], id="stream-before-its-head"),
        pytest.param(batch(), "/b/x", job(), [], id="batch-job-sent"),
    ],
)
def test_calls_under_way_are_cancelled(
    route: Route, path: str, body: bytes, before: list[Event]
) -> None:
    daemon, call = begin(route, path, body)
    begun = [call]
    for event in before:
        begun += calls(daemon.reduce(event, 0.12))
    effects = list(daemon.reduce(GONE, 0.2))
    cancelled = {effect.call_id for effect in effects if isinstance(effect, CancelCall)}
    assert cancelled == {one.call_id for one in begun}
    assert len(begun) == 1 + len(before)
    assert calls(whatever_comes(daemon, begun, 0.8)) == []


def test_a_stream_under_way_is_cancelled() -> None:
    daemon, call = begin(stream())
    daemon.reduce(CallHeaders(call.call_id, 200, {}), 0.1)
    assert CancelCall(call.call_id) in daemon.reduce(GONE, 0.2)
    assert calls(whatever_comes(daemon, [call], 0.8)) == []


def test_a_lookup_that_waits_to_be_offered_again_is_forgotten() -> None:
    daemon, call = begin(lookup(maximum_attempts=9))
    begun = [call]
    while following := calls(daemon.reduce(not_run(begun[-1]), 0.1)):
        begun += following
    daemon.reduce(GONE, 0.11)
    assert calls(whatever_comes(daemon, begun, 0.13)) == []


def test_a_batch_job_that_waits_for_a_leader_is_forgotten() -> None:
    daemon, call = begin(batch(), "/b/x", job())
    daemon.reduce(CallResponded(call.call_id, 200, {}, encode(NotLeader())), 0.1)
    daemon.reduce(GONE, 0.15)
    assert calls(whatever_comes(daemon, [call], 0.2)) == []
