"""Runs one plan and judges it."""

import time
from typing import cast

import msgspec

from merlinstand_lab.checkers.limits import CheckLimits
from merlinstand_lab.checkers.verify import verify_records
from merlinstand_lab.records.kinds import STREAM_TYPES, OperatorRecord, Record, RunRecord
from merlinstand_lab.records.record_set import RecordSet
from merlinstand_lab.simulator.act_checkers import (
    LEASE_CHECKER,
    STALE_CHECKER,
    check_leases,
    check_work,
)
from merlinstand_lab.simulator.assembly import Assembly
from merlinstand_lab.simulator.deployment import OPERATOR_TOKEN, FleetPlan, Parts, lay_out
from merlinstand_lab.simulator.injector import FaultInjector
from merlinstand_lab.simulator.lease_worker import ACT_STREAM, ActRecord
from merlinstand_lab.simulator.liveness import LivenessCheck
from merlinstand_lab.simulator.observers import ProtocolObservers, Violation
from merlinstand_lab.simulator.operator_settings import OperatorSettings
from merlinstand_lab.simulator.plan import Plan
from merlinstand_lab.simulator.simulation import Simulation
from merlinstand_lab.simulator.trace import TraceLevel
from merlinstand_lab.simulator.whole_fleet import add_whole_fleet, configuration_script

CONFIGURE_AT_SECONDS = 1.0
"""Seconds of virtual time; chosen, not measured."""
CALLERS_STOP_SECONDS = 7.0
"""Callers stop this long before the end: their longest deadline and a margin."""
OPERATOR_CHECKERS = frozenset({"commands-linearizable"})


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """What came of one run."""

    violations: list[Violation]
    checked: dict[str, int]
    """How many times each checker had something to judge."""
    digest: str
    """Digest of the trace, or of nothing if the run was not traced."""
    virtual_seconds: float
    real_seconds: float
    events: int
    messages: int
    lines: list[str] = []
    """The trace, if its text was asked for."""

    @property
    def passed(self) -> bool:
        """Whether no promise was broken."""
        return not self.violations


