"""A gateway's side of server load: what it tells, and what the control leader published.

Owns the counts since the last report and the newest summary. Part of the directory's follower,
which sends the one with its pulls and takes the other from updates.
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
"""A summary is used for this long after it came: three usual pulls."""
MAXIMUM_STALE_SECONDS = 10.0
"""After this time nothing is concluded from a summary any more."""
MINIMUM_REPORT_INTERVAL_SECONDS = 0.05
"""Reports are no closer than this, whatever a summary says."""
MALFORMED_LOG_INTERVAL_SECONDS = 10.0
"""Shortest time between two log lines about malformed summaries."""
MALFORMED_METRIC = CountMetric("merlinstand_server_load_malformed_summaries_total")


class LastKnownLoad(msgspec.Struct, frozen=True):
    """What was known of a busy service."""

    load: ServiceLoad
    age_seconds: float
    """How long ago it came."""


class LoadFollower:
    """What one gateway counts and knows of servers' load."""

    def __init__(self) -> None:
        """Begin with nothing counted and nothing known."""
        self._tally = Tally()
        self._full_share: float | None = None
        self._reported_at = float("-inf")
        self._summary = LoadSummary()
        self._services: dict[str, ServiceLoad] = {}
        self._received_at = float("-inf")
        self._malformed_logged_at = float("-inf")

    # What requests do

    def record_arrival(self, service: str, rank: int, tenant: str) -> None:
        """A caller brought a request."""
        self._tally.record_arrival(service, rank, tenant)

    def record_attempt_start(self, backend_id: BackendId, now: float) -> None:
        """A try goes to a server."""
        self._tally.record_attempt_start(backend_id, now)

    def record_attempt_end(self, backend_id: BackendId, has_response: bool, now: float) -> None:
        """A try ended: with a whole answer of a request that ran, or without."""
        self._tally.record_attempt_end(backend_id, has_response, now)

    def record_refusal(self, backend_id: BackendId, now: float) -> None:
        """A try ended since the server said that it has not run it."""
        self._tally.record_refusal(backend_id, now)

    def record_reported_load(self, backend_id: BackendId, load: ReportedLoad) -> None:
        """A server said with an answer how loaded it is."""
        self._tally.record_reported_load(backend_id, load)

    def set_full_share(self, share: float | None) -> None:
        """The gateway asks to be named as full, at such a load, or doesn't any more."""
        self._full_share = share

    # What is known

    def service_load(self, service: str, now: float) -> ServiceLoad | None:
        """Give what is known of a busy service; None if it isn't, or nothing fresh is known."""
        return self._services.get(service) if self._is_fresh(now) else None

    def last_service_load(self, service: str, now: float) -> LastKnownLoad | None:
        """Give what the newest summary said of a busy service, fresh or not.

        Returns:
            None if it did not name the service, or is so old that it says nothing.
        """
        load = self._services.get(service)
        age_seconds = now - self._received_at
        if load is None or age_seconds > MAXIMUM_STALE_SECONDS:
            return None
        return LastKnownLoad(load, age_seconds)

    def gateway_count(self, now: float) -> int:
        """Gateways that share the servers, by the newest fresh summary; 0 if unknown."""
        return self._summary.gateways if self._is_fresh(now) else 0

    def may_report_full(self, gateway: NodeId, now: float) -> bool:
        """Whether the leader names a gateway that may ask for no new connections."""
        return self._is_fresh(now) and gateway in self._summary.full_gateways

    def _is_fresh(self, now: float) -> bool:
        return now - self._received_at <= FRESH_SECONDS

    # Messages

    def report_interval_seconds(self, now: float) -> float:
        """How long to wait between two reports: endless while no service is busy."""
        if not self._services or not self._is_fresh(now):
            return math.inf
        return max(MINIMUM_REPORT_INTERVAL_SECONDS, self._summary.report_interval_seconds)

    def is_report_due(self, now: float) -> bool:
        """Whether a service is busy and the last report is some time ago."""
        return now - self._reported_at >= self.report_interval_seconds(now)

    def next_report(self, now: float) -> bytes | None:
        """Give what was counted for a pull that leaves now, encoded; None if there is nothing."""
        self._reported_at = now
        load = self._tally.drain(now)
        if self._full_share is not None:
            load = msgspec.structs.replace(load or GatewayLoad(0.0), full_share=self._full_share)
        return None if load is None else encode_gateway_load(load)

    def apply_summary(self, data: bytes, now: float) -> list[Effect]:
        """Take the leader's summary in; a malformed one is passed over."""
        try:
            summary = decode_summary(data)
        except DECODE_ERRORS as error:
            return self._handle_malformed(str(error), now)
        if not _is_valid(summary):
            return self._handle_malformed("a figure out of its bounds", now)
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
    """Whether all its figures lie within their bounds."""
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
