"""Failover of real processes loses no accepted write; recovery times are not checked."""

from pathlib import Path

from tests.failover.trial import FaultKind, Trial, TrialPlan


def test_leader_faults_lose_no_accepted_write(tmp_path: Path) -> None:
    reports: list[str] = []
    result = Trial(TrialPlan(failovers=1, writers=2), tmp_path, reports.append).run()
    assert [one.kind for one in result.failovers] == [FaultKind.KILL, FaultKind.FREEZE]
    assert all(one.successor not in ("", one.struck) for one in result.failovers)
    assert all(one.successor_term > one.term for one in result.failovers)
    assert result.audit.passed
    assert result.audit.accepted > 0
    assert len(reports) == 2
