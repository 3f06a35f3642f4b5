"""State of one live service at the control leader: arrivals by flow, and whether it is busy.

Also tracks which states of the service were logged, so that each change is logged once.
"""

from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.kernel.effects import Effect, LogEvent, SetGauge
from merlinstand.server_load.decaying_sum import DecayingSum
from merlinstand.server_load.flow_limits import FlowDemand
from merlinstand.server_load.reports import FlowLimit, FlowTally, ServerShare

BUSY_THRESHOLD = 0.3
"""The load of a service is published from this utilization or demand on. At a lower load hardly any
request waits at a backend, and a gateway's own evidence suffices."""
BUSY_END_THRESHOLD = 0.2
"""The load of a busy service is published until both utilization and demand are below this."""
QUICK_CHECK_UTILIZATION = 0.1
"""Below this utilization, per-backend estimates are skipped, provided that most requests get
responses."""
QUICK_CHECK_RESPONSE_FRACTION = 0.5
"""Minimum ratio of responses to arrivals for skipping per-backend estimates."""
QUICK_CHECK_ARRIVALS_PER_SECOND = 5.0
"""Rate of arrivals that is exempt from this ratio, since recent requests have no response yet."""
MAXIMUM_FLOWS = 512
"""Maximum flows tracked for a service; arrivals of further flows are counted for their rank without
a tenant."""
MAXIMUM_RANK = 100
"""This rank and all less urgent ones are counted together."""
MINIMUM_FLOW_PER_SECOND = 0.01
"""A flow with a lower arrival rate is dropped."""
LIMIT_END_DEMAND = 0.8
"""After limits were logged, new limits are not logged until the demand was below this."""
SLOW_RATIO = 2.0
"""A backend is logged as slow from this ratio of its service time to that of the faster backends
on."""
NORMAL_RATIO = 1.5
"""A slow backend is logged as normal again below this ratio."""
MINIMUM_SLOW_SECONDS = 5.0
"""Minimum time between logging a backend as slow and as normal again, since the speed of a backend
may vary within seconds."""


class _FlowKey(msgspec.Struct, frozen=True):
    rank: int
    tenant: str


