"""Logs and counts clients and peers that were refused or closed because of what they hold.

A crowd of clients causes thousands of decisions a second: all of them are counted, but only the
first few of each second and kind are logged.
"""

from collections.abc import Callable

from merlinstand.common.boot_clock import boot_seconds
from merlinstand.runtime.bounded_log import LineLimit
from merlinstand.runtime.logs import EventLog
from merlinstand.runtime.metrics import Metrics
from merlinstand.runtime.request_budget import Decision


class ClientLog:
    """Records the decisions of one process."""

    def __init__(
        self,
        subject: str,
        log: EventLog,
        metrics: Metrics,
        clock: Callable[[], float] = boot_seconds,
    ) -> None:
        """Start without decisions.

        Args:
            subject: `client` or `peer`; the events are `SUBJECT.refused` and `SUBJECT.closed`.
            log: Receives the lines.
            metrics: Receives the counts.
            clock: Returns local time in seconds.
        """
        self._subject = subject
        self._log = log
        self._metrics = metrics
        self._lines = LineLimit(clock)

    def record(self, decision: Decision) -> None:
        """Count a decision, and log it unless there are too many."""
        kind = (decision.action, decision.reason)
        labels = {"action": decision.action.value, "reason": decision.reason.value}
        self._metrics.count(f"merlinstand_{self._subject}s_limited_total", 1.0, labels)
        omitted = self._lines.take(kind)
        if omitted is None:
            return
        fields = {
            "reason": decision.reason.value,
            "peer": decision.peer,
            "bytes": decision.held_bytes,
            "idle_seconds": round(decision.idle_seconds, 3),
            "omitted": omitted,
        }
        self._log.write(f"{self._subject}.{decision.action.value}", fields, "warning")
