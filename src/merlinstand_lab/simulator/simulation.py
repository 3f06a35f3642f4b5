"""A whole simulated deployment: processes, network, records and what went wrong."""

import random
import traceback

from merlinstand.kernel import effects as fx
from merlinstand.kernel.reducer import Reducer
from merlinstand_lab.simulator.clock import VirtualClock
from merlinstand_lab.simulator.network import Network
from merlinstand_lab.simulator.process import SimulatedProcess
from merlinstand_lab.simulator.process_spec import ProcessSpec
from merlinstand_lab.simulator.topology import CLIENT_ZONE, Topology
from merlinstand_lab.simulator.trace import Trace, TraceLevel


class ReducerFailure:
    """An exception that escaped from a reducer: always a bug."""

    def __init__(self, time: float, node_id: str, description: str) -> None:
        self.time = time
        self.node_id = node_id
        self.description = description


class Simulation:
    """Runs processes on one virtual clock. The same seed gives the same run."""

    def __init__(
        self,
        seed: int,
        topology: Topology,
        trace_level: TraceLevel = TraceLevel.NONE,
        encode_messages: bool = False,
        keep_metrics: bool = False,
    ) -> None:
        """Create an empty deployment at time 0.

        Args:
            seed: Source of every random choice.
            topology: Zones and latencies.
            trace_level: How much to trace.
            encode_messages: Send messages through the wire codec (slower, same run).
            keep_metrics: Collect counters and gauges of every process.
        """
        self.seed = seed
        self.clock = VirtualClock()
        self.trace = Trace(trace_level)
        self.network = Network(self.clock, topology, self.random_for("network"), encode_messages)
        self.processes: dict[str, SimulatedProcess] = {}
        self.records: dict[str, list[object]] = {}
        """Records of outsiders by stream name, in the order written."""
        self.record_times: dict[str, list[float]] = {}
        """True time of each record, by stream."""
        self.failures: list[ReducerFailure] = []
        self.counters: dict[tuple[str, str, tuple[tuple[str, str], ...]], float] = {}
        self.gauges: dict[tuple[str, str, tuple[tuple[str, str], ...]], float] = {}
        self.undeliverable_count = 0
        self.stopped_nodes: list[tuple[float, str]] = []
        self._keep_metrics = keep_metrics
        self._by_address: dict[str, SimulatedProcess] = {}
        self._nowhere = SimulatedProcess(self, _nowhere_spec())

    def random_for(self, purpose: str) -> random.Random:
        """Return an independent random source; adding one does not disturb the others."""
        return random.Random(f"{self.seed}/{purpose}")

    def add_process(self, spec: ProcessSpec, start_at: float | None = 0.0) -> SimulatedProcess:
        """Add a machine; its process starts at a time, or by hand if that is None."""
        process = SimulatedProcess(self, spec)
        self.processes[spec.node_id] = process
        self._by_address[spec.http_address] = process
        if start_at is not None:
            self.clock.call_at(start_at, self.start_if_down, process)
        return process

    def start_if_down(self, process: SimulatedProcess) -> None:
        """Start a process unless it runs."""
        if not process.running:
            process.start()

    def process_at(self, address: str) -> SimulatedProcess:
        """Return the process that listens at an HTTP address, or one that never runs."""
        return self._by_address.get(address, self._nowhere)

    def run_until(self, time: float) -> None:
        """Run to a true time."""
        self.clock.run_until(time)

    def write_record(self, stream: str, record: object) -> None:
        """Keep one record of an outsider."""
        self.records.setdefault(stream, []).append(record)
        self.record_times.setdefault(stream, []).append(self.clock.now)

    def reducer_failed(self, process: SimulatedProcess, error: Exception) -> None:
        """Note an exception that escaped from a reducer and end the process."""
        description = "".join(traceback.format_exception(error))
        self.failures.append(ReducerFailure(self.clock.now, process.node_id, description))
        process.kill()

    def undeliverable(self, process: SimulatedProcess, effect: fx.SendMessage) -> None:
        """Drop a message whose receiver's address the sender never learned."""
        self.undeliverable_count += 1
        if self.trace.enabled:
            self.trace.add(self.clock.now, process.node_id, "undeliverable", effect.receiver)

    def process_stopped(self, process: SimulatedProcess) -> None:
        """Note that a process ended by itself."""
        self.stopped_nodes.append((self.clock.now, process.node_id))

    def log(self, process: SimulatedProcess, effect: fx.LogEvent) -> None:
        """Take a log line; the trace has it already."""

    def count_metric(self, process: SimulatedProcess, effect: fx.CountMetric) -> None:
        """Add to a counter."""
        if self._keep_metrics:
            key = (process.node_id, effect.name, tuple(sorted(effect.labels.items())))
            self.counters[key] = self.counters.get(key, 0.0) + effect.amount

    def set_gauge(self, process: SimulatedProcess, effect: fx.SetGauge) -> None:
        """Set a gauge."""
        if self._keep_metrics:
            key = (process.node_id, effect.name, tuple(sorted(effect.labels.items())))
            self.gauges[key] = effect.value


def _nowhere_spec() -> ProcessSpec:
    """Return the spec of a machine that never runs: the server at unknown addresses."""
    return ProcessSpec(
        node_id="nowhere", zone=CLIENT_ZONE, http_address="0.0.0.0:0", make_reducer=_no_reducer
    )


def _no_reducer() -> Reducer:
    raise AssertionError("nothing listens here")
