"""Runs a real program and simulates a machine suspension on each SIGUSR1.

A suspension moves the process's boot-time clock ahead, but neither its monotonic clock nor its
timers.
"""

import runpy
import signal
import sys
import time
from pathlib import Path

SUSPENDED_SECONDS = 3.0
START = Path(__file__).resolve().parents[2] / "platform" / "start.py"


def main() -> None:
    """Run `platform/start.py` with the role given on the command line."""
    real = time.clock_gettime
    suspended = [0.0]

    def read(clock: int) -> float:
        return real(clock) + (suspended[0] if clock == time.CLOCK_BOOTTIME else 0.0)

    def suspend(_number: int, _frame: object) -> None:
        suspended[0] += SUSPENDED_SECONDS

    time.clock_gettime = read
    signal.signal(signal.SIGUSR1, suspend)
    sys.argv[0] = str(START)
    sys.path[0] = str(START.parent)
    runpy.run_path(str(START), run_name="__main__")


if __name__ == "__main__":
    main()
