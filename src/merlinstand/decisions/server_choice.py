"""Chooses a back end by what it costs to reach: this process's own evidence, and the distance.

Evidence is requests in flight, latency, failures and silence; the distance is `distance`'s. A near
back end goes first where all else is equal; one that is busy or slow loses to a far one.
"""

import random
from collections.abc import Callable, Collection, Iterable

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cold_servers.follower import ColdBudget
from merlinstand.common.ids import BackendId
from merlinstand.decisions.distance import ANSWER_SECONDS, REACH, Distance, Reach, Standpoint
from merlinstand.decisions.zone_evidence import ZoneEvidence

LATENCY_WEIGHT = 0.3
"""Weight of the newest latency in the moving average."""
LATENCY_HALF_LIFE_SECONDS = 3.0
"""An old latency moves half the way to the first assumption in this time."""
KEPT_CONNECTION_SECONDS = 15.0
"""A connection is assumed to be kept this long after an answer; if its server closed it sooner,
a new one is opened there as it would be anywhere."""
NEW_CONNECTION_FACTOR = 2.0
"""A back end without a kept connection counts as this many times as slow. More than chance and
load of the moment make (1.1 and about 1.5), less than one answer of a back end that has become six
times as slow: that one is left after a single answer."""
CHANCE_SHARE = 0.1
"""Largest share that chance adds, so that gateways spread over equal back ends."""
UNREACHABLE_FACTOR = 4.0
"""A back end that probably can't be reached counts as this many times as slow: also one with a kept
connection loses to a near one without, but not to one that is several times as busy."""
FIRST_PENALTY_SECONDS = 0.5
LONGEST_PENALTY_SECONDS = 4.0


class BackendEvidence(msgspec.Struct):
    """What this process saw of one back end."""

    in_flight: int = 0
    suspects: int = 0
    """Requests in flight there under which servers have ended before."""
    first_latency_seconds: float = ANSWER_SECONDS
    """Assumed while nothing is known."""
    latency_seconds: float = ANSWER_SECONDS
    latency_at: float = 0.0
    avoid_until: float = 0.0
    penalty_seconds: float = 0.0
    connected_until: float = 0.0
    """Until when a connection to it is assumed to be kept."""

    def latency(self, now: float) -> float:
        """Moving average, faded towards the first assumption as it ages."""
        age = max(0.0, now - self.latency_at)
        share = 0.5 ** (age / LATENCY_HALF_LIFE_SECONDS)
        first = self.first_latency_seconds
        return first + (self.latency_seconds - first) * share

    def note_latency(self, seconds: float, now: float) -> None:
        """Take a whole answer's latency in."""
        present = self.latency(now)
        self.latency_seconds = present + LATENCY_WEIGHT * (seconds - present)
        self.latency_at = now

    def note_failure(self, now: float) -> None:
        """Avoid the back end for a while, longer each time."""
        longer = max(FIRST_PENALTY_SECONDS, self.penalty_seconds * 2)
        self.penalty_seconds = min(LONGEST_PENALTY_SECONDS, longer)
        self.avoid_until = now + self.penalty_seconds
        self.connected_until = 0.0

    def note_answer(self, now: float) -> None:
        """It answered, whatever it said: the connection can be used again."""
        self.connected_until = now + KEPT_CONNECTION_SECONDS

    def note_given_up(self) -> None:
        """A try there was cancelled, and its connection closed."""
        self.connected_until = 0.0

    def note_success(self) -> None:
        """The back end works."""
        self.penalty_seconds = 0.0
        self.avoid_until = 0.0


