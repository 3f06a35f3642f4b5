"""When windows are fixed and reported: decisions of the leading control daemon.

A window is fixed as soon as every gateway that may have counted in it has been heard after its end,
so that a calm day is reported within a second; a gateway that is frozen, cut off or gone is waited
for until most of the time is over in which the report is due. Owns the reports of one leadership
that aren't agreed yet; `leader` calls it.
"""

from collections.abc import Iterable

import msgspec

from merlinstand.common.ids import NodeId
from merlinstand.metering.ledger import UsageLedger
from merlinstand.metering.usage import UsageReport

WINDOW_GRACE_SECONDS = 1.0
"""A gateway heard this long after a window's end has sent all that began in it: it sends its counts
each 0.3 s, and requests that a server refused are taken back within some tenths of a second."""
MAXIMUM_WAIT_FRACTION = 0.6
"""Of the time in which a report is due, this share is waited for gateways that are silent; the rest
is for the call, two tries more and a change of leaders."""


class GatewayContact(msgspec.Struct, frozen=True):
    """When the leader heard a gateway last."""

    node_id: NodeId
    last_report_at: float
    """Local time of the leader."""


class UsageReporter:
    """What one leadership has heard and not agreed yet, and which window is next."""

    def __init__(self, ledger: UsageLedger, window_seconds: float, due_seconds: float) -> None:
        """Begin without reports.

        Args:
            ledger: What is agreed.
            window_seconds: Length of a window of true time; 0 if no use is reported.
            due_seconds: A window's report is due this long after the window's end.
        """
        self._ledger = ledger
        self._window_seconds = window_seconds
        self._due_seconds = due_seconds
        self._reports: dict[str, UsageReport] = {}
        self._led_since = 0.0

    @property
    def is_enabled(self) -> bool:
        """Whether use is reported at all."""
        return self._window_seconds > 0.0

    def begin(self, now: float) -> None:
        """A leadership begins: gateways send it what it lacks."""
        self._reports.clear()
        self._led_since = now

    def add_report(self, report: UsageReport) -> None:
        """Take in a gateway's report; it is agreed on soon."""
        if report.sequence > self._ledger.acknowledged.get(report.source, 0):
            self._reports[report.source] = report

    def take_reports(self) -> tuple[UsageReport, ...]:
        """Give the reports that are not agreed, to be proposed together."""
        reports, self._reports = tuple(self._reports.values()), {}
        return reports

    def first_window(self, true_seconds: float) -> int | None:
        """The window that metering begins with, if it did not begin yet."""
        has_begun = self._ledger.next_window is not None
        return None if has_begun else int(true_seconds // self._window_seconds)

    def window_to_close(
        self, true_seconds: float, gateways: Iterable[GatewayContact], now: float
    ) -> int | None:
        """The window whose counts are as complete as they will get; None if none is."""
        following = self._ledger.next_window
        if following is None:
            return None
        # After a long standstill the first windows are too late for anybody.
        oldest = int((true_seconds - self._due_seconds) // self._window_seconds)
        window = max(following, oldest)
        age = self.age_seconds(window, true_seconds)
        if age < WINDOW_GRACE_SECONDS:
            return None
        is_waited_long = age >= MAXIMUM_WAIT_FRACTION * self._due_seconds
        if is_waited_long or self._is_complete(now - age, gateways):
            return window
        return None

    def _is_complete(self, ended_at: float, gateways: Iterable[GatewayContact]) -> bool:
        """Whether nobody has anything to report any more.

        Args:
            ended_at: The window's end in local time.
            gateways: All that this leadership heard.
        """
        begun_at = ended_at - self._window_seconds
        if self._led_since > begun_at:
            # A gateway that only an earlier leader heard isn't known here.
            return False
        counted = [gateway for gateway in gateways if gateway.last_report_at >= begun_at]
        return all(g.last_report_at >= ended_at + WINDOW_GRACE_SECONDS for g in counted)

    def is_overdue(self, window: int, true_seconds: float) -> bool:
        """Whether a window's report would come too late."""
        return self.age_seconds(window, true_seconds) > self._due_seconds

    def age_seconds(self, window: int, true_seconds: float) -> float:
        """How long ago a window ended."""
        return true_seconds - (window + 1) * self._window_seconds
