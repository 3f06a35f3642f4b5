"""States of the pools that a gateway serves, updated by the configuration."""

from collections.abc import Iterator, Mapping
from random import Random

import msgspec

from merlinstand.configuration.objects import Daemon, Pool
from merlinstand.gateway.exchange import PoolState
from merlinstand.gateway.settings import GatewaySettings
from merlinstand.routing.router import PoolRouter
from merlinstand.session.view import ConfigurationView


class PoolStates:
    """State of each configured pool, by name and by number."""

    def __init__(self, settings: GatewaySettings, random: Random) -> None:
        """Create a table; `configure` adds the pools."""
        self._settings = settings
        self._random = random
        self._pool_states: dict[str, PoolState] = {}
        self._by_number: dict[int, PoolState] = {}
        self._next_number = 0

    def __iter__(self) -> Iterator[PoolState]:
        """Iterate over the states of configured pools."""
        return iter(self._pool_states.values())

    def get(self, pool_name: str) -> PoolState | None:
        """Return the state of a pool; None if it is not configured."""
        return self._pool_states.get(pool_name)

    def get_by_number(self, number: int) -> PoolState | None:
        """Return the pool state with a number; None if the pool is no longer configured."""
        return self._by_number.get(number)

    def configure(self, view: ConfigurationView) -> None:
        """Apply a configuration.

        The state of a deleted pool is removed from the table. Unfinished exchanges of the pool keep
        a reference to the state until they end, but its router no longer has any backends.
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
    """Return the node ids of the registered gateways, by zone."""
    zones: dict[str, list[str]] = {}
    for node_id, daemon in daemons.items():
        if daemon.role == "gateway":
            zones.setdefault(daemon.zone, []).append(node_id)
    return zones


def without_backends(pool: Pool) -> Pool:
    """Return a copy of a pool without backends."""
    return msgspec.structs.replace(pool, backends=())
