"""Backend selection: the lowest cost among the backends that a request may be sent to.

Used by gateways (requests and streams) and keepers (scoring calls; items use
`batch_jobs.schedule`). The cost combines requests in flight, latency, distance and open
connections. A near backend is preferred where all else is equal, but a distant backend is preferred
to a near one that is busy or slow. Where the control leader publishes shares of a busy service's
backends (`server_load`), a backend is drawn at random by these shares (`share_choice`). See
docs/design/choice-by-place.md for the weights and the alternatives.
"""

import random
from collections.abc import Callable, Collection, Iterable

from merlinstand.cluster.backends import Backend
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.common.ids import BackendId
from merlinstand.decisions.backend_evidence import BackendEvidence
from merlinstand.decisions.distance import (
    DISTANCE_PROFILES,
    Distance,
    DistanceProfile,
    ProcessLocation,
)
from merlinstand.decisions.share_choice import draw_by_share
from merlinstand.decisions.zone_evidence import ZoneEvidence
from merlinstand.server_load.reports import ServiceLoad

NEW_CONNECTION_COST_FACTOR = 2.0
"""Cost factor of a backend without an open connection. It exceeds the effect of the random factor
(1.1) and of momentary load (about 1.5), but not that of one response from a backend that has become
six times as slow, so that such a backend is avoided after a single response."""
RANDOM_COST_FRACTION = 0.1
"""Largest random addition to a cost, as a fraction of the cost, so that gateways spread over equal
backends."""
UNREACHABLE_COST_FACTOR = 4.0
"""Cost factor of a backend that is probably unreachable. Even with an open connection, such a
backend costs more than a near one without a connection, but less than one that is several times as
busy."""


