"""Brings faults about in a simulation and records them as an outsider would."""

from collections.abc import Callable
from typing import Any

import msgspec

from merlinstand.kernel.events import RequestReceived
from merlinstand_lab.records.kinds import FaultRecord, StopRecord
from merlinstand_lab.simulator import faults as ft
from merlinstand_lab.simulator.process import SimulatedProcess
from merlinstand_lab.simulator.simulation import Simulation
from merlinstand_lab.simulator.topology import CLIENT_ZONE
from merlinstand_lab.standins.endpoint import LabFault, LabLeave

STOP_POLL_SECONDS = 0.05
"""Seconds; chosen, not measured."""
FAULT_STREAM = "faults"
STOP_STREAM = "stops"


class FaultInjector:
    """Schedules a tuple of faults on a simulation's clock."""

    def __init__(
        self,
        simulation: Simulation,
        find_leader: Callable[[], str],
        control_nodes: tuple[str, ...],
        machine_list_node: str = "",
    ) -> None:
        """Create an injector.

        Args:
            simulation: Where to strike.
            find_leader: Tells the present leader of the control group, or an empty string.
            control_nodes: Candidates for `FOLLOWER`, and for `LEADER` when none is known.
            machine_list_node: The stand-in of the platform's machine list.
        """
        self._simulation = simulation
        self._clock = simulation.clock
        self._find_leader = find_leader
        self._control_nodes = control_nodes
        self._machine_list_node = machine_list_node
        self._random = simulation.random_for("injector")
        self._strikers: dict[type, Callable[[Any], None]] = {
            ft.Kill: self._kill,
            ft.Freeze: self._freeze,
            ft.Cut: self._cut,
            ft.Isolate: self._isolate,
            ft.CutZone: self._cut_zone,
            ft.Degrade: self._degrade,
            ft.SlowDisk: self._slow_disk,
            ft.LabFaultOrder: self._lab_fault,
            ft.MachineLeaving: self._machine_leaving,
            ft.PlannedStop: self._planned_stop,
        }

    def schedule(self, faults: tuple[ft.AnyFault, ...]) -> None:
        """Arrange for every fault to strike at its time."""
        for fault in faults:
            self._clock.call_at(fault.at, self._strike, fault)

    def _strike(self, fault: ft.AnyFault) -> None:
        if self._simulation.trace.enabled:
            self._simulation.trace.add(self._clock.now, "injector", "fault", fault)
        target = getattr(fault, "node", "")
        if target:
            fault = msgspec.structs.replace(fault, node=self._resolve(target))
        self._strikers[type(fault)](fault)
        if not isinstance(fault, ft.PlannedStop):
            # A planned stop is no fault: nothing may be excused by it.
            self._record(fault)

    def _record(self, fault: ft.AnyFault) -> None:
        kind = str(type(fault).__struct_config__.tag)
        target = getattr(fault, "node", "") or ",".join(
            getattr(fault, "zones", ()) or getattr(fault, "nodes", ())
        )
        record = FaultRecord(
            kind=kind, target=target, started_at=self._clock.now, healed_at=fault.healed_at()
        )
        self._simulation.write_record(FAULT_STREAM, record)

    def _resolve(self, target: str) -> str:
        if target not in (ft.LEADER, ft.FOLLOWER):
            return target
        leader = self._find_leader()
        if target == ft.LEADER and leader:
            return leader
        candidates = [
            node
            for node in self._control_nodes
            if node != leader and self._simulation.processes[node].running
        ]
        return self._random.choice(candidates or list(self._control_nodes))

    def _process(self, node: str) -> SimulatedProcess:
        return self._simulation.processes[node]

    # Kill, freeze, stop.

    def _kill(self, fault: ft.Kill) -> None:
        process = self._process(fault.node)
        if not process.running:
            if fault.lose_disk:
                process.disk.lose()
            return
        life = process.life

        def die() -> None:
            if process.life != life or not process.running:
                return
            process.kill(fault.power_loss, fault.lose_disk)
            self._clock.call_after(fault.down_seconds, self._simulation.start_if_down, process)

        if fault.after_effects == 0:
            die()
            return
        process.kill_within_reduce(fault.after_effects, die)
        self._clock.call_after(ft.ARMED_KILL_SECONDS, die)

    def _freeze(self, fault: ft.Freeze) -> None:
        process = self._process(fault.node)
        process.freeze()
        self._clock.call_after(fault.seconds, process.thaw)

    def _planned_stop(self, fault: ft.PlannedStop) -> None:
        process = self._process(fault.node)
        if process.running:
            # An idle process ends within the request itself: its life is read before.
            life = process.life
            process.request_stop()
            self._await_stop(fault, process, life, self._clock.now)

    def _await_stop(
        self, fault: ft.PlannedStop, process: SimulatedProcess, life: int, asked_at: float
    ) -> None:
        if process.life == life:
            if self._clock.now - asked_at < fault.longest_drain_seconds:
                self._clock.call_after(
                    STOP_POLL_SECONDS, self._await_stop, fault, process, life, asked_at
                )
                return
            # An operator who waited long enough kills it: recorded as an unclean stop.
            process.kill()
        ended_by_itself = process.exit_code is not None
        record = StopRecord(
            node_id=fault.node,
            role=fault.node.split("-", 1)[0],
            http_address=process.spec.http_address,
            requested_at=asked_at,
            ended_at=self._clock.now,
            exit_code=process.exit_code if ended_by_itself else -9,  # type: ignore[arg-type]
        )
        self._simulation.write_record(STOP_STREAM, record)
        self._clock.call_after(fault.down_seconds, self._simulation.start_if_down, process)

    # Network and disk.

    def _cut_for(self, seconds: float, sources: frozenset[str], others: frozenset[str]) -> None:
        self._simulation.network.cut(sources, others)
        self._clock.call_after(seconds, self._simulation.network.heal, sources, others)

    def _cut(self, fault: ft.Cut) -> None:
        sources, destinations = frozenset(fault.sources), frozenset(fault.destinations)
        self._cut_for(fault.seconds, sources, destinations)
        if fault.both_ways:
            self._cut_for(fault.seconds, destinations, sources)

    def _isolate(self, fault: ft.Isolate) -> None:
        inside = frozenset({fault.node})
        outside = frozenset(self._simulation.processes) - inside
        if fault.outward:
            self._cut_for(fault.seconds, inside, outside)
        if fault.inward:
            self._cut_for(fault.seconds, outside, inside)

    def _cut_zone(self, fault: ft.CutZone) -> None:
        inside, outside = set(), set()
        for node, process in self._simulation.processes.items():
            if process.zone in fault.zones:
                inside.add(node)
            elif not (fault.spare_clients and process.zone == CLIENT_ZONE):
                outside.add(node)
        self._cut_for(fault.seconds, frozenset(inside), frozenset(outside))
        self._cut_for(fault.seconds, frozenset(outside), frozenset(inside))

    def _degrade(self, fault: ft.Degrade) -> None:
        nodes = frozenset(fault.nodes)
        self._simulation.network.degrade(nodes, fault.quality)
        self._clock.call_after(
            fault.seconds, self._simulation.network.restore, nodes, fault.quality
        )

    def _slow_disk(self, fault: ft.SlowDisk) -> None:
        disk = self._process(fault.node).disk
        disk.slow_down(fault.factor)
        self._clock.call_after(fault.seconds, disk.speed_up, fault.factor)

    # Stand-ins.

    def _post(self, node: str, path: str, body: Any) -> None:
        process = self._process(node)
        process.deliver(
            RequestReceived(
                f"lab-{self._random.getrandbits(32)}",  # type: ignore[arg-type]
                "POST",
                path,
                {"content-type": "application/json"},
                msgspec.json.encode(body),
            )
        )

    def _lab_fault(self, fault: ft.LabFaultOrder) -> None:
        order = LabFault(kind=fault.kind, duration_seconds=fault.duration_seconds)
        self._post(fault.node, "/lab/faults", order)

    def _machine_leaving(self, fault: ft.MachineLeaving) -> None:
        node = self._machine_list_node
        self._post(node, "/lab/leave", LabLeave(leaving=True, address=fault.address))
        self._clock.call_after(
            fault.seconds,
            self._post,
            node,
            "/lab/leave",
            LabLeave(leaving=False, address=fault.address),
        )
