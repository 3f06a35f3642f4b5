"""Boundary cases of the rules about heartbeats."""

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
    ("is_leader", "proof_age_seconds", "expected"),
    [
        pytest.param(True, None, True, id="leader"),
        pytest.param(False, 0.5, True, id="replica with a recent proof of a leader"),
        pytest.param(False, MAXIMUM_PROOF_AGE_SECONDS, False, id="replica with an old proof"),
        pytest.param(False, None, False, id="replica without a proof"),
    ],
)
def test_replica_answers_with_a_recent_proof_of_a_leader(
    is_leader: bool, proof_age_seconds: float | None, expected: bool
) -> None:
    assert may_answer_heartbeat(is_leader, proof_age_seconds) is expected


@pytest.mark.parametrize(
    ("heartbeat_age_seconds", "expected"),
    [
        pytest.param(ASSUME_COLD_AFTER_SECONDS, False, id="at the limit"),
        pytest.param(ASSUME_COLD_AFTER_SECONDS + 0.1, True, id="above the limit"),
    ],
)
def test_backend_may_be_cold_after_missed_heartbeats(
    heartbeat_age_seconds: float, expected: bool
) -> None:
    assert may_be_cold(heartbeat_age_seconds) is expected


@pytest.mark.parametrize(
    ("last_heartbeat_at", "expected"),
    [
        pytest.param(None, True, id="last heartbeat unknown"),
        pytest.param(10.0 - ADDRESS_HOLD_SECONDS + 0.1, True, id="recent heartbeat"),
        pytest.param(10.0 - ADDRESS_HOLD_SECONDS, False, id="heartbeats stopped"),
    ],
)
def test_holder_keeps_its_address_while_it_sends_heartbeats(
    last_heartbeat_at: float | None, expected: bool
) -> None:
    assert is_address_held(last_heartbeat_at, 10.0) is expected


@pytest.mark.parametrize(
    ("sequence", "registration_number", "holder_number", "expected"),
    [
        pytest.param(5, 1, None, True, id="newer heartbeat, free address"),
        pytest.param(4, 1, None, False, id="no newer heartbeat"),
        pytest.param(5, 1, 2, False, id="holder registered later"),
        pytest.param(5, 3, 2, True, id="holder registered earlier"),
    ],
)
def test_former_backend_registers_again_unless_the_holder_is_newer(
    sequence: int, registration_number: int, holder_number: int | None, expected: bool
) -> None:
    assert may_reregister(sequence, 4, registration_number, holder_number) is expected


@pytest.mark.parametrize(
    ("is_first", "after_seconds", "expected"),
    [
        pytest.param(True, 2 * MAXIMUM_HEARTBEAT_DELAY_SECONDS, False, id="first heartbeat"),
        pytest.param(
            False,
            MAXIMUM_HEARTBEAT_DELAY_SECONDS - 0.1,
            False,
            id="possibly sent before the return",
        ),
        pytest.param(False, MAXIMUM_HEARTBEAT_DELAY_SECONDS, True, id="sent after the return"),
    ],
)
def test_warm_report_counts_if_it_was_sent_after_the_return(
    is_first: bool, after_seconds: float, expected: bool
) -> None:
    assert is_warm_report_reliable(10.0, is_first, 10.0 + after_seconds) is expected
