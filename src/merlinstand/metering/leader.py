"""The control leader's side of metering: it has counts agreed and reports them to the platform.

Owns true time as this leader hears it, and the gateways' reports that aren't agreed yet; `windows`
decides when a window is fixed, `fenced_calls` when the platform may be called. Part of the control
daemon's reducer: the daemon hands in what it hears and what is committed, and performs the effects.
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
"""Subject of the fenced calls that report use; one leader at a time makes them."""


class UsageAcknowledgement(msgspec.Struct, frozen=True):
    """What a gateway is answered about its counts."""

    acknowledged: int | None = None
    """Sequence number of the newest report of its life that is agreed; None if it sent none."""
    effects: tuple[Effect, ...] = ()


class MeteringSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a control daemon must know to report the tenants' use."""

    node_id: NodeId
    name: str
    """The machine's name, under which it calls the platform."""
    platform_address: str
    """`ip:port` of the platform."""
    lease_seconds: float
    """Two holders never take turns within this time."""
    calls_per_second: float
    """Most calls that the platform takes from all daemons together."""
    window_seconds: float
    """Length of a window; 0 if no use is reported."""
    due_seconds: float
    """A window's report is due this long after the window's end."""


class MeteringLeader:
    """Everything that one control daemon does for the platform while it leads."""

    def __init__(
        self,
        settings: MeteringSettings,
        ledger: UsageLedger,
        call_intents: CallIntents,
        interface: PlatformInterface,
        propose: Callable[[MeteringCommand, float], list[Effect] | None],
    ) -> None:
        """Begin without a leadership.

        Args:
            settings: Of the daemon.
            ledger: Counts that the group agreed on.
            turns: Who called the platform last, as the group agreed on it.
            interface: Translates the calls.
            propose: Proposes a command; None if that can't be done now.
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
        """Make pauses follow this seed."""
        self._caller.seed(seed)

    def begin(self, fence: int, now: float) -> None:
        """A leadership begins."""
        self._true_time.clear()
        self._reporter.begin(now)
        self._caller.begin(fence)

    def end(self) -> list[Effect]:
        """The leadership is over."""
        return self._caller.end()

    def record_own_clock(self, wall_seconds: float, now: float) -> None:
        """This machine's own clock was read."""
        self._clock.record_reading(wall_seconds, now)

    def record_clock(self, node_id: NodeId, wall_seconds: float, now: float) -> None:
        """A daemon reported its time of day; 0 if it has not read its clock yet."""
        if wall_seconds > 0.0:
            self._true_time.record(node_id, wall_seconds, now)

    def true_seconds(self, now: float) -> float | None:
        """True time in seconds since 1970; None if it isn't known, or no use is reported."""
        return self._true_time.seconds(now) if self._reporter.is_enabled else None

    def handle_usage(self, node_id: NodeId, data: bytes | None) -> UsageAcknowledgement:
        """Take in what a gateway counted; None if that holds nothing new."""
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
        """Fix and report what is due; call it only while this process may act as leader."""
        effects: list[Effect] = []
        if self._clock.start_read_if_due(now):
            effects.append(ReadWallClock())
        own = self._clock.wall_seconds(now)
        if own is not None:
            self._true_time.record(self._settings.node_id, own, now)
        effects.extend(self._agree_on_reports(now))
        true_seconds = self.true_seconds(now)
        if true_seconds is not None:
            effects.extend(self._fix_window(true_seconds, gateways, now))
            effects.extend(self._report_window(true_seconds, now))
        effects.extend(self._caller.tick(group_time, now))
        return effects

    def _agree_on_reports(self, now: float) -> list[Effect]:
        reports = self._reporter.take_reports()
        return (self._propose(RecordUsage(reports), now) or []) if reports else []

    def _fix_window(
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
            LogEvent("usage.fixed", fields),
            *(self._propose(CloseUsageWindow(window), now) or []),
        ]

    def _report_window(self, true_seconds: float, now: float) -> list[Effect]:
        """Have the oldest fixed window reported; give up those that are too late."""
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
        self, turn: RecordCallIntent, may_act: bool, now: float
    ) -> list[Effect]:
        """The note of an act is agreed."""
        if turn.holder != self._settings.name:
            return []
        return self._caller.on_intent_recorded(turn.subject, may_act, now)

    def on_call(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """A call to the platform ended."""
        effects = self._caller.on_call(event, now)
        for outcome in self._caller.take_outcomes():
            effects.extend(self._settle(outcome, now))
        return effects

    def _settle(self, outcome: FencedOutcome, now: float) -> list[Effect]:
        """The platform has answered for good: a window is done with, taken in or not."""
        if not isinstance(outcome.content, int):
            return []
        fields = {"window": outcome.content, "taken": outcome.is_done, "status": outcome.status}
        log = LogEvent("usage.told", fields)
        return [log, *(self._propose(CompleteUsageWindow(outcome.content), now) or [])]
