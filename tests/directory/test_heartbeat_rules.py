"""The rules about heartbeats, each at its limits."""

import pytest

from merlinstand.directory.heartbeat_rules import (
    ADDRESS_HOLD_SECONDS,
    ASSUME_COLD_AFTER_SECONDS,
    MAXIMUM_HEARTBEAT_DELAY_SECONDS,
    MAXIMUM_PROOF_AGE_SECONDS,
    is_address_held,
    is_warm_report_reliable,
    may_answer_heartbeat,
    may_be_cold,
    may_reregister,
)


@pytest.mark.parametrize(
    ("leads", "proof_age_seconds", "expected"),
    [
        pytest.param(True, None, True, id="the leader"),
        pytest.param(False, 0.5, True, id="a replica that heard the leader"),
        pytest.param(False, MAXIMUM_PROOF_AGE_SECONDS, False, id="one that heard it too long ago"),
        pytest.param(False, None, False, id="one that never heard any"),
    ],
)
def test_who_may_answer(leads: bool, proof_age_seconds: float | None, expected: bool) -> None:
    assert may_answer_heartbeat(leads, proof_age_seconds) is expected


@pytest.mark.parametrize(
    ("silence_seconds", "expected"),
    [
        pytest.param(ASSUME_COLD_AFTER_SECONDS, False, id="at the limit"),
        pytest.param(ASSUME_COLD_AFTER_SECONDS + 0.1, True, id="beyond it"),
    ],
)
def test_who_may_have_cooled(silence_seconds: float, expected: bool) -> None:
    assert may_be_cold(silence_seconds) is expected


@pytest.mark.parametrize(
    ("holder_heard_at", "expected"),
    [
        pytest.param(None, True, id="nobody knows when it was heard"),
        pytest.param(10.0 - ADDRESS_HOLD_SECONDS + 0.1, True, id="heard lately"),
        pytest.param(10.0 - ADDRESS_HOLD_SECONDS, False, id="silent"),
    ],
)
def test_who_keeps_an_address(holder_heard_at: float | None, expected: bool) -> None:
    assert is_address_held(holder_heard_at, 10.0) is expected


@pytest.mark.parametrize(
    ("sequence", "arrival", "holder_arrival", "expected"),
    [
        pytest.param(5, 1, None, True, id="a newer heartbeat, free address"),
        pytest.param(4, 1, None, False, id="no newer heartbeat"),
        pytest.param(5, 1, 2, False, id="the holder came later"),
        pytest.param(5, 3, 2, True, id="the holder came earlier"),
    ],
)
def test_who_may_come_back(
    sequence: int, arrival: int, holder_arrival: int | None, expected: bool
) -> None:
    assert may_reregister(sequence, 4, arrival, holder_arrival) is expected


@pytest.mark.parametrize(
    ("is_first", "after_seconds", "expected"),
    [
        pytest.param(
            True, 2 * MAXIMUM_HEARTBEAT_DELAY_SECONDS, False, id="the first one never counts"
        ),
        pytest.param(
            False, MAXIMUM_HEARTBEAT_DELAY_SECONDS - 0.1, False, id="maybe sent before the return"
        ),
        pytest.param(False, MAXIMUM_HEARTBEAT_DELAY_SECONDS, True, id="sent after it"),
    ],
)
def test_whose_report_of_being_warm_counts(
    is_first: bool, after_seconds: float, expected: bool
) -> None:
    assert is_warm_report_reliable(10.0, is_first, 10.0 + after_seconds) is expected
