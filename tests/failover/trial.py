"""Kills and freezes leaders, and measures how long writes are not accepted."""

import random
import time
from collections.abc import Callable
from enum import Enum
from pathlib import Path

import gevent
import msgspec

from tests.failover.audit import Audit, audit
from tests.failover.group import ControlProcesses
from tests.failover.history import History
from tests.failover.writer import STOP_TIMEOUT_SECONDS, Writer

POLL_SECONDS = 0.01
RECOVERY_TIMEOUT_SECONDS = 30.0
"""If no write is accepted for this long after a fault, the group has not recovered."""
MINIMUM_PAUSE_SECONDS = 1.0
PAUSE_SPREAD_SECONDS = 1.0
"""Random part of the pause before a fault, so that it hits any phase of the heartbeats."""
THAW_DELAY_SECONDS = 1.0
"""A frozen leader is thawed this long after its successor accepted a write."""


class FaultKind(Enum):
    """Kind of fault injected into a leader."""

    KILL = "kill"
    FREEZE = "freeze"


class TrialPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a run."""

    failovers: int = 20
    """Number of failovers of each kind."""
    kinds: tuple[FaultKind, ...] = (FaultKind.KILL, FaultKind.FREEZE)
    replicas: int = 3
    writers: int = 3
    interval_seconds: float = 0.05
    """Pause of each writer between two writes."""
    seed: int = 1


class Failover(msgspec.Struct, frozen=True, kw_only=True):
    """One fault and its outcome."""

    kind: FaultKind
    struck: str
    term: int
    successor: str
    successor_term: int
    seconds: float | None
    """Time from the fault to the first accepted write sent after it; None if there was none."""


class TrialResult(msgspec.Struct, frozen=True, kw_only=True):
    """All failovers of a run, and the audit at its end."""

    plan: TrialPlan
    failovers: tuple[Failover, ...]
    audit: Audit


class Trial:
    """One run of faults against a control group."""

    def __init__(self, plan: TrialPlan, folder: Path, report: Callable[[str], None]) -> None:
        """Prepare a run without starting processes.

        Args:
            plan: Parameters of the run.
            folder: Folder for the replicas' files.
            report: Receives one line per failover.
        """
        self._plan = plan
        self._report = report
        self._random = random.Random(plan.seed)
        self._history = History()
        self._group = ControlProcesses(plan.replicas, folder)
        self._writers = [
            Writer(
                f"writer-{number}",
                self._group.http_addresses,
                self._history,
                plan.interval_seconds,
            )
            for number in range(1, plan.writers + 1)
        ]

    def run(self) -> TrialResult:
        """Run the trial; all child processes are killed before it returns.

        Raises:
            GroupNotReadyError: The group did not start or recover in time.
        """
        try:
            self._group.start()
            greenlets = [gevent.spawn(writer.run) for writer in self._writers]
            failovers = [self._run_failover(kind) for kind in self._schedule()]
            gevent.sleep(MINIMUM_PAUSE_SECONDS)
            for writer in self._writers:
                writer.stop()
            gevent.joinall(greenlets, timeout=2 * STOP_TIMEOUT_SECONDS, raise_error=True)
            found = audit(self._history, self._group.revisions())
        finally:
            self._group.end()
        return TrialResult(plan=self._plan, failovers=tuple(failovers), audit=found)

    def _schedule(self) -> list[FaultKind]:
        return [kind for _ in range(self._plan.failovers) for kind in self._plan.kinds]

    def _run_failover(self, kind: FaultKind) -> Failover:
        gevent.sleep(MINIMUM_PAUSE_SECONDS + self._random.uniform(0.0, PAUSE_SPREAD_SECONDS))
        name, term = self._group.leader()
        process = self._group.process(name)
        struck_at = time.monotonic()
        if kind is FaultKind.KILL:
            process.kill()
        else:
            process.freeze()
        seconds = self._wait_for_accepted_write(struck_at)
        successor, successor_term = self._successor(seconds)
        if kind is FaultKind.KILL:
            process.start()
        else:
            gevent.sleep(THAW_DELAY_SECONDS)
            process.thaw()
        self._group.wait_ready()
        shown = "never" if seconds is None else f"{seconds:.3f} s"
        self._report(
            f"{kind.value:6} {name}, term {term}: {successor}, term {successor_term}, {shown}"
        )
        return Failover(
            kind=kind,
            struck=name,
            term=term,
            successor=successor,
            successor_term=successor_term,
            seconds=seconds,
        )

    def _successor(self, seconds: float | None) -> tuple[str, int]:
        return ("", 0) if seconds is None else self._group.leader()

    def _wait_for_accepted_write(self, struck_at: float) -> float | None:
        while time.monotonic() - struck_at < RECOVERY_TIMEOUT_SECONDS:
            write = self._history.first_accepted_after(struck_at)
            if write is not None:
                return write.accepted_at - struck_at
            gevent.sleep(POLL_SECONDS)
        return None
