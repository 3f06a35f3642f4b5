"""What a daemon may send to cold backends, and what it requests."""

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

CONNECT_TIMEOUT = CallFailed(CallId("c"), CallPhase.CONNECT, "timeout")


def requested_at(budget: ColdBackendBudget, at: float) -> ColdBackendBudget:
    """Request grants with a pull at a time."""
    budget.request_grants("w", 5, COLD)
    assert budget.next_request(at) is not None
    return budget


def response(pull_sent_at: float, sends: int = 2, **more: object) -> bytes:
    return encode_grants(ColdGrants(pull_sent_at, {IDS[0]: sends}, **more))  # type: ignore[arg-type]


def test_each_grant_permits_one_request() -> None:
    budget = requested_at(make_budget(), 1.0)
    assert not budget.may_send_to(COLD[0], 1.0)
    budget.apply_grants(response(1.0), 1.01)
    for _ in range(2):
        assert budget.may_send_to(COLD[0], 1.02)
        budget.record_send(COLD[0], 1.02)
    assert not budget.may_send_to(COLD[0], 1.02)
    assert not budget.may_send_to(COLD[1], 1.02)


@pytest.mark.parametrize("received_at", [1.01, 1.2, 1.29])
def test_grant_lifetime_starts_with_its_request(received_at: float) -> None:
    budget = requested_at(make_budget(), 1.0)
    budget.apply_grants(response(1.0), received_at)
    assert budget.may_send_to(COLD[0], received_at)
    assert not budget.may_send_to(COLD[0], 1.0 + GRANT_LIFETIME_SECONDS)


def test_response_is_applied_once() -> None:
    budget = requested_at(make_budget(), 1.0)
    for _ in range(3):
        budget.apply_grants(response(1.0), 1.01)
    assert budget.granted_sends(IDS[0], 1.02) == 2


def test_response_to_an_earlier_run_is_ignored() -> None:
    budget = make_budget()
    budget.apply_grants(response(1.0), 1.01)
    assert budget.granted_sends(IDS[0], 1.02) == 0


def test_pending_pulls_are_bounded() -> None:
    budget = make_budget()
    for number in range(3 * MAXIMUM_PENDING_PULLS):
        requested_at(budget, float(number))
    assert len(budget._pending_pulls) == MAXIMUM_PENDING_PULLS


def test_requests_are_sent_at_once_then_repeated_after_the_retry_interval() -> None:
    budget = make_budget()
    assert not budget.is_request_due(1.0)
    budget.request_grants("w", 1, COLD)
    assert budget.is_request_due(1.0)
    budget.next_request(1.0)
    budget.request_grants("w", 1, COLD)
    assert not budget.is_request_due(1.0 + REQUEST_RETRY_SECONDS / 2)
    assert budget.is_request_due(1.0 + REQUEST_RETRY_SECONDS)
    budget.apply_grants(response(1.0, 0, next_seconds={"w": 0.25}), 1.01)
    assert not budget.is_request_due(1.2)
    assert budget.rejected_seconds("w", 1.01) == pytest.approx(0.25)
    assert budget.is_request_due(1.27)


def test_unreachable_backend_is_cold_until_a_later_heartbeat() -> None:
    budget = make_budget()
    budget.record_failure(WARM, CONNECT_TIMEOUT, 1.0)
    assert not budget.may_send_to(WARM, 1.5)
    data = budget.next_request(2.0)
    assert data is not None
    assert decode_requests(data).requests[0].backends == (IDS[0],)
    # The heartbeat was received before the failure.
    budget.apply_grants(response(2.0, 0, warm_heard_seconds={IDS[0]: 1.2}), 2.01)
    assert not budget.may_send_to(WARM, 2.02)
    budget.next_request(3.0)
    budget.apply_grants(response(3.0, 0, warm_heard_seconds={IDS[0]: 0.4}), 3.01)
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
def test_backend_that_accepted_a_call_was_reachable(event: CallFailed) -> None:
    budget = make_budget()
    budget.record_failure(WARM, event, 1.0)
    assert budget.may_send_to(WARM, 1.0)


def test_requested_backends_rotate_beyond_the_maximum() -> None:
    budget = make_budget()
    many = [msgspec.structs.replace(COLD[0], backend_id=BackendId(f"b{n}")) for n in range(70)]
    requested: set[BackendId] = set()
    for pull_sent_at in (1.0, 2.0, 3.0):
        budget.request_grants("w", 70, many)
        data = budget.next_request(pull_sent_at)
        assert data is not None
        [request] = decode_requests(data).requests
        assert len(request.backends) == MAXIMUM_REQUESTED_BACKENDS
        requested.update(request.backends)
    assert len(requested) == len(many)


def test_state_of_removed_backends_is_dropped() -> None:
    budget = requested_at(make_budget(), 1.0)
    budget.apply_grants(response(1.0), 1.01)
    budget.record_failure(COLD[1], CONNECT_TIMEOUT, 1.0)
    budget.retain_only(())
    assert budget.granted_sends(IDS[0], 1.02) == 0
    assert budget.next_request(2.0) is None


def test_services_without_a_limit_have_no_state() -> None:
    budget = ColdBackendBudget()
    budget.record_failure(COLD[0], CONNECT_TIMEOUT, 1.0)
    assert budget.may_send_to(COLD[0], 1.0)
    budget.record_send(COLD[0], 1.0)
    assert not budget.is_request_due(1.0)
    assert budget.next_request(1.0) is None
