"""Child processes of the launcher: started, watched, stopped, killed by their own id."""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import gevent
import msgspec

_POLL_SECONDS = 0.05
"""Seconds; chosen, not measured."""
_KILL_WAIT_SECONDS = 5.0
"""Seconds until a killed child is reaped; chosen, not measured."""
_LAUNCH_CODE = "import sys; from {module} import main; sys.argv[0] = {name!r}; main()"


class ProcessSpec(msgspec.Struct, frozen=True, kw_only=True):
    """How to start one process."""

    name: str
    role: str
    arguments: tuple[str, ...]
    http_address: str
    health_address: str = ""
    """`ip:port` of the readiness check; empty for stand-ins, which serve it at `http_address`."""
    internal_address: str = ""

    @property
    def readiness_address(self) -> str:
        """Address that serves `/readyz`."""
        return self.health_address or self.http_address


def program(module: str, name: str, *arguments: str) -> tuple[str, ...]:
    """Command line that runs a click entry point with this very Python."""
    return (sys.executable, "-c", _LAUNCH_CODE.format(module=module, name=name), *arguments)


class ManagedProcess:
    """One child process that can be started again."""

    def __init__(self, spec: ProcessSpec, log_folder: Path) -> None:
        """Prepare; `start` begins."""
        self.spec = spec
        self.log_path = log_folder / f"{spec.name}.log"
        self.expected_down = False
        """Whether the launcher itself brought it down."""
        self._child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output is added to its log."""
        self.expected_down = False
        with self.log_path.open("ab") as log:
            self._child = subprocess.Popen(
                self.spec.arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    @property
    def process_id(self) -> int | None:
        """Id of the running child, if any."""
        return self._child.pid if self._child is not None else None

    def exit_code(self) -> int | None:
        """Exit code of an ended child; None while it runs."""
        return self._child.poll() if self._child is not None else None

    def is_running(self) -> bool:
        """Whether the child runs."""
        return self._child is not None and self._child.poll() is None

    def kill(self) -> None:
        """Kill at once (SIGKILL)."""
        self.expected_down = True
        self._signal(signal.SIGKILL)
        self.wait(_KILL_WAIT_SECONDS)

    def terminate(self) -> None:
        """Ask for a planned stop (SIGTERM)."""
        self.expected_down = True
        self._signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Stop the process silently (SIGSTOP): its connections stay open."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self._signal(signal.SIGCONT)

    def wait(self, seconds: float) -> int | None:
        """Wait for the end; None if the child still runs afterwards."""
        with gevent.Timeout(seconds, False):
            while self.is_running():
                gevent.sleep(_POLL_SECONDS)
        return self.exit_code()

    def log_tail(self, lines: int) -> str:
        """Last lines of the log."""
        if not self.log_path.exists():
            return ""
        return "\n".join(self.log_path.read_text(errors="replace").splitlines()[-lines:])

    def _signal(self, number: signal.Signals) -> None:
        """Signal the child, only while it is ours to signal."""
        if self._child is not None and self._child.poll() is None:
            os.kill(self._child.pid, number)


def busy_addresses(addresses: Sequence[str]) -> list[str]:
    """Return the addresses that can't be bound."""
    busy = []
    for address in addresses:
        host, _, port = address.rpartition(":")
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, int(port)))
            except OSError:
                busy.append(address)
    return busy
