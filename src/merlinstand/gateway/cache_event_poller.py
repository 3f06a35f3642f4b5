"""Polls engines for prefix cache events.

The events arrive late and are incomplete, so they only serve as hints for routing by prefix
affinity.
"""

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.configuration.objects import PoolKind
from merlinstand.gateway.exchange import PoolState
from merlinstand.gateway.pool_states import PoolStates
from merlinstand.gateway.settings import HealthSettings
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallFailed, CallResponded
from merlinstand.routing.status import decode_cache_events

CACHE_TIMER = "gateway.cache_events"
CACHE_PATH = "/v1/cache_events?after="


class CacheEventCall(msgspec.Struct, frozen=True):
    """A request for cache events in flight."""

    pool_state: PoolState
    backend_id: str
    incarnation: int


class CacheEventPoller:
    """Polls one engine per timer tick, in rounds; the rate is bounded for any number of engines."""

    def __init__(self, settings: HealthSettings, pool_states: PoolStates) -> None:
        """Create a poller; `start` begins polling."""
        self._settings = settings
        self._pool_states = pool_states
        self._calls: dict[CallId, CacheEventCall] = {}
        self._remaining: list[tuple[PoolState, str]] = []
        self._number = 0

    def start(self, out: list[Effect]) -> None:
        """Set the timer, unless polling is disabled by an interval of 0."""
        if self._settings.cache_event_interval_seconds > 0.0:
            out.append(SetTimer(CACHE_TIMER, self._settings.cache_event_interval_seconds))

    def on_timer(self, out: list[Effect]) -> None:
        """Set the next timer and poll the next engine."""
        if not self._remaining:
            self._remaining = [
                (pool_state, backend_id)
                for pool_state in self._pool_states
                if pool_state.pool.kind is PoolKind.ENGINE
                for backend_id in pool_state.router.replicas
            ]
        interval_seconds = self._settings.cache_event_interval_seconds
        shortest_seconds = 1.0 / self._settings.maximum_status_requests_per_second
        tick_seconds = max(shortest_seconds, interval_seconds / max(1, len(self._remaining)))
        out.append(SetTimer(CACHE_TIMER, min(interval_seconds, tick_seconds)))
        if self._remaining:
            pool_state, backend_id = self._remaining.pop()
            self._poll(pool_state, backend_id, out)

    def on_response(self, event: CallResponded) -> None:
        """Pass the cache events in a response to the router; ignores errors and other calls."""
        call = self._calls.pop(event.call_id, None)
        if call is None or event.status != 200:
            return
        decoded = decode_cache_events(event.body)
        if decoded.is_ok():
            call.pool_state.router.record_cache_events(
                call.backend_id, decoded.unwrap(), call.incarnation
            )

    def on_failure(self, event: CallFailed) -> None:
        """Remove a call that failed; the failure doesn't count against the engine's health."""
        self._calls.pop(event.call_id, None)

    def _poll(self, pool_state: PoolState, backend_id: str, out: list[Effect]) -> None:
        replica = pool_state.router.replicas.get(backend_id)
        if replica is None or replica.status is None:
            return
        self._number += 1
        call_id = CallId(f"cache.{self._number}")
        self._calls[call_id] = CacheEventCall(pool_state, backend_id, replica.status.incarnation)
        out.append(
            StartCall(
                call_id,
                replica.backend.address,
                "GET",
                f"{CACHE_PATH}{replica.hints.next_sequence}",
                {},
                b"",
                self._settings.status_timeout_seconds,
            )
        )
