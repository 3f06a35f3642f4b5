"""Rate-limited log events for requests that an overloaded service rejects.

Hundreds of requests may be rejected per second, and logging each would cost more than rejecting it.
"""

import msgspec

from merlinstand.common.bounded_table import BoundedTable
from merlinstand.kernel.effects import CountMetric, Effect, LogEvent

OVERLOADED_METRIC = "merlinstand_requests_overloaded_total"
"""Counts requests that were rejected because their service was overloaded."""
LOG_INTERVAL_SECONDS = 0.5
"""Minimum time between two log events of a service."""
MAXIMUM_SERVICES = 4_096
"""Maximum number of services tracked; the oldest entry is evicted beyond that."""


class ServiceRejections(msgspec.Struct):
    """Rejections of one service since its last log event."""

    logged_at: float = float("-inf")
    suppressed: int = 0


class RejectionLog:
    """Rejection log and counters of one gateway."""

    def __init__(self) -> None:
        self._services: BoundedTable[str, ServiceRejections] = BoundedTable(
            MAXIMUM_SERVICES, ServiceRejections
        )

    def record(
        self, service: str, name: str, fields: dict[str, object], now: float
    ) -> list[Effect]:
        """Count a rejection, and return its log event if one is due.

        Args:
            service: The overloaded service.
            name: Name of the log event.
            fields: Fields of the log event; the service and the number of suppressed events are
                added.
            now: Local time.
        """
        counted = CountMetric(OVERLOADED_METRIC, labels={"service": service})
        rejections = self._services[service]
        if now - rejections.logged_at < LOG_INTERVAL_SECONDS:
            rejections.suppressed += 1
            return [counted]
        line = LogEvent(name, {**fields, "service": service, "suppressed": rejections.suppressed})
        rejections.logged_at = now
        rejections.suppressed = 0
        return [counted, line]
