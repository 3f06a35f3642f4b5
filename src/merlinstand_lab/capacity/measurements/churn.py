"""A day's failures and restarts compressed into minutes."""

import random
import time
from pathlib import Path

import msgspec

from merlinstand.configuration.objects import Limits
from merlinstand_lab.capacity.control_group import ControlGroup
from merlinstand_lab.capacity.deployment import Deployment, DeploymentSize
from merlinstand_lab.capacity.fleet import HollowFleet
from merlinstand_lab.capacity.process_sampling import ProcessUse, cost_between
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.slopes import percentile
from merlinstand_lab.capacity.targets import TARGET
from merlinstand_lab.capacity.window import ROLE_LEADER, Subject
from merlinstand_lab.capacity.worker_spec import Kill, Start

SEED = 1
RESTART_SECONDS = 1.0
REPLACEMENT_SECONDS = 20.0
"""A failed machine is replaced by a blank one after this time."""
CONTROL_DOWN_SECONDS = 15.0
CHANGE_EVERY_SECONDS = 5.0
HEAL_TIMEOUT_SECONDS = 120.0


class ChurnPlan(msgspec.Struct, frozen=True, kw_only=True):
    """How much happens in how long."""

    daemons: int = TARGET.daemons
    replicas: int = TARGET.control_machines
    failures: int = TARGET.machine_failures_per_day
    restarts: int = TARGET.machine_restarts_per_day
    seconds: float = 180.0


class Incident(msgspec.Struct, frozen=True, order=True):
    """One node goes down or comes back."""

    at_seconds: float
    node_id: str
    up: bool
    blank: bool = False


def measure_churn(folder: Path, plan: ChurnPlan) -> list[Measured]:
    """Let machines fail and restart, one leader among them, and measure the return of each."""
    size = DeploymentSize(replicas=plan.replicas, daemons=plan.daemons, servers=plan.daemons * 5)
    subject = Subject("churn", "daemons", plan.daemons)
    with Deployment(size, folder / "churn") as deployment:
        run = _ChurnRun(deployment, plan)
        begun, uses = time.monotonic(), _uses(deployment.control)
        run.play()
        elapsed = time.monotonic() - begun
        after = _uses(deployment.control)
        shares = [
            cost_between(use, after[name], elapsed).core_share
            for name, use in uses.items()
            if name in after and after[name].cpu_seconds >= use.cpu_seconds
        ]
        healed = run.heal_seconds()
        rows = [
            subject.row("churn", "incidents", float(run.incidents), elapsed),
            subject.row("churn", "healed_after_last_incident_seconds", healed),
            subject.row("churn", "changes_in_force", float(run.changes), elapsed),
            subject.row(ROLE_LEADER, "busiest_replica_core_share", max(shares), elapsed),
        ]
        for name, values in (
            ("back_after_start", run.back_seconds()),
            ("change_accepted", run.accepted_seconds),
        ):
            for share in (0.5, 0.99, 1.0):
                metric = f"{name}_p{share * 100:g}_seconds"
                rows.append(subject.row("daemon", metric, percentile(values, share)))
        return rows


def plan_incidents(node_ids: list[str], plan: ChurnPlan, seed: int = SEED) -> list[Incident]:
    """Spread failures and restarts over the time; a node is never down twice at once."""
    generator = random.Random(seed)
    kinds = [True] * plan.failures + [False] * plan.restarts
    generator.shuffle(kinds)
    free_at = dict.fromkeys(node_ids, 0.0)
    incidents: list[Incident] = []
    for number, failure in enumerate(kinds):
        at_seconds = plan.seconds * number / len(kinds)
        candidates = [node_id for node_id in node_ids if free_at[node_id] <= at_seconds]
        node_id = generator.choice(candidates)
        back_at = at_seconds + (REPLACEMENT_SECONDS if failure else RESTART_SECONDS)
        free_at[node_id] = back_at + RESTART_SECONDS
        incidents.append(Incident(at_seconds, node_id, False))
        incidents.append(Incident(back_at, node_id, True, failure))
    return sorted(incidents)


class _ChurnRun:
    """Plays the incidents against a deployment."""

    def __init__(self, deployment: Deployment, plan: ChurnPlan) -> None:
        self._fleet: HollowFleet = deployment.fleet
        self._control: ControlGroup = deployment.control
        self._plan = plan
        self._schedule = plan_incidents(self._fleet.node_ids, plan)
        self._started_at: list[tuple[str, float]] = []
        self._last_revision = 0
        self._control_down = ""
        self.incidents = 0
        self.changes = 0
        self.accepted_seconds: list[float] = []

    def play(self) -> None:
        """Run the schedule; the leader dies at a third of it and returns later."""
        begun = time.monotonic()
        next_change = 0.0
        for incident in self._schedule:
            now = time.monotonic() - begun
            if now < incident.at_seconds:
                time.sleep(incident.at_seconds - now)
            self._perform(incident)
            self._fail_leader(time.monotonic() - begun)
            if time.monotonic() - begun >= next_change:
                next_change = time.monotonic() - begun + CHANGE_EVERY_SECONDS
                self._change()
        if self._control_down:
            self._control.restart(self._control_down)

    def heal_seconds(self) -> float:
        """Return how long after the last incident everything is whole again."""
        begun = time.monotonic()
        if not self._fleet.wait_joined(self._last_revision, HEAL_TIMEOUT_SECONDS):
            raise TimeoutError("not all daemons came back")
        return time.monotonic() - begun

    def back_seconds(self) -> list[float]:
        """Return, for every start, the time until a configuration was in force."""
        self._fleet.reports()
        seen: dict[str, list[float]] = {}
        for entry in self._fleet.seen:
            seen.setdefault(entry.node_id, []).append(entry.at_seconds)
        return [
            min(at for at in seen[node_id] if at >= started) - started
            for node_id, started in self._started_at
        ]

    def _perform(self, incident: Incident) -> None:
        self.incidents += 1
        if not incident.up:
            self._fleet.order_nodes(Kill, [incident.node_id])
            return
        self._started_at.append((incident.node_id, time.monotonic()))
        blank = incident.blank
        self._fleet.order_nodes(lambda nodes: Start(nodes, blank), [incident.node_id])

    def _fail_leader(self, now: float) -> None:
        third = self._plan.seconds / 3
        if not self._control_down and third <= now < third + CONTROL_DOWN_SECONDS:
            self._control_down = self._control.leader_id()
            self._control.workers[self._control_down].kill()
        elif self._control_down and now >= third + CONTROL_DOWN_SECONDS:
            self._control.restart(self._control_down)
            self._control_down = ""

    def _change(self) -> None:
        self.changes += 1
        begun = time.monotonic()
        limits = Limits(caller="web", requests_per_second=100.0 + self.changes)
        answer = self._control.operator.put("limits/web", limits)
        self.accepted_seconds.append(answer.accepted_at - begun)
        self._last_revision = answer.revision


def _uses(control: ControlGroup) -> dict[str, ProcessUse]:
    return {name: worker.use() for name, worker in control.workers.items()}
