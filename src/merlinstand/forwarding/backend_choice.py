"""Chooses a back end by this process's own evidence: requests in flight, latency, failures."""

import random
from collections.abc import Iterable

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.directory.backends import Backend
from merlinstand.directory.cold_budget import ColdBudget

FIRST_LATENCY_SECONDS = 0.03
"""Assumed of a back end that nothing is known of."""
LATENCY_WEIGHT = 0.3
"""Weight of the newest latency in the moving average."""
LATENCY_HALF_LIFE_SECONDS = 3.0
"""An old latency moves half the way to the first assumption in this time."""
KEPT_CONNECTION_SECONDS = 15.0
"""A connection is assumed to be kept this long after an answer; if its server closed it sooner,
a new one is opened there as it would be anywhere."""
NEW_CONNECTION_FACTOR = 2.0
"""A back end without a kept connection counts as this many times as slow. More than chance and
load of the moment make (1.2 and about 1.5), less than one answer of a back end that has become six
times as slow: that one is left after a single answer."""
FIRST_PENALTY_SECONDS = 0.5
LONGEST_PENALTY_SECONDS = 4.0


class BackendEvidence(msgspec.Struct):
    """What this process saw of one back end."""

    in_flight: int = 0
    latency_seconds: float = FIRST_LATENCY_SECONDS
    latency_at: float = 0.0
    avoid_until: float = 0.0
    penalty_seconds: float = 0.0
    connected_until: float = 0.0
    """Until when a connection to it is assumed to be kept."""

    def latency(self, now: float) -> float:
        """Moving average, faded towards the first assumption as it ages."""
        age = max(0.0, now - self.latency_at)
        share = 0.5 ** (age / LATENCY_HALF_LIFE_SECONDS)
        return FIRST_LATENCY_SECONDS + (self.latency_seconds - FIRST_LATENCY_SECONDS) * share

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

    def note_success(self) -> None:
        """The back end works."""
        self.penalty_seconds = 0.0
        self.avoid_until = 0.0


class BackendChooser:
    """Evidence about all back ends, and the choice among them."""

    def __init__(self, cold: ColdBudget | None = None) -> None:
        """Begin without evidence.

        Args:
            cold: What may be sent to cold back ends; without it, no service limits that.
        """
        self.cold = ColdBudget() if cold is None else cold
        self._random = random.Random(0)
        self._evidence: dict[BackendId, BackendEvidence] = {}

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

    def choose(
        self, backends: Iterable[Backend], tried: set[BackendId], now: float
    ) -> Backend | None:
        """Choose where to send a request.

        Args:
            backends: Candidates; leaving ones are passed over.
            tried: Back ends that the request was sent to before.
            now: Local time.

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
        preferred = self._sound(warm, now) or self._sound(fresh, now) or fresh
        return min(preferred, key=lambda backend: self._cost(backend, now))

    def _sound(self, backends: list[Backend], now: float) -> list[Backend]:
        return [b for b in backends if self.evidence(b.backend_id).avoid_until <= now]

    def closed(
        self, backends: Iterable[Backend], tried: set[BackendId], now: float
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

    def _cost(self, backend: Backend, now: float) -> float:
        evidence = self.evidence(backend.backend_id)
        jitter = 1.0 + 0.2 * self._random.random()
        connecting = 1.0 if evidence.connected_until > now else NEW_CONNECTION_FACTOR
        return (evidence.in_flight + 1) * evidence.latency(now) * jitter * connecting
