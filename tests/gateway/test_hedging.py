"""Hedged lookups: a slow lookup is asked at a second replica, and the first whole answer wins."""

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
"""Until something is known of a pool, a lookup is hedged after twice the first estimate."""


def pool_state(driver: GatewayDriver) -> PoolState:
    found = driver.gateway._pool_states.get("shop-api")
    assert found is not None
    return found


def replicas(driver: GatewayDriver) -> dict[str, Replica]:
    return dict(pool_state(driver).router.replicas)


def in_flight(driver: GatewayDriver) -> int:
    return sum(replica.in_flight for replica in replicas(driver).values())


def hedged(driver: GatewayDriver, **headers: str) -> tuple[str, StartCall, StartCall]:
    """A lookup whose first call is slow, and its two calls."""
    endpoint_id = driver.request("/shop-api/a", **headers)
    first = driver.only_call()
    driver.advance(2.0 * pool_state(driver).latency.seconds + 0.001)
    first_again, second = driver.calls.values()
    assert first_again is first
    return endpoint_id, first, second


def test_a_slow_lookup_is_asked_at_another_replica_with_the_time_that_is_left() -> None:
    driver = GatewayDriver([service_pool()])
    _endpoint, first, second = hedged(driver, x_request_id="r-1", x_deadline_seconds="2.0")
    assert second.address != first.address
    assert (second.path, second.headers["x-request-id"]) == (first.path, "r-1")
    assert float(second.headers["x-deadline-seconds"]) == pytest.approx(1.8)
    assert in_flight(driver) == 2


def test_a_quick_lookup_is_asked_once() -> None:
    driver = GatewayDriver([service_pool()])
    driver.request("/shop-api/a")
    driver.advance(HEDGE_SECONDS / 2)
    driver.respond(driver.only_call())
    driver.advance(HEDGE_SECONDS)
    assert not driver.calls
    assert not driver.cancelled


def test_the_second_answer_wins_and_the_first_call_is_given_up() -> None:
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


def test_the_first_answer_may_still_win() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id, first, second = hedged(driver)
    driver.respond(first, 200, b"first")
    response = driver.response(endpoint_id)
    assert response.headers["x-answered-by"] == driver.backend_at(first.address)
    assert driver.cancelled == [second.call_id]
    assert driver.gateway.in_flight == in_flight(driver) == 0


def test_what_must_not_be_repeated_is_never_hedged() -> None:
    driver = GatewayDriver([service_pool("book-app", repeatable=False)])
    driver.request("/book-app/slots", "POST", b"{}", idempotency_key="k")
    driver.finish_command(0, ClaimGranted(idempotency_key="book-app/k"))
    assert len(driver.calls) == 1
    driver.advance(2.9)
    assert len(driver.calls) == 1


def test_generations_are_never_hedged() -> None:
    driver = GatewayDriver([engine_pool()])
    driver.complete(x_deadline_seconds="9.0")
    driver.advance(3.0)
    assert len(driver.calls) == 1


def test_a_pool_of_one_replica_is_never_hedged() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    driver.request("/shop-api/a")
    driver.advance(HEDGE_SECONDS)
    assert len(driver.calls) == 1


def test_hedging_can_be_switched_off() -> None:
    driver = GatewayDriver([service_pool()], requests=RequestSettings(hedge_factor=0.0))
    driver.request("/shop-api/a")
    driver.advance(HEDGE_SECONDS)
    assert len(driver.calls) == 1


def test_no_hedge_begins_under_a_configuration_that_may_be_replaced() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id = driver.request("/shop-api/a")
    first = driver.only_call()
    driver.session.lease_held = False
    driver.advance(HEDGE_SECONDS)
    driver.respond(first)
    assert driver.outcome(endpoint_id) == "answer"
    assert in_flight(driver) == 0


@pytest.mark.parametrize("loser", [0, 1])
def test_one_of_two_calls_that_fails_leaves_the_other(loser: int) -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id, *calls = hedged(driver)
    driver.fail(calls[loser], CallPhase.SENT, "reset")
    assert not driver.is_answered(endpoint_id)
    assert driver.only_call() is calls[1 - loser]
    driver.respond(calls[1 - loser])
    assert driver.outcome(endpoint_id) == "answer"
    assert driver.gateway.in_flight == in_flight(driver) == 0


