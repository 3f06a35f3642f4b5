"""The control leader's side of server load: combines gateways' counts and publishes busy services.

Owns an estimate for each backend of live services that received a request, and the arrivals by
flow. Both are soft state that decays within seconds; a new leadership starts without any. Backends
and zones are read from the replicated directory. Part of the control daemon's reducer.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.routes import RoutesDocument
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.kernel.effects import CountMetric, Effect, LogEvent
from merlinstand.server_load.estimate import ServerEstimate, estimate_service
from merlinstand.server_load.flow_limits import (
    FlowDemand,
    capacity_correction,
    flow_limits,
    is_overloaded,
)
from merlinstand.server_load.full_gateways import FullGateways
from merlinstand.server_load.live_service import LiveService
from merlinstand.server_load.reports import (
    MAXIMUM_COUNT,
    FlowLimit,
    GatewayLoad,
    LoadSummary,
    ServerShare,
    ServerTally,
    ServiceLoad,
    decode_gateway_load,
    encode_summary,
)
from merlinstand.server_load.shares import ServerSpeed, split_demand

SUMMARY_INTERVAL_SECONDS = 0.04
"""Minimum time between two summaries: about the time of one request, in which a queue builds
up."""
EMPTY_SUMMARY_SECONDS = 2.0
"""Empty summaries are published for this long after a service was last busy or a gateway last asked
to be listed as full: twice as long as gateways use a summary."""
REPORTS_PER_SECOND = 1000
"""Target rate of reports from all gateways while a service is busy, from which their report
interval follows. Processing them takes a quarter of a core with 100 backends (docs/CAPACITY.md).
"""
MINIMUM_REPORT_INTERVAL_SECONDS = 0.05
"""Lower bound of the gateways' report interval; a backend's queue drains in about this time."""
MAXIMUM_REPORT_SPAN_SECONDS = 1.0
"""Counts of a report that covers a longer time are scaled down to this time."""
MALFORMED_LOG_INTERVAL_SECONDS = 10.0
"""Minimum time between two log lines about malformed reports."""
MALFORMED_METRIC = CountMetric("merlinstand_server_load_malformed_reports_total")


class LoadDirectory(Protocol):
    """The parts of the replicated directory that are read here."""

    document: RoutesDocument | None
    document_revision: int
    live_backends_revision: int
    live_services: frozenset[str]

    @property
    def backends(self) -> Mapping[BackendId, Backend]:
        """Registered backends."""
        ...

    @property
    def evacuated_zones(self) -> tuple[str, ...]:
        """Zones whose backends receive no requests."""
        ...


class ReportReply(msgspec.Struct, frozen=True):
    """The reply to a daemon's report."""

    data: bytes | None = None
    """Encoded summary; None if nothing is published, or for a daemon that receives none."""
    effects: tuple[Effect, ...] = ()


class _Members(msgspec.Struct, frozen=True):
    """Backends of a live service that receive requests without a grant from the leader, that is,
    without the rate limit for cold backends.
    """

    backends: tuple[Backend, ...]
    slots: int
    """Sum of the registered slots."""


class _ServiceEstimate(msgspec.Struct, frozen=True):
    """Estimates of the backends of a service at one moment."""

    speeds: tuple[ServerSpeed, ...]
    in_flight: tuple[float, ...]
    """Mean number of requests in flight at each backend, in the order of `speeds`."""
    responses_per_second: float
    is_self_reported: bool
    """Whether at least one backend reports its load, and none responds without doing so."""

    @property
    def slots(self) -> int:
        """Number of requests that the backends can run at once."""
        return sum(speed.slots for speed in self.speeds)

    @property
    def capacity(self) -> float:
        """Number of requests that the backends can serve per second."""
        return sum(speed.per_second for speed in self.speeds)

    @property
    def utilization(self) -> float:
        """Requests in flight per slot of the backends; above 1 if requests wait in queues."""
        return sum(self.in_flight) / self.slots

    @property
    def pressure(self) -> float:
        """Requests in flight per slot, averaged over the backends and weighted by their capacity.

        The weights make requests held by an unresponsive backend count for little.
        """
        pairs = zip(self.speeds, self.in_flight, strict=True)
        weighted = sum(speed.per_second * count / speed.slots for speed, count in pairs)
        return weighted / self.capacity


