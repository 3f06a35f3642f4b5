"""Reads what a process has used so far from the kernel's `/proc`."""

import os
from pathlib import Path

import msgspec

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIBIBYTE_BYTES = 1024
"""Bytes; the unit of `/proc/PID/status`."""

_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
"""Positions in `/proc/PID/stat` counted after the command name's closing parenthesis."""


class ProcessUse(msgspec.Struct, frozen=True):
    """Totals of one process at one moment."""

    cpu_seconds: float
    resident_bytes: int
    peak_resident_bytes: int
    threads: int


class ProcessCost(msgspec.Struct, frozen=True):
    """What a process used between two moments."""

    elapsed_seconds: float
    cpu_seconds: float
    resident_bytes: int

    @property
    def core_share(self) -> float:
        """Share of one core, 1.0 for a whole one."""
        return self.cpu_seconds / self.elapsed_seconds


def read_process_use(pid: int, proc: Path = Path("/proc")) -> ProcessUse:
    """Read a process's totals.

    Args:
        pid: The process.
        proc: Where the kernel's process files are mounted.

    Raises:
        OSError: There is no such process.
    """
    status = _read_status(proc / str(pid) / "status")
    return ProcessUse(
        cpu_seconds=_read_cpu_seconds(proc / str(pid) / "stat"),
        resident_bytes=_kibibytes(status.get("VmRSS")),
        peak_resident_bytes=_kibibytes(status.get("VmHWM")),
        threads=int(status.get("Threads", "1")),
    )


def cost_between(before: ProcessUse, after: ProcessUse, elapsed_seconds: float) -> ProcessCost:
    """Return what a process used between two readings."""
    return ProcessCost(
        elapsed_seconds=elapsed_seconds,
        cpu_seconds=after.cpu_seconds - before.cpu_seconds,
        resident_bytes=after.resident_bytes,
    )


def load_average() -> float:
    """Return the machine's one-minute load average, to note beside a figure."""
    return os.getloadavg()[0]


def _read_cpu_seconds(path: Path) -> float:
    fields = path.read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / CLOCK_TICKS_PER_SECOND


def _read_status(path: Path) -> dict[str, str]:
    lines = (line.partition(":") for line in path.read_text().splitlines())
    return {name: value.strip() for name, _, value in lines}


def _kibibytes(value: str | None) -> int:
    if value is None:
        return 0
    return int(value.split()[0]) * KIBIBYTE_BYTES
