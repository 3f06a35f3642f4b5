"""Hedged lookups: a slow lookup is sent to a second replica, and the first response wins."""

from random import Random

import pytest

from merlinstand.control.commands import ClaimGranted
from merlinstand.gateway.exchange import PoolState
from merlinstand.gateway.latency_quantile import INITIAL_LATENCY_SECONDS, LatencyQuantile
from merlinstand.gateway.settings import AdmissionSettings, RequestSettings
from merlinstand.kernel.effects import StartCall
from merlinstand.kernel.events import CallPhase
from merlinstand.routing.breaker import BreakerState
from merlinstand.routing.replica import Replica
from tests.gateway.driver import GatewayDriver, engine_pool, service_pool

HEDGE_SECONDS = 2.0 * INITIAL_LATENCY_SECONDS + 0.001
"""Hedge delay of a pool without responses: twice the initial latency estimate."""


def pool_state(driver: GatewayDriver) -> PoolState:
    found = driver.gateway._pool_states.get("shop-api")
    assert found is not None
    return found


def replicas(driver: GatewayDriver) -> dict[str, Replica]:
    return dict(pool_state(driver).router.replicas)


def in_flight(driver: GatewayDriver) -> int:
    return sum(replica.in_flight for replica in replicas(driver).values())


def hedged(driver: GatewayDriver, **headers: str) -> tuple[str, StartCall, StartCall]:
    """Send a lookup and let it be hedged; return it and its two calls."""
    endpoint_id = driver.request("/shop-api/a", **headers)
    first = driver.only_call()
    driver.advance(2.0 * pool_state(driver).latency.seconds + 0.001)
    first_again, second = driver.calls.values()
    assert first_again is first
    return endpoint_id, first, second


def test_slow_lookup_is_sent_to_another_replica_with_the_remaining_time() -> None:
    driver = GatewayDriver([service_pool()])
    _endpoint, first, second = hedged(driver, x_request_id="r-1", x_deadline_seconds="2.0")
    assert second.address != first.address
    assert (second.path, second.headers["x-request-id"]) == (first.path, "r-1")
    assert float(second.headers["x-deadline-seconds"]) == pytest.approx(1.8)
    assert in_flight(driver) == 2


def test_fast_lookup_is_not_hedged() -> None:
    driver = GatewayDriver([service_pool()])
    driver.request("/shop-api/a")
    driver.advance(HEDGE_SECONDS / 2)
    driver.respond(driver.only_call())
    driver.advance(HEDGE_SECONDS)
    assert not driver.calls
    assert not driver.cancelled


def test_response_to_the_hedge_wins_and_cancels_the_first_call() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id, first, second = hedged(driver)
    driver.respond(second, 200, b"second")
    response = driver.response(endpoint_id)
    assert (response.body, response.headers["x-outcome"]) == (b"second", "answer")
    assert response.headers["x-answered-by"] == driver.backend_at(second.address)
    assert driver.cancelled == [first.call_id]
    assert driver.gateway.in_flight == in_flight(driver) == 0
    driver.respond(first, 200, b"late")
    assert driver.response(endpoint_id).body == b"second"


def test_response_to_the_first_call_cancels_the_hedge() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id, first, second = hedged(driver)
    driver.respond(first, 200, b"first")
    response = driver.response(endpoint_id)
    assert response.headers["x-answered-by"] == driver.backend_at(first.address)
    assert driver.cancelled == [second.call_id]
    assert driver.gateway.in_flight == in_flight(driver) == 0


def test_request_that_is_not_repeatable_is_not_hedged() -> None:
    driver = GatewayDriver([service_pool("book-app", repeatable=False)])
    driver.request("/book-app/slots", "POST", b"{}", idempotency_key="k")
    driver.finish_command(0, ClaimGranted(idempotency_key="book-app/k"))
    assert len(driver.calls) == 1
    driver.advance(2.9)
    assert len(driver.calls) == 1


def test_generations_are_not_hedged() -> None:
    driver = GatewayDriver([engine_pool()])
    driver.complete(x_deadline_seconds="9.0")
    driver.advance(3.0)
    assert len(driver.calls) == 1


def test_pool_of_one_replica_is_not_hedged() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    driver.request("/shop-api/a")
    driver.advance(HEDGE_SECONDS)
    assert len(driver.calls) == 1


def test_hedging_can_be_disabled() -> None:
    driver = GatewayDriver([service_pool()], requests=RequestSettings(hedge_factor=0.0))
    driver.request("/shop-api/a")
    driver.advance(HEDGE_SECONDS)
    assert len(driver.calls) == 1


def test_no_hedge_is_sent_without_configuration_lease() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id = driver.request("/shop-api/a")
    first = driver.only_call()
    driver.session.lease_held = False
    driver.advance(HEDGE_SECONDS)
    driver.respond(first)
    assert driver.outcome(endpoint_id) == "answer"
    assert in_flight(driver) == 0


