"""Grants of sends to cold backends by the control leader."""

import msgspec
import pytest

from merlinstand.cluster.routes import RouteKind, RoutesDocument, Service
from merlinstand.cold_servers.grants import (
    DRAW_WINDOW_SECONDS,
    LATE_SENDS_ALLOWANCE,
    ColdGrants,
    GrantRequest,
    GrantRequests,
    bucket_rate,
    decode_grants,
    encode_requests,
)
from merlinstand.cold_servers.leader import GrantIssuer, GrantResponse
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.directory.commands import PutBackend, PutDocument
from merlinstand.kernel.effects import LogEvent
from tests.cold_servers.cold_machine import COLD, COLD_RATE, SERVICE, make_issuer, make_state
from tests.routes import make_route

REQUESTER = NodeId("d1")
WARM = msgspec.structs.replace(COLD[0], is_cold=False)
IDS = tuple(backend.backend_id for backend in COLD)
FILL_SECONDS = 10.0
"""Time in which a bucket fills."""


def request_sends(
    issuer: GrantIssuer,
    now: float,
    sends: int = 1,
    backends: tuple[BackendId, ...] = IDS[:1],
    is_batch: bool = False,
) -> GrantResponse:
    request = GrantRequest("w", sends, backends)
    return issuer.handle_requests(
        REQUESTER, is_batch, encode_requests(GrantRequests(now, (request,))), now
    )


def grants(response: GrantResponse) -> ColdGrants:
    assert response.data is not None
    return decode_grants(response.data)


@pytest.mark.parametrize(
    ("cold_rate", "overshoot", "slack", "share"),
    [
        pytest.param(9.2, 1.5, 5.0, 1.0, id="usual bound permits the full rate"),
        pytest.param(9.2, 1.0, 0.0, 0.49, id="about half without slack"),
        pytest.param(100.0, 1.5, 5.0, 0.95, id="nearly all of a high rate"),
        pytest.param(2.0, 1.5, 5.0, 1.0, id="low rate"),
        pytest.param(0.5, 1.0, 0.0, 0.0, id="nothing below one request"),
    ],
)
def test_rate_and_burst_satisfy_the_bound(
    cold_rate: float, overshoot: float, slack: float, share: float
) -> None:
    rate = bucket_rate(cold_rate, overshoot, slack)
    most = rate.burst + rate.per_second * DRAW_WINDOW_SECONDS
    assert most <= cold_rate * overshoot + slack - LATE_SENDS_ALLOWANCE + 1e-9 or most == 0.0
    assert rate.per_second == pytest.approx(share * cold_rate, rel=0.03)
    assert rate.burst >= 1.0 - 1e-9 or rate.per_second == 0.0


def test_new_leader_grants_nothing_and_reports_when_it_will() -> None:
    issuer = make_issuer(make_state())
    first = grants(request_sends(issuer, 0.0))
    assert first.sends == {}
    assert first.next_seconds["w"] == pytest.approx(1.0 / COLD_RATE)
    assert grants(request_sends(issuer, first.next_seconds["w"])).sends == {IDS[0]: 1}


def test_burst_limits_grants_and_requests_are_spread_over_backends() -> None:
    issuer = make_issuer(make_state())
    request_sends(issuer, 0.0, 0, IDS)
    granted = grants(request_sends(issuer, FILL_SECONDS, 10, IDS))
    assert granted.sends == {IDS[0]: 3, IDS[1]: 3}
    assert 0.0 < granted.next_seconds["w"] < 1.0 / COLD_RATE


@pytest.mark.parametrize(
    ("is_batch", "granted"), [(False, 3), (True, 2)], ids=["callers", "batch work"]
)
def test_batch_work_leaves_a_reserve_for_callers(is_batch: bool, granted: int) -> None:
    state = make_state()
    route = make_route(RouteKind.REPEATABLE, SERVICE, "/l/")
    service = Service(name=SERVICE, cold_requests_per_second=COLD_RATE)
    state.apply(
        9, PutDocument(RoutesDocument(version=2, routes=(route,), services=(service,)), b"")
    )
    issuer = make_issuer(state)
    request_sends(issuer, 0.0, 0)
    assert grants(request_sends(issuer, FILL_SECONDS, 10, is_batch=is_batch)).sends == {
        IDS[0]: granted
    }


def test_warm_backends_get_no_grants_but_their_heartbeat_age_is_reported() -> None:
    state = make_state((WARM,))
    issuer = GrantIssuer(state, 1.5, 5.0, lambda _backend, now: now - 3.0)
    granted = grants(request_sends(issuer, FILL_SECONDS))
    assert (granted.sends, granted.next_seconds) == ({}, {})
    assert granted.warm_heard_seconds == {IDS[0]: 7.0}


def test_services_without_a_limit_get_no_grants() -> None:
    granted = grants(request_sends(make_issuer(make_state(cold_rate=0.0)), FILL_SECONDS))
    assert (granted.sends, granted.next_seconds) == ({}, {})


def test_no_request_gets_no_response() -> None:
    assert make_issuer(make_state()).handle_requests(REQUESTER, False, None, 0.0) == GrantResponse()


def test_first_and_last_grant_of_a_backend_are_logged() -> None:
    state = make_state()
    issuer = make_issuer(state)
    logged = [e for now in range(5) for e in request_sends(issuer, now, 2).effects]
    state.apply(9, PutBackend(WARM, 2))
    logged.extend(request_sends(issuer, FILL_SECONDS).effects)
    names = [(e.name, e.fields["backend"]) for e in logged if isinstance(e, LogEvent)]
    assert names == [("cold.grants_started", IDS[0]), ("cold.grants_ended", IDS[0])]


def test_malformed_requests_are_logged() -> None:
    [log] = make_issuer(make_state()).handle_requests(REQUESTER, False, b"\xc1", 0.0).effects
    assert isinstance(log, LogEvent)
    assert log.name == "cold.malformed"
