"""Status, text and Retry-After of requests without a backend's response."""

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
        (Reason.NO_BACKEND, "no back end", 0.1),
        (Reason.NO_BACKEND_IN_REGIONS, "no back end in the allowed regions", 0.1),
        (Reason.LAST_BACKEND, "last server spared", 1.0),
        (Reason.TIME_RAN_OUT, "time ran out", 0.1),
        (Reason.NO_ROUTES, "no routes yet", 0.3),
        (Reason.EVACUATED, "zone evacuated", 1.0),
        (Reason.KEYS_UNKNOWN, "keys may have been taken away", 0.3),
        (Reason.STOPPING, "stopping", 0.0),
    ],
)
def test_text_and_retry_after_of_each_reason(reason: Reason, text: str, seconds: float) -> None:
    assert reason == text
    assert retry_after_seconds(reason) == seconds


def test_retry_after_of_a_failed_attempt() -> None:
    assert retry_after_seconds("connect_refused") == 0.1


@pytest.mark.parametrize(
    ("grant_refusal_seconds", "expected"),
    [
        pytest.param(0.7, 0.7, id="leader refused until later"),
        pytest.param(0.0, 0.1, id="no refusal"),
    ],
)
def test_retry_after_of_cold_backends_follows_grants(
    grant_refusal_seconds: float, expected: float
) -> None:
    assert cold_retry_after_seconds(grant_refusal_seconds, request_interval_seconds=0.1) == expected


@pytest.mark.parametrize(
    ("is_unproven", "wait_seconds", "expected"),
    [
        pytest.param(False, 0.0, QUARANTINE_RETRY_AFTER_SECONDS, id="quarantined"),
        pytest.param(True, 2.0, 2.0, id="trial permitted later"),
        pytest.param(True, 0.0, 0.5, id="trial permit may come"),
    ],
)
def test_retry_after_in_quarantine(is_unproven: bool, wait_seconds: float, expected: float) -> None:
    assert quarantine_retry_after_seconds(is_unproven, wait_seconds, 0.5) == expected


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        pytest.param(NotRun("r", 0.1), 503, id="no backend ran it"),
        pytest.param(OutcomeUnknown("r", is_timeout=False), 502, id="a backend may have run it"),
        pytest.param(OutcomeUnknown("r", is_timeout=True), 504, id="time ran out"),
    ],
)
def test_status_tells_whether_a_backend_may_have_run_the_request(
    outcome: NotRun | OutcomeUnknown, status: int
) -> None:
    assert status_of(outcome) == status