@pytest.mark.parametrize("loser", [0, 1])
def test_failure_of_one_call_leaves_the_other(loser: int) -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id, *calls = hedged(driver)
    driver.fail(calls[loser], CallPhase.SENT, "reset")
    assert not driver.is_answered(endpoint_id)
    assert driver.only_call() is calls[1 - loser]
    driver.respond(calls[1 - loser])
    assert driver.outcome(endpoint_id) == "answer"
    assert driver.gateway.in_flight == in_flight(driver) == 0


def test_two_failed_calls_are_retried_at_a_third_replica() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id, first, second = hedged(driver)
    driver.fail(second, CallPhase.SENT, "reset")
    driver.fail(first, CallPhase.SENT, "reset")
    third = driver.only_call()
    assert third.address not in (first.address, second.address)
    driver.respond(third)
    assert driver.outcome(endpoint_id) == "answer"


def test_refusal_is_unknown_if_the_other_call_may_have_run() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    endpoint_id, first, second = hedged(driver)
    driver.fail(first, CallPhase.SENT, "reset")
    driver.refuse(second)
    assert driver.outcome(endpoint_id) == "unknown"


def test_two_refusals_as_not_run_are_not_run() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    endpoint_id, first, second = hedged(driver)
    driver.refuse(second)
    driver.refuse(first)
    assert driver.outcome(endpoint_id) == "not_run"


def test_response_to_the_hedge_with_another_request_id_is_not_forwarded() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id, first, second = hedged(driver, x_request_id="mine")
    driver.respond(second, 200, b"their cart", x_request_id="theirs")
    assert not driver.is_answered(endpoint_id)
    driver.respond(first)
    assert driver.response(endpoint_id).body == b"whole"


def test_deadline_cancels_both_calls_as_unknown_and_counts_failures_of_both() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    for _ in range(5):
        endpoint_id, first, second = hedged(driver, x_deadline_seconds="1.0")
        driver.advance(1.0)
        assert driver.outcome(endpoint_id) == "unknown"
        assert {first.call_id, second.call_id} <= set(driver.cancelled)
        assert driver.gateway.in_flight == in_flight(driver) == 0
    states = [replica.breaker.state for replica in replicas(driver).values()]
    assert states == [BreakerState.OPEN, BreakerState.OPEN]


def test_disconnect_cancels_both_calls_without_counting_failures() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    for _ in range(10):
        endpoint_id, first, second = hedged(driver)
        driver.abort(endpoint_id)
        assert {first.call_id, second.call_id} <= set(driver.cancelled)
        assert not driver.is_answered(endpoint_id)
        assert driver.gateway.in_flight == in_flight(driver) == 0
    states = [replica.breaker.state for replica in replicas(driver).values()]
    assert states == [BreakerState.CLOSED, BreakerState.CLOSED]


def test_replica_that_loses_every_hedge_gets_no_more_calls() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    frozen = replicas(driver)["shop-api-0"]
    for _ in range(5):
        _endpoint, first, second = hedged(driver)
        assert driver.backend_at(first.address) == "shop-api-0"
        driver.respond(second)
    assert frozen.breaker.state is BreakerState.OPEN
    driver.request("/shop-api/a")
    assert driver.backend_at(driver.only_call().address) == "shop-api-1"


def test_losing_hedge_does_not_count_as_a_failure() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    for _ in range(10):
        _endpoint, first, _second = hedged(driver)
        driver.respond(first)
    states = [replica.breaker.state for replica in replicas(driver).values()]
    assert states == [BreakerState.CLOSED, BreakerState.CLOSED]


def test_hedges_of_a_slow_pool_are_limited_by_their_budget() -> None:
    driver = GatewayDriver([service_pool(maximum_concurrency=1000)])
    for _ in range(200):
        driver.request("/shop-api/a")
    driver.advance(HEDGE_SECONDS)
    hedges = len(driver.calls) - 200
    # A share of 0.1, the floor of one per second, and half the burst at the start.
    assert 10 <= hedges <= 200 * 0.1 + 10 + 1


def test_no_hedge_is_sent_while_requests_are_queued() -> None:
    driver = GatewayDriver(
        [service_pool(maximum_concurrency=1)],
        admission=AdmissionSettings(maximum_lookup_wait_seconds=3.0),
    )
    for _ in range(4):
        driver.request("/shop-api/a")
    assert len(driver.calls) == 3
    driver.advance(HEDGE_SECONDS)
    assert len(driver.calls) == 3


def test_estimate_tracks_the_95th_percentile_of_latency() -> None:
    random = Random(5)
    estimate = LatencyQuantile()
    for median in (0.004, 0.020):
        for _ in range(5_000):
            estimate.record(random.lognormvariate(0.0, 0.5) * median)
        times = sorted(random.lognormvariate(0.0, 0.5) * median for _ in range(10_000))
        assert times[9_000] < estimate.seconds < times[9_850]
