"""State that a daemon keeps about one replica; only `PoolRouter` changes it."""

from random import Random

from merlinstand.configuration.objects import Backend, Pool, PoolKind
from merlinstand.routing.affinity import PrefixCacheHints
from merlinstand.routing.breaker import CircuitBreaker
from merlinstand.routing.concurrency import ConcurrencyLimit
from merlinstand.routing.load_reports import ExternalLoad
from merlinstand.routing.membership import DrainSignals, ReplicaState
from merlinstand.routing.settings import RouterSettings
from merlinstand.routing.status import BackendStatus, EngineStatus


class Replica:
    """Breaker, concurrency limit, load, draining signals and cache hints of one replica."""

    __slots__ = (
        "back_off_until",
        "backend",
        "breaker",
        "hints",
        "in_flight",
        "limit",
        "load",
        "signals",
        "status",
        "unanswered_status_requests",
    )

    def __init__(self, backend: Backend, settings: RouterSettings, random: Random) -> None:
        """Create the state of a replica that was not polled yet."""
        self.backend = backend
        self.breaker = CircuitBreaker(settings.breaker, random)
        self.load = ExternalLoad(
            settings.load_half_life_seconds,
            settings.load_expiry_seconds,
            settings.load_report_share,
        )
        self.signals = DrainSignals()
        self.hints = PrefixCacheHints(settings.maximum_hints)
        self.limit = ConcurrencyLimit(1)
        self.in_flight = 0
        self.back_off_until = 0.0
        self.unanswered_status_requests = 0
        self.status: BackendStatus | None = None
        """Last accepted response to `GET /v1/status`."""

    def is_eligible(self, pool: Pool) -> bool:
        """Return whether the replica may get new requests, whatever its load.

        Panic mode does not override this: a draining replica or an engine without verified weights
        gets no requests even if it is the last one.
        """
        if self.signals.is_draining or self.signals.reported_state is ReplicaState.FAILED:
            return False
        if pool.kind is PoolKind.SERVICE:
            return True
        status = self.status
        return (
            isinstance(status, EngineStatus)
            and status.state is ReplicaState.READY
            and status.active_version is not None
            and status.active_version > 0
            and status.model in ("", pool.model)
        )

    def utilization(self, now: float) -> float:
        """Return the estimated load divided by this daemon's concurrency limit at the replica."""
        return (self.in_flight + self.load.estimate(now)) / self.limit.value

    def estimated_load(self, now: float) -> float:
        """Return the estimated number of requests at the replica, of this daemon and others."""
        return self.in_flight + self.load.estimate(now)

    def can_accept(self, unanswered_limit: int, now: float) -> bool:
        """Return whether an eligible replica looks healthy and has a free slot."""
        return (
            self.in_flight < self.limit.value
            and now >= self.back_off_until
            and self.unanswered_status_requests < unanswered_limit
            and self.breaker.allows(now)
        )

    def has_free_slot(self) -> bool:
        """Return whether this daemon may have one more request in flight at the replica."""
        return self.in_flight < self.limit.value
