"""Counts of one gateway since its last report: attempts by backend, and arrivals by flow.

The numbers of requests in flight are kept across reports. No I/O; the caller passes in the local
time. Part of the follower.
"""

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.server_load.reports import (
    Flow,
    FlowTally,
    GatewayLoad,
    ReportedLoad,
    ServerTally,
)

MAXIMUM_SERVERS = 512
"""Maximum backends counted at once. Attempts at further backends are ignored until a counted
backend is idle."""
MAXIMUM_FLOWS = 256
"""Maximum flows in one report; arrivals of further flows are counted for their rank without a
tenant."""
INITIAL_SPAN_SECONDS = 60.0
"""Time span stated in the first report, since the actual span is unknown. The leader gives the
counts of a long span little weight."""


class _ServerCounts(msgspec.Struct):
    """Attempts at one backend."""

    counted_at: float
    """Time up to which `in_flight_seconds` includes the attempts in flight."""
    in_flight: int = 0
    sent: int = 0
    responses: int = 0
    refused: int = 0
    in_flight_seconds: float = 0.0
    reported: ReportedLoad | None = None

    def update_in_flight(self, change: int, now: float) -> None:
        """Change the number of attempts in flight and integrate the time up to now."""
        self.in_flight_seconds += self.in_flight * max(0.0, now - self.counted_at)
        self.counted_at = now
        self.in_flight = max(0, self.in_flight + change)

    def drain(self, backend_id: BackendId) -> ServerTally:
        """Return the counts and reset them, except the attempts in flight."""
        tally = ServerTally(
            backend_id,
            self.sent,
            self.responses,
            self.refused,
            self.in_flight_seconds,
            self.reported,
        )
        self.sent = self.responses = self.refused = 0
        self.in_flight_seconds = 0.0
        self.reported = None
        return tally


class Tally:
    """Counts of one gateway."""

    def __init__(self) -> None:
        self._servers: dict[BackendId, _ServerCounts] = {}
        self._flows: dict[Flow, int] = {}
        self._taken_at: float | None = None

    def record_arrival(self, service: str, rank: int, tenant: str) -> None:
        """Record a request from a caller."""
        flow = Flow(service, rank, tenant)
        if flow not in self._flows and len(self._flows) >= MAXIMUM_FLOWS:
            flow = Flow(service, rank, "")
        self._flows[flow] = self._flows.get(flow, 0) + 1

    def record_attempt_start(self, backend_id: BackendId, now: float) -> None:
        """Record that an attempt is sent to a backend."""
        server = self._servers.get(backend_id)
        if server is None:
            if len(self._servers) >= MAXIMUM_SERVERS:
                return
            server = self._servers[backend_id] = _ServerCounts(now)
        server.update_in_flight(1, now)
        server.sent += 1

    def record_attempt_end(self, backend_id: BackendId, has_response: bool, now: float) -> None:
        """Record the end of an attempt that was not refused.

        Args:
            backend_id: The backend.
            has_response: Whether there is a complete response of a request that ran.
            now: Local time.
        """
        server = self._servers.get(backend_id)
        if server is not None:
            server.update_in_flight(-1, now)
            server.responses += has_response

    def record_refusal(self, backend_id: BackendId, now: float) -> None:
        """Record the end of an attempt that the backend refused to run."""
        server = self._servers.get(backend_id)
        if server is not None:
            server.update_in_flight(-1, now)
            server.refused += 1

    def record_reported_load(self, backend_id: BackendId, load: ReportedLoad) -> None:
        """Record the load that a backend reported."""
        server = self._servers.get(backend_id)
        if server is not None:
            server.reported = load

    def drain(self, now: float) -> GatewayLoad | None:
        """Return the counts since the last report, and start counting for the next report.

        Returns:
            None if there were no arrivals, and no attempts sent or in flight.
        """
        span_seconds = INITIAL_SPAN_SECONDS
        if self._taken_at is not None:
            span_seconds = max(0.0, now - self._taken_at)
        self._taken_at = now
        if not self._servers and not self._flows:
            return None
        for server in self._servers.values():
            server.update_in_flight(0, now)
        servers = tuple(server.drain(backend_id) for backend_id, server in self._servers.items())
        self._servers = {b: server for b, server in self._servers.items() if server.in_flight}
        flows = tuple(FlowTally(f.service, f.rank, f.tenant, n) for f, n in self._flows.items())
        self._flows.clear()
        return GatewayLoad(span_seconds, servers, flows)
