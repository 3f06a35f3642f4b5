"""Lookups: outcomes that never lie, retries, deadlines."""

import pytest

from merlinstand.gateway.settings import RequestSettings
from merlinstand.kernel.events import CallPhase
from tests.gateway.driver import GatewayDriver, service_pool


def test_answer_is_passed_on_with_its_request_id() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id = driver.request("/shop-api/items/7?x=1", x_request_id="r-1", accept="text/html")
    call = driver.only_call()
    assert call.path == "/items/7?x=1"
    assert call.headers["x-request-id"] == "r-1"
    assert call.headers["accept"] == "text/html"
    assert not call.fresh_connection
    driver.respond(call, 404, b"none", content_type="text/plain")
    response = driver.response(endpoint_id)
    assert (response.status, response.body) == (404, b"none")
    assert response.headers["x-outcome"] == "answer"
    assert response.headers["x-request-id"] == "r-1"
    assert response.headers["x-answered-by"] == driver.backend_at(call.address)
    assert driver.gateway.in_flight == 0


def test_remaining_time_is_carried_on() -> None:
    driver = GatewayDriver([service_pool()])
    driver.request("/shop-api/a", x_deadline_seconds="2.5")
    assert float(driver.only_call().headers["x-deadline-seconds"]) == 2.5


def test_unreachable_replica_is_followed_by_another_one() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id = driver.request("/shop-api/a")
    first = driver.only_call()
    driver.fail(first, CallPhase.CONNECT, "refused")
    second = driver.only_call()
    assert second.address != first.address
    driver.respond(second)
    assert driver.outcome(endpoint_id) == "answer"


def test_all_replicas_unreachable_is_not_run_with_a_time_to_come_back() -> None:
    driver = GatewayDriver([service_pool()])
    driver.advance(5.0)
    endpoint_id = driver.request("/shop-api/a")
    addresses = set()
    while driver.calls:
        call = driver.only_call()
        addresses.add(call.address)
        driver.fail(call, CallPhase.CONNECT, "refused")
    assert driver.outcome(endpoint_id) == "not_run"
    assert "retry-after" in driver.response(endpoint_id).headers
    assert len(addresses) >= 2


def test_time_out_after_sending_is_unknown_never_not_run() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    endpoint_id = driver.request("/shop-api/a")
    driver.fail(driver.only_call(), CallPhase.SENT, "timeout")
    assert driver.outcome(endpoint_id) == "unknown"
    assert driver.response(endpoint_id).status == 504


def test_sent_try_taints_a_later_refusal() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    endpoint_id = driver.request("/shop-api/a")
    driver.fail(driver.only_call(), CallPhase.SENT, "reset")
    driver.refuse(driver.only_call())
    assert driver.outcome(endpoint_id) == "unknown"


def test_refusal_proved_by_the_back_end_is_not_run_with_its_retry_after() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    endpoint_id = driver.request("/shop-api/a")
    driver.refuse(driver.only_call(), retry_after="7")
    assert driver.outcome(endpoint_id) == "not_run"
    assert driver.response(endpoint_id).headers["retry-after"] == "7"


def test_plain_503_is_no_proof_that_it_was_not_run() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    endpoint_id = driver.request("/shop-api/a")
    driver.respond(driver.only_call(), 503, b"broken")
    assert driver.outcome(endpoint_id) == "answer"
    assert driver.response(endpoint_id).body == b"broken"


def test_plain_503_is_tried_again_elsewhere() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    endpoint_id = driver.request("/shop-api/a")
    driver.respond(driver.only_call(), 503, b"broken")
    driver.respond(driver.only_call())
    assert driver.response(endpoint_id).body == b"whole"


def test_answer_of_another_request_is_never_passed_on() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    endpoint_id = driver.request("/shop-api/a", x_request_id="mine")
    driver.respond(driver.only_call(), 200, b"their cart", x_request_id="theirs")
    assert driver.outcome(endpoint_id) == "unknown"
    assert b"their cart" not in driver.response(endpoint_id).body


def test_refusal_of_another_request_proves_nothing() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    endpoint_id = driver.request("/shop-api/a", x_request_id="mine")
    driver.refuse(driver.only_call(), x_request_id="theirs")
    assert driver.outcome(endpoint_id) == "unknown"


@pytest.mark.parametrize(("hedge_factor", "calls"), [(0.0, 1), (2.0, 2)])
def test_deadline_is_answered_at_once_as_unknown_and_cancels_the_calls(
    hedge_factor: float, calls: int
) -> None:
    requests = RequestSettings(hedge_factor=hedge_factor)
    driver = GatewayDriver([service_pool()], requests=requests)
    endpoint_id = driver.request("/shop-api/a", x_deadline_seconds="1.0")
    driver.advance(0.9)
    under_way = list(driver.calls)
    assert len(under_way) == calls
    driver.advance(0.11)
    assert driver.outcome(endpoint_id) == "unknown"
    assert sorted(driver.cancelled) == under_way
    assert driver.gateway.in_flight == 0


def test_late_answer_after_the_deadline_goes_nowhere() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id = driver.request("/shop-api/a", x_deadline_seconds="1.0")
    call = driver.only_call()
    driver.advance(1.01)
    driver.respond(call)
    assert driver.outcome(endpoint_id) == "unknown"


def test_first_try_leaves_time_for_another_one() -> None:
    driver = GatewayDriver([service_pool()])
    driver.request("/shop-api/a", x_deadline_seconds="4.0")
    assert driver.only_call().timeout_seconds == 2.0


def test_retries_stop_when_the_budget_is_spent() -> None:
    driver = GatewayDriver([service_pool(count=3, maximum_concurrency=1000)])
    tries = 0
    for _ in range(60):
        driver.request("/shop-api/a")
        while driver.calls:
            tries += 1
            driver.fail(driver.only_call(), CallPhase.SENT, "reset")
    # A share of 0.2 and half the burst to begin with: far below two retries a request.
    assert 60 + 10 <= tries <= 60 + 60 * 0.2 + 10


def test_caller_that_left_frees_its_place() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id = driver.request("/shop-api/a")
    call = driver.only_call()
    driver.abort(endpoint_id)
    assert driver.cancelled == [call.call_id]
    assert driver.gateway.in_flight == 0
    assert not driver.is_answered(endpoint_id)


def test_made_request_id_is_sent_and_echoed() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id = driver.request("/shop-api/a")
    call = driver.only_call()
    driver.respond(call)
    assert (
        driver.response(endpoint_id).headers["x-request-id"] == call.headers["x-request-id"] != ""
    )


def test_hop_by_hop_headers_stop_here() -> None:
    driver = GatewayDriver([service_pool()])
    driver.request("/shop-api/a", connection="close, x-secret", x_secret="1", te="trailers")
    headers = driver.only_call().headers
    assert "connection" not in headers
    assert "x-secret" not in headers
    assert "te" not in headers
