"""Actions after refusals, responses, broken streams and scoring calls of items."""

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

PAUSE = RETRY_PAUSE_SECONDS
RESTART_TEXT = Requeue("version_changed", 0.0, is_text_discarded=True)


@pytest.mark.parametrize(
    ("status", "has_header", "expected"),
    [
        pytest.param(421, False, True, id="421: another engine at the address"),
        pytest.param(503, True, True, id="response says not run"),
        pytest.param(503, False, False, id="unconfirmed: it may have started"),
    ],
)
def test_responses_that_prove_that_the_item_has_not_run(
    status: int, has_header: bool, expected: bool
) -> None:
    assert is_not_run(status, has_header) is expected
    assert after_not_run(status) == Requeue(f"not_run_{status}", PAUSE)


@pytest.mark.parametrize(
    ("status", "failures", "attempts", "expected"),
    [
        pytest.param(422, 0, 3, Terminate("unprocessable"), id="invalid item"),
        pytest.param(500, 2, 3, Requeue("status_500", PAUSE), id="failed, attempts left"),
        pytest.param(500, 3, 3, Terminate("failed"), id="maximum failures reached"),
        pytest.param(500, 3, None, Requeue("status_500", PAUSE), id="failed, no route"),
        pytest.param(
            503, 3, 3, Requeue("status_503", PAUSE), id="other statuses terminate no item"
        ),
    ],
)
def test_responses_that_are_not_streams(
    status: int, failures: int, attempts: int | None, expected: Requeue | Terminate
) -> None:
    assert after_refusal(status, failures, attempts) == expected


@pytest.mark.parametrize(
    ("version", "text_versions", "is_single_version", "expected"),
    [
        pytest.param(2, [], False, Requeue("version_too_old", PAUSE), id="older than allowed"),
        pytest.param(3, [], True, None, id="first run"),
        pytest.param(4, [4], True, None, id="same version"),
        pytest.param(4, [3], True, RESTART_TEXT, id="changed version, single-version text"),
        pytest.param(4, [3], False, None, id="changed version, any versions"),
    ],
)
def test_weight_version_at_stream_start(
    version: int, text_versions: list[int], is_single_version: bool, expected: Requeue | None
) -> None:
    assert after_stream_start(version, 3, text_versions, is_single_version) == expected


def test_events_of_a_second_version_restart_a_single_version_text() -> None:
    assert after_events([3, 4], True, 2, 0, 0.1, 3.0) == RESTART_TEXT
    assert after_events([3, 4], False, 2, 0, 0.1, 3.0) is None
    assert after_events([3], True, 2, 0, 0.1, 3.0) is None


def test_streams_that_end_or_break_off() -> None:
    assert after_stream_end(5, has_partial_event=False) is None
    assert after_stream_end(5, has_partial_event=True) == Requeue("cut_short", PAUSE)
    assert after_stream_end(0, has_partial_event=False) == Requeue("cut_short", PAUSE)
    assert after_broken_call("connect", "refused") == Requeue("connect_refused", PAUSE)


@pytest.mark.parametrize(
    ("status", "score", "failures", "retry_after", "expected"),
    [
        pytest.param(200, "s", 5, 0.0, AcceptScore("s"), id="scored after failures"),
        pytest.param(
            200,
            "",
            1,
            0.0,
            RetryScoring(MINIMUM_SCORING_PAUSE_SECONDS),
            id="response without score",
        ),
        pytest.param(500, "s", 3, 0.0, Terminate("scoring_failed"), id="maximum failures reached"),
        pytest.param(
            0, "", 2, 0.0, RetryScoring(MINIMUM_SCORING_PAUSE_SECONDS), id="response lost"
        ),
        pytest.param(0, "", 0, 0.5, RetryScoring(0.5), id="Retry-After of half a second"),
        pytest.param(
            0,
            "",
            0,
            9.0,
            RetryScoring(MAXIMUM_SCORING_PAUSE_SECONDS),
            id="Retry-After above the maximum",
        ),
    ],
)
def test_actions_after_scoring_calls(
    status: int,
    score: str,
    failures: int,
    retry_after: float,
    expected: AcceptScore | Terminate | RetryScoring,
) -> None:
    assert after_scoring(status, score, failures, 3, retry_after) == expected
