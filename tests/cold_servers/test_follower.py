"""What a daemon may send to cold back ends, and what it requests."""

import msgspec
import pytest

from merlinstand.cold_servers.follower import (
    MAXIMUM_PENDING_PULLS,
    MAXIMUM_REQUESTED_BACKENDS,
    REQUEST_RETRY_SECONDS,
    ColdBackendBudget,
)
from merlinstand.cold_servers.grants import (
    GRANT_LIFETIME_SECONDS,
    ColdGrants,
    decode_requests,
    encode_grants,
)
from merlinstand.common.ids import BackendId, CallId
from merlinstand.kernel.events import CallFailed, CallPhase
from tests.cold_servers.cold_machine import COLD, make_budget
from tests.cold_servers.test_leader import IDS, WARM

CUT = CallFailed(CallId("c"), CallPhase.CONNECT, "timeout")


def asked(budget: ColdBackendBudget, at: float) -> ColdBackendBudget:
    """Wish something at a time."""
    budget.request_grants("w", 5, COLD)
    assert budget.next_request(at) is not None
    return budget


def answer(asked_at: float, sends: int = 2, **more: object) -> bytes:
    return encode_grants(ColdGrants(asked_at, {IDS[0]: sends}, **more))  # type: ignore[arg-type]


def test_each_grant_is_for_one_request() -> None:
    budget = asked(make_budget(), 1.0)
    assert not budget.may_send_to(COLD[0], 1.0)
    budget.apply_grants(answer(1.0), 1.01)
    for _ in range(2):
        assert budget.may_send_to(COLD[0], 1.02)
        budget.record_send(COLD[0], 1.02)
    assert not budget.may_send_to(COLD[0], 1.02)
    assert not budget.may_send_to(COLD[1], 1.02)


@pytest.mark.parametrize("came_at", [1.01, 1.2, 1.29])
def test_a_grant_ends_by_the_time_of_its_request_whenever_it_came(came_at: float) -> None:
    budget = asked(make_budget(), 1.0)
    budget.apply_grants(answer(1.0), came_at)
    assert budget.may_send_to(COLD[0], came_at)
    assert not budget.may_send_to(COLD[0], 1.0 + GRANT_LIFETIME_SECONDS)


def test_an_answer_counts_once() -> None:
    budget = asked(make_budget(), 1.0)
    for _ in range(3):
        budget.apply_grants(answer(1.0), 1.01)
    assert budget.granted_sends(IDS[0], 1.02) == 2


def test_an_answer_to_an_earlier_life_counts_nothing() -> None:
    budget = make_budget()
    budget.apply_grants(answer(1.0), 1.01)
    assert budget.granted_sends(IDS[0], 1.02) == 0


def test_pulls_whose_answers_never_come_are_forgotten() -> None:
    budget = make_budget()
    for number in range(3 * MAXIMUM_PENDING_PULLS):
        asked(budget, float(number))
    assert len(budget._pending_pulls) == MAXIMUM_PENDING_PULLS


def test_requests_go_at_once_then_only_when_that_is_of_use() -> None:
    budget = make_budget()
    assert not budget.is_request_due(1.0)
    budget.request_grants("w", 1, COLD)
    assert budget.is_request_due(1.0)
    budget.next_request(1.0)
    budget.request_grants("w", 1, COLD)
    assert not budget.is_request_due(1.0 + REQUEST_RETRY_SECONDS / 2)
    assert budget.is_request_due(1.0 + REQUEST_RETRY_SECONDS)
    budget.apply_grants(answer(1.0, 0, next_seconds={"w": 0.25}), 1.01)
    assert not budget.is_request_due(1.2)
    assert budget.rejected_seconds("w", 1.01) == pytest.approx(0.25)
    assert budget.is_request_due(1.27)


def test_what_could_not_be_reached_is_cold_until_it_was_heard_since() -> None:
    budget = make_budget()
    budget.record_failure(WARM, CUT, 1.0)
    assert not budget.may_send_to(WARM, 1.5)
    data = budget.next_request(2.0)
    assert data is not None
    assert decode_requests(data).requests[0].backends == (IDS[0],)
    # Heard before the failure: proves nothing.
    budget.apply_grants(answer(2.0, 0, warm_heard_seconds={IDS[0]: 1.2}), 2.01)
    assert not budget.may_send_to(WARM, 2.02)
    budget.next_request(3.0)
    budget.apply_grants(answer(3.0, 0, warm_heard_seconds={IDS[0]: 0.4}), 3.01)
    assert budget.may_send_to(WARM, 3.02)
    assert budget.next_request(4.0) is None


@pytest.mark.parametrize(
    "event",
    [
        CallFailed(CallId("c"), CallPhase.SENT, "reset"),
        CallFailed(CallId("c"), CallPhase.BODY, "truncated"),
        CallFailed(CallId("c"), CallPhase.BODY, "timeout"),
    ],
    ids=lambda event: event.reason,
)
def test_a_back_end_that_took_a_call_was_there(event: CallFailed) -> None:
    budget = make_budget()
    budget.record_failure(WARM, event, 1.0)
    assert budget.may_send_to(WARM, 1.0)


def test_of_very_many_cold_back_ends_each_is_requested_in_its_turn() -> None:
    budget = make_budget()
    many = [msgspec.structs.replace(COLD[0], backend_id=BackendId(f"b{n}")) for n in range(70)]
    requested: set[BackendId] = set()
    for asked_at in (1.0, 2.0, 3.0):
        budget.request_grants("w", 70, many)
        data = budget.next_request(asked_at)
        assert data is not None
        [request] = decode_requests(data).requests
        assert len(request.backends) == MAXIMUM_REQUESTED_BACKENDS
        requested.update(request.backends)
    assert len(requested) == len(many)


def test_what_is_gone_is_forgotten() -> None:
    budget = asked(make_budget(), 1.0)
    budget.apply_grants(answer(1.0), 1.01)
    budget.record_failure(COLD[1], CUT, 1.0)
    budget.retain_only(())
    assert budget.granted_sends(IDS[0], 1.02) == 0
    assert budget.next_request(2.0) is None


def test_where_nothing_is_limited_nothing_is_kept() -> None:
    budget = ColdBackendBudget()
    budget.record_failure(COLD[0], CUT, 1.0)
    assert budget.may_send_to(COLD[0], 1.0)
    budget.record_send(COLD[0], 1.0)
    assert not budget.is_request_due(1.0)
    assert budget.next_request(1.0) is None
