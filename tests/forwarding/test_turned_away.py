"""Requests that full servers turn away: where they go next, and how often they are sent in all."""

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
from merlinstand.forwarding.send_control import HEDGES_WITHHELD_METRIC, SendControl, count_of
from merlinstand.forwarding.stream_forwarder import StreamForwarder
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallEnded, CallFailed, CallHeaders, CallPhase, CallResponded
from tests.forwarding.service_days import ToldLoad, load_of
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


class Lookup:
    """A whole request, and what becomes of it."""

    pause_timer = "forward.retry:k"

    def __init__(self, load: ToldLoad, kind: RouteKind = RouteKind.REPEATABLE) -> None:
        control = SendControl(load)
        self.forwarder = Forwarder(NAMES, lambda _service: BACKENDS, send_control=control)
        self.chooser = self.forwarder.chooser
        self.effects: list[Effect] = list(self.forwarder.begin(request(kind), 0.0))

    def turn_away(self, call: StartCall, now: float) -> None:
        self.effects += self.forwarder.on_call(CallResponded(call.call_id, 503, FULL, b""), now)

    def answer(self, call: StartCall, status: int, now: float) -> None:
        self.effects += self.forwarder.on_call(CallResponded(call.call_id, status, {}, b""), now)

    def outcome(self) -> object:
        [finished] = self.forwarder.take_finished()
        return finished.outcome

    def wait(self, now: float) -> None:
        self.effects += self.forwarder.on_timer(self.pause_timer, now)

    @property
    def calls(self) -> list[StartCall]:
        return [effect for effect in self.effects if isinstance(effect, StartCall)]


class Stream(Lookup):
    """A stream of events; the same of it."""

    pause_timer = "stream.pause:k"

    def __init__(self, load: ToldLoad) -> None:
        control = SendControl(load)
        self.chooser = BackendChooser()
        self.streams = StreamForwarder(
            NAMES, self.chooser, lambda _service: BACKENDS, send_control=control
        )
        self.effects = list(self.streams.begin(request(RouteKind.STREAM), 0.0))

    def turn_away(self, call: StartCall, now: float) -> None:
        self.effects += self.streams.on_call(CallHeaders(call.call_id, 503, FULL), now)

    def answer(self, call: StartCall, status: int, now: float) -> None:
        self.effects += self.streams.on_call(CallHeaders(call.call_id, status, {}), now)
        self.effects += self.streams.on_call(CallEnded(call.call_id), now)

    def outcome(self) -> object:
        [refused] = self.streams.take_refused()
        return refused.outcome

    def wait(self, now: float) -> None:
        self.effects += self.streams.on_timer(self.pause_timer, now)


@pytest.mark.parametrize("kind", [Lookup, Stream])
def test_a_request_is_at_each_full_server_once_and_waits_once(kind: type[Lookup]) -> None:
    """Load: a crowd beyond the room; all four servers turn it away, and its route allows two."""
    load = ToldLoad()
    played = kind(load)
    for n in range(len(BACKENDS)):
        assert len(played.calls) == n + 1
        played.turn_away(played.calls[-1], 0.003 * (n + 1))
    assert len({call.address for call in played.calls}) == len(BACKENDS)
    assert SetTimer(played.pause_timer, 0.02) in played.effects
    played.wait(0.033)
    assert len(played.calls) == len(BACKENDS) + 1
    played.turn_away(played.calls[-1], 0.036)
    outcome = played.outcome()
    assert isinstance(outcome, NotRun)
    assert outcome.reason == Reason.OVERLOADED
    first = played.calls[0].headers[NAMES.expected_backend]
    assert load.noted[:3] == [f"begun {first}", f"turned away {first}", load.noted[2]]
    assert len([note for note in load.noted if note.startswith("turned away")]) == 5


@pytest.mark.parametrize("kind", [Lookup, Stream])
@pytest.mark.parametrize(
    ("status", "noted"),
    [(200, "answered"), (422, "answered"), (429, "broken"), (500, "broken"), (503, "broken")],
)
def test_a_server_that_fails_or_refuses_at_once_does_not_count_as_fast(
    kind: type[Lookup], status: int, noted: str
) -> None:
    """Load: a busy service; one server answers within 3 ms that it failed, or has no room."""
    load = ToldLoad()
    played = kind(load)
    [call] = played.calls
    played.answer(call, status, 0.003)
    server = call.headers[NAMES.expected_backend]
    at_server = [note for note in load.noted if note.endswith(server)]
    assert at_server == [f"begun {server}", f"{noted} {server}"]


