"""Choose a server: the one that costs least to reach, among those that the request may go to.

For: gateways (requests and streams) and keepers (scoring calls; items go by `batch_jobs.schedule`).
Owns this process's evidence about all back ends; relies on `distance` for what a distance costs, on
`zone_evidence` for zones that fell silent, and on `cold_servers.follower` for cold ones. A near
back end goes first where all else is equal; one that is busy or slow loses to a far one. Where the
control leader publishes shares of a busy service's back ends (`server_load`), one is drawn by these
(`share_choice`). How the weights were found, and what was weighed besides:
docs/design/choice-by-place.md.
"""

import random
from collections.abc import Callable, Collection, Iterable

from merlinstand.cluster.backends import Backend
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.common.ids import BackendId
from merlinstand.decisions.backend_evidence import BackendEvidence
from merlinstand.decisions.distance import REACH, Distance, DistanceProfile, ProcessLocation
from merlinstand.decisions.share_choice import draw_by_share
from merlinstand.decisions.zone_evidence import ZoneEvidence
from merlinstand.server_load.reports import ServiceLoad

NEW_CONNECTION_FACTOR = 2.0
"""A back end without a kept connection counts as this many times as slow. More than chance and
load of the moment make (1.1 and about 1.5), less than one answer of a back end that has become six
times as slow: that one is left after a single answer."""
CHANCE_SHARE = 0.1
"""Largest share that chance adds, so that gateways spread over equal back ends."""
UNREACHABLE_FACTOR = 4.0
"""A back end that probably can't be reached counts as this many times as slow: also one with a kept
connection loses to a near one without, but not to one that is several times as busy."""


