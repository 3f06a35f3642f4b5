"""Lookups: correct outcomes, retries, deadlines."""

import pytest

from merlinstand.gateway.settings import RequestSettings
from merlinstand.kernel.events import CallPhase
from tests.gateway.driver import GatewayDriver, service_pool


def test_response_is_forwarded_with_its_request_id() -> None:
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


def test_remaining_time_is_sent_to_the_backend() -> None:
    driver = GatewayDriver([service_pool()])
    driver.request("/shop-api/a", x_deadline_seconds="2.5")
    assert float(driver.only_call().headers["x-deadline-seconds"]) == 2.5


def test_unreachable_replica_is_retried_elsewhere() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id = driver.request("/shop-api/a")
    first = driver.only_call()
    driver.fail(first, CallPhase.CONNECT, "refused")
    second = driver.only_call()
    assert second.address != first.address
    driver.respond(second)
    assert driver.outcome(endpoint_id) == "answer"


def test_unreachable_pool_is_not_run_with_a_retry_after() -> None:
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


def test_timeout_after_sending_is_unknown() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    endpoint_id = driver.request("/shop-api/a")
    driver.fail(driver.only_call(), CallPhase.SENT, "timeout")
    assert driver.outcome(endpoint_id) == "unknown"
    assert driver.response(endpoint_id).status == 504


def test_refusal_after_a_sent_attempt_is_unknown() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    endpoint_id = driver.request("/shop-api/a")
    driver.fail(driver.only_call(), CallPhase.SENT, "reset")
    driver.refuse(driver.only_call())
    assert driver.outcome(endpoint_id) == "unknown"


def test_refusal_as_not_run_is_not_run_with_its_retry_after() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    endpoint_id = driver.request("/shop-api/a")
    driver.refuse(driver.only_call(), retry_after="7")
    assert driver.outcome(endpoint_id) == "not_run"
    assert driver.response(endpoint_id).headers["retry-after"] == "7"


def test_plain_503_does_not_prove_not_run() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    endpoint_id = driver.request("/shop-api/a")
    driver.respond(driver.only_call(), 503, b"broken")
    assert driver.outcome(endpoint_id) == "answer"
    assert driver.response(endpoint_id).body == b"broken"


def test_plain_503_is_retried_elsewhere() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    endpoint_id = driver.request("/shop-api/a")
    driver.respond(driver.only_call(), 503, b"broken")
    driver.respond(driver.only_call())
    assert driver.response(endpoint_id).body == b"whole"


def test_response_to_another_request_is_not_forwarded() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    endpoint_id = driver.request("/shop-api/a", x_request_id="mine")
    driver.respond(driver.only_call(), 200, b"their cart", x_request_id="theirs")
    assert driver.outcome(endpoint_id) == "unknown"
    assert b"their cart" not in driver.response(endpoint_id).body


def test_refusal_of_another_request_does_not_prove_not_run() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    endpoint_id = driver.request("/shop-api/a", x_request_id="mine")
    driver.refuse(driver.only_call(), x_request_id="theirs")
    assert driver.outcome(endpoint_id) == "unknown"


@pytest.mark.parametrize(("hedge_factor", "calls"), [(0.0, 1), (2.0, 2)])
def test_deadline_responds_unknown_and_cancels_the_calls(hedge_factor: float, calls: int) -> None:
    requests = RequestSettings(hedge_factor=hedge_factor)
    driver = GatewayDriver([service_pool()], requests=requests)
    endpoint_id = driver.request("/shop-api/a", x_deadline_seconds="1.0")
    driver.advance(0.9)
    in_flight = list(driver.calls)
    assert len(in_flight) == calls
    driver.advance(0.11)
    assert driver.outcome(endpoint_id) == "unknown"
    assert sorted(driver.cancelled) == in_flight
    assert driver.gateway.in_flight == 0


def test_response_after_the_deadline_is_ignored() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id = driver.request("/shop-api/a", x_deadline_seconds="1.0")
    call = driver.only_call()
    driver.advance(1.01)
    driver.respond(call)
    assert driver.outcome(endpoint_id) == "unknown"


def test_first_attempt_leaves_time_for_another() -> None:
    driver = GatewayDriver([service_pool()])
    driver.request("/shop-api/a", x_deadline_seconds="4.0")
    assert driver.only_call().timeout_seconds == 2.0


def test_retries_stop_when_the_budget_is_used_up() -> None:
    driver = GatewayDriver([service_pool(count=3, maximum_concurrency=1000)])
    attempts = 0
    for _ in range(60):
        driver.request("/shop-api/a")
        while driver.calls:
            attempts += 1
            driver.fail(driver.only_call(), CallPhase.SENT, "reset")
    # A share of 0.2 and half the burst at the start: far below two retries per request.
    assert 60 + 10 <= attempts <= 60 + 60 * 0.2 + 10


def test_disconnect_cancels_the_call_and_releases_the_slot() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id = driver.request("/shop-api/a")
    call = driver.only_call()
    driver.abort(endpoint_id)
    assert driver.cancelled == [call.call_id]
    assert driver.gateway.in_flight == 0
    assert not driver.is_answered(endpoint_id)


def test_generated_request_id_is_sent_and_returned() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id = driver.request("/shop-api/a")
    call = driver.only_call()
    driver.respond(call)
    assert (
        driver.response(endpoint_id).headers["x-request-id"] == call.headers["x-request-id"] != ""
    )


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    driver = GatewayDriver([service_pool()])
    driver.request("/shop-api/a", connection="close, x-secret", x_secret="1", te="trailers")
    headers = driver.only_call().headers
    assert "connection" not in headers
    assert "x-secret" not in headers
    assert "te" not in headers