class LoadLeader:
    """The load of all live services, at one leader."""

    def __init__(
        self, directory: LoadDirectory, gateway_zones: Callable[[float], Mapping[NodeId, str]]
    ) -> None:
        """Start without estimates.

        Args:
            directory: The replicated directory.
            gateway_zones: Returns the zone of each gateway that this leader has recently heard from
                at a local time.
        """
        self._directory = directory
        self._gateway_zones = gateway_zones
        self._servers: dict[BackendId, ServerEstimate] = {}
        """By registered backend of a live service that received a request."""
        self._services: dict[str, LiveService] = {}
        """Live services only."""
        self._members: dict[str, _Members] = {}
        """By live service."""
        self._full_gateways = FullGateways()
        self._directory_version: tuple[int, int, tuple[str, ...]] | None = None
        self._summary: bytes | None = None
        self._summarized_at = float("-inf")
        self._last_published_at = float("-inf")
        """When a service was last busy, or a gateway last asked to be listed as full."""
        self._malformed_logged_at = float("-inf")

    def reset(self) -> None:
        """Reset at the start of a leadership; gateways report their counts from now on."""
        self._servers.clear()
        self._services.clear()
        self._directory_version = None
        self._summary = None
        self._full_gateways.clear()
        self._summarized_at = self._last_published_at = float("-inf")

    def forget_backend(self, backend_id: BackendId) -> None:
        """Drop the estimate of a backend that restarted under its id."""
        self._servers.pop(backend_id, None)

    def handle_report(
        self, sender: NodeId, is_gateway: bool, data: bytes | None, now: float
    ) -> ReportReply:
        """Apply a daemon's report; call it only while this process may act as leader.

        Args:
            sender: The reporting daemon.
            is_gateway: Whether the daemon is a gateway, and so receives the summary.
            data: The daemon's encoded report, if any.
            now: Local time.
        """
        effects: list[Effect] = []
        full_share = None
        if data:
            try:
                load = decode_gateway_load(data)
            except DECODE_ERRORS as error:
                effects.extend(self._handle_malformed(sender, str(error), now))
            else:
                self._apply_report(load, now)
                full_share = load.full_share
        if not is_gateway:
            return ReportReply(effects=tuple(effects))
        self._full_gateways.record(sender, full_share, now)
        if now - self._summarized_at >= SUMMARY_INTERVAL_SECONDS:
            self._summarized_at = now
            effects.extend(self._summarize(now))
        return ReportReply(self._summary, tuple(effects))

    def _handle_malformed(self, sender: NodeId, detail: str, now: float) -> list[Effect]:
        if now - self._malformed_logged_at < MALFORMED_LOG_INTERVAL_SECONDS:
            return [MALFORMED_METRIC]
        self._malformed_logged_at = now
        fields = {"daemon": sender, "detail": detail}
        return [MALFORMED_METRIC, LogEvent("load.malformed", fields, "warning")]

    # Reports

    def _apply_report(self, load: GatewayLoad, now: float) -> None:
        self._sync_directory()
        span_seconds = load.span_seconds
        if not _is_valid_count(span_seconds):
            return
        weight = min(
            1.0, MAXIMUM_REPORT_SPAN_SECONDS / max(span_seconds, MAXIMUM_REPORT_SPAN_SECONDS)
        )
        for tally in load.servers:
            self._apply_server_counts(tally, weight, now)
        for flow in load.flows:
            if flow.service in self._members and _is_valid_count(flow.arrivals):
                self._service(flow.service, now).record_arrivals(flow, weight, now)

    def _apply_server_counts(self, tally: ServerTally, weight: float, now: float) -> None:
        backend = self._directory.backends.get(tally.backend_id)
        if backend is None or backend.service not in self._members:
            return
        if not _is_valid_count(tally.in_flight_seconds) or not _is_valid_count(tally.responses):
            return
        service = self._service(backend.service, now)
        service.in_flight_seconds.add(tally.in_flight_seconds * weight, now)
        service.responses.add(tally.responses * weight, now)
        self._server(backend, now).add_counts(tally, weight, now)

    def _service(self, name: str, now: float) -> LiveService:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = LiveService(name, now)
        return service

    def _server(self, backend: Backend, now: float) -> ServerEstimate:
        server = self._servers.get(backend.backend_id)
        if server is None:
            server = ServerEstimate(backend.slots, now)
            self._servers[backend.backend_id] = server
        server.registered_slots = backend.slots
        return server

    def _sync_directory(self) -> None:
        """Drop state about removed backends and services after the directory has changed."""
        directory = self._directory
        zones = directory.evacuated_zones
        version = (directory.document_revision, directory.live_backends_revision, zones)
        if version == self._directory_version:
            return
        self._directory_version = version
        document = directory.document
        services = document.services if document is not None else ()
        limited = {s.name for s in services if s.cold_requests_per_second > 0.0}
        members: dict[str, list[Backend]] = {name: [] for name in directory.live_services}
        present: set[BackendId] = set()
        for backend in directory.backends.values():
            of_service = members.get(backend.service)
            if of_service is None:
                continue
            present.add(backend.backend_id)
            is_granted = backend.is_cold and backend.service in limited
            if not backend.is_draining and backend.zone not in zones and not is_granted:
                of_service.append(backend)
        self._members = {
            name: _Members(tuple(backends), sum(backend.slots for backend in backends))
            for name, backends in members.items()
        }
        self._servers = {b: server for b, server in self._servers.items() if b in present}
        self._services = {n: service for n, service in self._services.items() if n in members}

    # Summary

    def _summarize(self, now: float) -> list[Effect]:
        """Rebuild the encoded summary."""
        self._sync_directory()
        effects: list[Effect] = []
        busy: list[ServiceLoad] = []
        for _name, service in sorted(self._services.items()):
            load = self._service_load(service, now, effects)
            if load is not None:
                busy.append(load)
        if busy or not self._full_gateways.is_empty:
            self._last_published_at = now
        self._summary = None
        if now - self._last_published_at < EMPTY_SUMMARY_SECONDS:
            self._summary = encode_summary(self._build_summary(busy, now))
        return effects

    def _build_summary(self, busy: Sequence[ServiceLoad], now: float) -> LoadSummary:
        zones = self._gateway_zones(now)
        report_seconds = max(MINIMUM_REPORT_INTERVAL_SECONDS, len(zones) / REPORTS_PER_SECOND)
        full = self._full_gateways.select(zones, now)
        return LoadSummary(tuple(busy), len(zones), report_seconds, full)

    def _service_load(
        self, service: LiveService, now: float, effects: list[Effect]
    ) -> ServiceLoad | None:
        """Return the load to publish for a service, or None if it is not busy or unknown.

        Effects of state changes (logs and gauges) are appended to `effects`.
        """
        members = self._members[service.name]
        flows = service.arrival_rates(now)
        arrivals_per_second = sum(flow.per_second for flow in flows)
        if service.is_lightly_loaded(members.slots, arrivals_per_second, now):
            return None
        servers = [self._server(backend, now) for backend in members.backends]
        without_slots = sum(server.slots <= 0 for server in servers)
        if not servers or without_slots:
            effects.extend(service.mark_unknown(len(servers), without_slots))
            return None
        estimate = _estimate(servers, now)
        demand_per_second = max(arrivals_per_second, estimate.responses_per_second)
        demand = demand_per_second / estimate.capacity
        effects.extend(service.update_load(demand, estimate.utilization, len(servers)))
        if not service.is_busy:
            return None
        limits = _limits(service, estimate, demand, flows)
        effects.extend(service.update_limits(demand, limits))
        split = split_demand(demand_per_second, estimate.speeds)
        server_shares = tuple(
            ServerShare(backend.backend_id, share, speed.service_seconds)
            for backend, share, speed in zip(members.backends, split, estimate.speeds, strict=True)
        )
        effects.extend(service.update_service_times(server_shares, now))
        # Shares that are computed from gateways' counts alone are older than each gateway's own
        # evidence, so they are not published.
        published = server_shares if estimate.is_self_reported else ()
        return ServiceLoad(service.name, demand, published, limits)


