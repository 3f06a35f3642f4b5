"""Requests and cold back ends: warm ones first, a short wait, a true refusal."""

import msgspec
import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.requests import Answered, ForwardRequest, NotRun
from merlinstand.cluster.routes import RouteKind
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.cold_servers.grants import ColdGrants, decode_requests, encode_grants
from merlinstand.decisions.rejection import Reason
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.forwarding.stream_forwarder import StreamForwarder
from merlinstand.kernel.effects import Effect, SetTimer
from merlinstand.kernel.events import CallFailed, CallPhase
from tests.forwarding.test_forwarder import BACKENDS, NAMES, answer, calls, request, route
from tests.routes import make_route

COLD = tuple(msgspec.structs.replace(backend, is_cold=True) for backend in BACKENDS)
ONE_COLD = (COLD[0], *BACKENDS[1:])
WAIT_SECONDS = 0.04
"""A fifth of the route's aim."""


class Cold:
    """A forwarder among cold back ends, and the leader that grants."""

    def __init__(self, backends: tuple[Backend, ...] = COLD) -> None:
        self.budget = ColdBackendBudget(lambda _service: 9.2)
        self.forwarder = Forwarder(
            NAMES, lambda _service: backends, chooser=BackendChooser(cold=self.budget)
        )

    def begin(self, key: str, now: float = 0.0, priority: int = 5) -> list[Effect]:
        of_route = msgspec.structs.replace(route(), priority=priority)
        made = msgspec.structs.replace(request(of_route), key=key, request_id=key)
        return self.forwarder.begin(made, now)

    def grant(self, asked_at: float, sends: int, next_seconds: float = 0.0) -> list[Effect]:
        """The leader answers what is wished at a time, ten milliseconds later."""
        assert self.budget.next_request(asked_at) is not None
        refused = {"forward.cold:shop": next_seconds} if next_seconds else {}
        told = ColdGrants(asked_at, {COLD[0].backend_id: sends}, refused)
        self.budget.apply_grants(encode_grants(told), asked_at + 0.01)
        return self.forwarder.on_cold_grants(asked_at + 0.01)


@pytest.mark.parametrize("seed", range(10))
def test_warm_back_ends_are_preferred_even_with_a_grant(seed: int) -> None:
    cold = Cold(ONE_COLD)
    cold.forwarder.chooser.seed(seed)
    cold.budget.request_grants("shop", 1, COLD)
    cold.grant(0.0, 1)
    [call] = calls(cold.begin("k", 0.02))
    assert call.address != COLD[0].address


def test_a_request_waits_for_a_grant_and_goes_on_with_it() -> None:
    cold = Cold()
    effects = cold.begin("k")
    assert calls(effects) == []
    assert SetTimer("forward.cold:k", pytest.approx(WAIT_SECONDS)) in effects
    assert cold.budget.is_request_due(0.0)
    [call] = calls(cold.grant(0.0, 1))
    assert call.address == COLD[0].address
    cold.forwarder.on_call(answer(call, 200), 0.05)
    [finished] = cold.forwarder.take_finished()
    assert isinstance(finished.outcome, Answered)


def test_the_most_urgent_get_the_grants_and_the_rest_a_true_refusal() -> None:
    cold = Cold()
    for number, priority in enumerate((5, 1, 3)):
        cold.begin(f"k{number}", priority=priority)
    begun = calls(cold.grant(0.0, 2, next_seconds=0.25))
    assert [call.headers[NAMES.request_id] for call in begun] == ["k1", "k2"]
    [finished] = cold.forwarder.take_finished()
    assert finished.request.key == "k0"
    assert finished.outcome == NotRun(Reason.COLD, pytest.approx(0.25))


