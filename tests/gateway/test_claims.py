"""Requests that are not repeatable run at most once, and duplicates get a correct outcome."""

import pytest

from merlinstand.configuration.objects import Drain
from merlinstand.control.commands import (
    ClaimGranted,
    ClaimRequest,
    ClaimTaken,
    Done,
    RecordOutcome,
)
from merlinstand.kernel.events import CallPhase, StopRequested
from merlinstand.session.notices import CommandUnresolvedError, SessionBusyError
from tests.gateway.driver import GatewayDriver, engine_pool, service_pool

BOOKING = {"x_repeatable": "false", "idempotency_key": "k-1"}


def booking_driver(**changes: object) -> GatewayDriver:
    return GatewayDriver([service_pool("book-app"), engine_pool()], **changes)


def grant(driver: GatewayDriver, index: int) -> None:
    driver.finish_command(index, ClaimGranted(idempotency_key="book-app/k-1"))


def recorded(driver: GatewayDriver) -> list[RecordOutcome]:
    return [
        submitted.command
        for submitted in driver.session.submitted
        if isinstance(submitted.command, RecordOutcome)
    ]


def test_idempotency_key_is_required() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", x_repeatable="false")
    assert driver.response(endpoint_id).status == 400
    assert driver.outcome(endpoint_id) == "not_run"
    assert not driver.session.submitted


def test_pool_paths_make_a_request_not_repeatable() -> None:
    pool = service_pool("book-app", not_repeatable_paths=("/book",))
    driver = GatewayDriver([pool])
    driver.request("/book-app/book/7", "POST", idempotency_key="k")
    assert not driver.calls
    driver.request("/book-app/book/7", "GET")
    assert len(driver.calls) == 1


def test_key_is_claimed_before_the_call() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", b"{}", **BOOKING)
    claim = driver.session.submitted[0].command
    assert isinstance(claim, ClaimRequest)
    assert claim.idempotency_key == "book-app/k-1"
    assert not driver.calls
    grant(driver, 0)
    call = driver.only_call()
    assert call.fresh_connection
    assert call.headers["idempotency-key"] == "k-1"
    driver.respond(call, 201, b"slot 9", content_type="text/plain")
    assert driver.outcome(endpoint_id) == "answer"
    record = recorded(driver)[0]
    assert (record.outcome, record.status, record.body) == ("answer", 201, b"slot 9")
    assert record.content_type == "text/plain"
    assert record.owner_incarnation == claim.owner_incarnation


def test_each_claim_has_a_unique_number() -> None:
    driver = booking_driver()
    driver.request("/book-app/book", "POST", **BOOKING)
    driver.request("/book-app/book", "POST", x_repeatable="false", idempotency_key="k-2")
    first, second = (submitted.command for submitted in driver.session.submitted)
    assert first.owner_incarnation != second.owner_incarnation


@pytest.mark.parametrize("phase", [CallPhase.SENT, CallPhase.BODY])
def test_request_is_not_retried_once_a_byte_may_have_been_sent(phase: CallPhase) -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", **BOOKING)
    grant(driver, 0)
    driver.fail(driver.only_call(), phase)
    assert not driver.calls
    assert driver.outcome(endpoint_id) == "unknown"
    assert recorded(driver)[0].outcome == "unknown"


def test_unreachable_replica_is_retried_elsewhere_under_the_same_claim() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", **BOOKING)
    grant(driver, 0)
    driver.fail(driver.only_call(), CallPhase.CONNECT, "refused")
    call = driver.only_call()
    assert call.fresh_connection
    driver.respond(call)
    assert driver.outcome(endpoint_id) == "answer"
    assert len(driver.session.submitted) == 2


def test_refusal_as_not_run_releases_the_key_without_retry() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", **BOOKING)
    grant(driver, 0)
    driver.refuse(driver.only_call())
    assert not driver.calls
    assert driver.outcome(endpoint_id) == "not_run"
    assert recorded(driver)[0].outcome == "not_run"


