"""The control leader's side of metering: commits usage counts and reports them to the platform.

Tracks true time (the median of the daemons' clocks) and the gateways' reports that aren't committed
yet. `windows` decides when a window is closed, `fenced_calls` when the platform may be called. Part
of the control daemon's reducer, which passes in received reports and committed commands, and
performs the effects.
"""

from collections.abc import Callable, Iterable

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import NodeId
from merlinstand.fenced_calls.call_intents import CallIntents
from merlinstand.fenced_calls.caller import FencedCaller, FencedOutcome
from merlinstand.fenced_calls.commands import RecordCallIntent
from merlinstand.fenced_calls.interface import FencedHolder, PlatformCall, PlatformInterface
from merlinstand.kernel.effects import Effect, LogEvent, ReadWallClock
from merlinstand.kernel.events import CallFailed, CallResponded
from merlinstand.metering.commands import (
    BeginMetering,
    CloseUsageWindow,
    CompleteUsageWindow,
    MeteringCommand,
    RecordUsage,
)
from merlinstand.metering.ledger import UsageLedger
from merlinstand.metering.true_time import LocalClock, TrueTime
from merlinstand.metering.usage import decode_usage
from merlinstand.metering.windows import GatewayContact, UsageReporter

USAGE_SUBJECT = "usage"
"""Subject of the fenced calls that report usage. Fencing ensures that only one leader at a time
makes these calls."""


class UsageAcknowledgement(msgspec.Struct, frozen=True):
    """Result of a gateway's usage report: the acknowledgement to send, and effects to perform."""

    acknowledged: int | None = None
    """Sequence number of the newest committed report of the same gateway incarnation, 0 if none is
    committed; None if there was no valid report."""
    effects: tuple[Effect, ...] = ()


class MeteringSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of counting the tenants' usage and reporting it to the platform."""

    node_id: NodeId
    name: str
    """Machine name, which identifies the caller to the platform."""
    platform_address: str
    """`ip:port` of the platform."""
    lease_seconds: float
    """Shortest time after which another control daemon may take over the calls to the platform."""
    calls_per_second: float
    """The platform's rate limit for the calls of all daemons together."""
    window_seconds: float
    """Length of a window; 0 if no usage is reported."""
    due_seconds: float
    """Time after the end of a window within which the window's usage must be reported."""


