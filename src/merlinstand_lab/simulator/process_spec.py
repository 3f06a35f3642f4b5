"""What to run on one simulated machine."""

from collections.abc import Callable

import msgspec

from merlinstand.kernel.reducer import Reducer
from merlinstand_lab.simulator.disk import DiskSettings


class ProcessSpec(msgspec.Struct, frozen=True, kw_only=True):
    """What to run on one machine."""

    node_id: str
    zone: str
    http_address: str
    internal_address: str = ""
    make_reducer: Callable[[], Reducer]
    """Makes a fresh reducer for each life of the process."""
    clock_offset_seconds: float = 0.0
    clock_drift: float = 0.0
    disk: DiskSettings = DiskSettings()
    counts_suspensions: bool = True
    """Whether its time limits count the time for which the machine is suspended, as the runtime's
    do; without, they go by the steady clock and the timers of the loop."""
    keeps_disk: bool = True
    """False for stand-ins without a disk: every life starts blank but keeps its records."""
