"""The search for an order that explains a history of one register."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand_lab.checkers.linearizability import RegisterCommand, is_linearizable


def command(
    name: str, span: tuple[float, float], outcome: str, expected: int | None, revision: int = 0
) -> RegisterCommand:
    return RegisterCommand(
        command_id=name,
        deletes=False,
        expected_revision=expected,
        sent_at=span[0],
        ended_at=span[1],
        outcome=outcome,
        revision=revision,
    )


def test_equal_expectations_race_and_one_wins() -> None:
    history = [
        command("a", (0, 1), "done", 0, 5),
        command("b", (2, 4), "done", 5, 7),
        command("c", (2, 4), "refused", 5),
    ]
    assert is_linearizable(history)


def test_two_winners_of_one_race_are_not_linearizable() -> None:
    history = [
        command("a", (0, 1), "done", 0, 5),
        command("b", (2, 4), "done", 5, 7),
        command("c", (2, 4), "done", 5, 8),
    ]
    assert not is_linearizable(history)


def test_a_refusal_without_a_reason_is_not_linearizable() -> None:
    history = [command("a", (0, 1), "done", 0, 5), command("b", (2, 3), "refused", 5)]
    assert not is_linearizable(history)


def test_a_lost_write_is_not_linearizable() -> None:
    history = [command("a", (0, 1), "done", 0, 5), command("b", (2, 3), "done", 0, 6)]
    assert not is_linearizable(history)


def test_a_command_without_answer_may_explain_a_later_refusal() -> None:
    history = [
        command("a", (0, 1), "done", 0, 5),
        command("b", (2, math.inf), "unknown", 5),
        command("c", (3, 4), "refused", 5),
    ]
    assert is_linearizable(history)


def test_a_command_without_answer_can_not_act_before_it_was_sent() -> None:
    history = [
        command("a", (0, 1), "done", 0, 5),
        command("c", (2, 3), "refused", 5),
        command("b", (4, math.inf), "unknown", 5),
    ]
    assert not is_linearizable(history)


def test_a_deletion_makes_room_for_a_new_creation() -> None:
    deletion = RegisterCommand(
        command_id="d",
        deletes=True,
        expected_revision=5,
        sent_at=2,
        ended_at=3,
        outcome="done",
        revision=6,
    )
    creations = [command("a", (0, 1), "done", 0, 5), command("b", (4, 5), "done", 0, 7)]
    assert is_linearizable([*creations, deletion])
    assert not is_linearizable(creations)


def test_a_command_that_changes_nothing_keeps_the_revision() -> None:
    history = [
        command("a", (0, 1), "done", 0, 5),
        command("b", (2, 3), "done", 5, 5),
        command("c", (2, 4), "done", 5, 9),
    ]
    assert is_linearizable(history)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 3), st.floats(0.01, 3.0)), min_size=1, max_size=8))
def test_histories_of_a_real_register_are_linearizable(
    steps: list[tuple[int, float]],
) -> None:
    """Each command takes effect at its own moment; its answer comes later, so they overlap."""
    history = []
    value = 0
    for index, (expected_back, delay) in enumerate(steps):
        expected = max(0, value - expected_back)
        done = expected == value
        revision = index + 1
        history.append(
            command(
                f"c{index}",
                (index - delay, index + delay),
                "done" if done else "refused",
                expected,
                revision if done else 0,
            )
        )
        value = revision if done else value
    assert is_linearizable(history)
