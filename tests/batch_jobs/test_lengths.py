"""How long an item is expected to go on, from those that ended."""

import pytest

from merlinstand.batch_jobs.lengths import REMEMBERED_ITEMS, USUAL_EVENTS, LengthHistory


def history(ended: list[tuple[int, int]]) -> LengthHistory:
    made = LengthHistory()
    for events, tokens in ended:
        made.record("m", events, tokens)
    return made


@pytest.mark.parametrize(
    ("ended", "events", "tokens", "rest"),
    [
        ([], 0, 0, USUAL_EVENTS),
        ([], 90, 0, 90.0),
        ([(10, 0)] * 9, 0, 0, 10.0),
        ([(10, 100)] * 9, 0, 300, 30.0),
        ([(10, 0)] * 90 + [(100, 0)] * 10, 20, 0, 80.0),
        ([(10, 0)] * 90 + [(100, 0)] * 4, 20, 0, 20.0),
        ([(10, 0)] * REMEMBERED_ITEMS, 20, 0, 1.0),
        ([(10, 100)] * 9 + [(50, 100)] * 9, 20, 300, 30.0),
    ],
    ids=[
        "nothing known",
        "nothing known of a long one",
        "mean of all",
        "the sender's guess, scaled",
        "mean of the longer ones",
        "few longer ones",
        "none was ever longer",
        "a guess counts no more once it runs",
    ],
)
def test_expected_rest(ended: list[tuple[int, int]], events: int, tokens: int, rest: float) -> None:
    assert history(ended).expected_remaining_events("m", events, tokens) == pytest.approx(rest)


def test_models_are_told_apart_and_old_lengths_forgotten() -> None:
    made = history([(10, 0)] * REMEMBERED_ITEMS + [(30, 0)] * REMEMBERED_ITEMS)
    assert made.expected_remaining_events("m", 0, 0) == pytest.approx(30.0)
    assert made.expected_remaining_events("other", 0, 0) == USUAL_EVENTS


def test_the_longest_that_ended_lately() -> None:
    assert history([]).longest_events("m") == USUAL_EVENTS
    assert history([(10, 0), (90, 0), (20, 0)]).longest_events("m") == 90.0
