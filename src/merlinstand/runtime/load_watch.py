"""Tells the reducer how near its process is to its bounds, and the metrics what is kept.

Looked at by the host's own loop. Only where the settings give the process's memory: without, a
reducer hears nothing of load.
"""

from collections.abc import Callable

from merlinstand.kernel.events import Event, HostLoad
from merlinstand.runtime.kept_bytes import BufferBudget
from merlinstand.runtime.metrics import Metrics

REPORT_THRESHOLD = 0.25
"""Below this nobody acts on it: it is told once, and then no more."""


class LoadMonitor:
    """Watches one process's bounds."""

    def __init__(
        self,
        budget: BufferBudget,
        connection_share: Callable[[], float],
        submit: Callable[[Event], None],
        metrics: Metrics,
    ) -> None:
        """Begin with nothing told.

        Args:
            kept: What is kept for peers.
            connection_share: How many of the connections that callers may open are open.
            submit: Hands an event to the reducer.
            metrics: Where the gauges are set.
        """
        self._budget = budget
        self._connection_share = connection_share
        self._submit = submit
        self._metrics = metrics
        self._was_reported = False

    def check(self) -> None:
        """Cut off callers that are too slow, and tell the load."""
        self._budget.check()
        self._metrics.set_gauge("merlinstand_kept_bytes", self._budget.total_bytes, {})
        if not self._budget.limit_bytes:
            return
        load = HostLoad(self._budget.utilization, self._connection_share())
        is_above_threshold = load.share >= REPORT_THRESHOLD
        if is_above_threshold or self._was_reported:
            self._submit(load)
        self._was_reported = is_above_threshold