def test_claim_granted_after_the_deadline_is_released_and_not_dispatched() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", x_deadline_seconds="1", **BOOKING)
    driver.advance(1.01)
    assert driver.outcome(endpoint_id) == "not_run"
    assert "retry-after" in driver.response(endpoint_id).headers
    grant(driver, 0)
    assert not driver.calls
    assert recorded(driver)[0].outcome == "not_run"
    assert recorded(driver)[0].owner_incarnation == (
        driver.session.submitted[0].command.owner_incarnation
    )


def test_claim_granted_before_an_overdue_deadline_timer_is_not_dispatched() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", x_deadline_seconds="1", **BOOKING)
    # The process was frozen: the grant is handled before the overdue timer.
    driver.now += 5.0
    grant(driver, 0)
    assert not driver.calls
    assert driver.outcome(endpoint_id) == "not_run"
    assert recorded(driver)[0].outcome == "not_run"


def test_claim_granted_after_the_caller_disconnected_is_released() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", **BOOKING)
    driver.abort(endpoint_id)
    grant(driver, 0)
    assert not driver.calls
    assert recorded(driver)[0].outcome == "not_run"


def test_claim_granted_without_configuration_lease_is_released() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", **BOOKING)
    driver.session.lease_held = False
    grant(driver, 0)
    assert not driver.calls
    assert driver.outcome(endpoint_id) == "not_run"
    assert recorded(driver)[0].outcome == "not_run"


def test_claim_granted_after_the_chosen_backend_was_drained_uses_another() -> None:
    pool = service_pool("book-app", count=2)
    driver = GatewayDriver([pool])
    driver.request("/book-app/book", "POST", **BOOKING)
    # A slot is held at the backend chosen before the claim.
    router = next(iter(driver.gateway._pool_states)).router
    chosen = next(name for name, replica in router.replicas.items() if replica.in_flight)
    driver.configure([pool], drains=[Drain(backend_id=chosen)])
    grant(driver, 0)
    assert driver.backend_at(driver.only_call().address) != chosen


@pytest.mark.parametrize(
    "error", [CommandUnresolvedError(detail="?"), SessionBusyError(detail="full")]
)
def test_failed_claim_is_not_dispatched(error: object) -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", **BOOKING)
    driver.finish_command(0, error=error)
    assert not driver.calls
    assert driver.outcome(endpoint_id) == "not_run"


def test_duplicate_gets_the_recorded_response() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", **BOOKING)
    taken = ClaimTaken(
        idempotency_key="book-app/k-1",
        recorded="answer",
        status=201,
        body=b"slot 9",
        content_type="text/plain",
    )
    driver.finish_command(0, taken)
    response = driver.response(endpoint_id)
    assert not driver.calls
    assert (response.status, response.body) == (201, b"slot 9")
    assert response.headers["x-outcome"] == "answer"
    assert response.headers["x-replayed"] == "true"
    assert response.headers["content-type"] == "text/plain"


@pytest.mark.parametrize(
    ("state", "status", "outcome"),
    [
        ("pending", 409, "unknown"),
        ("unknown", 504, "unknown"),
        ("different_request", 422, "not_run"),
    ],
)
def test_duplicate_without_recorded_response_gets_an_error(
    state: str, status: int, outcome: str
) -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", **BOOKING)
    driver.finish_command(0, ClaimTaken(idempotency_key="book-app/k-1", recorded=state))
    assert not driver.calls
    assert driver.response(endpoint_id).status == status
    assert driver.outcome(endpoint_id) == outcome
    assert not recorded(driver)


def test_duplicate_at_the_same_gateway_is_pending_without_a_second_claim() -> None:
    driver = booking_driver()
    driver.request("/book-app/book", "POST", **BOOKING)
    duplicate = driver.request("/book-app/book", "POST", **BOOKING)
    assert driver.code(duplicate) == "claim_pending"
    assert driver.outcome(duplicate) == "unknown"
    assert "retry-after" in driver.response(duplicate).headers
    assert len(driver.session.submitted) == 1


