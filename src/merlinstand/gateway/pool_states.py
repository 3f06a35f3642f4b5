"""The state of one pool in a gateway: its router, its queue, its speed."""

import math
from collections.abc import Iterator, Mapping
from random import Random
from typing import TYPE_CHECKING

import msgspec

from merlinstand.configuration.objects import Daemon, Pool
from merlinstand.gateway.fair_queue import FairQueue
from merlinstand.gateway.latency_quantile import LatencyQuantile
from merlinstand.gateway.settings import GatewaySettings
from merlinstand.routing.retry_budget import RetryBudget
from merlinstand.routing.router import PoolRouter
from merlinstand.session.view import ConfigurationView

if TYPE_CHECKING:
    from merlinstand.gateway.exchange import Exchange

RATE_WINDOW_SECONDS = 5.0
MINIMUM_RATE_AGE_SECONDS = 0.5


class CompletionRate:
    """Cost completed a second, over the recent past."""

    __slots__ = ("_began_at", "_sum", "_updated_at")

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._sum = 0.0
        self._updated_at = 0.0
        self._began_at: float | None = None

    def completed(self, cost: float, now: float) -> None:
        """Count a completion."""
        self._decay(now)
        self._sum += cost

    def per_second(self, now: float) -> float | None:
        """Return the rate; None while too little is known."""
        if self._began_at is None or now - self._began_at < MINIMUM_RATE_AGE_SECONDS:
            return None
        self._decay(now)
        # The window fills exponentially; before it is full its weight is smaller.
        weight = 1.0 - math.exp(-(now - self._began_at) / RATE_WINDOW_SECONDS)
        return self._sum / (RATE_WINDOW_SECONDS * weight)

    def _decay(self, now: float) -> None:
        if self._began_at is None:
            self._began_at = now
            self._updated_at = now
            return
        elapsed_seconds = max(0.0, now - self._updated_at)
        self._sum *= math.exp(-elapsed_seconds / RATE_WINDOW_SECONDS)
        self._updated_at = now


class PoolState:
    """One pool as this gateway serves it."""

    __slots__ = ("hedge_budget", "latency", "number", "pool", "queue", "rate", "router")

    def __init__(
        self, number: int, pool: Pool, router: PoolRouter, settings: GatewaySettings
    ) -> None:
        """Begin with an empty queue."""
        admission = settings.admission
        self.number = number
        self.pool = pool
        self.router = router
        self.queue: FairQueue[Exchange] = FairQueue(
            admission.maximum_queued_per_pool, admission.maximum_queued_per_caller
        )
        self.rate = CompletionRate()
        self.latency = LatencyQuantile()
        self.hedge_budget = RetryBudget(settings.requests.hedge_budget)

    def expected_wait_seconds(self, caller: str, weight: float, now: float) -> float:
        """Return how long a new request of a caller would wait; 0 while nothing is known."""
        if not len(self.queue):
            return 0.0
        rate = self.rate.per_second(now)
        if rate is None or rate <= 0.0:
            return 0.0
        return self.queue.work_ahead(caller, weight) / rate


class PoolStates:
    """The state of every pool, following the configuration."""

    def __init__(self, settings: GatewaySettings, random: Random) -> None:
        """Start without pools."""
        self._settings = settings
        self._random = random
        self._pool_states: dict[str, PoolState] = {}
        self._by_number: dict[int, PoolState] = {}
        self._next_number = 0

    def __iter__(self) -> Iterator[PoolState]:
        """Iterate over pool states of configured pools."""
        return iter(self._pool_states.values())

    def get(self, pool_name: str) -> PoolState | None:
        """Return the state of a pool."""
        return self._pool_states.get(pool_name)

    def numbered(self, number: int) -> PoolState | None:
        """Return a pool state by number."""
        return self._by_number.get(number)

    def configure(self, view: ConfigurationView) -> None:
        """Follow the configuration.

        A deleted pool's state leaves the table; exchanges inside keep it until they end, and
        its router, configured empty, chooses nobody any more.
        """
        peers = gateways_by_zone(view.daemons)
        for name in [name for name in self._pool_states if name not in view.pools]:
            pool_state = self._pool_states.pop(name)
            del self._by_number[pool_state.number]
            pool_state.router.configure(without_backends(pool_state.pool), view.drains, peers)
        for name, pool in view.pools.items():
            pool_state = self._pool_states.get(name) or self._make(name, pool)
            pool_state.pool = pool
            pool_state.router.configure(pool, view.drains, peers)

    def _make(self, name: str, pool: Pool) -> PoolState:
        settings = self._settings
        router = PoolRouter(settings.node_id, settings.zone, self._random, settings.routing)
        self._next_number += 1
        pool_state = PoolState(self._next_number, pool, router, settings)
        self._pool_states[name] = pool_state
        self._by_number[pool_state.number] = pool_state
        return pool_state


def gateways_by_zone(daemons: Mapping[str, Daemon]) -> dict[str, list[str]]:
    """Return the registered gateways' node ids by zone."""
    zones: dict[str, list[str]] = {}
    for node_id, daemon in daemons.items():
        if daemon.role == "gateway":
            zones.setdefault(daemon.zone, []).append(node_id)
    return zones


def without_backends(pool: Pool) -> Pool:
    """Return a pool's configuration with no backends."""
    return msgspec.structs.replace(pool, backends=())