class BackendChooser:
    """Evidence about all backends, and the selection among them."""

    def __init__(
        self,
        location: ProcessLocation | None = None,
        is_leader_unreachable: Callable[[float], bool] = lambda _now: False,
        cold: ColdBackendBudget | None = None,
        has_crashed: Callable[[BackendId], bool] = lambda _backend_id: False,
    ) -> None:
        """Create with no evidence about any backend.

        Args:
            location: Location of this process; without it, all backends count as equally distant.
            is_leader_unreachable: Returns whether this process has no contact with the control
                leader at a local time, in which case its zone is probably cut off from the others.
            cold: Budget for sends to cold backends; without it, these are not limited.
            has_crashed: Returns whether any daemon has seen a backend crash.
        """
        self._has_crashed = has_crashed
        self.cold = ColdBackendBudget() if cold is None else cold
        self._random = random.Random(0)
        self._location = location or ProcessLocation()
        self._is_leader_unreachable = is_leader_unreachable
        self._evidence: dict[BackendId, BackendEvidence] = {}
        self._profiles: dict[str, DistanceProfile] = {}
        """By zone of backends; cleared when the backends change."""
        self._zones = ZoneEvidence()

    def seed(self, seed: int) -> None:
        """Seed the random choices."""
        self._random = random.Random(seed)

    def evidence(self, backend_id: BackendId) -> BackendEvidence:
        """Return the mutable evidence about a backend."""
        evidence = self._evidence.get(backend_id)
        if evidence is None:
            evidence = self._evidence[backend_id] = BackendEvidence()
        return evidence

    def retain_only(self, backend_ids: Iterable[BackendId]) -> None:
        """Drop evidence about all other backends, except those with requests in flight."""
        kept = set(backend_ids)
        self._profiles.clear()
        self._evidence = {
            backend_id: evidence
            for backend_id, evidence in self._evidence.items()
            if backend_id in kept or evidence.in_flight > 0
        }

    def record_timeout(self, backend: Backend, now: float) -> None:
        """Record that an attempt at a backend timed out without a response or a refusal."""
        self._zones.record_timeout(backend.zone, backend.backend_id, now)

    def record_response(self, backend: Backend, now: float) -> None:
        """Record a response of any status."""
        self._zones.record_response(backend.zone)
        self.evidence(backend.backend_id).record_response(now)

    def distance_profile(self, backend: Backend) -> DistanceProfile:
        """Return the cost of reaching a backend, by its distance alone."""
        profile = self._profiles.get(backend.zone)
        if profile is None:
            profile = DISTANCE_PROFILES[self._location.distance_to(backend.zone)]
            self._profiles[backend.zone] = profile
        return profile

    def choose(
        self,
        backends: Iterable[Backend],
        tried: Collection[BackendId],
        now: float,
        unresponsive: Collection[Backend] = (),
        is_suspect: bool = False,
        excludes_last: bool = False,
        load: ServiceLoad | None = None,
        maximum_in_flight: int = 0,
    ) -> Backend | None:
        """Choose where to send a request.

        Args:
            backends: Candidates; draining backends are skipped.
            tried: Backends that the request was sent to before.
            now: Local time.
            unresponsive: Backends where an attempt of this request still has no response.
            is_suspect: Whether backends have crashed while running this request. Such requests are
                spread over backends, so that the next crash shows which of them causes it.
            excludes_last: Whether the last healthy one of several backends must not be chosen.
            load: Load of the backends' service; None if the service is not busy.
            maximum_in_flight: Number of this process's requests in flight at a backend from which
                on other backends are preferred; 0 for no limit.

        Returns:
            A healthy backend if there is one, preferring warm backends and then those that refused
            no request recently; otherwise a backend that failed recently. None if all were tried,
            or if all others are cold and no grant is available to send to them now.
        """
        untried = _untried(backends, tried)
        allowed, warm = self._allowed_and_warm(untried, now)
        if not allowed or (excludes_last and self._is_last_healthy(allowed, backends, now)):
            return None
        preferred = self._healthy(warm, now) or self._healthy(allowed, now) or allowed
        candidates = self._with_capacity(preferred, maximum_in_flight, now)
        if is_suspect:
            return self._cheapest(self._with_fewest_suspects(candidates), unresponsive, now)
        if load is not None and load.servers:
            return self._draw_by_share(candidates, load, unresponsive, now)
        return self._cheapest(candidates, unresponsive, now)

    def _cheapest(
        self, candidates: list[Backend], unresponsive: Collection[Backend], now: float
    ) -> Backend:
        is_unreachable = self._unreachable_predicate(unresponsive, now)
        return min(candidates, key=lambda b: self._cost(b, now, is_unreachable))

    def _draw_by_share(
        self,
        candidates: list[Backend],
        load: ServiceLoad,
        unresponsive: Collection[Backend],
        now: float,
    ) -> Backend:
        """Draw a backend by the published shares, among the reachable ones if there are any."""
        is_unreachable = self._unreachable_predicate(unresponsive, now)
        reachable = [b for b in candidates if not is_unreachable(b)]
        return draw_by_share(reachable or candidates, load.servers, self._random.random())

    def _allowed_and_warm(
        self, untried: list[Backend], now: float
    ) -> tuple[list[Backend], list[Backend]]:
        """Return the backends that a request may be sent to now, and the warm ones among them.

        The second list is empty if none of the backends can be cold.
        """
        if not self.cold.may_include_cold(untried):
            return untried, []
        allowed = [b for b in untried if self.cold.may_send_to(b, now)]
        return allowed, [b for b in allowed if not self.cold.is_cold(b)]

    def _in_reachable_zones(self, backends: list[Backend], now: float) -> list[Backend]:
        if not self._zones.has_timeouts:
            return backends
        return [b for b in backends if not self._zones.is_unreachable(b.zone, now)]

    def _with_capacity(
        self, backends: list[Backend], maximum_in_flight: int, now: float
    ) -> list[Backend]:
        """Return the backends in reachable zones that have capacity for another request.

        Backends are filtered by reachable zone, by no recent refusal and by `maximum_in_flight`, in
        this order. A filter that no remaining backend passes is skipped.
        """
        reachable = self._in_reachable_zones(backends, now) or backends
        # `_healthy` has created evidence for all of them.
        evidence = self._evidence
        not_full = [b for b in reachable if evidence[b.backend_id].full_until <= now] or reachable
        if maximum_in_flight <= 0:
            return not_full
        below_maximum = [b for b in not_full if self._evidence_of(b).in_flight < maximum_in_flight]
        return below_maximum or not_full

    def _with_fewest_suspects(self, backends: list[Backend]) -> list[Backend]:
        fewest = min(self._evidence_of(b).suspects_in_flight for b in backends)
        return [b for b in backends if self._evidence_of(b).suspects_in_flight == fewest]

    def _is_last_healthy(
        self, candidates: list[Backend], backends: Iterable[Backend], now: float
    ) -> bool:
        """Return whether only one of several backends is healthy, and it is a candidate."""
        not_draining = [backend for backend in backends if not backend.is_draining]
        healthy = [
            b for b in self._healthy(not_draining, now) if not self._has_crashed(b.backend_id)
        ]
        return len(not_draining) > 1 and len(healthy) <= 1 and any(b in healthy for b in candidates)

    def _healthy(self, backends: list[Backend], now: float) -> list[Backend]:
        return [b for b in backends if self._evidence_of(b).avoid_until <= now]

    def cold_awaiting_grant(
        self, backends: Iterable[Backend], tried: Collection[BackendId], now: float
    ) -> list[Backend]:
        """Return the cold backends that a request may not be sent to now, but may be later."""
        untried = _untried(backends, tried)
        if not self.cold.may_include_cold(untried):
            return []
        return [b for b in untried if not self.cold.may_send_to(b, now)]

    def record_send(self, backend: Backend, now: float) -> None:
        """Record that a request is sent to a backend."""
        self.cold.record_send(backend, now)
        self.evidence(backend.backend_id).in_flight += 1

    def _unreachable_predicate(
        self, unresponsive: Collection[Backend], now: float
    ) -> Callable[[Backend], bool]:
        """Return a predicate for backends that are probably unreachable."""
        zones = {backend.zone for backend in unresponsive}
        # An unresponsive backend in another zone may mean that this process's zone is cut off.
        is_cut_off = any(
            self._is_other_zone(zone) for zone in zones
        ) or self._is_leader_unreachable(now)
        if not zones and not is_cut_off:
            return _never
        return lambda backend: (
            backend.zone in zones or (is_cut_off and self._is_other_zone(backend.zone))
        )

    def _is_other_zone(self, zone: str) -> bool:
        return self._location.distance_to(zone) is not Distance.OWN_ZONE

    def _evidence_of(self, backend: Backend) -> BackendEvidence:
        evidence = self._evidence.get(backend.backend_id)
        if evidence is None:
            default_latency_seconds = self.distance_profile(backend).default_latency_seconds
            evidence = BackendEvidence(
                default_latency_seconds=default_latency_seconds,
                latency_seconds=default_latency_seconds,
            )
            self._evidence[backend.backend_id] = evidence
        return evidence

    def _cost(
        self, backend: Backend, now: float, is_unreachable: Callable[[Backend], bool]
    ) -> float:
        evidence = self._evidence[backend.backend_id]
        cost = (evidence.in_flight + 1) * evidence.latency(now)
        cost *= 1.0 + RANDOM_COST_FRACTION * self._random.random()
        cost *= self.distance_profile(backend).cost_factor
        if evidence.connected_until <= now:
            cost *= NEW_CONNECTION_COST_FACTOR
        if is_unreachable is not _never and is_unreachable(backend):
            cost *= UNREACHABLE_COST_FACTOR
        return cost


def _never(_backend: Backend) -> bool:
    """Return False; `_cost` compares with this by identity to save a call for each backend."""
    return False


def _untried(backends: Iterable[Backend], tried: Collection[BackendId]) -> list[Backend]:
    return [b for b in backends if not b.is_draining and b.backend_id not in tried]
