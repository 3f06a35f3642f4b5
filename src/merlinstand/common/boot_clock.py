"""The clock for all timeouts and leases, which includes the time a machine was suspended.

`time.monotonic` and event loop timers stop during a suspension. If leases were timed with them, a
leader that resumes would believe that it still holds its lease, and would send requests whose
callers no longer wait.
"""

import time

BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""`CLOCK_BOOTTIME` on Linux; elsewhere the monotonic clock, which may exclude suspensions."""


def boot_seconds() -> float:
    """Return the seconds since the machine booted, including suspensions; never decreases."""
    return time.clock_gettime(BOOT_CLOCK)


def monotonic_seconds() -> float:
    """Return the time of the monotonic clock, which excludes suspensions.

    Event loop timers use this clock.
    """
    return time.clock_gettime(time.CLOCK_MONOTONIC)
