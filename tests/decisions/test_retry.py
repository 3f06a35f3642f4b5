"""Actions after an attempt: retry, hedge, end, or wait for a crash check."""

import pytest

from merlinstand.cluster.routes import Route, RouteKind
from merlinstand.decisions.hedging import hedge_delay_seconds, is_hedge_allowed, should_send_hedge
from merlinstand.decisions.retry import (
    FailureAction,
    ResponseVerdict,
    classify_response,
    decide_after_failure,
    has_attempts_left,
    is_unconfirmed_refusal,
    needs_new_connection,
)
from tests.routes import make_route

REPEATABLE = make_route(RouteKind.REPEATABLE, "s", "/", maximum_attempts=2)
STREAM = make_route(RouteKind.STREAM, "s", "/", maximum_attempts=2, is_resumable=True)
ONCE = make_route(RouteKind.ONCE, "s", "/", maximum_attempts=2)


@pytest.mark.parametrize(
    ("counted_attempts", "all_attempts", "expected"),
    [
        pytest.param(1, 1, True, id="one of two used"),
        pytest.param(2, 2, False, id="both used"),
        pytest.param(0, 3, True, id="three refused connections"),
        pytest.param(0, 4, False, id="maximum of refused connections"),
    ],
)
@pytest.mark.parametrize("route", [REPEATABLE, STREAM], ids=["complete", "stream"])
def test_a_route_limits_the_attempts(
    route: Route, counted_attempts: int, all_attempts: int, expected: bool
) -> None:
    assert has_attempts_left(route, counted_attempts, all_attempts) is expected


@pytest.mark.parametrize(
    ("status", "is_refusal", "expected"),
    [
        pytest.param(200, False, ResponseVerdict.FINAL, id="success"),
        pytest.param(404, False, ResponseVerdict.FINAL, id="client error"),
        pytest.param(503, True, ResponseVerdict.NOT_RUN, id="confirmed refusal"),
        pytest.param(421, False, ResponseVerdict.NOT_RUN, id="421: unexpected backend"),
        pytest.param(500, False, ResponseVerdict.FAILED, id="server error"),
    ],
)
def test_responses_are_classified(status: int, is_refusal: bool, expected: ResponseVerdict) -> None:
    assert classify_response(status, is_refusal, REPEATABLE) is expected


def test_failure_response_of_a_request_that_must_not_run_twice_is_final() -> None:
    assert classify_response(500, False, ONCE) is ResponseVerdict.FINAL


@pytest.mark.parametrize(
    ("status", "is_refusal", "expected"),
    [
        pytest.param(503, False, ResponseVerdict.UNCONFIRMED_REFUSAL, id="503"),
        pytest.param(429, False, ResponseVerdict.UNCONFIRMED_REFUSAL, id="429"),
        pytest.param(408, False, ResponseVerdict.UNCONFIRMED_REFUSAL, id="408"),
        pytest.param(503, True, ResponseVerdict.NOT_RUN, id="confirmed 503"),
        pytest.param(421, False, ResponseVerdict.NOT_RUN, id="421: unexpected backend"),
        pytest.param(502, False, ResponseVerdict.FINAL, id="no refusal: 502"),
        pytest.param(504, False, ResponseVerdict.FINAL, id="no refusal: 504"),
        pytest.param(409, False, ResponseVerdict.FINAL, id="no refusal: 409"),
    ],
)
def test_unconfirmed_refusal_is_withheld_where_a_request_must_not_run_twice(
    status: int, is_refusal: bool, expected: ResponseVerdict
) -> None:
    """Overloaded backends send such statuses for requests that they may have started."""
    assert classify_response(status, is_refusal, ONCE) is expected


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        pytest.param(503, ResponseVerdict.FAILED, id="503"),
        pytest.param(429, ResponseVerdict.FINAL, id="429"),
        pytest.param(408, ResponseVerdict.FINAL, id="408"),
    ],
)
def test_unconfirmed_refusal_has_no_effect_where_a_request_may_run_twice(
    status: int, expected: ResponseVerdict
) -> None:
    """Overloaded backends send such statuses for requests that they may have started."""
    assert classify_response(status, False, REPEATABLE) is expected
    assert not is_unconfirmed_refusal(status, False, STREAM)


@pytest.mark.parametrize(
    ("is_repeatable", "may_have_run", "is_backend_probed", "has_next_attempt", "expected"),
    [
        (True, True, False, True, FailureAction.RETRY),
        (True, True, True, True, FailureAction.AWAIT_CRASH_CHECK),
        (True, True, True, False, FailureAction.RETRY),
        (False, False, False, True, FailureAction.RETRY),
        (False, True, True, True, FailureAction.GIVE_UP),
        (False, True, False, True, FailureAction.GIVE_UP),
    ],
)
def test_action_after_an_attempt_without_a_response(
    is_repeatable: bool,
    may_have_run: bool,
    is_backend_probed: bool,
    has_next_attempt: bool,
    expected: FailureAction,
) -> None:
    assert (
        decide_after_failure(is_repeatable, may_have_run, is_backend_probed, has_next_attempt)
        is expected
    )


@pytest.mark.parametrize(
    ("target_latency_seconds", "delay_seconds"),
    [
        pytest.param(0.2, 0.12, id="fraction of the target latency"),
        pytest.param(0.05, 0.06, id="short target latency"),
    ],
)
def test_hedge_delay_by_target_latency(target_latency_seconds: float, delay_seconds: float) -> None:
    route = make_route(
        RouteKind.REPEATABLE, "s", "/", target_latency_seconds=target_latency_seconds
    )
    assert hedge_delay_seconds(route) == pytest.approx(delay_seconds)


def test_only_a_single_attempt_of_a_repeatable_request_is_hedged() -> None:
    assert is_hedge_allowed(REPEATABLE, 1, has_attempts_left=True)
    assert not is_hedge_allowed(REPEATABLE, 2, has_attempts_left=True)
    assert not is_hedge_allowed(REPEATABLE, 1, has_attempts_left=False)
    assert not is_hedge_allowed(ONCE, 1, has_attempts_left=True)


def test_suspects_and_failing_backends_are_not_hedged() -> None:
    assert should_send_hedge(False, avoid_until=1.0, now=1.0)
    assert not should_send_hedge(True, avoid_until=0.0, now=1.0)
    assert not should_send_hedge(False, avoid_until=1.5, now=1.0)


@pytest.mark.parametrize("is_repeatable", [False, True])
def test_only_requests_that_may_run_twice_reuse_connections(is_repeatable: bool) -> None:
    assert needs_new_connection(is_repeatable, False, False) is not is_repeatable
    assert needs_new_connection(is_repeatable, True, False)
    assert needs_new_connection(is_repeatable, False, True)