class BackendChooser:
    """Evidence about all back ends, and the choice among them."""

    def __init__(
        self,
        standpoint: Standpoint | None = None,
        is_out_of_touch: Callable[[float], bool] = lambda _now: False,
        cold: ColdBudget | None = None,
        has_crashed: Callable[[BackendId], bool] = lambda _backend_id: False,
    ) -> None:
        """Begin without evidence.

        Args:
            standpoint: Where this process stands; without one, all back ends are equally far.
            is_out_of_touch: Whether this process hears no leading control daemon at a local time:
                its zone is probably cut off from the others.
            cold: What may be sent to cold back ends; without it, no service limits that.
            has_crashed: Whether any daemon has seen a back end end.
        """
        self._has_ended = has_crashed
        self.cold = ColdBudget() if cold is None else cold
        self._random = random.Random(0)
        self._standpoint = standpoint or Standpoint()
        self._is_out_of_touch = is_out_of_touch
        self._evidence: dict[BackendId, BackendEvidence] = {}
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

    def forget_all_but(self, present: Iterable[BackendId]) -> None:
        """Drop evidence about back ends that are gone and idle."""
        kept = set(present)
        self._evidence = {
            backend_id: evidence
            for backend_id, evidence in self._evidence.items()
            if backend_id in kept or evidence.in_flight > 0
        }

    def note_silence(self, backend: Backend, now: float) -> None:
        """A try there has had no answer for too long, and no refusal either."""
        self._zones.note_silence(backend.zone, backend.backend_id, now)

    def note_heard(self, backend: Backend, now: float) -> None:
        """A back end answered, whatever it said."""
        self._zones.note_answer(backend.zone)
        self.evidence(backend.backend_id).note_answer(now)

    def reach(self, backend: Backend) -> Reach:
        """What it takes to reach a back end, by its distance alone."""
        return REACH[self._standpoint.distance(backend.zone)]

    def choose(
        self,
        backends: Iterable[Backend],
        tried: Collection[BackendId],
        now: float,
        silent: Collection[Backend] = (),
        is_suspect: bool = False,
        spares_last: bool = False,
    ) -> Backend | None:
        """Choose where to send a request.

        Args:
            backends: Candidates; leaving ones are passed over.
            tried: Back ends that the request was sent to before.
            now: Local time.
            silent: Back ends where a try of this request is still without an answer.
            is_suspect: Whether servers have ended under this request: it goes where fewest such
                requests are, so that the next end tells the guilty one from the others.
            spares_last: Whether the last sound one of several back ends is not to be chosen.

        Returns:
            A sound back end if there is one, a warm one rather than a cold one, else one that
            failed before; None if all were tried, or are cold and nothing may be sent there now.
        """
        fresh = [b for b in backends if not b.is_leaving and b.backend_id not in tried]
        warm: list[Backend] = []
        if self.cold.concerns(fresh):
            fresh = [b for b in fresh if self.cold.is_open(b, now)]
            warm = [b for b in fresh if not self.cold.is_cold(b)]
        if not fresh:
            return None
        if spares_last and self._is_last(fresh, backends, now):
            return None
        preferred = self._sound(warm, now) or self._sound(fresh, now) or fresh
        reachable = [b for b in preferred if not self._zones.is_unreachable(b.zone, now)]
        doubt = self._doubt(silent, now)
        candidates = reachable or preferred
        if is_suspect:
            fewest = min(self._evidence_of(b).suspects for b in candidates)
            candidates = [b for b in candidates if self._evidence_of(b).suspects == fewest]
        return min(candidates, key=lambda b: self._cost(b, now, doubt))

    def _is_last(self, fresh: list[Backend], backends: Iterable[Backend], now: float) -> bool:
        """Whether only one of several back ends is sound, and would be chosen."""
        staying = [backend for backend in backends if not backend.is_leaving]
        sound = [b for b in self._sound(staying, now) if not self._has_ended(b.backend_id)]
        return len(staying) > 1 and len(sound) <= 1 and any(b in sound for b in fresh)

    def _sound(self, backends: list[Backend], now: float) -> list[Backend]:
        return [b for b in backends if self._evidence_of(b).avoid_until <= now]

    def closed(
        self, backends: Iterable[Backend], tried: Collection[BackendId], now: float
    ) -> list[Backend]:
        """Give the cold back ends that a request may not be sent to just now, but later."""
        fresh = [b for b in backends if not b.is_leaving and b.backend_id not in tried]
        if not self.cold.concerns(fresh):
            return []
        return [b for b in fresh if not self.cold.is_open(b, now)]

    def begin(self, backend: Backend, now: float) -> None:
        """A request goes to a back end."""
        self.cold.note_sent(backend, now)
        self.evidence(backend.backend_id).in_flight += 1

    def _doubt(self, silent: Collection[Backend], now: float) -> Callable[[Backend], bool]:
        """Tell which back ends probably can't be reached."""
        zones = {backend.zone for backend in silent}
        # A far server that is silent may mean that the own zone is cut off from all others.
        is_cut_off = any(self._is_far(zone) for zone in zones) or self._is_out_of_touch(now)
        return lambda backend: backend.zone in zones or (is_cut_off and self._is_far(backend.zone))

    def _is_far(self, zone: str) -> bool:
        return self._standpoint.distance(zone) is not Distance.OWN_ZONE

    def _evidence_of(self, backend: Backend) -> BackendEvidence:
        evidence = self._evidence.get(backend.backend_id)
        if evidence is None:
            first = self.reach(backend).first_latency_seconds
            evidence = BackendEvidence(first_latency_seconds=first, latency_seconds=first)
            self._evidence[backend.backend_id] = evidence
        return evidence

    def _cost(self, backend: Backend, now: float, doubt: Callable[[Backend], bool]) -> float:
        evidence = self._evidence_of(backend)
        cost = (evidence.in_flight + 1) * evidence.latency(now)
        cost *= 1.0 + CHANCE_SHARE * self._random.random()
        cost *= self.reach(backend).cost_factor
        if evidence.connected_until <= now:
            cost *= NEW_CONNECTION_FACTOR
        if doubt(backend):
            cost *= UNREACHABLE_FACTOR
        return cost
