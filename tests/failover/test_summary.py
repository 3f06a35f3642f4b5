"""Times are summed up by kind, and one over the bound fails the run."""

import pytest

from merlinstand_lab.failover.audit import Audit, audit
from merlinstand_lab.failover.history import Accepted, History
from merlinstand_lab.failover.summary import passed, render, summarize
from merlinstand_lab.failover.trial import Failover, FaultKind, TrialPlan, TrialResult


def _audit() -> Audit:
    history = History()
    history.accepted.append(Accepted("w-1", 10, 1.0, 1.1))
    return audit(history, {"limits/w-1": 10})


def _result(*seconds: float | None, found: Audit | None = None) -> TrialResult:
    failovers = tuple(
        Failover(
            kind=FaultKind.KILL, struck="a", term=1, successor="b", successor_term=2, seconds=one
        )
        for one in seconds
    )
    plan = TrialPlan(kinds=(FaultKind.KILL,))
    return TrialResult(plan=plan, failovers=failovers, audit=found or _audit())


def test_quantiles_are_measured_values() -> None:
    (summary,) = summarize(_result(*[number / 10 for number in range(20, 0, -1)]))
    assert summary.count == 20
    assert summary.shortest_seconds == 0.1
    assert summary.median_seconds == 1.0
    assert summary.percentile_90_seconds == 1.8
    assert summary.longest_seconds == 2.0


@pytest.mark.parametrize(
    ("seconds", "expected"), [((1.0, 3.0), True), ((1.0, 3.01), False), ((1.0, None), False)]
)
def test_one_failover_over_the_bound_fails_the_run(
    seconds: tuple[float | None, ...], expected: bool
) -> None:
    assert passed(_result(*seconds)) is expected


def test_a_lost_write_fails_the_run_and_is_named() -> None:
    history = History()
    history.accepted.append(Accepted("w-1", 10, 1.0, 1.1))
    result = _result(1.0, found=audit(history, {}))
    assert not passed(result)
    assert "  lost: limits/w-1" in render(result)


def test_a_run_without_accepted_writes_shows_nothing() -> None:
    assert not passed(_result(1.0, found=audit(History(), {})))


def test_writes_are_found_by_when_they_were_sent() -> None:
    history = History()
    history.accepted = [
        Accepted("w-1", 10, 1.0, 1.1),
        # Sent to the old leader before the fault, answered after it.
        Accepted("w-2", 11, 1.9, 2.1),
        Accepted("w-3", 12, 3.0, 3.1),
    ]
    found = history.first_accepted_after(2.0)
    assert found is not None
    assert found.command_id == "w-3"
    assert history.first_accepted_after(3.05) is None
