"""Engines of one pool: polls their status and decides which of them may take work.

For each engine, keeps its last report (which may be outdated), its circuit breaker, its signals
that it will leave, and a weight swap that it confirmed but that no report shows yet.
"""

import math
from collections.abc import Mapping
from random import Random

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.configuration.objects import Backend, Drain, Pool, Weights
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.engine_protocol import EngineState, EngineStatus
from merlinstand.coordinator.purposes import StatusCall
from merlinstand.kernel.events import CallFailed, CallResponded
from merlinstand.routing.breaker import CircuitBreaker
from merlinstand.routing.load_reports import ExternalLoad, LoadReport
from merlinstand.routing.membership import (
    MAXIMUM_REPORT_LAG_SECONDS,
    DrainSignals,
    ReplicaState,
    StateReport,
)
from merlinstand.routing.settings import RouterSettings

STATUS_EXPIRY_SECONDS = 2.5
"""Age of the last report from which an engine gets no new work. Shorter than
`GenerationSettings.stall_seconds`, so that a stream taken off an unresponsive engine is not
sent back to that engine."""

FREQUENT_POLL_INTERVAL_SECONDS = 0.1
"""Interval of status requests for a while after an engine refused or broke a stream."""

FREQUENT_POLL_PERIOD_SECONDS = 2.0
"""How long status is polled more frequently: longer than reports usually lag."""

_STATUS_DECODER = msgspec.json.Decoder(EngineStatus)


class ConfirmedSwap(msgspec.Struct, frozen=True):
    """A weight swap that the engine confirmed, but that outdated reports may not show yet."""

    version: int
    digest: str
    incarnation: int
    expires_at: float

    def overrides(self, status: EngineStatus, now: float) -> bool:
        """Return whether the swap is newer than a report."""
        if now >= self.expires_at or status.incarnation != self.incarnation:
            return False
        return (status.active_version or 0) < self.version


class Engine:
    """Mutable state of one engine; owned by an `EnginePool`."""

    def __init__(self, backend: Backend, settings: RouterSettings, random: Random) -> None:
        """The engine gets no work before its first report."""
        self.backend = backend
        self.breaker = CircuitBreaker(settings.breaker, random)
        self.load = ExternalLoad(settings.load_half_life_seconds, settings.load_expiry_seconds)
        self.signals = DrainSignals()
        self.status: EngineStatus | None = None
        self.status_received_at = -1.0
        self.status_requested_at: float | None = None
        self.last_status_request_at = -1.0
        self.frequent_polls_until = -math.inf
        """Time until which the engine's status is polled more frequently."""
        self.in_flight = 0
        self.back_off_until = 0.0
        self._confirmed_swap: ConfirmedSwap | None = None

    @property
    def active_version(self) -> int:
        """Version that the engine last reported or confirmed to serve; 0 if none or unknown."""
        return (self.status.active_version or 0) if self.status is not None else 0

    def confirm_swap(self, version: int, digest: str, now: float) -> None:
        """Record that the engine confirmed, in its response to an order, the swap to a version."""
        if self.status is not None:
            until = now + MAXIMUM_REPORT_LAG_SECONDS
            self._confirmed_swap = ConfirmedSwap(version, digest, self.status.incarnation, until)
            self.record_status(self.status, now)

    def record_status(self, status: EngineStatus, now: float) -> None:
        """Record a report, which may still describe the state before a confirmed swap."""
        known = self._confirmed_swap
        if known is not None and known.overrides(status, now):
            status = msgspec.structs.replace(
                status,
                state=EngineState.READY if status.state is EngineState.FAILED else status.state,
                active_version=known.version,
                active_digest=known.digest,
            )
        else:
            self._confirmed_swap = None
        self.status = status

    def poll_frequently(self, now: float) -> None:
        """Poll the engine's status more frequently for a while."""
        self.frequent_polls_until = now + FREQUENT_POLL_PERIOD_SECONDS

    def estimated_requests(self, now: float) -> float:
        """Return the estimated number of requests at the engine, including other clients'."""
        return self.in_flight + self.load.estimate(now)


