"""Admission control: rate limits, request limits, fair queueing, early rejection."""

from merlinstand.configuration.objects import Limits
from merlinstand.gateway.settings import AdmissionSettings
from merlinstand.kernel.events import CallPhase, TimerFired
from tests.gateway.driver import GatewayDriver, engine_pool, service_pool


def single_slot_pool() -> object:
    """Return a pool with a single slot."""
    return service_pool(count=1, maximum_concurrency=1)


def test_rate_limited_caller_gets_a_retry_after_and_others_are_served() -> None:
    limits = [Limits(caller="flood", requests_per_second=2.0)]
    driver = GatewayDriver([service_pool()], limits=limits)
    endpoints = [driver.request("/shop-api/a", x_caller="flood") for _ in range(3)]
    assert driver.response(endpoints[2]).status == 429
    assert driver.outcome(endpoints[2]) == "not_run"
    assert driver.response(endpoints[2]).headers["retry-after"] == "1"
    driver.request("/shop-api/a", x_caller="other")
    assert len(driver.calls) == 3
    driver.advance(0.6)
    driver.request("/shop-api/a", x_caller="flood")
    # The three pending lookups were hedged meanwhile, so calls are counted by request id.
    assert len({call.headers["x-request-id"] for call in driver.calls.values()}) == 4


def test_token_limit_refunds_unused_tokens() -> None:
    limits = [Limits(caller="c", tokens_per_second=100.0)]
    driver = GatewayDriver([engine_pool()], limits=limits)
    driver.complete(max_tokens=5_000, x_caller="c", x_request_id="r")
    rejected = driver.complete(max_tokens=1, x_caller="c")
    assert driver.code(rejected) == "rate_limited"
    call = driver.only_call()
    driver.open_stream(call)
    driver.tokens(call, 0, 3)
    driver.finish_stream(call, [(1, 0, 3)])
    driver.complete(max_tokens=1, x_caller="c")
    assert len(driver.calls) == 1


def test_configuration_changes_rate_limits() -> None:
    driver = GatewayDriver([service_pool()], limits=[Limits(caller="c", requests_per_second=1.0)])
    driver.request("/shop-api/a", x_caller="c")
    driver.configure([service_pool()], limits=[Limits(caller="c", requests_per_second=100.0)])
    driver.advance(0.05)
    driver.request("/shop-api/a", x_caller="c")
    assert len(driver.calls) == 2


def test_generations_cannot_use_slots_reserved_for_lookups() -> None:
    admission = AdmissionSettings(maximum_requests=10, lookup_floor=0.4)
    driver = GatewayDriver([engine_pool(), service_pool()], admission=admission)
    endpoints = [driver.complete(x_caller=f"c{number}") for number in range(8)]
    rejected = [endpoint for endpoint in endpoints if driver.is_answered(endpoint)]
    assert len(rejected) == 2
    assert driver.code(rejected[0]) == "overloaded"
    lookups = [driver.request("/shop-api/a", x_caller="shopper") for _ in range(4)]
    assert not any(driver.is_answered(endpoint) for endpoint in lookups)


def test_requests_at_a_gateway_are_bounded() -> None:
    driver = GatewayDriver([service_pool()], admission=AdmissionSettings(maximum_requests=5))
    endpoints = [driver.request("/shop-api/a") for _ in range(6)]
    assert driver.outcome(endpoints[5]) == "not_run"
    assert driver.gateway.in_flight == 5


def test_queued_request_is_dispatched_when_a_slot_is_free() -> None:
    driver = GatewayDriver([single_slot_pool()])
    driver.request("/shop-api/a")
    waiting = driver.request("/shop-api/b")
    first = driver.only_call()
    driver.respond(first)
    assert driver.only_call().path == "/b"
    driver.respond(driver.only_call())
    assert driver.outcome(waiting) == "answer"


def test_flood_of_one_caller_does_not_delay_another() -> None:
    driver = GatewayDriver([single_slot_pool()])
    for number in range(50):
        driver.request(f"/shop-api/flood{number}", x_caller="flood")
    driver.request("/shop-api/other", x_caller="other")
    driver.respond(driver.only_call())
    driver.respond(driver.only_call())
    served_third = driver.only_call().path
    driver.respond(driver.only_call())
    assert "/other" in (served_third, driver.only_call().path)


def test_full_queue_evicts_from_the_caller_with_most_queued() -> None:
    admission = AdmissionSettings(maximum_queued_per_pool=10, maximum_queued_per_caller=10)
    driver = GatewayDriver([single_slot_pool()], admission=admission)
    floods = [driver.request("/shop-api/f", x_caller="flood") for _ in range(12)]
    assert driver.code(floods[11]) == "overloaded"
    assert not driver.is_answered(floods[10])
    other = driver.request("/shop-api/o", x_caller="other")
    assert not driver.is_answered(other)
    assert driver.outcome(floods[10]) == "not_run"


def test_queued_request_is_rejected_after_its_maximum_wait() -> None:
    admission = AdmissionSettings(maximum_lookup_wait_seconds=0.5)
    driver = GatewayDriver([single_slot_pool()], admission=admission)
    driver.request("/shop-api/a", x_deadline_seconds="60")
    waiting = driver.request("/shop-api/b", x_deadline_seconds="60")
    driver.advance(0.49)
    assert not driver.is_answered(waiting)
    driver.advance(0.02)
    assert driver.outcome(waiting) == "not_run"
    assert "retry-after" in driver.response(waiting).headers


