"""Strikes leaders again and again and measures how long writes are not accepted."""

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
from tests.failover.writer import LAST_ATTEMPT_SECONDS, Writer

POLL_SECONDS = 0.01
GIVE_UP_SECONDS = 30.0
"""Writes not accepted for this long after a fault count as never accepted again."""
SHORTEST_CALM_SECONDS = 1.0
CALM_SPREAD_SECONDS = 1.0
"""Faults strike at any phase of the heartbeats."""
FROZEN_AFTER_FAILOVER_SECONDS = 1.0
"""The former leader wakes up this long after its successor accepted a write."""


class FaultKind(Enum):
    """How a leader is struck."""

    KILL = "kill"
    FREEZE = "freeze"


class TrialPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What to do."""

    failovers: int = 20
    """Of each kind."""
    kinds: tuple[FaultKind, ...] = (FaultKind.KILL, FaultKind.FREEZE)
    replicas: int = 3
    writers: int = 3
    interval_seconds: float = 0.05
    """Pause of each writer between two writes."""
    seed: int = 1


class Failover(msgspec.Struct, frozen=True, kw_only=True):
    """One fault and what came of it."""

    kind: FaultKind
    struck: str
    term: int
    successor: str
    successor_term: int
    seconds: float | None
    """From the signal to the first accepted write sent after it; None: never."""


class TrialResult(msgspec.Struct, frozen=True, kw_only=True):
    """All failovers of a run, and the audit at its end."""

    plan: TrialPlan
    failovers: tuple[Failover, ...]
    audit: Audit


class Trial:
    """One run."""

    def __init__(self, plan: TrialPlan, folder: Path, say: Callable[[str], None]) -> None:
        """Prepare; nothing runs yet.

        Args:
            plan: What to do.
            folder: Files of the replicas.
            say: Shows a line of progress.
        """
        self._plan = plan
        self._say = say
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
        """Run; child processes never outlive this call.

        Raises:
            GroupNotReadyError: The group did not come up or back.
        """
        try:
            self._group.start()
            greenlets = [gevent.spawn(writer.run) for writer in self._writers]
            failovers = [self._fail_over(kind) for kind in self._schedule()]
            gevent.sleep(SHORTEST_CALM_SECONDS)
            for writer in self._writers:
                writer.stop()
            gevent.joinall(greenlets, timeout=2 * LAST_ATTEMPT_SECONDS, raise_error=True)
            found = audit(self._history, self._group.revisions())
        finally:
            self._group.end()
        return TrialResult(plan=self._plan, failovers=tuple(failovers), audit=found)

    def _schedule(self) -> list[FaultKind]:
        return [kind for _ in range(self._plan.failovers) for kind in self._plan.kinds]

    def _fail_over(self, kind: FaultKind) -> Failover:
        gevent.sleep(SHORTEST_CALM_SECONDS + self._random.uniform(0.0, CALM_SPREAD_SECONDS))
        name, term = self._group.leader()
        process = self._group.process(name)
        struck_at = time.monotonic()
        if kind is FaultKind.KILL:
            process.kill()
        else:
            process.freeze()
        seconds = self._wait_accepted(struck_at)
        successor, successor_term = self._successor(seconds)
        if kind is FaultKind.KILL:
            process.start()
        else:
            gevent.sleep(FROZEN_AFTER_FAILOVER_SECONDS)
            process.thaw()
        self._group.wait_ready()
        shown = "never" if seconds is None else f"{seconds:.3f} s"
        self._say(
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

    def _wait_accepted(self, struck_at: float) -> float | None:
        while time.monotonic() - struck_at < GIVE_UP_SECONDS:
            write = self._history.first_accepted_after(struck_at)
            if write is not None:
                return write.accepted_at - struck_at
            gevent.sleep(POLL_SECONDS)
        return None