def test_two_failed_calls_are_followed_by_a_third_replica() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id, first, second = hedged(driver)
    driver.fail(second, CallPhase.SENT, "reset")
    driver.fail(first, CallPhase.SENT, "reset")
    third = driver.only_call()
    assert third.address not in (first.address, second.address)
    driver.respond(third)
    assert driver.outcome(endpoint_id) == "answer"


def test_one_call_that_may_have_run_taints_a_refusal_of_the_other() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    endpoint_id, first, second = hedged(driver)
    driver.fail(first, CallPhase.SENT, "reset")
    driver.refuse(second)
    assert driver.outcome(endpoint_id) == "unknown"


def test_two_proofs_of_not_having_begun_are_not_run() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    endpoint_id, first, second = hedged(driver)
    driver.refuse(second)
    driver.refuse(first)
    assert driver.outcome(endpoint_id) == "not_run"


def test_a_foreign_answer_to_the_hedge_is_never_passed_on() -> None:
    driver = GatewayDriver([service_pool()])
    endpoint_id, first, second = hedged(driver, x_request_id="mine")
    driver.respond(second, 200, b"their cart", x_request_id="theirs")
    assert not driver.is_answered(endpoint_id)
    driver.respond(first)
    assert driver.response(endpoint_id).body == b"whole"


def test_the_deadline_ends_both_calls_as_unknown_and_blames_both_replicas() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    for _ in range(5):
        endpoint_id, first, second = hedged(driver, x_deadline_seconds="1.0")
        driver.advance(1.0)
        assert driver.outcome(endpoint_id) == "unknown"
        assert {first.call_id, second.call_id} <= set(driver.cancelled)
        assert driver.gateway.in_flight == in_flight(driver) == 0
    states = [replica.breaker.state for replica in replicas(driver).values()]
    assert states == [BreakerState.OPEN, BreakerState.OPEN]


def test_a_caller_that_left_ends_both_calls_and_blames_nobody() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    for _ in range(10):
        endpoint_id, first, second = hedged(driver)
        driver.abort(endpoint_id)
        assert {first.call_id, second.call_id} <= set(driver.cancelled)
        assert not driver.is_answered(endpoint_id)
        assert driver.gateway.in_flight == in_flight(driver) == 0
    states = [replica.breaker.state for replica in replicas(driver).values()]
    assert states == [BreakerState.CLOSED, BreakerState.CLOSED]


def test_a_replica_that_is_always_beaten_gets_no_more_calls() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    frozen = replicas(driver)["shop-api-0"]
    for _ in range(5):
        _endpoint, first, second = hedged(driver)
        assert driver.backend_at(first.address) == "shop-api-0"
        driver.respond(second)
    assert frozen.breaker.state is BreakerState.OPEN
    driver.request("/shop-api/a")
    assert driver.backend_at(driver.only_call().address) == "shop-api-1"


def test_a_hedge_that_loses_does_not_blame_its_replica() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    for _ in range(10):
        _endpoint, first, _second = hedged(driver)
        driver.respond(first)
    states = [replica.breaker.state for replica in replicas(driver).values()]
    assert states == [BreakerState.CLOSED, BreakerState.CLOSED]


def test_a_pool_that_is_slow_as_a_whole_is_asked_little_more_than_once() -> None:
    driver = GatewayDriver([service_pool(maximum_concurrency=1000)])
    for _ in range(200):
        driver.request("/shop-api/a")
    driver.advance(HEDGE_SECONDS)
    hedges = len(driver.calls) - 200
    # A share of 0.1, the floor of one a second, and half the burst to begin with.
    assert 10 <= hedges <= 200 * 0.1 + 10 + 1


def test_where_requests_queue_none_is_hedged() -> None:
    driver = GatewayDriver(
        [service_pool(maximum_concurrency=1)],
        admission=AdmissionSettings(maximum_lookup_wait_seconds=3.0),
    )
    for _ in range(4):
        driver.request("/shop-api/a")
    assert len(driver.calls) == 3
    driver.advance(HEDGE_SECONDS)
    assert len(driver.calls) == 3


def test_the_estimate_follows_the_time_that_95_of_100_answers_take() -> None:
    random = Random(5)
    estimate = LatencyQuantile()
    for median in (0.004, 0.020):
        for _ in range(5_000):
            estimate.record(random.lognormvariate(0.0, 0.5) * median)
        times = sorted(random.lognormvariate(0.0, 0.5) * median for _ in range(10_000))
        assert times[9_000] < estimate.seconds < times[9_850]
