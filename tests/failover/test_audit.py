"""The audit of a failover run reports what was planted."""

from tests.failover.audit import audit
from tests.failover.history import Accepted, History, Refusal, Repeat


def _history() -> History:
    history = History()
    history.accepted = [Accepted("w-1", 10, 1.0, 1.1), Accepted("w-2", 11, 2.0, 2.1)]
    return history


def test_a_clean_run_passes() -> None:
    history = _history()
    history.repeats.append(Repeat("w-1", 10, 10))
    found = audit(history, {"limits/w-1": 10, "limits/w-2": 11})
    assert found.passed
    assert (found.accepted, found.repeated) == (2, 1)


def test_an_accepted_write_that_is_gone_is_lost() -> None:
    found = audit(_history(), {"limits/w-1": 10})
    assert found.lost == ("limits/w-2",)
    assert not found.passed


def test_another_revision_than_the_answered_one_is_a_second_application() -> None:
    found = audit(_history(), {"limits/w-1": 10, "limits/w-2": 15})
    assert found.applied_twice == ("limits/w-2",)


def test_a_repeat_with_another_answer_is_a_second_application() -> None:
    history = _history()
    history.repeats.append(Repeat("w-2", 11, 15))
    found = audit(history, {"limits/w-1": 10, "limits/w-2": 11})
    assert found.applied_twice == ("limits/w-2",)


def test_a_refused_write_was_taken_for_a_second_one() -> None:
    history = _history()
    history.refusals.append(Refusal("w-3", 409, "exists"))
    found = audit(history, {"limits/w-1": 10, "limits/w-2": 11, "limits/w-3": 12})
    assert found.applied_twice == ("limits/w-3",)
    assert not found.unknown


def test_an_unresolved_write_may_be_there_or_not() -> None:
    history = _history()
    history.unresolved.append("w-3")
    both = {"limits/w-1": 10, "limits/w-2": 11}
    assert audit(history, both).passed
    assert audit(history, {**both, "limits/w-3": 12}).passed


def test_an_object_that_nobody_wrote_is_reported() -> None:
    found = audit(_history(), {"limits/w-1": 10, "limits/w-2": 11, "limits/x": 12})
    assert found.unknown == ("limits/x",)
    assert not found.passed