def _estimate(servers: Sequence[ServerEstimate], now: float) -> _ServiceEstimate:
    """Estimate the backends of a service; their slots must be known."""
    seconds = estimate_service(servers, now)
    in_flight = tuple(server.in_flight(now) for server in servers)
    speeds = tuple(
        ServerSpeed(server.slots, service_seconds, max(0.0, count - server.slots))
        for server, service_seconds, count in zip(servers, seconds, in_flight, strict=True)
    )
    responses_per_second = sum(server.responses_per_second(now) for server in servers)
    is_any_reporting = any(server.reports_load(now) for server in servers)
    is_self_reported = is_any_reporting and not any(server.omits_load(now) for server in servers)
    return _ServiceEstimate(speeds, in_flight, responses_per_second, is_self_reported)


def _limits(
    service: LiveService, estimate: _ServiceEstimate, demand: float, flows: Sequence[FlowDemand]
) -> tuple[FlowLimit, ...]:
    """Return the limits of flows under overload (`is_overloaded`); empty without overload."""
    pressure = estimate.pressure
    if not is_overloaded(demand, pressure, service.has_limits, estimate.is_self_reported):
        return ()
    return flow_limits(capacity_correction(pressure) * estimate.capacity, flows)


def _is_valid_count(value: float) -> bool:
    """Return whether a reported figure can be used; False for NaN."""
    return 0.0 <= value <= MAXIMUM_COUNT
