"""Checkers of what lease workers did, in true time."""

from collections.abc import Sequence

from merlinstand.common.constants import CONFIGURATION_LEASE_SECONDS, MAXIMUM_CLOCK_DRIFT
from merlinstand_lab.records.kinds import OperatorRecord
from merlinstand_lab.simulator.lease_worker import ActRecord
from merlinstand_lab.simulator.observers import Violation

LEASE_CHECKER = "lease-exclusive"
STALE_CHECKER = "no-work-under-replaced-configuration"
STALE_BOUND_SECONDS = CONFIGURATION_LEASE_SECONDS * (1.0 + 2 * MAXIMUM_CLOCK_DRIFT) + 1.0
"""Longest time that work may still be taken under a configuration that was replaced.

One configuration lease at the slowest clock, plus the age that the proof may have when it
reaches the daemon.
"""

TimedAct = tuple[float, ActRecord]


def check_leases(acts: Sequence[TimedAct]) -> list[Violation]:
    """Report two holders of an epoch, or a holder that acts after its successor."""
    violations: list[Violation] = []
    holders: dict[tuple[str, int], str] = {}
    newest: dict[str, int] = {}
    for time, act in acts:
        if act.epoch == 0:
            continue
        holder = holders.setdefault((act.resource, act.epoch), act.node_id)
        if holder != act.node_id:
            detail = f"{act.resource} epoch {act.epoch} is used by {holder} and {act.node_id}"
            violations.append(Violation(LEASE_CHECKER, time, detail))
        if act.epoch < newest.get(act.resource, 0):
            detail = (
                f"{act.node_id} acts for {act.resource} under epoch {act.epoch}, "
                f"epoch {newest[act.resource]} acted before"
            )
            violations.append(Violation(LEASE_CHECKER, time, detail))
        newest[act.resource] = max(newest.get(act.resource, 0), act.epoch)
    return violations


def check_work(acts: Sequence[TimedAct], operators: Sequence[OperatorRecord]) -> list[Violation]:
    """Report work taken under a configuration that was replaced too long ago."""
    accepted = sorted(
        (record.ended_at, record.revision)
        for record in operators
        if record.outcome == "done" and record.ended_at is not None
    )
    violations: list[Violation] = []
    due_revision = 0
    position = 0
    for time, act in acts:
        while position < len(accepted) and accepted[position][0] < time - STALE_BOUND_SECONDS:
            due_revision = max(due_revision, accepted[position][1])
            position += 1
        if 0 <= act.revision < due_revision:
            detail = (
                f"{act.node_id} takes work under revision {act.revision}, "
                f"{due_revision} was accepted {STALE_BOUND_SECONDS:.1f} s ago"
            )
            violations.append(Violation(STALE_CHECKER, time, detail))
    return violations
