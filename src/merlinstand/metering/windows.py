"""Decides in the control leader when usage windows are closed and reported.

A window is closed once every gateway that may have counted requests in it has reported after its
end, usually within a second. For a gateway that is suspended, partitioned or down, the leader waits
until most of the time for the window's report has passed. Also buffers the gateways' reports that
are not proposed yet.
"""

from collections.abc import Iterable

import msgspec

from merlinstand.common.ids import NodeId
from merlinstand.metering.ledger import UsageLedger
from merlinstand.metering.usage import UsageReport

WINDOW_GRACE_SECONDS = 1.0
"""A gateway that reports this long after a window's end has reported all counts of the window:
gateways report every 0.3 s, and refused requests are subtracted within a few tenths of a second."""
MAXIMUM_WAIT_FRACTION = 0.6
"""Fraction of `due_seconds` during which the leader waits for missing gateways. The rest is for the
call to the platform, two retries and a change of leaders."""


class GatewayContact(msgspec.Struct, frozen=True):
    """Time of a gateway's newest report to the leader."""

    node_id: NodeId
    last_report_at: float
    """Time by the leader's local clock."""


class UsageReporter:
    """Usage reports received in one leadership term, and the next window to close."""

    def __init__(self, ledger: UsageLedger, window_seconds: float, due_seconds: float) -> None:
        """Create an instance; `begin` starts a leadership term.

        Args:
            ledger: Committed counts.
            window_seconds: Length of a window of true time; 0 if no usage is reported.
            due_seconds: Time after the end of a window within which the window must be reported.
        """
        self._ledger = ledger
        self._window_seconds = window_seconds
        self._due_seconds = due_seconds
        self._reports: dict[str, UsageReport] = {}
        self._leader_since = 0.0

    @property
    def is_enabled(self) -> bool:
        """Whether usage is reported: a window length is configured."""
        return self._window_seconds > 0.0

    def begin(self, now: float) -> None:
        """Begin a leadership term; gateways send all uncommitted counts again."""
        self._reports.clear()
        self._leader_since = now

    def add_report(self, report: UsageReport) -> None:
        """Buffer a gateway's report until it is proposed; ignores committed reports."""
        if report.sequence > self._ledger.acknowledged.get(report.source, 0):
            self._reports[report.source] = report

    def take_reports(self) -> tuple[UsageReport, ...]:
        """Remove and return the buffered reports, to be proposed in one command."""
        reports, self._reports = tuple(self._reports.values()), {}
        return reports

    def first_window(self, true_seconds: float) -> int | None:
        """Return the window to begin metering with; None if metering has begun."""
        has_begun = self._ledger.next_window is not None
        return None if has_begun else int(true_seconds // self._window_seconds)

    def window_to_close(
        self, true_seconds: float, gateways: Iterable[GatewayContact], now: float
    ) -> int | None:
        """Return the window to close now; None if no window can be closed yet."""
        next_window = self._ledger.next_window
        if next_window is None:
            return None
        # After a long outage, the first open windows can no longer be reported in time, so they are
        # skipped.
        oldest = int((true_seconds - self._due_seconds) // self._window_seconds)
        window = max(next_window, oldest)
        age = self.age_seconds(window, true_seconds)
        if age < WINDOW_GRACE_SECONDS:
            return None
        is_wait_over = age >= MAXIMUM_WAIT_FRACTION * self._due_seconds
        if is_wait_over or self._is_complete(now - age, gateways):
            return window
        return None

    def _is_complete(self, ended_at: float, gateways: Iterable[GatewayContact]) -> bool:
        """Return whether all counts of a window were reported.

        Args:
            ended_at: End of the window in local time.
            gateways: All gateways that reported in this leadership term.
        """
        started_at = ended_at - self._window_seconds
        if self._leader_since > started_at:
            # A gateway that only reported to an earlier leader isn't known here.
            return False
        active = [gateway for gateway in gateways if gateway.last_report_at >= started_at]
        return all(g.last_report_at >= ended_at + WINDOW_GRACE_SECONDS for g in active)

    def is_overdue(self, window: int, true_seconds: float) -> bool:
        """Return whether it is too late to report a window."""
        return self.age_seconds(window, true_seconds) > self._due_seconds

    def age_seconds(self, window: int, true_seconds: float) -> float:
        """Return the time since the end of a window."""
        return true_seconds - (window + 1) * self._window_seconds
