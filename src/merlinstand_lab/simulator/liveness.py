"""Liveness: some time after the last fault healed, everything is whole by itself.

Read from the records of outsiders, and from what daemons say on the wire.
"""

from collections.abc import Iterator
from typing import TypeVar

from merlinstand_lab.records.kinds import (
    ActivationRecord,
    CallerOutcome,
    CallerRecord,
    OperatorRecord,
    StepRecord,
    StoreRecord,
)
from merlinstand_lab.simulator.assembly import Assembly
from merlinstand_lab.simulator.deployment import Parts
from merlinstand_lab.simulator.observers import ProtocolObservers, Violation
from merlinstand_lab.simulator.plan import Plan

LONGEST_COMMAND_SECONDS = 3.0
"""A healthy group answers every command within this."""
STEPS_AFTER_RECOVERY = 2
"""Steps that each trainer makes at least after the recovery's bound."""
ROLLOUT_SECONDS = 20.0
"""A published version is served by every engine within this."""
CONFIGURATION_SECONDS = 5.0
"""A change is in force everywhere within this."""

RecordKind = TypeVar("RecordKind")


class LivenessCheck:
    """Judges one finished run."""

    name = "liveness"

    def __init__(self, assembly: Assembly, plan: Plan, observers: ProtocolObservers) -> None:
        """Keep what there is to read."""
        self._assembly = assembly
        self._simulation = assembly.simulation
        self._plan = plan
        self._observers = observers
        self._violations: list[Violation] = []
        self._end = plan.duration_seconds()
        self._recovered_at = plan.recovered_at()

    def violations(self) -> list[Violation]:
        """Check everything that the plan's parts promise."""
        self._check_processes()
        if self._plan.writes is not None:
            self._check_operators()
        if self._plan.parts_with_daemons():
            self._check_configuration()
        if self._plan.fleet.parts is Parts.WHOLE:
            self._check_trainers()
            self._check_callers()
            self._check_engines()
        return self._violations

    def _report(self, detail: str) -> None:
        self._violations.append(Violation(self.name, self._end, detail))

    def _records(self, stream: str, kind: type[RecordKind]) -> Iterator[RecordKind]:
        for name, records in self._simulation.records.items():
            if name.split("-", 1)[0] == stream:
                for record in records:
                    if isinstance(record, kind):
                        yield record

    def _check_processes(self) -> None:
        for node, process in self._simulation.processes.items():
            if node == self._assembly.places.callers.node_id:
                continue
            if not process.running or process.frozen:
                self._report(f"{node} does not run at the end")

    def _check_operators(self) -> None:
        answered = 0
        for record in self._records("operators", OperatorRecord):
            if record.ended_at is None:
                if record.sent_at > self._plan.healed_at():
                    self._report(f"command {record.command_id} was never answered")
            elif record.sent_at >= self._recovered_at:
                answered += 1
                if record.ended_at - record.sent_at > LONGEST_COMMAND_SECONDS:
                    took = record.ended_at - record.sent_at
                    self._report(f"command {record.command_id} took {took:.1f} s")
        if answered == 0:
            self._report("no command was answered after recovery")

    def _check_configuration(self) -> None:
        due_at = self._end - CONFIGURATION_SECONDS
        latest = self._observers.configuration.latest_revision(due_at)
        places = self._assembly.places
        daemons = places.sessions
        if self._plan.fleet.parts is Parts.WHOLE:
            daemons = places.gateways + places.coordinators
        for place in daemons:
            have = self._observers.configuration.latest_by_node.get(place.node_id, 0)
            if have < latest:
                self._report(f"{place.node_id} has revision {have}, {latest} is older than 5 s")

    def _check_trainers(self) -> None:
        for place in self._assembly.places.trainers:
            steps = [
                step
                for step in self._records("idle", StepRecord)
                if step.consumer == place.node_id and step.received_at >= self._recovered_at - 10.0
            ]
            if len(steps) < STEPS_AFTER_RECOVERY:
                self._report(f"{place.node_id} made {len(steps)} steps after recovery")

    def _check_callers(self) -> None:
        answered = 0
        for record in self._records("callers", CallerRecord):
            if record.sent_at < self._recovered_at:
                continue
            if record.outcome is CallerOutcome.ANSWER:
                answered += 1
            elif record.kind == "lookup":
                self._report(
                    f"lookup {record.request_id} ended {record.outcome.value} "
                    f"({record.status} {record.reason}) after recovery"
                )
        if answered == 0:
            self._report("no caller was answered after recovery")

    def _check_engines(self) -> None:
        published = [
            record.version
            for record in self._records("store", StoreRecord)
            if record.published_at <= self._end - ROLLOUT_SECONDS
        ]
        newest = max(published, default=0)
        active: dict[str, int] = {}
        for record in self._records("versions", ActivationRecord):
            active[record.backend_id] = record.version
        for place in self._assembly.places.engines:
            if active.get(place.node_id, 0) < newest:
                self._report(
                    f"{place.node_id} serves version {active.get(place.node_id)}, "
                    f"{newest} was published {ROLLOUT_SECONDS:.0f} s ago"
                )
