"""How fast a pool completes work: an exponentially decaying average of completed cost.

Owns the sum and its times; the caller gives the local monotonic time.
`PoolState.expected_wait_seconds` divides queued work by it, to refuse what would wait too long.
"""

import math

RATE_WINDOW_SECONDS = 5.0
"""Time constant of the average: a completion this long ago counts 1/e. Long enough to smooth single
long requests, short enough to follow a pool that loses servers. Chosen, not measured."""

MINIMUM_RATE_AGE_SECONDS = 0.5
"""Seconds after the first completion before a rate is given: one completion over almost no time
would look like a very fast pool. Chosen, not measured."""


class CompletionRate:
    """Cost completed a second, over the recent past; `CallerRequest.cost` gives the unit."""

    __slots__ = ("_started_at", "_sum", "_updated_at")

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._sum = 0.0
        self._updated_at = 0.0
        self._started_at: float | None = None

    def record(self, cost: float, now: float) -> None:
        """Count a completion."""
        self._decay(now)
        self._sum += cost

    def per_second(self, now: float) -> float | None:
        """Return the rate; None while too little is known."""
        if self._started_at is None or now - self._started_at < MINIMUM_RATE_AGE_SECONDS:
            return None
        self._decay(now)
        # The window fills exponentially; before it is full its weight is smaller.
        weight = 1.0 - math.exp(-(now - self._started_at) / RATE_WINDOW_SECONDS)
        return self._sum / (RATE_WINDOW_SECONDS * weight)

    def _decay(self, now: float) -> None:
        if self._started_at is None:
            self._started_at = now
            self._updated_at = now
            return
        elapsed_seconds = max(0.0, now - self._updated_at)
        self._sum *= math.exp(-elapsed_seconds / RATE_WINDOW_SECONDS)
        self._updated_at = now