class Run:
    """One simulated deployment with its observers."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        trace_level: TraceLevel = TraceLevel.NONE,
        encode_messages: bool = False,
    ) -> None:
        """Set everything up; nothing happens yet."""
        self.plan = plan
        self.simulation = Simulation(seed, plan.fleet.sizes.topology, trace_level, encode_messages)
        self.observers = ProtocolObservers()
        self.simulation.network.observers.extend(self.observers.all)
        self.assembly: Assembly = assemble(
            self.simulation, plan.fleet, self._operator_settings(plan)
        )
        machine_list = (
            self.assembly.places.machine_list.node_id if plan.fleet.parts is Parts.WHOLE else ""
        )
        self.injector = FaultInjector(
            self.simulation,
            lambda: self.observers.election.leader,
            tuple(place.node_id for place in self.assembly.places.controls),
            machine_list,
        )
        self.injector.schedule(plan.faults)
        if plan.fleet.parts is Parts.WHOLE:
            # Callers end first, so that no request is in flight when the run is judged.
            callers = self.simulation.processes[self.assembly.places.callers.node_id]
            stop_at = plan.duration_seconds() - CALLERS_STOP_SECONDS
            self.simulation.clock.call_at(stop_at, callers.request_stop)

    @staticmethod
    def _operator_settings(plan: Plan) -> OperatorSettings:
        places = lay_out(plan.fleet)
        script = plan.script
        if plan.fleet.parts is Parts.WHOLE:
            script = configuration_script(plan.fleet, places, CONFIGURE_AT_SECONDS) + script
        return OperatorSettings(
            controls=tuple(place.http_address for place in places.controls + places.standbys),
            token=OPERATOR_TOKEN,
            script=script,
            writes=plan.writes,
        )

    def execute(self) -> RunResult:
        """Run to the end and judge."""
        began = time.perf_counter()
        end = self.plan.duration_seconds()
        self.simulation.run_until(end)
        real_seconds = time.perf_counter() - began
        violations, checked = self._judge(end)
        return RunResult(
            violations=violations,
            checked=checked,
            digest=self.simulation.trace.digest(),
            virtual_seconds=end,
            real_seconds=real_seconds,
            events=sum(process.events_handled for process in self.simulation.processes.values()),
            messages=self.simulation.network.messages_sent,
            lines=self.simulation.trace.lines,
        )

    def _judge(self, end: float) -> tuple[list[Violation], dict[str, int]]:
        violations = [
            Violation("no-exception", failure.time, f"{failure.node_id}: {failure.description}")
            for failure in self.simulation.failures
        ]
        violations.extend(self.observers.violations())
        checked = {observer.name: observer.checked for observer in self.observers.all}
        self._check_records(violations, checked, end)
        self._check_acts(violations, checked)
        violations.extend(LivenessCheck(self.assembly, self.plan, self.observers).violations())
        checked[LivenessCheck.name] = 1
        return violations, checked

    def _check_records(
        self, violations: list[Violation], checked: dict[str, int], end: float
    ) -> None:
        limits = CheckLimits(liveness_seconds=self.plan.recovery_seconds)
        for promise in verify_records(self.record_set(end), limits).promises:
            # Without callers, trainers and back ends only the operators have records.
            if self.plan.fleet.parts is not Parts.WHOLE and promise.name not in OPERATOR_CHECKERS:
                continue
            checked[promise.name] = promise.checked
            for violation in promise.violations:
                violations.append(Violation(promise.name, end, str(violation)))

    def _check_acts(self, violations: list[Violation], checked: dict[str, int]) -> None:
        records = self.simulation.records.get(ACT_STREAM, [])
        times = self.simulation.record_times.get(ACT_STREAM, [])
        acts = [
            (time, record)
            for time, record in zip(times, records, strict=True)
            if isinstance(record, ActRecord)
        ]
        operators = [
            record
            for record in self.simulation.records.get("operators", [])
            if isinstance(record, OperatorRecord)
        ]
        violations.extend(check_leases(acts))
        violations.extend(check_work(acts, operators))
        checked[LEASE_CHECKER] = sum(1 for _, act in acts if act.epoch)
        checked[STALE_CHECKER] = sum(1 for _, act in acts if act.revision >= 0)

    def record_set(self, end: float) -> RecordSet:
        """Return the records of outsiders as the checkers read them."""
        records = RecordSet()
        places = self.assembly.places
        consumers = [place.node_id for place in places.trainers]
        if self.plan.fleet.parts is Parts.WHOLE:
            records.add(
                "run",
                RunRecord(
                    name="simulation",
                    started_at=0.0,
                    ended_at=end,
                    minimum_steps=0,
                    consumers=consumers,
                    backend_addresses={
                        place.node_id: place.http_address
                        for place in places.engines + places.services
                    },
                ),
            )
        for stream, items in self.simulation.records.items():
            if stream.split("-", 1)[0] in STREAM_TYPES:
                for item in items:
                    records.add(stream, cast(Record, item))
        return records


def assemble(simulation: Simulation, plan: FleetPlan, operators: OperatorSettings) -> Assembly:
    """Add everything a plan asks for.

    Returns:
        The assembly, for its places and names.
    """
    assembly = Assembly(simulation, plan)
    assembly.add_control_group()
    if plan.parts is Parts.SESSIONS:
        assembly.add_session_daemons()
    if plan.parts is Parts.WHOLE:
        add_whole_fleet(assembly)
    assembly.add_operators(operators)
    return assembly


def run_plan(
    plan: Plan,
    seed: int,
    trace_level: TraceLevel = TraceLevel.NONE,
    encode_messages: bool = False,
) -> RunResult:
    """Run a plan under a seed and judge it."""
    return Run(plan, seed, trace_level, encode_messages).execute()
