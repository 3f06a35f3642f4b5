"""Requests and cold backends: warm ones are preferred, waits are short, rejections correct."""

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
from tests.forwarding.test_forwarder import BACKENDS, NAMES, calls, request, response, route
from tests.routes import make_route

COLD = tuple(msgspec.structs.replace(backend, is_cold=True) for backend in BACKENDS)
ONE_COLD_BACKEND = (COLD[0], *BACKENDS[1:])
WAIT_SECONDS = 0.04
"""A fifth of the route's target latency."""


class ColdService:
    """A forwarder with cold backends, and the control leader that grants."""

    def __init__(self, backends: tuple[Backend, ...] = COLD) -> None:
        self.budget = ColdBackendBudget(lambda _service: 9.2)
        self.forwarder = Forwarder(
            NAMES, lambda _service: backends, chooser=BackendChooser(cold=self.budget)
        )

    def begin(self, key: str, now: float = 0.0, priority: int = 5) -> list[Effect]:
        prioritized_route = msgspec.structs.replace(route(), priority=priority)
        made = msgspec.structs.replace(request(prioritized_route), key=key, request_id=key)
        return self.forwarder.begin(made, now)

    def grant(self, asked_at: float, sends: int, refused_seconds: float = 0.0) -> list[Effect]:
        """Let the leader respond to the grant requests of a pull 10 ms after the pull."""
        assert self.budget.next_request(asked_at) is not None
        refused = {"forward.cold:shop": refused_seconds} if refused_seconds else {}
        grants = ColdGrants(asked_at, {COLD[0].backend_id: sends}, refused)
        self.budget.apply_grants(encode_grants(grants), asked_at + 0.01)
        return self.forwarder.on_cold_grants(asked_at + 0.01)


@pytest.mark.parametrize("seed", range(10))
def test_warm_backends_are_preferred_even_with_a_grant(seed: int) -> None:
    service = ColdService(ONE_COLD_BACKEND)
    service.forwarder.chooser.seed(seed)
    service.budget.request_grants("shop", 1, COLD)
    service.grant(0.0, 1)
    [call] = calls(service.begin("k", 0.02))
    assert call.address != COLD[0].address


def test_a_request_waits_for_a_grant_and_is_sent_with_it() -> None:
    service = ColdService()
    effects = service.begin("k")
    assert calls(effects) == []
    assert SetTimer("forward.cold:k", pytest.approx(WAIT_SECONDS)) in effects
    assert service.budget.is_request_due(0.0)
    [call] = calls(service.grant(0.0, 1))
    assert call.address == COLD[0].address
    service.forwarder.on_call(response(call, 200), 0.05)
    [finished] = service.forwarder.take_finished()
    assert isinstance(finished.outcome, Answered)


def test_the_most_urgent_requests_get_the_grants_and_the_rest_are_rejected() -> None:
    service = ColdService()
    for number, priority in enumerate((5, 1, 3)):
        service.begin(f"k{number}", priority=priority)
    begun = calls(service.grant(0.0, 2, refused_seconds=0.25))
    assert [call.headers[NAMES.request_id] for call in begun] == ["k1", "k2"]
    [finished] = service.forwarder.take_finished()
    assert finished.request.key == "k0"
    assert finished.outcome == NotRun(Reason.COLD, pytest.approx(0.25))


def test_a_response_to_an_earlier_pull_rejects_no_later_request() -> None:
    service = ColdService()
    service.begin("k0")
    data = service.budget.next_request(0.0)
    service.begin("k1", 0.005)
    assert data is not None
    grants = ColdGrants(0.0, {COLD[0].backend_id: 1})
    service.budget.apply_grants(encode_grants(grants), 0.01)
    assert len(calls(service.forwarder.on_cold_grants(0.01))) == 1
    assert service.forwarder.take_finished() == []
    assert len(calls(service.grant(0.02, 1))) == 1


def test_a_request_without_a_grant_is_rejected_even_without_a_retry_time() -> None:
    service = ColdService()
    service.begin("k")
    assert calls(service.grant(0.0, 0)) == []
    [finished] = service.forwarder.take_finished()
    assert isinstance(finished.outcome, NotRun)


def test_granted_requests_are_not_requested_again() -> None:
    service = ColdService()
    service.begin("k0")
    assert service.budget.next_request(0.0) is not None
    service.begin("k1", 0.005)
    grants = ColdGrants(0.0, {COLD[0].backend_id: 2})
    service.budget.apply_grants(encode_grants(grants), 0.01)
    assert len(calls(service.forwarder.on_cold_grants(0.01))) == 2
    assert service.budget.next_request(0.02) is None


def test_while_grants_are_refused_requests_are_rejected_at_once() -> None:
    service = ColdService()
    service.begin("k0")
    service.grant(0.0, 0, refused_seconds=0.25)
    service.forwarder.take_finished()
    assert calls(service.begin("k1", 0.11)) == []
    [finished] = service.forwarder.take_finished()
    assert finished.outcome == NotRun(Reason.COLD, pytest.approx(0.15))
    assert not service.budget.is_request_due(0.11)


def test_without_a_response_the_wait_times_out() -> None:
    service = ColdService()
    service.begin("k")
    service.forwarder.on_timer("forward.cold:k", WAIT_SECONDS)
    [finished] = service.forwarder.take_finished()
    assert isinstance(finished.outcome, NotRun)
    assert service.forwarder.on_cold_grants(0.1) == []


def test_retries_and_hedges_need_a_grant_too() -> None:
    service = ColdService()
    service.begin("k")
    [call] = calls(service.grant(0.0, 1))
    failed = CallFailed(call.call_id, CallPhase.SENT, "reset")
    effects = service.forwarder.on_call(failed, 0.1)
    assert calls(effects) == []
    assert calls(service.forwarder.on_timer("forward.hedge:k", 0.12)) == []
    data = service.budget.next_request(0.13)
    assert data is not None
    requested = decode_requests(data).requests[0]
    assert (requested.sends, set(requested.backends)) == (1, {b.backend_id for b in COLD[1:]})


def test_an_aborted_request_is_not_sent_with_a_later_grant() -> None:
    service = ColdService()
    service.begin("k")
    service.forwarder.abort("k", 0.01)
    assert calls(service.grant(0.02, 1)) == []


def stream_request() -> ForwardRequest:
    stream_route = make_route(RouteKind.STREAM, "shop", "/s/", target_latency_seconds=0.2)
    return msgspec.structs.replace(request(stream_route), deadline_at=10.0)


def test_streams_wait_for_grants_and_are_rejected_without() -> None:
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
    [unstarted] = streams.take_unstarted()
    assert isinstance(unstarted.outcome, NotRun)
    assert unstarted.outcome.reason == Reason.COLD
