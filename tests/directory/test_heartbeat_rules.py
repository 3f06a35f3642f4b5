"""The rules about heartbeats, each at its limits."""

import pytest

from merlinstand.directory.heartbeat_rules import (
    ADDRESS_SILENCE_SECONDS,
    FOLLOWER_PROOF_SECONDS,
    LATE_HEARTBEAT_SECONDS,
    MISSED_HEARTBEATS_SECONDS,
    is_address_held,
    is_word_on_warmth_sure,
    may_answer,
    may_come_back,
    may_have_cooled,
)


@pytest.mark.parametrize(
    ("leads", "proof_age_seconds", "expected"),
    [
        pytest.param(True, None, True, id="the leader"),
        pytest.param(False, 0.5, True, id="a replica that heard the leader"),
        pytest.param(False, FOLLOWER_PROOF_SECONDS, False, id="one that heard it too long ago"),
        pytest.param(False, None, False, id="one that never heard any"),
    ],
)
def test_who_may_answer(leads: bool, proof_age_seconds: float | None, expected: bool) -> None:
    assert may_answer(leads, proof_age_seconds) is expected


@pytest.mark.parametrize(
    ("silence_seconds", "expected"),
    [
        pytest.param(MISSED_HEARTBEATS_SECONDS, False, id="at the limit"),
        pytest.param(MISSED_HEARTBEATS_SECONDS + 0.1, True, id="beyond it"),
    ],
)
def test_who_may_have_cooled(silence_seconds: float, expected: bool) -> None:
    assert may_have_cooled(silence_seconds) is expected


@pytest.mark.parametrize(
    ("holder_heard_at", "expected"),
    [
        pytest.param(None, True, id="nobody knows when it was heard"),
        pytest.param(10.0 - ADDRESS_SILENCE_SECONDS + 0.1, True, id="heard lately"),
        pytest.param(10.0 - ADDRESS_SILENCE_SECONDS, False, id="silent"),
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
    assert may_come_back(sequence, 4, arrival, holder_arrival) is expected


@pytest.mark.parametrize(
    ("is_first", "after_seconds", "expected"),
    [
        pytest.param(True, 2 * LATE_HEARTBEAT_SECONDS, False, id="the first one never counts"),
        pytest.param(False, LATE_HEARTBEAT_SECONDS - 0.1, False, id="maybe sent before the return"),
        pytest.param(False, LATE_HEARTBEAT_SECONDS, True, id="sent after it"),
    ],
)
def test_whose_report_of_being_warm_counts(
    is_first: bool, after_seconds: float, expected: bool
) -> None:
    assert is_word_on_warmth_sure(10.0, is_first, 10.0 + after_seconds) is expected
