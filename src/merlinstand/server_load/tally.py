"""Counts of one gateway since its last report: what it sent to servers, what callers asked of it.

Owns the requests in flight by server, which outlive a report. Pure state over local time; part of
the follower.
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
"""Servers counted at once; tries at further ones are passed over until others are silent."""
MAXIMUM_FLOWS = 256
"""Flows of one report; further ones count as their rank's flow without a tenant."""
INITIAL_SPAN_SECONDS = 60.0
"""Span that the first report states, as nothing is known of the time before it: its counts then
weigh little."""


class _ServerCounts(msgspec.Struct):
    """Tries at one server."""

    counted_at: float
    """Until when `busy_seconds` holds the tries in flight."""
    in_flight: int = 0
    sent: int = 0
    answered: int = 0
    refused: int = 0
    in_flight_seconds: float = 0.0
    reported: ReportedLoad | None = None

    def update_in_flight(self, change: int, now: float) -> None:
        """Add to the tries in flight, or only count the time up to now."""
        self.in_flight_seconds += self.in_flight * max(0.0, now - self.counted_at)
        self.counted_at = now
        self.in_flight = max(0, self.in_flight + change)

    def drain(self, backend_id: BackendId) -> ServerTally:
        """Give what was counted, and begin anew."""
        tally = ServerTally(
            backend_id,
            self.sent,
            self.answered,
            self.refused,
            self.in_flight_seconds,
            self.reported,
        )
        self.sent = self.answered = self.refused = 0
        self.in_flight_seconds = 0.0
        self.reported = None
        return tally


class Tally:
    """Counts of one gateway."""

    def __init__(self) -> None:
        """Begin with nothing counted."""
        self._servers: dict[BackendId, _ServerCounts] = {}
        self._flows: dict[Flow, int] = {}
        self._taken_at: float | None = None

    def record_arrival(self, service: str, rank: int, tenant: str) -> None:
        """A caller brought a request."""
        flow = Flow(service, rank, tenant)
        if flow not in self._flows and len(self._flows) >= MAXIMUM_FLOWS:
            flow = Flow(service, rank, "")
        self._flows[flow] = self._flows.get(flow, 0) + 1

    def record_attempt_start(self, backend_id: BackendId, now: float) -> None:
        """A try goes to a server."""
        server = self._servers.get(backend_id)
        if server is None:
            if len(self._servers) >= MAXIMUM_SERVERS:
                return
            server = self._servers[backend_id] = _ServerCounts(now)
        server.update_in_flight(1, now)
        server.sent += 1

    def record_attempt_end(self, backend_id: BackendId, has_response: bool, now: float) -> None:
        """A try ended: with a whole answer of a request that ran, or without."""
        server = self._servers.get(backend_id)
        if server is not None:
            server.update_in_flight(-1, now)
            server.answered += has_response

    def record_refusal(self, backend_id: BackendId, now: float) -> None:
        """A try ended since the server said that it has not run it."""
        server = self._servers.get(backend_id)
        if server is not None:
            server.update_in_flight(-1, now)
            server.refused += 1

    def record_reported_load(self, backend_id: BackendId, load: ReportedLoad) -> None:
        """A server said how loaded it is."""
        server = self._servers.get(backend_id)
        if server is not None:
            server.reported = load

    def drain(self, now: float) -> GatewayLoad | None:
        """Give what was counted since the last report, and begin the next one.

        Returns:
            None if nothing was asked, sent or in flight.
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
