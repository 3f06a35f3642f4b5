"""Weighted choice among the services of a route."""

import random

from merlinstand.cluster.routes import Route

GOLDEN_RATIO_FRACTION = 0.6180339887498949
"""Step of a low-discrepancy sequence: any run of consecutive values is spread evenly over 0 to
1."""


class WeightedChoice:
    """Distributes each route's requests evenly by weight, from a random start."""

    def __init__(self) -> None:
        self._random = random.Random(0)
        self._positions: dict[str, float] = {}

    def seed(self, seed: int) -> None:
        """Seed the random starts, so that processes differ."""
        self._random = random.Random(seed)

    def choose(self, route: Route) -> str:
        """Return the service for a route's next request."""
        if len(route.targets) == 1:
            return route.targets[0].service
        position = self._positions.get(route.name)
        if position is None:
            position = self._random.random()
        position = (position + GOLDEN_RATIO_FRACTION) % 1.0
        self._positions[route.name] = position
        remaining = position * sum(target.weight for target in route.targets)
        for target in route.targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        return next(target.service for target in reversed(route.targets) if target.weight > 0)
