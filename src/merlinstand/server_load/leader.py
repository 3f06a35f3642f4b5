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
from merlinstand.server_load.flow_limits import Flow, correction, flow_limits, is_beyond
from merlinstand.server_load.full_gateways import FullGateways
from merlinstand.server_load.live_service import LiveService
from merlinstand.server_load.reports import (
    LARGEST_COUNT,
    FlowLimit,
    GatewayLoad,
    LoadSummary,
    ServerShare,
    ServerTally,
    ServiceLoad,
    decode_load,
    encode_summary,
)
from merlinstand.server_load.shares import Speed, shares

SUMMARY_SECONDS = 0.04
"""Shortest time between two summaries: about a request's time, within which a queue builds up."""
CALM_TOLD_SECONDS = 2.0
"""For this long after the last busy service or full gateway gateways are told that there is none:
twice as long as they use a summary."""
REPORTS_PER_SECOND = 1000
"""Reports that a leader takes while a service is busy: with 100 servers a quarter of a core
(docs/CAPACITY.md)."""
SHORTEST_REPORT_SECONDS = 0.05
"""Gateways report no more often than this: about the time in which a queue is worked off."""
REPORT_SPAN_LIMIT_SECONDS = 1.0
"""Of a report that covers more time only this much counts, in proportion."""
MALFORMED_LOG_SECONDS = 10.0
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