class LiveService:
    """A live service with counts from gateways."""

    def __init__(self, name: str, now: float) -> None:
        """Start without arrivals, as not busy.

        Args:
            name: Name of the service.
            now: Local time.
        """
        self.name = name
        self.in_flight_seconds = DecayingSum(now)
        """Time integral of all gateways' requests in flight."""
        self.responses = DecayingSum(now)
        self.is_busy = False
        self.has_limits = False
        """Whether some arrivals must not be admitted now."""
        self._is_limit_logged = False
        """Whether the start of limits was logged. After limits have ended, cleared only below
        `LIMIT_END_DEMAND`, so that limits which start again are not logged each time."""
        self._slow_since: dict[BackendId, float] = {}
        self._flows: dict[_FlowKey, DecayingSum] = {}

    def record_arrivals(self, tally: FlowTally, weight: float, now: float) -> None:
        """Add a gateway's arrivals of one flow.

        Args:
            tally: The gateway's count for the flow.
            weight: Fraction of the count that lies within the observed time, 0 to 1.
            now: Local time.
        """
        key = _FlowKey(min(MAXIMUM_RANK, max(0, tally.rank)), tally.tenant)
        if key not in self._flows and len(self._flows) >= MAXIMUM_FLOWS:
            key = _FlowKey(key.rank, "")
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = DecayingSum(now)
        flow.add(tally.arrivals * weight, now)

    def arrival_rates(self, now: float) -> list[FlowDemand]:
        """Return the present arrival rates by flow; drop flows without recent arrivals."""
        rates = {key: flow.per_second(now) for key, flow in self._flows.items()}
        self._flows = {
            key: flow for key, flow in self._flows.items() if rates[key] >= MINIMUM_FLOW_PER_SECOND
        }
        return [FlowDemand(key.rank, key.tenant, rates[key]) for key in self._flows]

    def is_lightly_loaded(self, slots: int, arrivals_per_second: float, now: float) -> bool:
        """Return whether a cheap check shows that the service is far from busy."""
        if (
            self.is_busy
            or self.in_flight_seconds.per_second(now) >= QUICK_CHECK_UTILIZATION * slots
        ):
            return False
        responses_per_second = self.responses.per_second(now)
        return responses_per_second >= QUICK_CHECK_RESPONSE_FRACTION * (
            arrivals_per_second - QUICK_CHECK_ARRIVALS_PER_SECOND
        )

    def update_load(self, demand: float, utilization: float, servers: int) -> list[Effect]:
        """Update whether the service is busy.

        Args:
            demand: Ratio of the arrival rate to the rate that the backends can serve.
            utilization: Requests in flight per slot of the backends.
            servers: Number of backends.
        """
        was_busy = self.is_busy
        self.is_busy = max(demand, utilization) >= (
            BUSY_END_THRESHOLD if was_busy else BUSY_THRESHOLD
        )
        if not self.is_busy and not was_busy:
            return []
        effects: list[Effect] = [self._gauge("server_load_demand", demand)]
        fields = {
            "service": self.name,
            "demand": round(demand, 3),
            "utilization": round(utilization, 3),
        }
        if self.is_busy and not was_busy:
            effects.append(LogEvent("service.busy", {**fields, "servers": servers}))
        elif not self.is_busy:
            effects.extend(self._end_busy(LogEvent("service.not_busy", fields)))
        return effects

    def mark_unknown(self, servers: int, without_slots: int) -> list[Effect]:
        """Stop treating the service as busy because its backends can't be estimated any more.

        Args:
            servers: Number of backends that receive requests.
            without_slots: Number of these backends with an unknown number of slots.
        """
        if not self.is_busy:
            return []
        fields = {"service": self.name, "servers": servers, "without_slots": without_slots}
        unknown = LogEvent("service.load_unknown", fields)
        return [self._gauge("server_load_demand", 0.0), *self._end_busy(unknown)]

    def _end_busy(self, event: LogEvent) -> list[Effect]:
        """Reset the state of a busy service, whose load is no longer published."""
        self.is_busy = self.has_limits = self._is_limit_logged = False
        self._slow_since.clear()
        return [self._gauge("server_load_admitted", 1.0), event]

    def update_limits(self, demand: float, limits: tuple[FlowLimit, ...]) -> list[Effect]:
        """Update whether some arrivals must not be admitted."""
        self.has_limits = bool(limits)
        strictest = min(limits, key=lambda limit: limit.admitted, default=None)
        admitted = 1.0 if strictest is None else strictest.admitted
        effects: list[Effect] = [self._gauge("server_load_admitted", admitted)]
        if strictest is None:
            self._is_limit_logged = self._is_limit_logged and demand >= LIMIT_END_DEMAND
        elif not self._is_limit_logged:
            self._is_limit_logged = True
            fields = {
                "service": self.name,
                "demand": round(demand, 3),
                "rank": strictest.rank,
                "tenant": strictest.tenant,
                "admitted": round(strictest.admitted, 3),
            }
            effects.append(LogEvent("service.limited", fields))
        return effects

    def update_service_times(self, servers: Sequence[ServerShare], now: float) -> list[Effect]:
        """Update which backends are slower than the others.

        Args:
            servers: All backends of the service that receive requests; at least one.
            now: Local time.
        """
        reference_seconds = sorted(server.service_seconds for server in servers)[len(servers) // 4]
        present = {server.backend_id: server.service_seconds for server in servers}
        self._slow_since = {b: at for b, at in self._slow_since.items() if b in present}
        effects: list[Effect] = []
        for backend_id, seconds in present.items():
            since = self._slow_since.get(backend_id)
            ratio = seconds / reference_seconds
            if since is None and ratio >= SLOW_RATIO:
                self._slow_since[backend_id] = now
                effects.append(self._server_event("server.slow", backend_id, seconds, ratio))
            elif since is not None and ratio < NORMAL_RATIO and now - since >= MINIMUM_SLOW_SECONDS:
                del self._slow_since[backend_id]
                effects.append(self._server_event("server.normal", backend_id, seconds, ratio))
        return effects

    def _server_event(
        self, name: str, backend_id: BackendId, seconds: float, ratio: float
    ) -> LogEvent:
        fields = {
            "service": self.name,
            "backend": backend_id,
            "service_ms": round(1000.0 * seconds, 1),
            "ratio": round(ratio, 2),
        }
        return LogEvent(name, fields)

    def _gauge(self, name: str, value: float) -> SetGauge:
        return SetGauge(name, value, {"service": self.name})
