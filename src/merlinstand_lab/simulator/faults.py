"""Faults as plain data; a schedule is a tuple of them."""

import msgspec

from merlinstand_lab.simulator.network import LinkQuality

LEADER = "<leader>"
"""Stands for whichever control replica leads when the fault strikes."""
FOLLOWER = "<follower>"
"""Stands for a control voter that does not lead when the fault strikes."""


class Fault(msgspec.Struct, frozen=True, kw_only=True, tag_field="fault"):
    """Base of all faults."""

    at: float
    """True time at which it strikes."""

    def healed_at(self) -> float:
        """Return the time from which on it does no more harm."""
        return self.at


class Kill(Fault, frozen=True, kw_only=True, tag="kill"):
    """A process dies and starts again later from what its disk kept."""

    node: str
    after_effects: int = 0
    """It dies after performing this many more effects: between any two of one call."""
    down_seconds: float = 2.0
    power_loss: bool = False
    """The machine goes silent instead of resetting its connections."""
    lose_disk: bool = False
    """It comes back with a blank disk under a new incarnation."""

    def healed_at(self) -> float:
        """Return when it starts again."""
        return self.at + ARMED_KILL_SECONDS + self.down_seconds


class LastingFault(Fault, frozen=True, kw_only=True):
    """Base of the faults that do harm for a given time."""

    seconds: float

    def healed_at(self) -> float:
        """Return when it does no more harm."""
        return self.at + self.seconds


class Freeze(LastingFault, frozen=True, kw_only=True, tag="freeze"):
    """A process is not scheduled for a while (SIGSTOP), then runs on."""

    node: str


class Cut(LastingFault, frozen=True, kw_only=True, tag="cut"):
    """Packets from some nodes to others vanish in silence."""

    sources: tuple[str, ...]
    destinations: tuple[str, ...]
    both_ways: bool = True


class Isolate(LastingFault, frozen=True, kw_only=True, tag="isolate"):
    """One node is cut off from everybody, in silence."""

    node: str
    inward: bool = True
    """Packets to the node are lost."""
    outward: bool = True
    """Packets from the node are lost."""


class CutZone(LastingFault, frozen=True, kw_only=True, tag="cut_zone"):
    """Everything in some zones is cut off from everything outside them."""

    zones: tuple[str, ...]
    spare_clients: bool = False
    """Callers and operators still reach the zones."""


class Degrade(LastingFault, frozen=True, kw_only=True, tag="degrade"):
    """Links of some nodes lose, double, delay and reorder messages."""

    nodes: tuple[str, ...]
    quality: LinkQuality


class SlowDisk(LastingFault, frozen=True, kw_only=True, tag="slow_disk"):
    """Syncs of one node take many times as long."""

    node: str
    factor: float


class LabFaultOrder(Fault, frozen=True, kw_only=True, tag="lab_fault"):
    """A stand-in is told to misbehave (`POST /lab/faults`)."""

    node: str
    kind: str
    duration_seconds: float = 0.0

    def healed_at(self) -> float:
        """Return when the stand-in behaves again."""
        return self.at + self.duration_seconds


class MachineLeaving(LastingFault, frozen=True, kw_only=True, tag="machine_leaving"):
    """The platform marks a machine as leaving in its lagging list, and later as live."""

    address: str


class PlannedStop(Fault, frozen=True, kw_only=True, tag="planned_stop"):
    """A process is asked to stop (SIGTERM) and started again some time after it ended."""

    node: str
    down_seconds: float = 2.0
    longest_drain_seconds: float = 30.0

    def healed_at(self) -> float:
        """Return when it has started again."""
        return self.at + self.longest_drain_seconds + self.down_seconds


ARMED_KILL_SECONDS = 1.0
"""A kill armed within a reduce call strikes at the latest after this long."""

AnyFault = (
    Kill
    | Freeze
    | Cut
    | Isolate
    | CutZone
    | Degrade
    | SlowDisk
    | LabFaultOrder
    | MachineLeaving
    | PlannedStop
)


def last_heal(faults: tuple[AnyFault, ...]) -> float:
    """Return the time from which on no fault does harm; 0 without faults."""
    return max((fault.healed_at() for fault in faults), default=0.0)
