"""The clock that all time limits go by: it counts the time for which a machine was suspended.

`time.monotonic` and the timers of an event loop stand still while a machine is suspended. A leader
that wakes up would take its lease for held, and send what its callers gave up on long ago.
"""

import time

BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Linux has it; elsewhere the steady clock has to do."""


def boot_seconds() -> float:
    """Seconds since the machine was started, suspensions included; never goes back."""
    return time.clock_gettime(BOOT_CLOCK)


def monotonic_seconds() -> float:
    """The same without suspensions: the clock that timers of the event loop go by."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)
