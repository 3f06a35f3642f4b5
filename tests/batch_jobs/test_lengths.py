"""Estimates of an item's remaining events from finished items."""

import pytest

from merlinstand.batch_jobs.lengths import DEFAULT_EVENTS, HISTORY_ITEMS, LengthHistory


def history(finished: list[tuple[int, int]]) -> LengthHistory:
    made = LengthHistory()
    for events, tokens in finished:
        made.record("m", events, tokens)
    return made


@pytest.mark.parametrize(
    ("finished", "events", "tokens", "expected"),
    [
        ([], 0, 0, DEFAULT_EVENTS),
        ([], 90, 0, 90.0),
        ([(10, 0)] * 9, 0, 0, 10.0),
        ([(10, 100)] * 9, 0, 300, 30.0),
        ([(10, 0)] * 90 + [(100, 0)] * 10, 20, 0, 80.0),
        ([(10, 0)] * 90 + [(100, 0)] * 4, 20, 0, 20.0),
        ([(10, 0)] * HISTORY_ITEMS, 20, 0, 1.0),
        ([(10, 100)] * 9 + [(50, 100)] * 9, 20, 300, 30.0),
    ],
    ids=[
        "no history",
        "no history, long item",
        "mean of all items",
        "scaled sender estimate",
        "mean of longer items",
        "too few longer items",
        "no longer item in a full history",
        "sender estimate unused once started",
    ],
)
def test_expected_remaining_events(
    finished: list[tuple[int, int]], events: int, tokens: int, expected: float
) -> None:
    assert history(finished).expected_remaining_events("m", events, tokens) == pytest.approx(
        expected
    )


def test_models_are_separate_and_old_lengths_are_dropped() -> None:
    made = history([(10, 0)] * HISTORY_ITEMS + [(30, 0)] * HISTORY_ITEMS)
    assert made.expected_remaining_events("m", 0, 0) == pytest.approx(30.0)
    assert made.expected_remaining_events("other", 0, 0) == DEFAULT_EVENTS


def test_longest_recent_length() -> None:
    assert history([]).longest_events("m") == DEFAULT_EVENTS
    assert history([(10, 0), (90, 0), (20, 0)]).longest_events("m") == 90.0
