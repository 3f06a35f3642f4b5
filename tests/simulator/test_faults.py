"""Fault schedules: plans from seeds, the injector, and shrinking."""

import msgspec
import pytest

from merlinstand_lab.records.kinds import FaultRecord, StopRecord
from merlinstand_lab.simulator import faults as ft
from merlinstand_lab.simulator.deployment import FleetPlan
from merlinstand_lab.simulator.injector import FaultInjector
from merlinstand_lab.simulator.observers import Violation
from merlinstand_lab.simulator.plan import Plan
from merlinstand_lab.simulator.runner import RunResult
from merlinstand_lab.simulator.scenario import all_scenarios
from merlinstand_lab.simulator.shrink import shrink
from merlinstand_lab.simulator.simulation import Simulation
from merlinstand_lab.simulator.topology import VITRINA
from tests.simulator.test_host import add, ping_pair
from tests.simulator.toys import Echo, Leaver


def injector(simulation: Simulation, leader: str = "pinger") -> FaultInjector:
    return FaultInjector(simulation, lambda: leader, ("pinger", "echo"))


@pytest.mark.parametrize("name", sorted(all_scenarios()))
def test_a_seed_gives_the_same_plan_and_survives_json(name: str) -> None:
    scenario = all_scenarios()[name]
    assert scenario.plan(7) == scenario.plan(7)
    assert scenario.description
    faults = scenario.plan(7).faults
    decoded = msgspec.json.decode(msgspec.json.encode(faults), type=tuple[ft.AnyFault, ...])
    assert decoded == faults


def test_isolate_cuts_one_direction_and_heals() -> None:
    simulation, pinger, echo = ping_pair()
    fault = ft.Isolate(at=0.25, node="pinger", seconds=0.5, inward=False)
    injector(simulation).schedule((fault,))
    simulation.run_until(1.05)
    assert pinger.sent == 10
    assert echo.seen == [1, 2, 8, 9, 10]


def test_overlapping_cuts_heal_when_the_last_one_ends() -> None:
    simulation, _pinger, echo = ping_pair()
    faults = (
        ft.Isolate(at=0.25, node="pinger", seconds=0.5),
        ft.CutZone(at=0.35, zones=("hall-b",), seconds=0.5),
    )
    injector(simulation).schedule(faults)
    simulation.run_until(1.05)
    assert echo.seen == [1, 2, 9, 10]


def test_the_leader_is_found_when_the_fault_strikes() -> None:
    simulation, pinger, _echo = ping_pair()
    kill = ft.Kill(at=0.25, node=ft.LEADER, down_seconds=100.0)
    injector(simulation).schedule((kill,))
    simulation.run_until(1.0)
    assert not simulation.processes["pinger"].running
    assert pinger.sent == 2
    (record,) = simulation.records["faults"]
    assert isinstance(record, FaultRecord)
    assert record.target == "pinger"


def test_a_killed_process_starts_again() -> None:
    simulation, _pinger, _echo = ping_pair()
    kill = ft.Kill(at=0.25, node="echo", after_effects=3, down_seconds=0.3)
    injector(simulation).schedule((kill,))
    simulation.run_until(1.05)
    assert simulation.processes["echo"].running
    assert simulation.processes["echo"].life == 3


def test_a_process_that_ignores_a_planned_stop_is_recorded_as_unclean() -> None:
    simulation, _pinger, _echo = ping_pair()
    stop = ft.PlannedStop(at=0.25, node="echo", longest_drain_seconds=0.4)
    injector(simulation).schedule((stop,))
    simulation.run_until(5.0)
    (record,) = simulation.records["stops"]
    assert isinstance(record, StopRecord)
    assert record.exit_code == -9
    assert simulation.processes["echo"].running


def test_a_process_that_stops_at_once_is_down_only_as_long_as_planned() -> None:
    simulation = Simulation(1, VITRINA)
    process = add(simulation, "leaver", Leaver())
    stop = ft.PlannedStop(at=0.25, node="leaver", down_seconds=0.5)
    injector(simulation).schedule((stop,))
    simulation.run_until(1.0)
    assert process.running
    (record,) = simulation.records["stops"]
    assert isinstance(record, StopRecord)
    assert record.ended_at == record.requested_at
    assert record.exit_code == 0


def test_a_frozen_echo_is_not_two_echoes() -> None:
    simulation, _pinger, _echo = ping_pair()
    faults = tuple(ft.Freeze(at=0.25 + n * 0.1, node="echo", seconds=0.5) for n in range(2))
    injector(simulation).schedule(faults)
    simulation.run_until(2.0)
    assert isinstance(simulation.processes["echo"].reducer, Echo)
    assert not simulation.processes["echo"].frozen


def result(failing: bool) -> RunResult:
    violations = [Violation("toy", 0.0, "broken")] if failing else []
    return RunResult(
        violations=violations,
        checked={},
        digest="",
        virtual_seconds=1.0,
        real_seconds=1.0,
        events=0,
        messages=0,
    )


def test_shrinking_keeps_only_the_faults_that_matter() -> None:
    faults = tuple(ft.Freeze(at=float(n), node=f"node-{n}", seconds=1.0) for n in range(8))
    plan = Plan(fleet=FleetPlan(), faults=faults)

    def execute(smaller: Plan, seed: int) -> RunResult:
        nodes = {getattr(fault, "node", "") for fault in smaller.faults}
        return result({"node-2", "node-5"} <= nodes)

    shrunk = shrink(plan, 1, result(True), execute)
    assert [fault.at for fault in shrunk.plan.faults] == [2.0, 5.0]
    assert shrunk.plan.duration_seconds() == plan.duration_seconds()
