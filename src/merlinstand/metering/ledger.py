"""Replicated usage counts.

Open windows have counts by source (a gateway incarnation) and tenant, closed windows totals by
tenant. Deterministic: every replica applies the same commands in the same order. Committed counts
survive the loss of as many control replicas as the group tolerates.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from merlinstand.metering.commands import (
    BeginMetering,
    CloseUsageWindow,
    CompleteUsageWindow,
    RecordUsage,
)
from merlinstand.metering.usage import UsageReport, WindowUsage

MAXIMUM_SOURCES = 4_096
"""Number of gateway incarnations whose newest sequence number is kept. A gateway whose number was
dropped sends its totals again."""
MAXIMUM_CLOSED_WINDOWS = 16
"""Number of closed windows that are kept until they are completed. Beyond it the oldest is dropped,
which doesn't happen while the leader completes windows in time."""


class StoredUsage(msgspec.Struct, frozen=True):
    """Stored form of the ledger, in a snapshot."""

    acknowledged: dict[str, int] = msgspec.field(name="marks")
    open: dict[int, dict[str, dict[str, int]]]
    closed: dict[int, dict[str, int]] = msgspec.field(name="fixed")
    next_window: int | None


class UsageLedger:
    """Committed counts of the windows that were not reported to the platform yet."""

    def __init__(self) -> None:
        self.acknowledged: dict[str, int] = {}
        """Sequence number of the newest committed report, by source; oldest sources first."""
        self.open: dict[int, dict[str, dict[str, int]]] = {}
        """Counts of open windows: by window, then source, then tenant."""
        self.closed: dict[int, dict[str, int]] = {}
        """Final counts of the windows to report: by window, then tenant."""
        self.next_window: int | None = None
        """The first window that isn't closed; None before metering began."""

    def apply(
        self, command: RecordUsage | BeginMetering | CloseUsageWindow | CompleteUsageWindow
    ) -> None:
        """Apply a committed command; outdated commands have no effect."""
        match command:
            case RecordUsage():
                self.record_reports(command.reports)
            case BeginMetering():
                self.begin(command.window)
            case CloseUsageWindow():
                self.close_window(command.window)
            case CompleteUsageWindow():
                self.complete_window(command.window)

    def begin(self, window: int) -> None:
        """Set the first window of metering, unless it is set already."""
        if self.next_window is None:
            self.next_window = window

    def record_reports(self, reports: Iterable[UsageReport]) -> None:
        """Record the reports of gateways; an outdated report is ignored."""
        for report in reports:
            known = self.acknowledged.pop(report.source, 0)
            self.acknowledged[report.source] = max(known, report.sequence)
            if report.sequence <= known:
                continue
            for usage in report.windows:
                self._record_window(report.source, usage)
        while len(self.acknowledged) > MAXIMUM_SOURCES:
            del self.acknowledged[next(iter(self.acknowledged))]

    def _record_window(self, source: str, usage: WindowUsage) -> None:
        if self.next_window is None or usage.window >= self.next_window:
            self.open.setdefault(usage.window, {})[source] = usage.counts

    def close_window(self, window: int) -> bool:
        """Close a window: sum up its counts, and drop earlier windows that are still open.

        Returns:
            False if this window, or a later one, is closed already.
        """
        if self.next_window is None or window < self.next_window:
            return False
        totals: Counter[str] = Counter()
        for counts in self.open.get(window, {}).values():
            totals.update(counts)
        self.open = {number: sources for number, sources in self.open.items() if number > window}
        self.closed[window] = {tenant: count for tenant, count in sorted(totals.items()) if count}
        while len(self.closed) > MAXIMUM_CLOSED_WINDOWS:
            del self.closed[min(self.closed)]
        self.next_window = window + 1
        return True

    def complete_window(self, window: int) -> None:
        """Delete a closed window whose report got a final response or is overdue."""
        self.closed.pop(window, None)

    def stored(self) -> StoredUsage:
        """Return the state for a snapshot."""
        return StoredUsage(self.acknowledged, self.open, self.closed, self.next_window)

    def restore(self, stored: StoredUsage) -> None:
        """Replace the complete state with that of a snapshot."""
        self.acknowledged = dict(stored.acknowledged)
        self.open = {window: dict(sources) for window, sources in stored.open.items()}
        self.closed = dict(stored.closed)
        self.next_window = stored.next_window