class MeteringLeader:
    """Metering in one control daemon while it is the leader."""

    def __init__(
        self,
        settings: MeteringSettings,
        ledger: UsageLedger,
        call_intents: CallIntents,
        interface: PlatformInterface,
        propose: Callable[[MeteringCommand, float], list[Effect] | None],
    ) -> None:
        """Create an instance; `begin` starts a leadership term.

        Args:
            settings: The settings of metering.
            ledger: Committed counts.
            call_intents: Committed call intents: which control daemon announced calls last.
            interface: Translates calls to the platform.
            propose: Proposes a command; returns None if it can't be proposed now.
        """
        self._settings = settings
        self._ledger = ledger
        self._interface = interface
        self._propose = propose
        self._clock = LocalClock()
        self._true_time = TrueTime()
        self._reporter = UsageReporter(ledger, settings.window_seconds, settings.due_seconds)
        self._caller = FencedCaller(
            call_intents,
            settings.name,
            settings.platform_address,
            settings.lease_seconds,
            settings.calls_per_second,
            lambda subject, now: propose(RecordCallIntent(subject, settings.name), now),
        )

    def seed(self, seed: int) -> None:
        """Seed the random numbers of retry backoffs."""
        self._caller.seed(seed)

    def begin(self, fence: int, now: float) -> None:
        """Begin a leadership term.

        Args:
            fence: The term, sent as fencing token with each call to the platform.
            now: Local time.
        """
        self._true_time.clear()
        self._reporter.begin(now)
        self._caller.begin(fence)

    def end(self) -> list[Effect]:
        """End the leadership term: cancel calls to the platform that are in flight."""
        return self._caller.end()

    def record_own_clock(self, wall_seconds: float, now: float) -> None:
        """Record a reading of this machine's clock."""
        self._clock.record_reading(wall_seconds, now)

    def record_clock(self, node_id: NodeId, wall_seconds: float, now: float) -> None:
        """Record the wall clock that a daemon reported.

        A value of 0 is ignored: the daemon has not read its clock yet.
        """
        if wall_seconds > 0.0:
            self._true_time.record(node_id, wall_seconds, now)

    def true_seconds(self, now: float) -> float | None:
        """Return true time in seconds since 1970; None if unknown, or if no usage is reported."""
        return self._true_time.seconds(now) if self._reporter.is_enabled else None

    def handle_usage(self, node_id: NodeId, data: bytes | None) -> UsageAcknowledgement:
        """Handle a gateway's usage report.

        Args:
            node_id: The gateway.
            data: The encoded report; None if the gateway has no new counts.
        """
        if not data or not self._reporter.is_enabled:
            return UsageAcknowledgement()
        try:
            report = decode_usage(data)
        except DECODE_ERRORS as error:
            fields = {"daemon": node_id, "detail": str(error)}
            return UsageAcknowledgement(effects=(LogEvent("usage.malformed", fields, "warning"),))
        self._reporter.add_report(report)
        return UsageAcknowledgement(self._ledger.acknowledged.get(report.source, 0))

    def tick(
        self, gateways: Iterable[GatewayContact], group_time: float, now: float
    ) -> list[Effect]:
        """Close and report windows that are due; call only while this daemon may act as leader."""
        effects: list[Effect] = []
        if self._clock.start_read_if_due(now):
            effects.append(ReadWallClock())
        own = self._clock.wall_seconds(now)
        if own is not None:
            self._true_time.record(self._settings.node_id, own, now)
        effects.extend(self._propose_reports(now))
        true_seconds = self.true_seconds(now)
        if true_seconds is not None:
            effects.extend(self._close_window(true_seconds, gateways, now))
            effects.extend(self._report_window(true_seconds, now))
        effects.extend(self._caller.tick(group_time, now))
        return effects

    def _propose_reports(self, now: float) -> list[Effect]:
        reports = self._reporter.take_reports()
        return (self._propose(RecordUsage(reports), now) or []) if reports else []

    def _close_window(
        self, true_seconds: float, gateways: Iterable[GatewayContact], now: float
    ) -> list[Effect]:
        first = self._reporter.first_window(true_seconds)
        if first is not None:
            return self._propose(BeginMetering(first), now) or []
        window = self._reporter.window_to_close(true_seconds, gateways, now)
        if window is None:
            return []
        fields = {
            "window": window,
            "age_seconds": round(self._reporter.age_seconds(window, true_seconds), 3),
            "sources": len(self._ledger.open.get(window, {})),
        }
        return [
            LogEvent("usage.window_closed", fields),
            *(self._propose(CloseUsageWindow(window), now) or []),
        ]

    def _report_window(self, true_seconds: float, now: float) -> list[Effect]:
        """Request that the oldest closed window is reported, and drop windows that are overdue."""
        effects: list[Effect] = []
        for window in sorted(self._ledger.closed):
            if not self._reporter.is_overdue(window, true_seconds):
                self._request_report(window)
                break
            fields = {"window": window, "reason": "too_late"}
            effects.append(LogEvent("usage.missed", fields, "warning"))
            effects.extend(self._propose(CompleteUsageWindow(window), now) or [])
        return effects

    def _request_report(self, window: int) -> None:
        counts = self._ledger.closed[window]

        def make(holder: FencedHolder) -> PlatformCall:
            return self._interface.usage_call(holder, window, counts)

        self._caller.request(USAGE_SUBJECT, window, make)

    def on_intent_committed(
        self, intent: RecordCallIntent, may_act: bool, now: float
    ) -> list[Effect]:
        """Handle a committed call intent; an intent of another control daemon is ignored."""
        if intent.holder != self._settings.name:
            return []
        return self._caller.on_intent_recorded(intent.subject, may_act, now)

    def on_call(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """Handle the response or failure of a call to the platform."""
        effects = self._caller.on_call(event, now)
        for outcome in self._caller.take_outcomes():
            effects.extend(self._complete(outcome, now))
        return effects

    def _complete(self, outcome: FencedOutcome, now: float) -> list[Effect]:
        """Complete a window after the platform's final response, whether it accepted the report."""
        if not isinstance(outcome.content, int):
            return []
        fields = {
            "window": outcome.content,
            "accepted": outcome.is_accepted,
            "status": outcome.status,
        }
        log = LogEvent("usage.window_reported", fields)
        return [log, *(self._propose(CompleteUsageWindow(outcome.content), now) or [])]
