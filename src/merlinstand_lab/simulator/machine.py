"""What network, calls and timers need of a simulated process."""

from collections.abc import Callable
from typing import Any, Protocol

from merlinstand.kernel.events import Event
from merlinstand_lab.simulator.clock import LocalClock
from merlinstand_lab.simulator.disk import SimulatedDisk


class Machine(Protocol):
    """One end of a link: a machine and the process that lives on it at the moment."""

    node_id: str
    zone: str
    peer_address: str
    local_clock: LocalClock
    disk: SimulatedDisk
    life: int
    """Number of the present life; another one after each start and end."""
    frozen: bool
    powered_off: bool
    ended_at: float
    """True time of the last end, in seconds."""
    calls: dict[str, Any]
    """Open calls of this machine by call id."""
    requests: dict[str, Any]
    """Open calls to this machine by request id."""
    idle_connections: dict[str, int]
    """Life of the server by address, where a connection was kept."""
    maximum_body_bytes: int
    """Longest body that the process takes; 0 for any."""

    @property
    def accepts_connections(self) -> bool:
        """Whether the kernel completes handshakes."""

    def next_request_id(self) -> str:
        """Return a fresh request id of this life."""

    def learn_peer(self, node_id: str) -> None:
        """Take note that a node connected: it can be answered."""

    def deliver(self, event: Event) -> None:
        """Give an event to the process, now or when it thaws."""

    def when_scheduled(self, action: Callable[[], None]) -> None:
        """Run the process's own work now or when it thaws."""