def test_duplicate_is_pending_until_control_confirms_the_record() -> None:
    driver = booking_driver()
    driver.request("/book-app/book", "POST", **BOOKING)
    grant(driver, 0)
    driver.respond(driver.only_call())
    duplicate = driver.request("/book-app/book", "POST", **BOOKING)
    assert driver.code(duplicate) == "claim_pending"
    driver.finish_command(1, Done(revision=9))
    driver.request("/book-app/book", "POST", **BOOKING)
    assert isinstance(driver.session.submitted[2].command, ClaimRequest)


def test_duplicate_rejected_early_does_not_get_not_run() -> None:
    driver = booking_driver()
    driver.request("/book-app/book", "POST", **BOOKING)
    driver.session.lease_held = False
    duplicate = driver.request("/book-app/book", "POST", **BOOKING)
    assert driver.outcome(duplicate) == "unknown"
    other = driver.request("/book-app/book", "POST", x_repeatable="false", idempotency_key="k-2")
    assert driver.outcome(other) == "not_run"


def test_different_request_under_a_pending_key_is_rejected() -> None:
    driver = booking_driver()
    driver.request("/book-app/book", "POST", b"a", **BOOKING)
    other = driver.request("/book-app/book", "POST", b"b", **BOOKING)
    assert driver.code(other) == "idempotency_key_reused"


def test_outcome_is_recorded_after_the_callers_deadline() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", x_deadline_seconds="1", **BOOKING)
    grant(driver, 0)
    call = driver.only_call()
    driver.advance(1.01)
    assert driver.outcome(endpoint_id) == "unknown"
    assert not driver.cancelled
    assert call.timeout_seconds > 1.0
    driver.respond(call, 201, b"slot 9")
    assert recorded(driver)[0].outcome == "answer"
    assert driver.gateway.in_flight == 0


def test_call_that_continues_after_the_deadline_times_out() -> None:
    driver = booking_driver()
    driver.request("/book-app/book", "POST", x_deadline_seconds="1", **BOOKING)
    grant(driver, 0)
    driver.advance(30.0)
    assert recorded(driver)[0].outcome == "unknown"
    assert driver.gateway.in_flight == 0


def test_disconnected_caller_does_not_cancel_a_claimed_request() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", **BOOKING)
    grant(driver, 0)
    driver.abort(endpoint_id)
    assert not driver.cancelled
    driver.respond(driver.only_call(), 201, b"slot 9")
    assert recorded(driver)[0].outcome == "answer"
    assert not driver.is_answered(endpoint_id)


def test_response_too_large_to_record_is_recorded_as_unknown() -> None:
    driver = booking_driver()
    endpoint_id = driver.request("/book-app/book", "POST", **BOOKING)
    grant(driver, 0)
    driver.respond(driver.only_call(), 200, b"x" * 100_000)
    assert driver.outcome(endpoint_id) == "answer"
    assert (recorded(driver)[0].outcome, recorded(driver)[0].body) == ("unknown", b"")


def test_generation_that_is_not_repeatable_is_claimed_and_not_resumed() -> None:
    driver = booking_driver()
    endpoint_id = driver.complete(**BOOKING)
    assert not driver.calls
    grant(driver, 0)
    call = driver.only_call()
    driver.open_stream(call)
    driver.tokens(call, 0, 2)
    driver.fail(call, CallPhase.BODY)
    assert not driver.calls
    assert driver.streamed(endpoint_id)[1] is False
    assert recorded(driver)[0].outcome == "unknown"


def test_planned_stop_waits_for_the_record_with_a_timeout() -> None:
    driver = booking_driver()
    driver.request("/book-app/book", "POST", **BOOKING)
    grant(driver, 0)
    driver.send(StopRequested())
    driver.respond(driver.only_call())
    assert not driver.has_stopped()
    driver.advance(5.0)
    assert not driver.has_stopped()
    driver.advance(6.0)
    assert driver.has_stopped()