class LoadAnswer(msgspec.Struct, frozen=True):
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

    speeds: tuple[Speed, ...]
    in_flight: tuple[float, ...]
    """Requests at each of them."""
    answers_per_second: float
    is_told: bool
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
    def used(self) -> float:
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
        self, directory: LoadDirectory, gateways: Callable[[float], Mapping[NodeId, str]]
    ) -> None:
        """Begin with nothing known.

        Args:
            directory: What the group agreed on.
            gateways: The zone of each gateway heard lately, at a local time.
        """
        self._directory = directory
        self._gateways = gateways
        self._servers: dict[BackendId, ServerEstimate] = {}
        """By registered back end of a live service that anything was sent to."""
        self._services: dict[str, LiveService] = {}
        """Live ones alone."""
        self._members: dict[str, _Members] = {}
        """By live service."""
        self._full = FullGateways()
        self._seen: tuple[int, int, tuple[str, ...]] | None = None
        self._summary: bytes | None = None
        self._made_at = float("-inf")
        self._said_at = float("-inf")
        """When a service was last busy, or a gateway last asked to be named as full."""
        self._malformed_logged_at = float("-inf")

    def reset(self) -> None:
        """A leadership begins: gateways tell what they count from now on."""
        self._servers.clear()
        self._services.clear()
        self._seen = None
        self._summary = None
        self._full.clear()
        self._made_at = self._said_at = float("-inf")

    def forget_server(self, backend_id: BackendId) -> None:
        """A server has started again under its id: what was known is of its earlier start."""
        self._servers.pop(backend_id, None)

    def handle_report(
        self, sender: NodeId, is_gateway: bool, data: bytes | None, now: float
    ) -> LoadAnswer:
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
                load = decode_load(data)
            except DECODE_ERRORS as error:
                effects.extend(self._malformed(sender, str(error), now))
            else:
                self._take(load, now)
                full_share = load.full_share
        if not is_gateway:
            return LoadAnswer(effects=tuple(effects))
        self._full.note(sender, full_share, now)
        if now - self._made_at >= SUMMARY_SECONDS:
            self._made_at = now
            effects.extend(self._summarise(now))
        return LoadAnswer(self._summary, tuple(effects))

    def _malformed(self, sender: NodeId, detail: str, now: float) -> list[Effect]:
        if now - self._malformed_logged_at < MALFORMED_LOG_SECONDS:
            return [MALFORMED_METRIC]
        self._malformed_logged_at = now
        fields = {"daemon": sender, "detail": detail}
        return [MALFORMED_METRIC, LogEvent("load.malformed", fields, "warning")]

    # Reports

    def _take(self, load: GatewayLoad, now: float) -> None:
        self._follow_directory()
        span_seconds = load.span_seconds
        if not _is_amount(span_seconds):
            return
        weight = min(1.0, REPORT_SPAN_LIMIT_SECONDS / max(span_seconds, REPORT_SPAN_LIMIT_SECONDS))
        for tally in load.servers:
            self._take_server(tally, weight, now)
        for flow in load.flows:
            if flow.service in self._members and _is_amount(flow.arrivals):
                self._service(flow.service, now).note_asked(flow, weight, now)

    def _take_server(self, tally: ServerTally, weight: float, now: float) -> None:
        backend = self._directory.backends.get(tally.backend_id)
        if backend is None or backend.service not in self._members:
            return
        if not _is_amount(tally.in_flight_seconds) or not _is_amount(tally.answered):
            return
        service = self._service(backend.service, now)
        service.busy_seconds.add(tally.in_flight_seconds * weight, now)
        service.answers.add(tally.answered * weight, now)
        self._server(backend, now).take(tally, weight, now)

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

    def _follow_directory(self) -> None:
        """Drop what is gone, once the directory has changed."""
        directory = self._directory
        zones = directory.evacuated_zones
        seen = (directory.document_revision, directory.live_backends_revision, zones)
        if seen == self._seen:
            return
        self._seen = seen
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

    def _summarise(self, now: float) -> list[Effect]:
        """Make the summary anew."""
        self._follow_directory()
        effects: list[Effect] = []
        busy: list[ServiceLoad] = []
        for _name, service in sorted(self._services.items()):
            load = self._load_of(service, now, effects)
            if load is not None:
                busy.append(load)
        if busy or not self._full.is_empty:
            self._said_at = now
        self._summary = None
        if now - self._said_at < CALM_TOLD_SECONDS:
            self._summary = encode_summary(self._summary_of(busy, now))
        return effects

    def _summary_of(self, busy: Sequence[ServiceLoad], now: float) -> LoadSummary:
        zones = self._gateways(now)
        report_seconds = max(SHORTEST_REPORT_SECONDS, len(zones) / REPORTS_PER_SECOND)
        full = self._full.choose(zones, now)
        return LoadSummary(tuple(busy), len(zones), report_seconds, full)

    def _load_of(
        self, service: LiveService, now: float, effects: list[Effect]
    ) -> ServiceLoad | None:
        """What there is to publish of a service; its changes are logged."""
        members = self._members[service.name]
        flows = service.asked(now)
        asked = sum(flow.per_second for flow in flows)
        if service.is_calm(members.slots, asked, now):
            return None
        servers = [self._server(backend, now) for backend in members.backends]
        without_slots = sum(server.slots <= 0 for server in servers)
        if not servers or without_slots:
            effects.extend(service.note_unknown(len(servers), without_slots))
            return None
        present = _estimate(servers, now)
        demand_per_second = max(asked, present.answers_per_second)
        demand = demand_per_second / present.capacity
        effects.extend(service.note_load(demand, present.used, len(servers)))
        if not service.is_busy:
            return None
        limits = _limits(service, present, demand, flows)
        effects.extend(service.note_limits(demand, limits))
        split = shares(demand_per_second, present.speeds)
        servers_known = tuple(
            ServerShare(backend.backend_id, share, speed.service_seconds)
            for backend, share, speed in zip(members.backends, split, present.speeds, strict=True)
        )
        effects.extend(service.note_times(servers_known, now))
        # Shares from gateways' counts alone lag behind what each gateway sees of its own requests.
        published = servers_known if present.is_told else ()
        return ServiceLoad(service.name, demand, published, limits)


def _estimate(servers: Sequence[ServerEstimate], now: float) -> _ServiceEstimate:
    """Estimate the servers of a service, whose slots are known."""
    seconds = estimate_service(servers, now)
    in_flight = tuple(server.in_flight(now) for server in servers)
    speeds = tuple(
        Speed(server.slots, service_seconds, max(0.0, count - server.slots))
        for server, service_seconds, count in zip(servers, seconds, in_flight, strict=True)
    )
    answers_per_second = sum(server.answers_per_second(now) for server in servers)
    are_heard = any(server.tells_load(now) for server in servers)
    is_told = are_heard and not any(server.hides_load(now) for server in servers)
    return _ServiceEstimate(speeds, in_flight, answers_per_second, is_told)


def _limits(
    service: LiveService, present: _ServiceEstimate, demand: float, flows: Sequence[Flow]
) -> tuple[FlowLimit, ...]:
    """Limit flows while callers ask for more than the servers can do (`is_beyond`)."""
    pressure = present.pressure
    if not is_beyond(demand, pressure, service.has_limits, present.is_told):
        return ()
    return flow_limits(correction(pressure) * present.capacity, flows)


def _is_amount(value: float) -> bool:
    """Whether a report's figure can be used; also false for one that is no number."""
    return 0.0 <= value <= LARGEST_COUNT
