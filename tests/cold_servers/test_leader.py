"""What the control leader grants of sends to cold back ends."""

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
from tests.cold_servers.cold_machine import BEARS, COLD, SERVICE, make_feeding, make_state
from tests.routes import make_route

ASKER = NodeId("d1")
WARM = msgspec.structs.replace(COLD[0], is_cold=False)
IDS = tuple(backend.backend_id for backend in COLD)
LONG = 10.0
"""Seconds in which a bucket fills."""


def ask(
    feeding: GrantIssuer,
    now: float,
    sends: int = 1,
    backends: tuple[BackendId, ...] = IDS[:1],
    is_batch: bool = False,
) -> GrantResponse:
    request = GrantRequest("w", sends, backends)
    return feeding.handle_requests(
        ASKER, is_batch, encode_requests(GrantRequests(now, (request,))), now
    )


def grants(answer: GrantResponse) -> ColdGrants:
    assert answer.data is not None
    return decode_grants(answer.data)


@pytest.mark.parametrize(
    ("bears", "overshoot", "slack", "share"),
    [
        pytest.param(9.2, 1.5, 5.0, 1.0, id="the usual bound leaves room for all it bears"),
        pytest.param(9.2, 1.0, 0.0, 0.49, id="without slack about half"),
        pytest.param(100.0, 1.5, 5.0, 0.95, id="nearly all of a large figure"),
        pytest.param(2.0, 1.5, 5.0, 1.0, id="few requests"),
        pytest.param(0.5, 1.0, 0.0, 0.0, id="nothing is certain below one request"),
    ],
)
def test_a_rate_and_its_burst_fit_into_the_bound(
    bears: float, overshoot: float, slack: float, share: float
) -> None:
    rate = bucket_rate(bears, overshoot, slack)
    most = rate.burst + rate.per_second * DRAW_WINDOW_SECONDS
    assert most <= bears * overshoot + slack - LATE_SENDS_ALLOWANCE + 1e-9 or most == 0.0
    assert rate.per_second == pytest.approx(share * bears, rel=0.03)
    assert rate.burst >= 1.0 - 1e-9 or rate.per_second == 0.0


def test_a_new_leader_has_nothing_to_grant_and_says_when_it_will() -> None:
    feeding = make_feeding(make_state())
    first = grants(ask(feeding, 0.0))
    assert first.sends == {}
    assert first.next_seconds["w"] == pytest.approx(1.0 / BEARS)
    assert grants(ask(feeding, first.next_seconds["w"])).sends == {IDS[0]: 1}


def test_no_more_than_the_burst_is_granted_at_once_and_all_of_it_over_several() -> None:
    feeding = make_feeding(make_state())
    ask(feeding, 0.0, 0, IDS)
    granted = grants(ask(feeding, LONG, 10, IDS))
    assert granted.sends == {IDS[0]: 3, IDS[1]: 3}
    assert 0.0 < granted.next_seconds["w"] < 1.0 / BEARS


@pytest.mark.parametrize(
    ("is_batch", "granted"), [(False, 3), (True, 2)], ids=["callers", "batch work"]
)
def test_batch_work_leaves_callers_something(is_batch: bool, granted: int) -> None:
    state = make_state()
    route = make_route(RouteKind.REPEATABLE, SERVICE, "/l/")
    service = Service(name=SERVICE, cold_requests_per_second=BEARS)
    state.apply(
        9, PutDocument(RoutesDocument(version=2, routes=(route,), services=(service,)), b"")
    )
    feeding = make_feeding(state)
    ask(feeding, 0.0, 0)
    assert grants(ask(feeding, LONG, 10, is_batch=is_batch)).sends == {IDS[0]: granted}


def test_nothing_is_granted_to_warm_back_ends_but_it_is_said_when_they_were_heard() -> None:
    state = make_state((WARM,))
    feeding = GrantIssuer(state, 1.5, 5.0, lambda _backend, now: now - 3.0)
    granted = grants(ask(feeding, LONG))
    assert (granted.sends, granted.next_seconds) == ({}, {})
    assert granted.warm_heard_seconds == {IDS[0]: 7.0}


def test_services_without_a_limit_are_not_fed() -> None:
    granted = grants(ask(make_feeding(make_state(bears=0.0)), LONG))
    assert (granted.sends, granted.next_seconds) == ({}, {})


def test_who_requests_nothing_is_answered_nothing() -> None:
    assert make_feeding(make_state()).handle_requests(ASKER, False, None, 0.0) == GrantResponse()


def test_a_back_end_s_feeding_is_logged_at_its_begin_and_its_end() -> None:
    state = make_state()
    feeding = make_feeding(state)
    logged = [e for now in range(5) for e in ask(feeding, now, 2).effects]
    state.apply(9, PutBackend(WARM, 2))
    logged.extend(ask(feeding, LONG).effects)
    names = [(e.name, e.fields["backend"]) for e in logged if isinstance(e, LogEvent)]
    assert names == [("cold.feeding", IDS[0]), ("cold.fed", IDS[0])]


def test_requests_that_can_t_be_read_are_logged() -> None:
    [log] = make_feeding(make_state()).handle_requests(ASKER, False, b"\xc1", 0.0).effects
    assert isinstance(log, LogEvent)
    assert log.name == "cold.malformed"
