"""Modules that daemons must not load, to save memory."""

import subprocess
import sys

HEAVY_MODULES = {
    "matplotlib",
    "numpy",
    "rich",
    "prompt_toolkit",
    "typer",
    "simpy",
    "hypothesis",
    "merlinstand_lab",
}

PROGRAM = """
import sys
import merlinstand.cli.daemon_commands
import merlinstand.control.daemon
import merlinstand.gateway.daemon
import merlinstand.coordinator.daemon
import merlinstand.runtime.process
print(" ".join(sys.modules))
"""


def test_daemons_load_no_heavy_module() -> None:
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    loaded = {name.split(".")[0] for name in done.stdout.split()}
    assert not loaded & HEAVY_MODULES
