"""State of one engine in a rollout, and the decision which order (command) it gets next.

`EngineRollout.next_order` applies the first matching rule:

1. An order is pending, or the back-off after a failure is not over: nothing.
2. The engine is in quarantine after a failed swap: load the newest version, with a newer fence.
3. The newest version is active: nothing.
4. A version newer than the active one is loaded: activate the newest such version.
5. Load the newest version.

Results that the engine confirmed in reply to orders of this lease override its reports for
`REPORT_OVERRIDE_SECONDS`. All state is reset when the engine's process has restarted (a new
incarnation).
"""

import enum

import msgspec

from merlinstand.configuration.objects import Weights, WeightVersion
from merlinstand.coordinator.engine_protocol import (
    EngineOrder,
    EngineState,
    EngineStatus,
    OrderKind,
    OrderState,
)
from merlinstand.coordinator.settings import RolloutSettings

REPORT_OVERRIDE_SECONDS = 3.0
"""Reports may be outdated: one that contradicts a confirmed order is ignored for this long."""

MAXIMUM_DOUBLINGS = 16
"""Limit on the exponent of the back-off, which avoids an overflow; `longest_retry_seconds` limits
the delay at far smaller exponents."""


class Need(enum.Enum):
    """Kind of order that an engine needs next."""

    NOTHING = "nothing"
    LOAD = "load"
    ACTIVATE = "activate"


class NextOrder(msgspec.Struct, frozen=True):
    """The kind of order needed and its version."""

    need: Need
    version: WeightVersion | None = None


NOTHING = NextOrder(Need.NOTHING)


class EngineRollout:
    """State of the orders sent to one engine under one lease."""

    def __init__(self) -> None:
        """No order was sent to the engine under this lease."""
        self.order: EngineOrder | None = None
        """The pending order."""
        self.sent_at = 0.0
        """When the pending order was first sent."""
        self.last_sent_at = 0.0
        self.in_call = False
        self.quarantined = False
        """Whether the engine must load again before activating, because its last swap failed or has
        an unknown result."""
        self.not_before = 0.0
        self._failures = 0
        self._incarnation: int | None = None
        self._loaded: set[tuple[int, str]] = set()
        """(version, digest) pairs that the engine confirmed as loaded, in reply to orders of this
        lease."""
        self._confirmed: tuple[int, str] | None = None
        """(version, digest) that the engine confirmed as active, in reply to an order of this
        lease."""
        self._confirmed_at = 0.0

    @property
    def swapping(self) -> bool:
        """Whether an activation is pending."""
        return self.order is not None and self.order.kind is OrderKind.ACTIVATE

    @property
    def loading(self) -> bool:
        """Whether a load is pending."""
        return self.order is not None and self.order.kind is OrderKind.LOAD

    def observe(self, status: EngineStatus, now: float) -> None:
        """Handle a report; a new incarnation resets the state."""
        if self._incarnation is not None and status.incarnation != self._incarnation:
            # The engine restarted without weights: all earlier confirmations are void.
            self.order = None
            self.in_call = False
            self.quarantined = False
            self._loaded.clear()
            self._confirmed = None
            self._failures = 0
            self.not_before = now
        self._incarnation = status.incarnation

    def record_sent(self, order: EngineOrder, now: float) -> None:
        """Record that an order was sent or resent."""
        if self.order != order:
            self.order = order
            self.sent_at = now
        self.last_sent_at = now
        self.in_call = True

    def record_result(self, state: OrderState, now: float, settings: RolloutSettings) -> None:
        """Record the result of the pending order."""
        order = self.order
        if order is None or state is OrderState.IN_PROGRESS:
            return
        self.order = None
        if state is OrderState.FAILED:
            self._record_failure(order, now, settings)
            return
        self._failures = 0
        if order.kind is OrderKind.LOAD:
            self.quarantined = False
            self._loaded.add((order.version, order.digest))
        elif order.kind is OrderKind.ACTIVATE:
            self._confirmed = (order.version, order.digest)
            self._confirmed_at = now

    def is_overdue(self, now: float, settings: RolloutSettings) -> bool:
        """Return whether the pending order has exceeded its time limit."""
        if self.order is None:
            return False
        limit = settings.load_timeout_seconds
        if self.order.kind is not OrderKind.LOAD:
            limit = settings.activate_timeout_seconds
        return now - self.sent_at > limit

    def next_order(self, status: EngineStatus, weights: Weights, now: float) -> NextOrder:
        """Return the next order that the engine needs to serve the newest version.

        Args:
            status: The engine's last report, which may be outdated.
            weights: Published versions, oldest first.
            now: Local monotonic time.
        """
        if self.order is not None or now < self.not_before or not weights.versions:
            return NOTHING
        newest = weights.versions[-1]
        if self.quarantined:
            return NextOrder(Need.LOAD, newest)
        active = self._active_version(status, now)
        if active == (newest.version, newest.digest):
            return NOTHING
        # Activate a loaded version that is newer than the active one, even if it is not the
        # newest: if versions are published faster than loads finish, the newest is never loaded.
        for version in reversed(weights.versions):
            if version.version <= active[0]:
                break
            if self._has_loaded(status, version):
                return NextOrder(Need.ACTIVATE, version)
        return NextOrder(Need.LOAD, newest)

    def _active_version(self, status: EngineStatus, now: float) -> tuple[int, str]:
        if self._confirmed is not None and now - self._confirmed_at < REPORT_OVERRIDE_SECONDS:
            return self._confirmed
        if status.state is EngineState.FAILED:
            return (0, "")
        return (status.active_version or 0, status.active_digest or "")

    def _has_loaded(self, status: EngineStatus, version: WeightVersion) -> bool:
        confirmed = (version.version, version.digest) in self._loaded
        return confirmed or status.has_loaded(version.version, version.digest)

    def _record_failure(self, order: EngineOrder, now: float, settings: RolloutSettings) -> None:
        wait_seconds = min(
            settings.retry_seconds * 2.0**self._failures, settings.longest_retry_seconds
        )
        self._failures = min(self._failures + 1, MAXIMUM_DOUBLINGS)
        self.not_before = now + wait_seconds
        self._loaded.discard((order.version, order.digest))
        if order.kind is OrderKind.ACTIVATE:
            self.quarantined = True
            self._confirmed = None
