"""The driver's handle on one worker process."""

import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import IO

import msgspec

from merlinstand_lab.capacity.worker_spec import HostedSpec, WorkerReport, WorkerSpec
from merlinstand_lab.fleet.process_sampling import ProcessUse, read_process_use

STOP_TIMEOUT_SECONDS = 10.0
"""Seconds; chosen, not measured."""


class WorkerFailedError(Exception):
    """A worker ended or did not answer as agreed."""


class WorkerProcess:
    """A child process that hosts reducers."""

    def __init__(self, name: str, hosted: Sequence[HostedSpec], folder: Path) -> None:
        """Write the spec and start the process; `wait_started` follows.

        Args:
            name: Unique name, used for its files.
            hosted: What it hosts.
            folder: Where spec, log and data folders are kept.
        """
        self.name = name
        folder.mkdir(parents=True, exist_ok=True)
        spec_path = folder / f"{name}.json"
        spec_path.write_bytes(msgspec.json.encode(WorkerSpec(hosted=tuple(hosted))))
        self._log_path = folder / f"{name}.log"
        with self._log_path.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "merlinstand_lab.capacity.worker", str(spec_path)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def wait_started(self) -> None:
        """Block until every reducer of the worker has started."""
        self._read_line()

    def ask(self) -> None:
        """Ask for a report without waiting; `receive` must follow."""
        stream = _open(self._process.stdin)
        stream.write(b"\n")
        stream.flush()

    def receive(self) -> WorkerReport:
        """Wait for the report that answers the oldest unanswered question."""
        return msgspec.json.decode(self._read_line(), type=WorkerReport)

    def report(self) -> WorkerReport:
        """Ask for a report."""
        self.ask()
        return self.receive()

    def use(self) -> ProcessUse:
        """Read what the process has used so far."""
        return read_process_use(self.pid)

    def stop(self) -> None:
        """End the process by closing its standard input; kill it if that does not help."""
        if self._process.poll() is None:
            _open(self._process.stdin).close()
            try:
                self._process.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
        self._close()

    def _close(self) -> None:
        for stream in (self._process.stdin, self._process.stdout):
            if stream is not None and not stream.closed:
                stream.close()

    def _read_line(self) -> bytes:
        line = _open(self._process.stdout).readline()
        if not line:
            raise WorkerFailedError(f"{self.name} ended; see {self._log_path}")
        return bytes(line)


def _open(stream: IO[bytes] | None) -> IO[bytes]:
    assert stream is not None
    return stream
