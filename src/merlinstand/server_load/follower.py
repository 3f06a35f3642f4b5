"""A gateway's side of server load: its reports, and the summary that the control leader published.

Owns the counts since the last report and the newest summary. The directory's follower sends the
reports with its pulls and passes on the summaries that it receives in updates.
"""

import math

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.kernel.effects import CountMetric, Effect, LogEvent
from merlinstand.server_load.reports import (
    GatewayLoad,
    LoadSummary,
    ReportedLoad,
    ServiceLoad,
    decode_summary,
    encode_gateway_load,
)
from merlinstand.server_load.tally import Tally

FRESH_SECONDS = 1.0
"""A summary counts as fresh for this long after its arrival: three usual pull intervals."""
MAXIMUM_STALE_SECONDS = 10.0
"""After this time a summary is not used at all."""
MINIMUM_REPORT_INTERVAL_SECONDS = 0.05
"""Lower bound of the report interval, whatever a summary says."""
MALFORMED_LOG_INTERVAL_SECONDS = 10.0
"""Minimum time between two log lines about malformed summaries."""
MALFORMED_METRIC = CountMetric("merlinstand_server_load_malformed_summaries_total")


class LastKnownLoad(msgspec.Struct, frozen=True):
    """The last known load of a busy service."""

    load: ServiceLoad
    age_seconds: float
    """Time since the summary with this load was received."""


class LoadFollower:
    """The counts of one gateway, and the newest published load of busy services."""

    def __init__(self) -> None:
        self._tally = Tally()
        self._full_share: float | None = None
        self._reported_at = float("-inf")
        self._summary = LoadSummary()
        self._services: dict[str, ServiceLoad] = {}
        self._received_at = float("-inf")
        self._malformed_logged_at = float("-inf")

    # Counting

    def record_arrival(self, service: str, rank: int, tenant: str) -> None:
        """Record a request from a caller."""
        self._tally.record_arrival(service, rank, tenant)

    def record_attempt_start(self, backend_id: BackendId, now: float) -> None:
        """Record that an attempt is sent to a backend."""
        self._tally.record_attempt_start(backend_id, now)

    def record_attempt_end(self, backend_id: BackendId, has_response: bool, now: float) -> None:
        """Record the end of an attempt that was not refused.

        Args:
            backend_id: The backend.
            has_response: Whether there is a complete response of a request that ran.
            now: Local time.
        """
        self._tally.record_attempt_end(backend_id, has_response, now)

    def record_refusal(self, backend_id: BackendId, now: float) -> None:
        """Record the end of an attempt that the backend refused to run."""
        self._tally.record_refusal(backend_id, now)

    def record_reported_load(self, backend_id: BackendId, load: ReportedLoad) -> None:
        """Record the load that a backend reported with a response."""
        self._tally.record_reported_load(backend_id, load)

    def set_full_share(self, share: float | None) -> None:
        """Set the load with which the gateway asks to be listed as full; None to stop asking."""
        self._full_share = share

    # Published load

    def service_load(self, service: str, now: float) -> ServiceLoad | None:
        """Return the load of a service; None if it is not busy or the summary is not fresh."""
        return self._services.get(service) if self._is_fresh(now) else None

    def last_service_load(self, service: str, now: float) -> LastKnownLoad | None:
        """Return the load of a busy service in the newest summary, fresh or not.

        Returns:
            None if the summary does not name the service or is older than `MAXIMUM_STALE_SECONDS`.
        """
        load = self._services.get(service)
        age_seconds = now - self._received_at
        if load is None or age_seconds > MAXIMUM_STALE_SECONDS:
            return None
        return LastKnownLoad(load, age_seconds)

    def gateway_count(self, now: float) -> int:
        """Return the number of live gateways; 0 without a fresh summary."""
        return self._summary.gateways if self._is_fresh(now) else 0

    def may_report_full(self, gateway: NodeId, now: float) -> bool:
        """Return whether the leader lists a gateway as one that may report itself as full."""
        return self._is_fresh(now) and gateway in self._summary.full_gateways

    def _is_fresh(self, now: float) -> bool:
        return now - self._received_at <= FRESH_SECONDS

    # Messages

    def report_interval_seconds(self, now: float) -> float:
        """Return the time between two reports; infinite while no service is busy."""
        if not self._services or not self._is_fresh(now):
            return math.inf
        return max(MINIMUM_REPORT_INTERVAL_SECONDS, self._summary.report_interval_seconds)

    def is_report_due(self, now: float) -> bool:
        """Return whether a service is busy and the report interval has passed."""
        return now - self._reported_at >= self.report_interval_seconds(now)

    def next_report(self, now: float) -> bytes | None:
        """Return the encoded counts for a pull sent now; None if there are none."""
        self._reported_at = now
        load = self._tally.drain(now)
        if self._full_share is not None:
            load = msgspec.structs.replace(load or GatewayLoad(0.0), full_share=self._full_share)
        return None if load is None else encode_gateway_load(load)

    def apply_summary(self, data: bytes, now: float) -> list[Effect]:
        """Apply the leader's encoded summary; a malformed one is ignored, counted and logged."""
        try:
            summary = decode_summary(data)
        except DECODE_ERRORS as error:
            return self._handle_malformed(str(error), now)
        if not _is_valid(summary):
            return self._handle_malformed("value out of range", now)
        self._summary = summary
        self._services = {load.service: load for load in summary.services}
        self._received_at = now
        return []

    def _handle_malformed(self, detail: str, now: float) -> list[Effect]:
        if now - self._malformed_logged_at < MALFORMED_LOG_INTERVAL_SECONDS:
            return [MALFORMED_METRIC]
        self._malformed_logged_at = now
        return [MALFORMED_METRIC, LogEvent("load.malformed", {"detail": detail}, "warning")]


def _is_valid(summary: LoadSummary) -> bool:
    """Return whether all figures are within their bounds."""
    if summary.gateways < 0 or not 0.0 <= summary.report_interval_seconds < math.inf:
        return False
    return all(_is_load_valid(load) for load in summary.services)


def _is_load_valid(load: ServiceLoad) -> bool:
    shares = [server.share for server in load.servers]
    admitted = [limit.admitted for limit in load.limits]
    times = [server.service_seconds for server in load.servers]
    return (
        0.0 <= load.demand < math.inf
        and all(0.0 <= share <= 1.0 for share in (*shares, *admitted))
        and all(0.0 < seconds < math.inf for seconds in times)
    )
