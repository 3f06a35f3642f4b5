"""The audit detects each kind of wrong result of a failover run."""

from tests.failover.audit import audit
from tests.failover.history import Accepted, History, Refusal, Repeat


def _history() -> History:
    history = History()
    history.accepted = [Accepted("w-1", 10, 1.0, 1.1), Accepted("w-2", 11, 2.0, 2.1)]
    return history


def test_run_without_errors_passes() -> None:
    history = _history()
    history.repeats.append(Repeat("w-1", 10, 10))
    found = audit(history, {"limits/w-1": 10, "limits/w-2": 11})
    assert found.passed
    assert (found.accepted, found.repeated) == (2, 1)


def test_missing_accepted_write_is_reported_as_lost() -> None:
    found = audit(_history(), {"limits/w-1": 10})
    assert found.lost == ("limits/w-2",)
    assert not found.passed


def test_different_revision_is_reported_as_applied_twice() -> None:
    found = audit(_history(), {"limits/w-1": 10, "limits/w-2": 15})
    assert found.applied_twice == ("limits/w-2",)


def test_repeat_with_different_revision_is_reported_as_applied_twice() -> None:
    history = _history()
    history.repeats.append(Repeat("w-2", 11, 15))
    found = audit(history, {"limits/w-1": 10, "limits/w-2": 11})
    assert found.applied_twice == ("limits/w-2",)


def test_refused_write_is_reported_as_applied_twice() -> None:
    history = _history()
    history.refusals.append(Refusal("w-3", 409, "exists"))
    found = audit(history, {"limits/w-1": 10, "limits/w-2": 11, "limits/w-3": 12})
    assert found.applied_twice == ("limits/w-3",)
    assert not found.unknown


def test_unresolved_write_may_be_present_or_missing() -> None:
    history = _history()
    history.unresolved.append("w-3")
    both = {"limits/w-1": 10, "limits/w-2": 11}
    assert audit(history, both).passed
    assert audit(history, {**both, "limits/w-3": 12}).passed


def test_unknown_object_is_reported() -> None:
    found = audit(_history(), {"limits/w-1": 10, "limits/w-2": 11, "limits/x": 12})
    assert found.unknown == ("limits/x",)
    assert not found.passed