@pytest.mark.parametrize("kind", [Lookup, Stream])
def test_servers_that_go_on_turning_away_are_not_asked_again(kind: type[Lookup]) -> None:
    """Load: the crowd lasts; this gateway's next request is offered once, waits, and is refused."""
    played = kind(ToldLoad())
    for backend in BACKENDS:
        played.chooser.evidence(backend.backend_id).full_until = 0.2
    played.turn_away(played.calls[0], 0.003)
    assert len(played.calls) == 1
    played.wait(0.023)
    assert len(played.calls) == 1
    assert isinstance(played.outcome(), NotRun)


def test_a_full_service_of_many_servers_is_not_asked_one_by_one() -> None:
    """Load: a crowd beyond the room of 400 servers; no request goes to more than some of them."""
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


def test_a_request_goes_where_nobody_was_turned_away() -> None:
    """Load: a crowd that fits; three servers have no room just now, the fourth one has."""
    chooser = BackendChooser()
    for backend in BACKENDS[:3]:
        chooser.evidence(backend.backend_id).record_refusal(0.0)
    assert chooser.choose(BACKENDS, (), 0.01) == BACKENDS[3]


def test_a_server_is_passed_over_for_longer_while_it_turns_away() -> None:
    """Load: a server stays full for a second, then answers."""
    evidence = BackendEvidence()
    found_full = 0
    for step in range(100):
        now = step / 100
        if not evidence.is_full(now):
            evidence.record_refusal(now)
            found_full += 1
    assert found_full <= 7
    evidence.clear_full()
    assert not evidence.is_full(0.99)
    evidence.record_refusal(1.0)
    assert not evidence.is_full(1.03)


def test_a_short_deadline_is_not_spent_on_waiting() -> None:
    """Load: a caller that has 20 ms left is refused while it can still come back."""
    forwarder = Forwarder(NAMES, lambda _service: BACKENDS[:1])
    effects = forwarder.begin(request(RouteKind.REPEATABLE, deadline_at=0.02), 0.0)
    [call] = [effect for effect in effects if isinstance(effect, StartCall)]
    forwarder.on_call(CallResponded(call.call_id, 503, FULL, b""), 0.003)
    [finished] = forwarder.take_finished()
    assert isinstance(finished.outcome, NotRun)


def test_a_request_that_may_run_once_may_be_turned_away_often() -> None:
    """Load: three servers are full; the route of two tries is served by the fourth."""
    played = Lookup(ToldLoad(), RouteKind.ONCE)
    for n in range(3):
        played.turn_away(played.calls[-1], 0.003 * (n + 1))
    played.forwarder.on_call(CallResponded(played.calls[-1].call_id, 200, {}, b"b"), 0.05)
    assert played.outcome() == Answered(200, {}, b"b")


def test_a_full_service_is_not_hedged_until_the_aim_is_missed() -> None:
    """Load: a crowd that just fills the service; one of its servers has stopped in silence."""
    shares = {backend.backend_id: 0.25 for backend in BACKENDS}
    played = Lookup(ToldLoad(load_of("shop", 1.0, shares)))
    effects = played.forwarder.on_timer("forward.hedge:k", 0.12)
    again = SetTimer("forward.hedge:k", 0.08)
    assert count_of(HEDGES_WITHHELD_METRIC, "shop") in effects
    assert [round(e.delay_seconds, 6) for e in effects if isinstance(e, SetTimer)] == [
        again.delay_seconds
    ]
    played.effects += played.forwarder.on_timer("forward.hedge:k", 0.2)
    assert len(played.calls) == 2


def test_a_dead_server_on_a_calm_day_is_still_hedged() -> None:
    """Load: calm; a server is silent, and each of this gateway's requests there is hedged."""
    played = Lookup(ToldLoad())
    played.effects += played.forwarder.on_timer("forward.hedge:k", 0.12)
    assert len(played.calls) == 2


def test_no_hedge_goes_to_a_full_server() -> None:
    """Load: a crowd in which all other servers turn requests away."""
    played = Lookup(ToldLoad())
    first = played.calls[0].headers[NAMES.expected_backend]
    for backend in BACKENDS:
        if backend.backend_id != first:
            played.forwarder.chooser.evidence(backend.backend_id).record_refusal(0.11)
    assert played.forwarder.on_timer("forward.hedge:k", 0.12) == []


def test_failures_of_a_whole_service_are_not_doubled() -> None:
    """Load: each request of a crowd breaks off at its server; few of them are sent again."""
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