class BackendChooser:
    """Evidence about all back ends, and the choice among them."""

    def __init__(
        self,
        location: ProcessLocation | None = None,
        is_leader_unreachable: Callable[[float], bool] = lambda _now: False,
        cold: ColdBackendBudget | None = None,
        has_crashed: Callable[[BackendId], bool] = lambda _backend_id: False,
    ) -> None:
        """Begin without evidence.

        Args:
            standpoint: Where this process stands; without one, all back ends are equally far.
            is_out_of_touch: Whether this process hears no leading control daemon at a local time:
                its zone is probably cut off from the others.
            cold: What may be sent to cold back ends; without it, no service limits that.
            has_crashed: Whether any daemon has seen a back end crash.
        """
        self._has_ended = has_crashed
        self.cold = ColdBackendBudget() if cold is None else cold
        self._random = random.Random(0)
        self._standpoint = location or ProcessLocation()
        self._is_out_of_touch = is_leader_unreachable
        self._evidence: dict[BackendId, BackendEvidence] = {}
        self._reaches: dict[str, DistanceProfile] = {}
        """By zone of back ends; emptied when these change."""
        self._zones = ZoneEvidence()

    def seed(self, seed: int) -> None:
        """Make random choices follow this seed."""
        self._random = random.Random(seed)

    def evidence(self, backend_id: BackendId) -> BackendEvidence:
        """Give the evidence about a back end, for reading and noting."""
        evidence = self._evidence.get(backend_id)
        if evidence is None:
            evidence = self._evidence[backend_id] = BackendEvidence()
        return evidence

    def retain_only(self, present: Iterable[BackendId]) -> None:
        """Drop evidence about back ends that are gone and idle."""
        kept = set(present)
        self._reaches.clear()
        self._evidence = {
            backend_id: evidence
            for backend_id, evidence in self._evidence.items()
            if backend_id in kept or evidence.in_flight > 0
        }

    def record_timeout(self, backend: Backend, now: float) -> None:
        """A try there has had no answer for too long, and no refusal either."""
        self._zones.note_silence(backend.zone, backend.backend_id, now)

    def record_response(self, backend: Backend, now: float) -> None:
        """A back end answered, whatever it said."""
        self._zones.note_answer(backend.zone)
        self.evidence(backend.backend_id).record_response(now)

    def distance_profile(self, backend: Backend) -> DistanceProfile:
        """What it takes to reach a back end, by its distance alone."""
        reach = self._reaches.get(backend.zone)
        if reach is None:
            reach = REACH[self._standpoint.distance_to(backend.zone)]
            self._reaches[backend.zone] = reach
        return reach

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
            backends: Candidates; leaving ones are passed over.
            tried: Back ends that the request was sent to before.
            now: Local time.
            silent: Back ends where a try of this request is still without an answer.
            is_suspect: Whether servers have crashed under this request: it goes where fewest such
                requests are, so that the next crash shows which of them causes it.
            spares_last: Whether the last sound one of several back ends is not to be chosen.
            load: What is known of their service; None if it isn't busy.
            maximum_in_flight: Requests of this process at one back end from which on another is
                chosen; 0 for any number.

        Returns:
            A sound back end if there is one, a warm one rather than a cold one, one that has room
            rather than one that turned requests away, else one that failed before; None if all were
            tried, or are cold and nothing may be sent there now.
        """
        fresh = _untried(backends, tried)
        open_now, warm = self._open_and_warm(fresh, now)
        if not open_now or (excludes_last and self._is_last(open_now, backends, now)):
            return None
        preferred = self._sound(warm, now) or self._sound(open_now, now) or open_now
        candidates = self._with_room(preferred, maximum_in_flight, now)
        if is_suspect:
            return self._cheapest(self._with_fewest_suspects(candidates), unresponsive, now)
        if load is not None and load.servers:
            return self._draw(candidates, load, unresponsive, now)
        return self._cheapest(candidates, unresponsive, now)

    def _cheapest(
        self, candidates: list[Backend], silent: Collection[Backend], now: float
    ) -> Backend:
        is_unreachable = self._unreachable(silent, now)
        return min(candidates, key=lambda b: self._cost(b, now, is_unreachable))

    def _draw(
        self, candidates: list[Backend], load: ServiceLoad, silent: Collection[Backend], now: float
    ) -> Backend:
        """Draw by the published shares, among those that can be reached if there are any."""
        is_unreachable = self._unreachable(silent, now)
        near = [b for b in candidates if not is_unreachable(b)]
        return draw_by_share(near or candidates, load.servers, self._random.random())

    def _open_and_warm(
        self, fresh: list[Backend], now: float
    ) -> tuple[list[Backend], list[Backend]]:
        """Those that a request may be sent to now, and the warm ones if any may be cold."""
        if not self.cold.may_include_cold(fresh):
            return fresh, []
        open_now = [b for b in fresh if self.cold.may_send_to(b, now)]
        return open_now, [b for b in open_now if not self.cold.is_cold(b)]

    def _in_reachable_zones(self, backends: list[Backend], now: float) -> list[Backend]:
        if not self._zones.has_silence:
            return backends
        return [b for b in backends if not self._zones.is_unreachable(b.zone, now)]

    def _with_room(
        self, backends: list[Backend], maximum_in_flight: int, now: float
    ) -> list[Backend]:
        """Those that turned nobody away lately, and have fewer requests than allowed.

        Each condition only as far as any back end meets it, that of a reachable zone first.
        """
        reachable = self._in_reachable_zones(backends, now) or backends
        # `_sound` has looked at all of them: they have evidence.
        known = self._evidence
        with_room = [b for b in reachable if known[b.backend_id].full_until <= now] or reachable
        if maximum_in_flight <= 0:
            return with_room
        free = [b for b in with_room if self._evidence_of(b).in_flight < maximum_in_flight]
        return free or with_room

    def _with_fewest_suspects(self, backends: list[Backend]) -> list[Backend]:
        fewest = min(self._evidence_of(b).suspects_in_flight for b in backends)
        return [b for b in backends if self._evidence_of(b).suspects_in_flight == fewest]

    def _is_last(self, fresh: list[Backend], backends: Iterable[Backend], now: float) -> bool:
        """Whether only one of several back ends is sound, and would be chosen."""
        staying = [backend for backend in backends if not backend.is_draining]
        sound = [b for b in self._sound(staying, now) if not self._has_ended(b.backend_id)]
        return len(staying) > 1 and len(sound) <= 1 and any(b in sound for b in fresh)

    def _sound(self, backends: list[Backend], now: float) -> list[Backend]:
        return [b for b in backends if self._evidence_of(b).avoid_until <= now]

    def cold_awaiting_grant(
        self, backends: Iterable[Backend], tried: Collection[BackendId], now: float
    ) -> list[Backend]:
        """Give the cold back ends that a request may not be sent to just now, but later."""
        fresh = _untried(backends, tried)
        if not self.cold.may_include_cold(fresh):
            return []
        return [b for b in fresh if not self.cold.may_send_to(b, now)]

    def record_send(self, backend: Backend, now: float) -> None:
        """A request goes to a back end."""
        self.cold.record_send(backend, now)
        self.evidence(backend.backend_id).in_flight += 1

    def _unreachable(self, silent: Collection[Backend], now: float) -> Callable[[Backend], bool]:
        """Return which back ends probably can't be reached."""
        zones = {backend.zone for backend in silent}
        # A far server that is silent may mean that the own zone is cut off from all others.
        is_cut_off = any(self._is_far(zone) for zone in zones) or self._is_out_of_touch(now)
        if not zones and not is_cut_off:
            return _is_never
        return lambda backend: backend.zone in zones or (is_cut_off and self._is_far(backend.zone))

    def _is_far(self, zone: str) -> bool:
        return self._standpoint.distance_to(zone) is not Distance.OWN_ZONE

    def _evidence_of(self, backend: Backend) -> BackendEvidence:
        evidence = self._evidence.get(backend.backend_id)
        if evidence is None:
            first = self.distance_profile(backend).first_latency_seconds
            evidence = BackendEvidence(first_latency_seconds=first, latency_seconds=first)
            self._evidence[backend.backend_id] = evidence
        return evidence

    def _cost(
        self, backend: Backend, now: float, is_unreachable: Callable[[Backend], bool]
    ) -> float:
        evidence = self._evidence[backend.backend_id]
        cost = (evidence.in_flight + 1) * evidence.latency(now)
        cost *= 1.0 + CHANCE_SHARE * self._random.random()
        cost *= self.distance_profile(backend).cost_factor
        if evidence.connected_until <= now:
            cost *= NEW_CONNECTION_FACTOR
        if is_unreachable is not _is_never and is_unreachable(backend):
            cost *= UNREACHABLE_FACTOR
        return cost


def _is_never(_backend: Backend) -> bool:
    """No back end is unreachable; `_cost` knows it, and spares a call for each of them."""
    return False


def _untried(backends: Iterable[Backend], tried: Collection[BackendId]) -> list[Backend]:
    return [b for b in backends if not b.is_draining and b.backend_id not in tried]
