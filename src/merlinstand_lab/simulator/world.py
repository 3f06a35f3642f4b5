"""What one simulated process needs of the simulation around it."""

import random
from collections.abc import Mapping
from typing import Any, Protocol

from merlinstand.kernel import effects as fx
from merlinstand_lab.simulator.clock import VirtualClock
from merlinstand_lab.simulator.machine import Machine
from merlinstand_lab.simulator.network import Network
from merlinstand_lab.simulator.trace import Trace


class World(Protocol):
    """Clock, network and other machines, and who takes notes."""

    clock: VirtualClock
    trace: Trace
    network: Network

    @property
    def processes(self) -> Mapping[str, Machine]:
        """Every machine by node id."""

    def random_for(self, purpose: str) -> random.Random:
        """Return an independent random source."""

    def process_at(self, address: str) -> Machine:
        """Return the machine that listens at an HTTP address, or one that never runs."""

    def reducer_failed(self, process: Any, error: Exception) -> None:
        """Note an exception that escaped from a reducer and end the process."""

    def undeliverable(self, process: Any, effect: fx.SendMessage) -> None:
        """Drop a message whose receiver's address the sender never learned."""

    def process_stopped(self, process: Any) -> None:
        """Note that a process ended by itself."""

    def write_record(self, stream: str, record: object) -> None:
        """Keep one record of an outsider."""

    def log(self, process: Any, effect: fx.LogEvent) -> None:
        """Take a log line."""

    def count_metric(self, process: Any, effect: fx.CountMetric) -> None:
        """Add to a counter."""

    def set_gauge(self, process: Any, effect: fx.SetGauge) -> None:
        """Set a gauge."""