class EnginePool:
    """Polls the engines of a pool and decides which of them may take work."""

    def __init__(self, pool: Pool, random: Random) -> None:
        """The pool is empty until `configure` adds its engines."""
        self.pool = pool
        self.engines: dict[str, Engine] = {}
        self.changed = True
        """Whether any engine's state or active version changed; cleared by the planner."""
        self._random = random
        self._router_settings = RouterSettings()

    def configure(self, pool: Pool, drains: Mapping[str, Drain]) -> None:
        """Apply the configuration."""
        self.pool = pool
        kept: dict[str, Engine] = {}
        for backend in pool.backends:
            engine = self.engines.get(backend.backend_id)
            if engine is None or engine.backend.address != backend.address:
                engine = Engine(backend, self._router_settings, self._random)
            engine.backend = backend
            engine.signals.has_operator_drain = backend.backend_id in drains
            kept[backend.backend_id] = engine
        self.engines = kept

    def poll(self, context: Context) -> None:
        """Send the status requests that are due."""
        settings = context.settings.rollout
        for backend_id, engine in self.engines.items():
            urgent = context.now < engine.frequent_polls_until
            interval = (
                FREQUENT_POLL_INTERVAL_SECONDS if urgent else settings.status_interval_seconds
            )
            if (
                engine.status_requested_at is not None
                or context.now - engine.last_status_request_at < interval
            ):
                continue
            engine.status_requested_at = engine.last_status_request_at = context.now
            context.start_call(
                StatusCall(self.pool.name, backend_id),
                engine.backend.address,
                "GET",
                "/v1/status",
                timeout_seconds=STATUS_EXPIRY_SECONDS / 2,
            )

    def handle_status_response(
        self, purpose: StatusCall, event: CallResponded | CallFailed, now: float
    ) -> Engine | None:
        """Handle the response to a status request.

        Returns:
            The engine if its report is newer than the last one; None if it was ignored.
        """
        engine = self.engines.get(purpose.backend_id)
        if engine is None or engine.status_requested_at is None:
            return None
        asked_at, engine.status_requested_at = engine.status_requested_at, None
        if isinstance(event, CallFailed) or event.status != 200:
            return None
        try:
            status = _STATUS_DECODER.decode(event.body)
        except DECODE_ERRORS:
            # A malformed report is handled like a missing one: the last valid report expires after
            # `STATUS_EXPIRY_SECONDS`.
            return None
        report = StateReport(
            ReplicaState(status.state.value), status.reported_at, status.incarnation
        )
        if not engine.signals.record_report(report, asked_at):
            return None
        known = engine.status
        engine.record_status(status, now)
        engine.status_received_at = now
        if known is None or _serving_state(known) != _serving_state(engine.status):
            self.changed = True
        load = LoadReport(status.running, status.queued, status.reported_at, status.incarnation)
        engine.load.record(load, engine.in_flight, now)
        return engine

    def serves(self, engine: Engine, weights: Weights | None, now: float) -> bool:
        """Return whether an engine may get new generations, regardless of its load.

        The engine's active weights must be a published version with the published digest: an
        engine whose swap failed or has an unknown result gets no generations.
        """
        status = engine.status
        if status is None or now - engine.status_received_at > STATUS_EXPIRY_SECONDS:
            return False
        if status.state is not EngineState.READY or status.model != self.pool.model:
            return False
        if engine.signals.is_draining or not engine.breaker.allows(now):
            return False
        if weights is None or now < engine.back_off_until:
            return False
        return any(
            published.version == status.active_version and published.digest == status.active_digest
            for published in weights.versions
        )

    def speed(self, now: float) -> float:
        """Return the sum of the engines' reported tokens per second."""
        return sum(
            engine.status.tokens_per_second
            for engine in self.engines.values()
            if engine.status is not None
            and now - engine.status_received_at <= STATUS_EXPIRY_SECONDS
        )


def _serving_state(status: EngineStatus | None) -> tuple[EngineState, int | None] | None:
    return (status.state, status.active_version) if status is not None else None
