"""The replicated part of metering: counts by source until a window is fixed, once and for all.

Deterministic: every replica applies the same commands in the same order. Whatever the group has
agreed on survives the loss of as many control replicas as the group bears.
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
"""Lives of gateways whose newest report is remembered; a forgotten one sends its totals once more.
Chosen, not measured."""
MAXIMUM_CLOSED_WINDOWS = 16
"""Fixed windows that were neither taken in by the platform nor given up; none is older than that
many windows while the leader gives windows up in time."""


class StoredUsage(msgspec.Struct, frozen=True):
    """All of it, in a snapshot."""

    acknowledged: dict[str, int] = msgspec.field(name="marks")
    open: dict[int, dict[str, dict[str, int]]]
    closed: dict[int, dict[str, int]] = msgspec.field(name="fixed")
    next_window: int | None


class UsageLedger:
    """Agreed counts of the windows that were not reported yet."""

    def __init__(self) -> None:
        """Begin with nothing agreed."""
        self.acknowledged: dict[str, int] = {}
        """Sequence number of the newest agreed report, by source; oldest sources first."""
        self.open: dict[int, dict[str, dict[str, int]]] = {}
        """Counts by tenant, by window and source."""
        self.closed: dict[int, dict[str, int]] = {}
        """Windows that are to be reported, by number: their counts never change."""
        self.next_window: int | None = None
        """The first window that isn't fixed; None before metering began."""

    def apply(
        self, command: RecordUsage | BeginMetering | CloseUsageWindow | CompleteUsageWindow
    ) -> None:
        """Apply a committed command."""
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
        """Let metering begin with a window; only the first such command counts."""
        if self.next_window is None:
            self.next_window = window

    def record_reports(self, reports: Iterable[UsageReport]) -> None:
        """Take in what gateways reported."""
        for report in reports:
            held = self.acknowledged.pop(report.source, 0)
            self.acknowledged[report.source] = max(held, report.sequence)
            if report.sequence <= held:
                continue
            for counted in report.windows:
                self._note_window(report.source, counted)
        while len(self.acknowledged) > MAXIMUM_SOURCES:
            del self.acknowledged[next(iter(self.acknowledged))]

    def _note_window(self, source: str, counted: WindowUsage) -> None:
        if self.next_window is None or counted.window >= self.next_window:
            self.open.setdefault(counted.window, {})[source] = counted.counts

    def close_window(self, window: int) -> bool:
        """Fix a window's counts; earlier ones that were not fixed are given up.

        Returns:
            False if it, or a later one, was fixed before.
        """
        if self.next_window is None or window < self.next_window:
            return False
        totals: Counter[str] = Counter()
        for counts in self.open.get(window, {}).values():
            totals.update(counts)
        self.open = {number: held for number, held in self.open.items() if number > window}
        self.closed[window] = {tenant: count for tenant, count in sorted(totals.items()) if count}
        while len(self.closed) > MAXIMUM_CLOSED_WINDOWS:
            del self.closed[min(self.closed)]
        self.next_window = window + 1
        return True

    def complete_window(self, window: int) -> None:
        """A fixed window is done with: the platform took it in, or it is too late."""
        self.closed.pop(window, None)

    def stored(self) -> StoredUsage:
        """Give the whole state."""
        return StoredUsage(self.acknowledged, self.open, self.closed, self.next_window)

    def restore(self, stored: StoredUsage) -> None:
        """Replace the whole state."""
        self.acknowledged = dict(stored.acknowledged)
        self.open = {window: dict(sources) for window, sources in stored.open.items()}
        self.closed = dict(stored.closed)
        self.next_window = stored.next_window