def test_an_answer_to_an_earlier_pull_refuses_nobody_who_came_after_it() -> None:
    cold = Cold()
    cold.begin("k0")
    data = cold.budget.next_request(0.0)
    cold.begin("k1", 0.005)
    assert data is not None
    told = ColdGrants(0.0, {COLD[0].backend_id: 1})
    cold.budget.apply_grants(encode_grants(told), 0.01)
    assert len(calls(cold.forwarder.on_cold_grants(0.01))) == 1
    assert cold.forwarder.take_finished() == []
    assert len(calls(cold.grant(0.02, 1))) == 1


def test_who_was_asked_for_in_vain_is_refused_even_if_no_time_is_told() -> None:
    cold = Cold()
    cold.begin("k")
    assert calls(cold.grant(0.0, 0)) == []
    [finished] = cold.forwarder.take_finished()
    assert isinstance(finished.outcome, NotRun)


def test_what_was_granted_is_not_wished_again() -> None:
    cold = Cold()
    cold.begin("k0")
    assert cold.budget.next_request(0.0) is not None
    cold.begin("k1", 0.005)
    told = ColdGrants(0.0, {COLD[0].backend_id: 2})
    cold.budget.apply_grants(encode_grants(told), 0.01)
    assert len(calls(cold.forwarder.on_cold_grants(0.01))) == 2
    assert cold.budget.next_request(0.02) is None


def test_while_wishes_are_in_vain_requests_are_refused_at_once() -> None:
    cold = Cold()
    cold.begin("k0")
    cold.grant(0.0, 0, next_seconds=0.25)
    cold.forwarder.take_finished()
    assert calls(cold.begin("k1", 0.11)) == []
    [finished] = cold.forwarder.take_finished()
    assert finished.outcome == NotRun(Reason.COLD, pytest.approx(0.15))
    assert not cold.budget.is_request_due(0.11)


def test_without_an_answer_the_wait_ends() -> None:
    cold = Cold()
    cold.begin("k")
    cold.forwarder.on_timer("forward.cold:k", WAIT_SECONDS)
    [finished] = cold.forwarder.take_finished()
    assert isinstance(finished.outcome, NotRun)
    assert cold.forwarder.on_cold_grants(0.1) == []


def test_second_tries_pass_the_same_gate() -> None:
    cold = Cold()
    cold.begin("k")
    [call] = calls(cold.grant(0.0, 1))
    failed = CallFailed(call.call_id, CallPhase.SENT, "reset")
    effects = cold.forwarder.on_call(failed, 0.1)
    assert calls(effects) == []
    assert calls(cold.forwarder.on_timer("forward.hedge:k", 0.12)) == []
    data = cold.budget.next_request(0.13)
    assert data is not None
    wished = decode_requests(data).requests[0]
    assert (wished.sends, set(wished.backends)) == (1, {b.backend_id for b in COLD[1:]})


def test_a_caller_that_left_wishes_nothing_more() -> None:
    cold = Cold()
    cold.begin("k")
    cold.forwarder.abort("k", 0.01)
    assert calls(cold.grant(0.02, 1)) == []


def stream_request() -> ForwardRequest:
    of_route = make_route(RouteKind.STREAM, "shop", "/s/", target_latency_seconds=0.2)
    return msgspec.structs.replace(request(of_route), deadline_at=10.0)


def test_streams_wait_and_are_refused_likewise() -> None:
    budget = ColdBackendBudget(lambda _service: 9.2)
    streams = StreamForwarder(NAMES, BackendChooser(cold=budget), lambda _service: COLD)
    assert calls(streams.begin(stream_request(), 0.0)) == []
    budget.next_request(0.0)
    budget.apply_grants(encode_grants(ColdGrants(0.0, {COLD[0].backend_id: 1})), 0.01)
    [call] = calls(streams.on_cold_grants(0.01))
    assert call.address == COLD[0].address
    streams.abort("k", 1.0)
    assert calls(streams.begin(stream_request(), 0.1)) == []
    assert streams.on_cold_grants(0.11) == []
    streams.on_timer("stream.cold:k", 0.14)
    [refused] = streams.take_refused()
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.reason == Reason.COLD
