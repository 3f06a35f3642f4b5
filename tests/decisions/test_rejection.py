"""What callers are told of a request that no server answered."""

import pytest

from merlinstand.cluster.requests import NotRun, OutcomeUnknown
from merlinstand.decisions.rejection import (
    QUARANTINE_RETRY_AFTER_SECONDS,
    Reason,
    cold_retry_after_seconds,
    quarantine_retry_after_seconds,
    retry_after_seconds,
    status_of,
)


@pytest.mark.parametrize(
    ("reason", "text", "seconds"),
    [
        (Reason.NO_SERVER, "no back end", 0.1),
        (Reason.NO_SERVER_IN_REGIONS, "no back end in the allowed regions", 0.1),
        (Reason.LAST_SERVER, "last server spared", 1.0),
        (Reason.TIME_RAN_OUT, "time ran out", 0.1),
        (Reason.NO_ROUTES, "no routes yet", 0.3),
        (Reason.EVACUATED, "zone evacuated", 1.0),
        (Reason.KEYS_UNKNOWN, "keys may have been taken away", 0.3),
    ],
)
def test_each_reason_has_its_text_and_its_time(reason: Reason, text: str, seconds: float) -> None:
    assert reason == text
    assert retry_after_seconds(reason) == seconds


def test_a_failed_try_is_worth_another_one_soon() -> None:
    assert retry_after_seconds("connect_refused") == 0.1


@pytest.mark.parametrize(
    ("refused_seconds", "expected"),
    [pytest.param(0.7, 0.7, id="the leader said when"), pytest.param(0.0, 0.1, id="it did not")],
)
def test_cold_servers_are_worth_a_try_once_grants_may_come(
    refused_seconds: float, expected: float
) -> None:
    assert cold_retry_after_seconds(refused_seconds, request_interval_seconds=0.1) == expected


@pytest.mark.parametrize(
    ("is_unproven", "wait_seconds", "expected"),
    [
        pytest.param(False, 0.0, QUARANTINE_RETRY_AFTER_SECONDS, id="in quarantine"),
        pytest.param(True, 2.0, 2.0, id="tried alone later"),
        pytest.param(True, 0.0, 0.5, id="a permit may come"),
    ],
)
def test_a_request_in_quarantine_is_worth_no_try_sooner(
    is_unproven: bool, wait_seconds: float, expected: float
) -> None:
    assert quarantine_retry_after_seconds(is_unproven, wait_seconds, 0.5) == expected


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        pytest.param(NotRun("r", 0.1), 503, id="no server ran it"),
        pytest.param(OutcomeUnknown("r", is_timeout=False), 502, id="one may have run it"),
        pytest.param(OutcomeUnknown("r", is_timeout=True), 504, id="time ran out"),
    ],
)
def test_the_status_says_whether_a_server_may_have_run_it(
    outcome: NotRun | OutcomeUnknown, status: int
) -> None:
    assert status_of(outcome) == status