def test_request_with_a_too_long_expected_wait_is_rejected_at_once() -> None:
    driver = GatewayDriver([single_slot_pool()])
    for _ in range(10):
        driver.request("/shop-api/a")
        driver.advance(0.1)
        driver.respond(driver.only_call())
    # About ten per second complete: fifteen queued requests exceed the maximum wait.
    for _ in range(15):
        driver.request("/shop-api/a", x_caller="one")
    rejected = driver.request("/shop-api/a", x_caller="one")
    assert driver.code(rejected) == "overloaded"
    assert driver.outcome(rejected) == "not_run"
    other = driver.request("/shop-api/a", x_caller="two")
    assert not driver.is_answered(other)


def test_replica_that_refused_gets_requests_after_its_retry_after() -> None:
    driver = GatewayDriver([service_pool(count=1)])
    first = driver.request("/shop-api/a")
    driver.refuse(driver.only_call(), retry_after="0.4")
    assert driver.outcome(first) == "not_run"
    waiting = driver.request("/shop-api/b")
    assert not driver.calls
    assert not driver.is_answered(waiting)
    driver.advance(0.5)
    assert driver.only_call().path == "/b"


def test_lagging_event_loop_rejects_generations_first_and_recovers() -> None:
    driver = GatewayDriver([service_pool(), engine_pool()])
    driver.advance(1.0, watch=True)
    driver.answer_statuses()
    assert _rejected(driver) == (False, False)
    _fire_late(driver, 0.3)
    assert _rejected(driver) == (True, False)
    _fire_late(driver, 1.2)
    assert _rejected(driver) == (True, True)
    driver.advance(0.2, watch=True)
    assert _rejected(driver) == (False, False)


def _fire_late(driver: GatewayDriver, late_seconds: float) -> None:
    """Fire the status timer late, as in an overloaded event loop."""
    driver.now = driver.timers.pop("gateway.status") + late_seconds
    driver.send(TimerFired("gateway.status"))


def _rejected(driver: GatewayDriver) -> tuple[bool, bool]:
    """Return whether a generation and a lookup are rejected now."""
    generation, lookup = driver.complete(), driver.request("/shop-api/a")
    return driver.is_answered(generation), driver.is_answered(lookup)


def test_request_is_rejected_at_once_without_an_eligible_replica() -> None:
    driver = GatewayDriver([service_pool(count=2)])
    leaving = {"state": "leaving"}
    driver.advance(1.0, watch=True)
    driver.answer_statuses(shop_api_0=leaving, shop_api_1=leaving)
    endpoint_id = driver.request("/shop-api/a")
    assert driver.code(endpoint_id) == "no_backend"
    assert driver.outcome(endpoint_id) == "not_run"


def test_callers_above_the_table_bound_share_one_limit() -> None:
    admission = AdmissionSettings(maximum_callers=4)
    driver = GatewayDriver([service_pool(maximum_concurrency=10_000)], admission=admission)
    endpoints = [driver.request("/shop-api/a", x_caller=f"name{number}") for number in range(400)]
    rejected = sum(driver.is_answered(endpoint) for endpoint in endpoints)
    # Four callers have their own buckets, and all others share one with a burst of 200.
    assert rejected == 400 - 4 - 200
    assert len(driver.gateway._admission.rate_limits) == 5


def test_all_slots_and_timers_are_released() -> None:
    driver = GatewayDriver([service_pool(), engine_pool()])
    for number in range(30):
        endpoint_id = driver.request("/shop-api/a") if number % 2 else driver.complete()
        call = next(iter(driver.calls.values()))
        match number % 5:
            case 0:
                driver.abort(endpoint_id)
            case 1:
                driver.fail(call, CallPhase.SENT)
            case 2:
                driver.advance(700.0)
            case 3:
                driver.respond(call)
            case 4:
                driver.fail(call, CallPhase.CONNECT)
        driver.advance(700.0)
        driver.calls.clear()
    assert driver.gateway.in_flight == 0
    assert driver.gateway._admission.request_count == 0
    assert len(driver.gateway._timer_queue) == 0
    for pool_state in driver.gateway._pool_states:
        assert len(pool_state.queue) == 0
        assert all(replica.in_flight == 0 for replica in pool_state.router.replicas.values())


def test_second_flood_does_not_delay_a_quiet_caller() -> None:
    driver = GatewayDriver([service_pool(count=1, maximum_concurrency=1)])

    def lookup(caller: str, number: int) -> str:
        return driver.request("/shop-api/a", x_caller=caller, x_request_id=f"{caller}-{number}")

    def respond_to_one() -> None:
        driver.respond(driver.only_call())

    for number in range(60):
        lookup("first-flood", number)
    for number in range(30):
        lookup("quiet", number)
        respond_to_one()
        respond_to_one()
    for number in range(100):
        lookup("second-flood", number)
    quiet = lookup("quiet", 30)
    # The request in flight, one fair-queue round of both floods (the first item of the second flood
    # is served before it), and its own.
    for _ in range(5):
        respond_to_one()
    assert driver.is_answered(quiet)
