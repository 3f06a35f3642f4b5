"""Grants sends to cold backends on the control leader, with one token bucket for each backend.

Holds the buckets, which are filled by the leader's local time; a new leadership starts without any.
Reads the committed backends and services from the directory. `grants` explains why the rate limit
holds. Part of the control daemon's reducer.
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


class BackendDirectory(Protocol):
    """The parts of the replicated directory that are read here."""

    document: RoutesDocument | None
    document_revision: int
    backends_revision: int
    live_services: frozenset[str]

    @property
    def backends(self) -> Mapping[BackendId, Backend]:
        """Registered backends."""
        ...


class GrantResponse(msgspec.Struct, frozen=True):
    """The leader's response to a daemon's requests for grants."""

    data: bytes | None = None
    """Encoded grants; None if the daemon requested nothing."""
    effects: tuple[Effect, ...] = ()


class _Bucket(msgspec.Struct):
    """Token bucket of one cold backend."""

    rate: BucketRate
    filled_at: float
    level: float = 0.0
    """Tokens in the bucket. A new bucket is empty, since the previous leader may have granted sends
    until now."""
    granted: int = 0
    """Number of sends granted so far, for the log."""

    def fill(self, now: float) -> None:
        """Add the tokens for the time since the last call."""
        passed = max(0.0, now - self.filled_at)
        self.level = min(self.rate.burst, self.level + passed * self.rate.per_second)
        self.filled_at = now

    def seconds_until(self, level: float) -> float:
        """Return the seconds until the bucket holds this many tokens; infinite if it never does."""
        if level > self.rate.burst or self.rate.per_second <= 0.0:
            return float("inf")
        return max(0.0, level - self.level) / self.rate.per_second


class GrantIssuer:
    """Grants sends to all cold backends, for one leader."""

    def __init__(
        self,
        directory: BackendDirectory,
        overshoot: float,
        slack: float,
        heartbeat_age_seconds: Callable[[BackendId, float], float | None],
    ) -> None:
        """Start without buckets.

        Args:
            directory: The committed backends and services.
            overshoot: See `bucket_rate`.
            slack: See `bucket_rate`.
            heartbeat_age_seconds: Returns the seconds since a backend's newest heartbeat at a local
                time; None if this leader has received none yet.
        """
        self._directory = directory
        self._overshoot = overshoot
        self._slack = slack
        self._heartbeat_age_seconds = heartbeat_age_seconds
        self._buckets: dict[BackendId, _Bucket] = {}
        """Buckets of the cold backends for which sends were requested; dropped when the backend is
        warm or removed."""
        self._revision = (-1, -1)

    def begin(self) -> None:
        """Start a leadership; drops all buckets, since other leaders' grants are unknown."""
        self._buckets.clear()

    def handle_requests(
        self, sender: NodeId, is_batch: bool, data: bytes | None, now: float
    ) -> GrantResponse:
        """Grant sends to a daemon; call only while this process may act as leader.

        Args:
            sender: The requesting daemon.
            is_batch: Whether the daemon's work is batch work, of lower priority than callers.
            data: The daemon's encoded grant requests, if there are any.
            now: Local time.
        """
        if not data:
            return GrantResponse()
        try:
            requested = decode_requests(data)
        except DECODE_ERRORS as error:
            fields = {"daemon": sender, "detail": str(error)}
            return GrantResponse(effects=(LogEvent("cold.malformed", fields, "warning"),))
        effects = self._drop_warm()
        sends: dict[BackendId, int] = {}
        next_seconds: dict[str, float] = {}
        ages: dict[BackendId, float] = {}
        for request in requested.requests:
            buckets = self._filled_buckets(request, now, effects)
            self._grant(request, buckets, is_batch, sends, next_seconds)
            ages.update(self._heartbeat_ages(request, now))
        grants = ColdGrants(requested.pull_sent_at, sends, next_seconds, ages)
        return GrantResponse(encode_grants(grants), tuple(effects))

    def _drop_warm(self) -> list[Effect]:
        """Apply changes of the directory: drop the buckets of backends that are warm or removed,
        and update the rates of the other buckets.
        """
        revision = (self._directory.backends_revision, self._directory.document_revision)
        if revision == self._revision:
            return []
        self._revision = revision
        effects: list[Effect] = []
        for backend_id, bucket in list(self._buckets.items()):
            rate = self._bucket_rate_of(backend_id)
            if rate is None:
                del self._buckets[backend_id]
                fields = {"backend": backend_id, "granted": bucket.granted}
                effects.append(LogEvent("cold.grants_ended", fields))
            else:
                bucket.rate = rate
                bucket.level = min(bucket.level, rate.burst)
        return effects

    def _bucket_rate_of(self, backend_id: BackendId) -> BucketRate | None:
        """Return a backend's bucket parameters; None if it isn't cold or has no limit."""
        backend = self._directory.backends.get(backend_id)
        document = self._directory.document
        if backend is None or not backend.is_cold or document is None:
            return None
        for service in document.services:
            if service.name == backend.service:
                cold_rate = service.cold_requests_per_second
                return (
                    bucket_rate(cold_rate, self._overshoot, self._slack)
                    if cold_rate > 0.0
                    else None
                )
        return None

    def _filled_buckets(
        self, request: GrantRequest, now: float, effects: list[Effect]
    ) -> dict[BackendId, _Bucket]:
        """Return the buckets of the cold backends in a grant request, filled up to now."""
        buckets: dict[BackendId, _Bucket] = {}
        for backend_id in request.backends:
            bucket = self._buckets.get(backend_id)
            if bucket is None:
                rate = self._bucket_rate_of(backend_id)
                if rate is None:
                    continue
                bucket = self._buckets[backend_id] = _Bucket(rate, now)
                fields = {
                    "backend": backend_id,
                    "per_second": round(rate.per_second, 2),
                    "burst": round(rate.burst, 2),
                }
                effects.append(LogEvent("cold.grants_started", fields))
            bucket.fill(now)
            buckets[backend_id] = bucket
        return buckets

    def _grant(
        self,
        request: GrantRequest,
        buckets: dict[BackendId, _Bucket],
        is_batch: bool,
        sends: dict[BackendId, int],
        next_seconds: dict[str, float],
    ) -> None:
        """Draw tokens for a grant request, from the fullest buckets first.

        Adds to `sends` and `next_seconds`, which become fields of `ColdGrants`.
        """
        remaining = request.sends
        needed = {b: 1.0 + self._reserve_of(b, bucket, is_batch) for b, bucket in buckets.items()}
        while remaining > 0:
            fullest = max(buckets, key=lambda b: buckets[b].level - needed[b], default=None)
            if fullest is None or buckets[fullest].level < needed[fullest]:
                break
            buckets[fullest].level -= 1.0
            buckets[fullest].granted += 1
            sends[fullest] = sends.get(fullest, 0) + 1
            remaining -= 1
        if remaining > 0 and buckets:
            next_seconds[request.kind] = min(buckets[b].seconds_until(needed[b]) for b in buckets)

    def _reserve_of(self, backend_id: BackendId, bucket: _Bucket, is_batch: bool) -> float:
        service = self._directory.backends[backend_id].service
        serves_callers = service in self._directory.live_services
        return reserved_for_callers(is_batch, serves_callers, bucket.rate.burst)

    def _heartbeat_ages(self, request: GrantRequest, now: float) -> dict[BackendId, float]:
        """Return the heartbeat ages of the backends in a grant request that aren't cold."""
        ages: dict[BackendId, float] = {}
        for backend_id in request.backends:
            seconds = self._heartbeat_age_seconds(backend_id, now)
            if backend_id not in self._buckets and seconds is not None:
                ages[backend_id] = seconds
        return ages
