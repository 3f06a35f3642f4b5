"""Rate at which a pool completes work: an exponentially decaying average of completed cost.

`PoolState.expected_wait_seconds` divides the queued cost by this rate.
"""

import math

RATE_WINDOW_SECONDS = 5.0
"""Time constant of the average: a completion this long ago counts 1/e. Long enough to smooth single
long requests, short enough to follow a pool that loses backends."""

MINIMUM_RATE_AGE_SECONDS = 0.5
"""Time after the first completion before a rate is available: a completion divided by almost no
time would give a far too high rate."""


class CompletionRate:
    """Recently completed cost per second, in units of `CallerRequest.cost`."""

    __slots__ = ("_started_at", "_sum", "_updated_at")

    def __init__(self) -> None:
        """Create a rate that is unknown until after the first completion."""
        self._sum = 0.0
        self._updated_at = 0.0
        self._started_at: float | None = None

    def record(self, cost: float, now: float) -> None:
        """Add the cost of a completed request."""
        self._decay(now)
        self._sum += cost

    def per_second(self, now: float) -> float | None:
        """Return the rate; None until `MINIMUM_RATE_AGE_SECONDS` after the first completion."""
        if self._started_at is None or now - self._started_at < MINIMUM_RATE_AGE_SECONDS:
            return None
        self._decay(now)
        # Corrects for the part of the exponential window before the first completion.
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
