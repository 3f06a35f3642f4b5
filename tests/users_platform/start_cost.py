"""Measures the memory of each role after its start, and the CPU time until it listens.

Starts each role alone on loopback, as deploy/system.toml does, several times. CPU times vary by up
to a factor of two with the load of the machine: compare only runs that alternate.

Usage: python -m tests.users_platform.start_cost [ROOT] [RUNS]
    ROOT: a checkout with its target/deps built; default: this one.
"""

import os
import shutil
import statistics
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from tests.users_platform.real_world import (
    CONTROL_PORT,
    FRONT_PORT,
    INTERNAL_PORT,
    NODE_FILE,
    READY_PORT,
    ROOT,
)

ROLES = ("gateway", "keeper", "control")
DEFAULT_RUNS = 9
LISTENING = b"event=host.listening"
IP = "127.77.0.1"
MEMORY_FIELDS = ("VmHWM", "RssAnon")
_KILOBYTES_IN_MEGABYTE = 1024
_NANOSECONDS_IN_MILLISECOND = 1_000_000


def main() -> None:
    """Measure all roles and print a table."""
    root = Path(sys.argv[1] if len(sys.argv) > 1 else ROOT).resolve()
    runs = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_RUNS
    deploy = tomllib.loads((root / "deploy/system.toml").read_text())
    print(f"{'role':10}{'ms, median':>12}{'ms, least':>12}{'peak MB':>10}{'own MB':>10}")
    for role in ROLES:
        # The first run may compile the sources and is discarded.
        rows = [_start(root, deploy["roles"][role]["run"], role) for _ in range(runs + 1)][1:]
        milliseconds, peaks, owns = zip(*rows, strict=True)
        print(
            f"{role:10}{statistics.median(milliseconds):12.0f}{min(milliseconds):12.0f}"
            f"{statistics.median(peaks):10.1f}{statistics.median(owns):10.1f}"
        )


def _start(root: Path, run: str, role: str) -> tuple[float, float, float]:
    folder = Path(tempfile.mkdtemp())
    settings = folder / "boot.toml"
    data = folder / "data" if role != "gateway" else ""
    settings.write_text(
        NODE_FILE.format(
            node="start-cost",
            ip=IP,
            zone="hall-a",
            first_port=INTERNAL_PORT,
            last_port=INTERNAL_PORT + 15,
            seeds=[f"{IP}:{CONTROL_PORT}"],
            bootstrap="true",
            data=data,
            front=FRONT_PORT,
            ready=READY_PORT,
            control=CONTROL_PORT,
        )
    )
    process = subprocess.Popen(
        [sys.executable, *run.split()[1:]],
        cwd=root,
        env={"PATH": os.environ["PATH"], "MERLINSTAND_NODE_FILE": str(settings)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    try:
        return _measure(process)
    finally:
        process.kill()
        process.wait()
        shutil.rmtree(folder)


def _measure(process: "subprocess.Popen[bytes]") -> tuple[float, float, float]:
    output: Any = process.stdout
    lines = []
    for line in output:
        lines.append(line)
        if LISTENING in line:
            break
    else:
        sys.exit(b"".join(lines).decode())
    proc = Path(f"/proc/{process.pid}")
    nanoseconds = int((proc / "schedstat").read_text().split()[0])
    fields = dict(line.split(":", 1) for line in (proc / "status").read_text().splitlines())
    peak, own = (int(fields[name].split()[0]) / _KILOBYTES_IN_MEGABYTE for name in MEMORY_FIELDS)
    return nanoseconds / _NANOSECONDS_IN_MILLISECOND, peak, own


if __name__ == "__main__":
    main()
