"""The timed rules about crashes, each at its limits."""

import pytest

from merlinstand.quarantine.blame import SuspectStatus
from merlinstand.quarantine.rules import (
    CRASH_RETENTION_SECONDS,
    MASS_OUTAGE_CRASHES,
    MASS_OUTAGE_SECONDS,
    QUARANTINE_SECONDS,
    SHORT_QUARANTINE_SECONDS,
    TRIAL_DELAY_SECONDS,
    is_crash_expired,
    is_mass_outage,
    is_quarantine_over,
    may_begin_trial,
)

NOW = 1_000.0


@pytest.mark.parametrize(
    ("crashes", "seconds_ago", "expected"),
    [
        pytest.param(MASS_OUTAGE_CRASHES, 0.5, True, id="many within the interval"),
        pytest.param(MASS_OUTAGE_CRASHES - 1, 0.5, False, id="one fewer"),
        pytest.param(MASS_OUTAGE_CRASHES, MASS_OUTAGE_SECONDS, False, id="many, too long ago"),
    ],
)
def test_a_mass_outage(crashes: int, seconds_ago: float, expected: bool) -> None:
    assert is_mass_outage([NOW - seconds_ago] * crashes, NOW) is expected


@pytest.mark.parametrize(
    ("holds_back", "seconds_ago", "expected"),
    [
        pytest.param(False, CRASH_RETENTION_SECONDS, False, id="at the limit"),
        pytest.param(False, CRASH_RETENTION_SECONDS + 1.0, True, id="beyond the limit"),
        pytest.param(
            True, CRASH_RETENTION_SECONDS + 1.0, False, id="a request is held back for it"
        ),
    ],
)
def test_crash_expires_unless_a_request_is_held_back(
    holds_back: bool, seconds_ago: float, expected: bool
) -> None:
    assert is_crash_expired(NOW - seconds_ago, holds_back, NOW) is expected


@pytest.mark.parametrize(
    ("was_alone", "seconds", "expected"),
    [
        pytest.param(True, QUARANTINE_SECONDS, False, id="alone, at the limit"),
        pytest.param(True, QUARANTINE_SECONDS + 1.0, True, id="alone, beyond the limit"),
        pytest.param(False, SHORT_QUARANTINE_SECONDS + 1.0, True, id="never alone"),
    ],
)
def test_quarantine_duration(was_alone: bool, seconds: float, expected: bool) -> None:
    assert is_quarantine_over(NOW - seconds, was_alone, NOW) is expected


@pytest.mark.parametrize(
    ("status", "seconds", "expected"),
    [
        pytest.param(
            SuspectStatus.UNPROVEN, TRIAL_DELAY_SECONDS, True, id="unproven, after the delay"
        ),
        pytest.param(
            SuspectStatus.UNPROVEN,
            TRIAL_DELAY_SECONDS - 0.1,
            False,
            id="unproven, within the delay",
        ),
        pytest.param(SuspectStatus.QUARANTINED, QUARANTINE_SECONDS, False, id="quarantined"),
        pytest.param(None, QUARANTINE_SECONDS, False, id="not suspected"),
    ],
)
def test_which_requests_may_be_tried(
    status: SuspectStatus | None, seconds: float, expected: bool
) -> None:
    assert may_begin_trial(status, NOW - seconds, NOW) is expected
