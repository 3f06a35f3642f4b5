"""The control leader's side of cold back ends: one token bucket for each.

Owns the buckets, by the leader's local time; a new leadership begins with none. Reads what the
group agreed on about back ends and services. `grants` says why the bound holds. Part of the control
daemon's reducer.
"""

from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.routes import RoutesDocument
from merlinstand.cold_servers.grants import (
    BucketRate,
    ColdGrants,
    GrantRequest,
    bucket_rate,
    decode_requests,
    encode_grants,
    reserved_for_callers,
)
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.kernel.effects import Effect, LogEvent


class ColdDirectory(Protocol):
    """What is read of the directory, which the control group replicates."""

    document: RoutesDocument | None
    document_revision: int
    backends_revision: int
    live_services: frozenset[str]

    @property
    def backends(self) -> Mapping[BackendId, Backend]:
        """Registered back ends."""
        ...


class GrantAnswer(msgspec.Struct, frozen=True):
    """What a daemon is answered about its requests."""

    data: bytes | None = None
    """Encoded grants; None if it requested nothing."""
    effects: tuple[Effect, ...] = ()


class _Bucket(msgspec.Struct):
    """Sends that one cold back end may be granted."""

    rate: BucketRate
    filled_at: float
    level: float = 0.0
    """It begins empty: the leader before may have granted until now."""
    granted: int = 0

    def fill(self, now: float) -> None:
        """Take in the time that passed."""
        passed = max(0.0, now - self.filled_at)
        self.level = min(self.rate.burst, self.level + passed * self.rate.per_second)
        self.filled_at = now

    def seconds_until(self, level: float) -> float:
        """How long until it holds this much; endless if it never does."""
        if level > self.rate.burst or self.rate.per_second <= 0.0:
            return float("inf")
        return max(0.0, level - self.level) / self.rate.per_second


class GrantIssuer:
    """Grants sends to all cold back ends, for one leader."""

    def __init__(
        self,
        directory: ColdDirectory,
        overshoot: float,
        slack: float,
        heartbeat_age_seconds: Callable[[BackendId, float], float | None],
    ) -> None:
        """Begin with nothing granted.

        Args:
            directory: What the group agreed on.
            overshoot: See `bucket_rate`.
            slack: See `bucket_rate`.
            heard_seconds: How long ago a back end's newest heartbeat came, at a local time; None
                if this leader heard none yet.
        """
        self._directory = directory
        self._overshoot = overshoot
        self._slack = slack
        self._heard_seconds = heartbeat_age_seconds
        self._buckets: dict[BackendId, _Bucket] = {}
        """Of cold back ends that sends were requested to; warm and gone ones are dropped."""
        self._revision = (-1, -1)

    def begin(self) -> None:
        """A leadership begins: whatever was granted before is not known here."""
        self._buckets.clear()

    def answer(self, sender: NodeId, is_batch: bool, data: bytes | None, now: float) -> GrantAnswer:
        """Grant a daemon what it may send; call it only while this process may act as leader.

        Args:
            sender: Who asks.
            is_batch: Whether its work comes after that of callers.
            data: Its encoded requests, if it has any.
            now: Local time.
        """
        if not data:
            return GrantAnswer()
        try:
            asked = decode_requests(data)
        except DECODE_ERRORS as error:
            fields = {"daemon": sender, "detail": str(error)}
            return GrantAnswer(effects=(LogEvent("cold.malformed", fields, "warning"),))
        effects = self._drop_warm()
        sends: dict[BackendId, int] = {}
        next_seconds: dict[str, float] = {}
        heard: dict[BackendId, float] = {}
        for request in asked.requests:
            cold = self._cold_of(request, now, effects)
            self._grant(request, cold, is_batch, sends, next_seconds)
            heard.update(self._warm_of(request, now))
        grants = ColdGrants(asked.pull_sent_at, sends, next_seconds, heard)
        return GrantAnswer(encode_grants(grants), tuple(effects))

    def _drop_warm(self) -> list[Effect]:
        """Follow the directory: what is warm or gone is granted nothing more."""
        revision = (self._directory.backends_revision, self._directory.document_revision)
        if revision == self._revision:
            return []
        self._revision = revision
        effects: list[Effect] = []
        for backend_id, bucket in list(self._buckets.items()):
            rate = self._rate_of(backend_id)
            if rate is None:
                del self._buckets[backend_id]
                fields = {"backend": backend_id, "granted": bucket.granted}
                effects.append(LogEvent("cold.fed", fields))
            else:
                bucket.rate = rate
                bucket.level = min(bucket.level, rate.burst)
        return effects

    def _rate_of(self, backend_id: BackendId) -> BucketRate | None:
        """How fast sends to a back end may be granted; None if it isn't cold, or bears anything."""
        backend = self._directory.backends.get(backend_id)
        document = self._directory.document
        if backend is None or not backend.is_cold or document is None:
            return None
        for service in document.services:
            if service.name == backend.service:
                bears = service.cold_requests_per_second
                return bucket_rate(bears, self._overshoot, self._slack) if bears > 0.0 else None
        return None

    def _cold_of(
        self, request: GrantRequest, now: float, effects: list[Effect]
    ) -> dict[BackendId, _Bucket]:
        """Give the buckets of a request's back ends, as full as they are now."""
        cold: dict[BackendId, _Bucket] = {}
        for backend_id in request.backends:
            bucket = self._buckets.get(backend_id)
            if bucket is None:
                rate = self._rate_of(backend_id)
                if rate is None:
                    continue
                bucket = self._buckets[backend_id] = _Bucket(rate, now)
                fields = {
                    "backend": backend_id,
                    "per_second": round(rate.per_second, 2),
                    "burst": round(rate.burst, 2),
                }
                effects.append(LogEvent("cold.feeding", fields))
            bucket.fill(now)
            cold[backend_id] = bucket
        return cold

    def _grant(
        self,
        request: GrantRequest,
        cold: dict[BackendId, _Bucket],
        is_batch: bool,
        sends: dict[BackendId, int],
        next_seconds: dict[str, float],
    ) -> None:
        """Draw a request's sends, from the fullest buckets first."""
        left = request.sends
        needed = {b: 1.0 + self._reserve(b, bucket, is_batch) for b, bucket in cold.items()}
        while left > 0:
            fullest = max(cold, key=lambda b: cold[b].level - needed[b], default=None)
            if fullest is None or cold[fullest].level < needed[fullest]:
                break
            cold[fullest].level -= 1.0
            cold[fullest].granted += 1
            sends[fullest] = sends.get(fullest, 0) + 1
            left -= 1
        if left > 0 and cold:
            next_seconds[request.kind] = min(cold[b].seconds_until(needed[b]) for b in cold)

    def _reserve(self, backend_id: BackendId, bucket: _Bucket, is_batch: bool) -> float:
        service = self._directory.backends[backend_id].service
        serves_callers = service in self._directory.live_services
        return reserved_for_callers(is_batch, serves_callers, bucket.rate.burst)

    def _warm_of(self, request: GrantRequest, now: float) -> dict[BackendId, float]:
        """Of a request's back ends that aren't cold: how long ago they said so."""
        heard: dict[BackendId, float] = {}
        for backend_id in request.backends:
            seconds = self._heard_seconds(backend_id, now)
            if backend_id not in self._buckets and seconds is not None:
                heard[backend_id] = seconds
        return heard
