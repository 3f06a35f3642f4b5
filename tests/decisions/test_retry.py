"""What follows a try: another one, an end, or a wait for whether its server has crashed."""

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
    ("sent", "tries", "expected"),
    [
        pytest.param(1, 1, True, id="one of two"),
        pytest.param(2, 2, False, id="both"),
        pytest.param(0, 3, True, id="three refused connections"),
        pytest.param(0, 4, False, id="as many as are allowed"),
    ],
)
@pytest.mark.parametrize("route", [REPEATABLE, STREAM], ids=["whole", "stream"])
def test_a_route_bounds_the_tries(route: Route, sent: int, tries: int, expected: bool) -> None:
    assert has_attempts_left(route, sent, tries) is expected


@pytest.mark.parametrize(
    ("status", "is_refusal", "verdict"),
    [
        pytest.param(200, False, ResponseVerdict.FINAL, id="an answer"),
        pytest.param(404, False, ResponseVerdict.FINAL, id="the request's own fault"),
        pytest.param(503, True, ResponseVerdict.NOT_RUN, id="the server says so"),
        pytest.param(421, False, ResponseVerdict.NOT_RUN, id="another server"),
        pytest.param(500, False, ResponseVerdict.FAILED, id="the server failed"),
    ],
)
def test_an_answer_is_judged(status: int, is_refusal: bool, verdict: ResponseVerdict) -> None:
    assert classify_response(status, is_refusal, REPEATABLE) is verdict


def test_a_failure_of_a_request_that_must_not_run_twice_is_its_answer() -> None:
    assert classify_response(500, False, ONCE) is ResponseVerdict.FINAL


@pytest.mark.parametrize(
    ("status", "is_refusal", "verdict"),
    [
        pytest.param(503, False, ResponseVerdict.UNCONFIRMED_REFUSAL, id="503"),
        pytest.param(429, False, ResponseVerdict.UNCONFIRMED_REFUSAL, id="429"),
        pytest.param(408, False, ResponseVerdict.UNCONFIRMED_REFUSAL, id="408"),
        pytest.param(503, True, ResponseVerdict.NOT_RUN, id="proven"),
        pytest.param(421, False, ResponseVerdict.NOT_RUN, id="another server"),
        pytest.param(502, False, ResponseVerdict.FINAL, id="no promise: 502"),
        pytest.param(504, False, ResponseVerdict.FINAL, id="no promise: 504"),
        pytest.param(409, False, ResponseVerdict.FINAL, id="no promise: 409"),
    ],
)
def test_only_a_proven_refusal_reaches_who_must_not_repeat(
    status: int, is_refusal: bool, verdict: ResponseVerdict
) -> None:
    """Servers under load refuse what they may have begun."""
    assert classify_response(status, is_refusal, ONCE) is verdict


@pytest.mark.parametrize(
    ("status", "verdict"),
    [
        pytest.param(503, ResponseVerdict.FAILED, id="503"),
        pytest.param(429, ResponseVerdict.FINAL, id="429"),
        pytest.param(408, ResponseVerdict.FINAL, id="408"),
    ],
)
def test_an_unproven_refusal_binds_nobody_who_may_repeat(
    status: int, verdict: ResponseVerdict
) -> None:
    """Servers under load refuse what they may have begun."""
    assert classify_response(status, False, REPEATABLE) is verdict
    assert not is_unconfirmed_refusal(status, False, STREAM)


@pytest.mark.parametrize(
    ("is_repeatable", "may_have_run", "is_probed", "has_next", "verdict"),
    [
        (True, True, False, True, FailureAction.RETRY),
        (True, True, True, True, FailureAction.AWAIT_CRASH_CHECK),
        (True, True, True, False, FailureAction.RETRY),
        (False, False, False, True, FailureAction.RETRY),
        (False, True, True, True, FailureAction.GIVE_UP),
        (False, True, False, True, FailureAction.GIVE_UP),
    ],
)
def test_a_try_without_an_answer_is_judged(
    is_repeatable: bool,
    may_have_run: bool,
    is_probed: bool,
    has_next: bool,
    verdict: FailureAction,
) -> None:
    assert decide_after_failure(is_repeatable, may_have_run, is_probed, has_next) is verdict


@pytest.mark.parametrize(
    ("aim_seconds", "delay_seconds"),
    [pytest.param(0.2, 0.12, id="a share of the aim"), pytest.param(0.05, 0.06, id="a short aim")],
)
def test_the_second_try_comes_late_in_the_aim(aim_seconds: float, delay_seconds: float) -> None:
    route = make_route(RouteKind.REPEATABLE, "s", "/", target_latency_seconds=aim_seconds)
    assert hedge_delay_seconds(route) == pytest.approx(delay_seconds)


def test_only_a_lone_try_of_a_repeatable_request_gets_company() -> None:
    assert is_hedge_allowed(REPEATABLE, 1, has_attempts_left=True)
    assert not is_hedge_allowed(REPEATABLE, 2, has_attempts_left=True)
    assert not is_hedge_allowed(REPEATABLE, 1, has_attempts_left=False)
    assert not is_hedge_allowed(ONCE, 1, has_attempts_left=True)


def test_a_suspect_and_a_failing_server_are_not_hedged() -> None:
    assert should_send_hedge(False, avoid_until=1.0, now=1.0)
    assert not should_send_hedge(True, avoid_until=0.0, now=1.0)
    assert not should_send_hedge(False, avoid_until=1.5, now=1.0)


@pytest.mark.parametrize("is_repeatable", [False, True])
def test_a_kept_connection_is_for_requests_that_may_run_twice(is_repeatable: bool) -> None:
    assert needs_new_connection(is_repeatable, False, False) is not is_repeatable
    assert needs_new_connection(is_repeatable, True, False)
    assert needs_new_connection(is_repeatable, False, True)
