"""A short run with real processes: nothing is lost. Times are the command's business."""

from pathlib import Path

from tests.failover.trial import FaultKind, Trial, TrialPlan


def test_leaders_are_struck_and_nothing_is_lost(tmp_path: Path) -> None:
    said: list[str] = []
    result = Trial(TrialPlan(failovers=1, writers=2), tmp_path, said.append).run()
    assert [one.kind for one in result.failovers] == [FaultKind.KILL, FaultKind.FREEZE]
    assert all(one.successor not in ("", one.struck) for one in result.failovers)
    assert all(one.successor_term > one.term for one in result.failovers)
    assert result.audit.passed
    assert result.audit.accepted > 0
    assert len(said) == 2
