"""The control leader's side of server load: adds up what gateways count, publishes what is busy.

Owns an estimate for each server of live services that anything was sent to, and what callers ask
for by flow. Soft state that fades within seconds; a new leadership begins with none. Reads what the
group agreed on about servers and zones. Part of the control daemon's reducer.
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
"""Shortest time between two summaries: about a request's time, within which a queue builds up."""
CALM_PUBLISH_SECONDS = 2.0
"""For this long after the last busy service or full gateway gateways are told that there is none:
twice as long as they use a summary."""
REPORTS_PER_SECOND = 1000
"""Reports that a leader takes while a service is busy: with 100 servers a quarter of a core
(docs/CAPACITY.md)."""
MINIMUM_REPORT_INTERVAL_SECONDS = 0.05
"""Gateways report no more often than this: about the time in which a queue is worked off."""
MAXIMUM_REPORT_SPAN_SECONDS = 1.0
"""Of a report that covers more time only this much counts, in proportion."""
MALFORMED_LOG_INTERVAL_SECONDS = 10.0
"""Shortest time between two log lines about malformed reports."""
MALFORMED_METRIC = CountMetric("merlinstand_server_load_malformed_reports_total")


class LoadDirectory(Protocol):
    """What is read of the directory, which the control group replicates."""

    document: RoutesDocument | None
    document_revision: int
    live_backends_revision: int
    live_services: frozenset[str]

    @property
    def backends(self) -> Mapping[BackendId, Backend]:
        """Registered back ends."""
        ...

    @property
    def evacuated_zones(self) -> tuple[str, ...]:
        """Zones to whose servers nothing is sent."""
        ...


class ReportReply(msgspec.Struct, frozen=True):
    """What a daemon is answered about its report."""

    data: bytes | None = None
    """Encoded summary; None if there is nothing to say, or for a daemon that is sent none."""
    effects: tuple[Effect, ...] = ()


class _Members(msgspec.Struct, frozen=True):
    """Back ends of a live service that take requests without a grant."""

    backends: tuple[Backend, ...]
    slots: int
    """Sum of those registered."""


class _ServiceEstimate(msgspec.Struct, frozen=True):
    """The servers of a service as they are estimated at one moment."""

    speeds: tuple[ServerSpeed, ...]
    in_flight: tuple[float, ...]
    """Requests at each of them."""
    responses_per_second: float
    is_self_reported: bool
    """Whether at least one tells its load itself, and no other one answers without doing so."""

    @property
    def slots(self) -> int:
        """Requests that they can work on at once."""
        return sum(speed.slots for speed in self.speeds)

    @property
    def capacity(self) -> float:
        """Requests that they can do in a second."""
        return sum(speed.per_second for speed in self.speeds)

    @property
    def utilization(self) -> float:
        """Requests at the servers, against their slots."""
        return sum(self.in_flight) / self.slots

    @property
    def pressure(self) -> float:
        """The mean of that over the servers, weighted by requests a second that each can do.

        What waits at a server that has stopped answering counts for little.
        """
        pairs = zip(self.speeds, self.in_flight, strict=True)
        weighted = sum(speed.per_second * count / speed.slots for speed, count in pairs)
        return weighted / self.capacity


class LoadLeader:
    """The load of all live services, at one leader."""

    def __init__(
        self, directory: LoadDirectory, gateway_zones: Callable[[float], Mapping[NodeId, str]]
    ) -> None:
        """Begin with nothing known.

        Args:
            directory: What the group agreed on.
            gateways: The zone of each gateway heard lately, at a local time.
        """
        self._directory = directory
        self._gateway_zones = gateway_zones
        self._servers: dict[BackendId, ServerEstimate] = {}
        """By registered back end of a live service that anything was sent to."""
        self._services: dict[str, LiveService] = {}
        """Live ones alone."""
        self._members: dict[str, _Members] = {}
        """By live service."""
        self._full_gateways = FullGateways()
        self._directory_version: tuple[int, int, tuple[str, ...]] | None = None
        self._summary: bytes | None = None
        self._summarized_at = float("-inf")
        self._last_published_at = float("-inf")
        """When a service was last busy, or a gateway last asked to be named as full."""
        self._malformed_logged_at = float("-inf")

    def reset(self) -> None:
        """A leadership begins: gateways tell what they count from now on."""
        self._servers.clear()
        self._services.clear()
        self._directory_version = None
        self._summary = None
        self._full_gateways.clear()
        self._summarized_at = self._last_published_at = float("-inf")

    def forget_server(self, backend_id: BackendId) -> None:
        """A server has started again under its id: what was known is of its earlier start."""
        self._servers.pop(backend_id, None)

    def handle_report(
        self, sender: NodeId, is_gateway: bool, data: bytes | None, now: float
    ) -> ReportReply:
        """Take a daemon's report in; call it only while this process may act as leader.

        Args:
            sender: Who reports.
            is_gateway: Whether it is sent the summary.
            data: Its encoded report, if it has any.
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
        if not _is_valid_count(tally.in_flight_seconds) or not _is_valid_count(tally.answered):
            return
        service = self._service(backend.service, now)
        service.in_flight_seconds.add(tally.in_flight_seconds * weight, now)
        service.responses.add(tally.answered * weight, now)
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
        """Drop what is gone, once the directory has changed."""
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
        """Make the summary anew."""
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
        if now - self._last_published_at < CALM_PUBLISH_SECONDS:
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
        """What there is to publish of a service; its changes are logged."""
        members = self._members[service.name]
        flows = service.arrival_rates(now)
        arrivals_per_second = sum(flow.per_second for flow in flows)
        if service.is_calm(members.slots, arrivals_per_second, now):
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
        # Shares from gateways' counts alone lag behind what each gateway sees of its own requests.
        published = server_shares if estimate.is_self_reported else ()
        return ServiceLoad(service.name, demand, published, limits)


def _estimate(servers: Sequence[ServerEstimate], now: float) -> _ServiceEstimate:
    """Estimate the servers of a service, whose slots are known."""
    seconds = estimate_service(servers, now)
    in_flight = tuple(server.in_flight(now) for server in servers)
    speeds = tuple(
        ServerSpeed(server.slots, service_seconds, max(0.0, count - server.slots))
        for server, service_seconds, count in zip(servers, seconds, in_flight, strict=True)
    )
    answers_per_second = sum(server.responses_per_second(now) for server in servers)
    is_any_reporting = any(server.reports_load(now) for server in servers)
    is_told = is_any_reporting and not any(server.omits_load(now) for server in servers)
    return _ServiceEstimate(speeds, in_flight, answers_per_second, is_told)


def _limits(
    service: LiveService, estimate: _ServiceEstimate, demand: float, flows: Sequence[FlowDemand]
) -> tuple[FlowLimit, ...]:
    """Limit flows while callers ask for more than the servers can do (`is_beyond`)."""
    pressure = estimate.pressure
    if not is_overloaded(demand, pressure, service.has_limits, estimate.is_self_reported):
        return ()
    return flow_limits(capacity_correction(pressure) * estimate.capacity, flows)


def _is_valid_count(value: float) -> bool:
    """Whether a report's figure can be used; also false for one that is no number."""
    return 0.0 <= value <= MAXIMUM_COUNT
