"""Time from an accepted change of configuration until it is in force at every daemon."""

import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from merlinstand.configuration.objects import Limits
from merlinstand_lab.capacity.deployment import Deployment, DeploymentSize
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.slopes import percentile
from merlinstand_lab.capacity.window import Subject

DAEMONS = (70, 160, 320, 630)
CHANGES = 20
FROZEN_CHANGES = 6
CHANGE_INTERVAL_SECONDS = 1.3
IN_FORCE_TIMEOUT_SECONDS = 60.0


class SpreadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """How the spread is measured."""

    replicas: int = 7
    daemons: Sequence[int] = DAEMONS
    changes: int = CHANGES
    frozen_changes: int = FROZEN_CHANGES


def measure_spread(folder: Path, plan: SpreadPlan) -> Iterator[Measured]:
    """Measure with all replicas well, with a follower frozen and with the leader frozen."""
    for count in plan.daemons:
        size = DeploymentSize(replicas=plan.replicas, daemons=count, servers=count * 5)
        with Deployment(size, folder / f"spread-{count}") as deployment:
            subject = Subject(f"spread-{plan.replicas}-replicas", "daemons", count)
            yield from _rows(subject, "in_force", _make_changes(deployment, plan.changes))
            yield from _measure_frozen(deployment, subject, plan, leader=False)
            yield from _measure_frozen(deployment, subject, plan, leader=True)


def _measure_frozen(
    deployment: Deployment, subject: Subject, plan: SpreadPlan, leader: bool
) -> list[Measured]:
    """Freeze one replica, make changes at once, thaw it and let the group settle."""
    control = deployment.control
    frozen = control.leader_id() if leader else control.followers()[0]
    metric = "in_force_leader_frozen" if leader else "in_force_follower_frozen"
    control.workers[frozen].freeze()
    try:
        elapsed = _make_changes(deployment, plan.frozen_changes)
    finally:
        control.workers[frozen].thaw()
    return _rows(subject, metric, elapsed)


def _make_changes(deployment: Deployment, changes: int) -> list[float]:
    """Return, for every change and daemon, the time from the operator's request.

    The time includes acceptance: with a frozen leader the first change waits for a new one.
    """
    elapsed: list[float] = []
    for number in range(changes):
        begun = time.monotonic()
        limits = Limits(caller="web", requests_per_second=100.0 + number + begun % 1)
        answer = deployment.control.operator.put("limits/web", limits)
        if not deployment.fleet.wait_revision(answer.revision, IN_FORCE_TIMEOUT_SECONDS):
            raise TimeoutError(f"revision {answer.revision} is not in force everywhere")
        elapsed += deployment.fleet.in_force_seconds(answer.revision, begun)
        time.sleep(max(0.0, CHANGE_INTERVAL_SECONDS - (time.monotonic() - begun)))
    return elapsed


def _rows(subject: Subject, metric: str, elapsed: list[float]) -> list[Measured]:
    return [
        subject.row("daemon", f"{metric}_p50_seconds", percentile(elapsed, 0.5)),
        subject.row("daemon", f"{metric}_p99_seconds", percentile(elapsed, 0.99)),
        subject.row("daemon", f"{metric}_max_seconds", max(elapsed)),
    ]
