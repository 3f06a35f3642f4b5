"""What follows a refusal, an answer, a broken stream or a scoring call of an item."""

import pytest

from merlinstand.decisions.item_retry import (
    MAXIMUM_SCORING_PAUSE_SECONDS,
    MINIMUM_SCORING_PAUSE_SECONDS,
    RETRY_PAUSE_SECONDS,
    AcceptScore,
    Requeue,
    RetryScoring,
    Terminate,
    after_broken_call,
    after_events,
    after_not_run,
    after_refusal,
    after_scoring,
    after_stream_end,
    after_stream_start,
)
from merlinstand.decisions.retry import is_not_run

AGAIN = RETRY_PAUSE_SECONDS
NEW_TEXT = Requeue("version_changed", 0.0, is_text_discarded=True)


@pytest.mark.parametrize(
    ("status", "has_header", "expected"),
    [
        pytest.param(421, False, True, id="another engine stands at the address"),
        pytest.param(503, True, True, id="the answer says so"),
        pytest.param(503, False, False, id="unknown: it may have begun"),
    ],
)
def test_refusals_that_prove_that_nothing_ran(
    status: int, has_header: bool, expected: bool
) -> None:
    assert is_not_run(status, has_header) is expected
    assert after_not_run(status) == Requeue(f"not_run_{status}", AGAIN)


@pytest.mark.parametrize(
    ("status", "failures", "attempts", "expected"),
    [
        pytest.param(422, 0, 3, Terminate("unprocessable"), id="the item itself is wrong"),
        pytest.param(500, 2, 3, Requeue("status_500", AGAIN), id="failed, tries left"),
        pytest.param(500, 3, 3, Terminate("failed"), id="failed too often"),
        pytest.param(500, 3, None, Requeue("status_500", AGAIN), id="failed, no route"),
        pytest.param(503, 3, 3, Requeue("status_503", AGAIN), id="other answers end no item"),
    ],
)
def test_answers_in_place_of_a_stream(
    status: int, failures: int, attempts: int | None, expected: Requeue | Terminate
) -> None:
    assert after_refusal(status, failures, attempts) == expected


@pytest.mark.parametrize(
    ("version", "made_by", "is_single", "expected"),
    [
        pytest.param(2, [], False, Requeue("version_too_old", AGAIN), id="older than allowed"),
        pytest.param(3, [], True, None, id="first run"),
        pytest.param(4, [4], True, None, id="goes on under the same"),
        pytest.param(4, [3], True, NEW_TEXT, id="other weights, one version a text"),
        pytest.param(4, [3], False, None, id="other weights, any versions"),
    ],
)
def test_heads_of_streams(
    version: int, made_by: list[int], is_single: bool, expected: Requeue | None
) -> None:
    assert after_stream_start(version, 3, made_by, is_single) == expected


def test_events_of_a_second_version_start_a_text_anew_where_one_is_wanted() -> None:
    assert after_events([3, 4], True) == NEW_TEXT
    assert after_events([3, 4], False) is None
    assert after_events([3], True) is None


def test_streams_that_end_or_break() -> None:
    assert after_stream_end(5, has_partial_event=False) is None
    assert after_stream_end(5, has_partial_event=True) == Requeue("cut_short", AGAIN)
    assert after_stream_end(0, has_partial_event=False) == Requeue("cut_short", AGAIN)
    assert after_broken_call("connect", "refused") == Requeue("connect_refused", AGAIN)


@pytest.mark.parametrize(
    ("status", "score", "failures", "retry_after", "expected"),
    [
        pytest.param(200, "s", 5, 0.0, AcceptScore("s"), id="scored, whatever failed before"),
        pytest.param(
            200, "", 1, 0.0, RetryScoring(MINIMUM_SCORING_PAUSE_SECONDS), id="no score in it"
        ),
        pytest.param(500, "s", 3, 0.0, Terminate("scoring_failed"), id="failed too often"),
        pytest.param(0, "", 2, 0.0, RetryScoring(MINIMUM_SCORING_PAUSE_SECONDS), id="answer lost"),
        pytest.param(0, "", 0, 0.5, RetryScoring(0.5), id="refused for half a second"),
        pytest.param(
            0, "", 0, 9.0, RetryScoring(MAXIMUM_SCORING_PAUSE_SECONDS), id="refused for long"
        ),
    ],
)
def test_scoring_calls_that_ended(
    status: int,
    score: str,
    failures: int,
    retry_after: float,
    expected: AcceptScore | Terminate | RetryScoring,
) -> None:
    assert after_scoring(status, score, failures, 3, retry_after) == expected
