"""A circuit breaker for one replica, with the thresholds of `BreakerSettings`.

1. The breaker opens after `consecutive_failures`, or if `failure_share` of at least `minimum_calls`
   recent calls failed. Counts of recent calls decay exponentially with time constant
   `window_seconds`.
2. While open, the breaker allows no calls for `first_open_seconds`, doubled for each consecutive
   opening up to `longest_open_seconds`, with random jitter.
3. Then the breaker is half open and allows one probe: success closes the breaker, failure opens it
   again.

A success at any time closes the breaker. The owner must record the start and the end of each call,
with local monotonic times.
"""

import enum
import math
from random import Random

from merlinstand.routing.settings import BreakerSettings

JITTER_FRACTION = 0.25
"""Maximum relative random deviation of the open time, so that gateways do not all probe a replica
at the same moment."""

MAXIMUM_DOUBLINGS = 16
"""Bound on the exponent of the open time, against overflow; `longest_open_seconds` limits the open
time long before."""


class BreakerState(enum.Enum):
    """Whether calls to a replica are allowed."""

    CLOSED = "closed"
    """All calls are allowed."""
    OPEN = "open"
    """No calls are allowed until the open time is over."""
    HALF_OPEN = "half_open"
    """A single probe is allowed."""


class CircuitBreaker:
    """Circuit breaker of one replica.

    `balancer.exclude_unhealthy` ignores breakers if they would exclude nearly all of a pool.
    """

    __slots__ = (
        "_calls",
        "_consecutive_failures",
        "_consecutive_openings",
        "_failures",
        "_open_until",
        "_probe_in_flight",
        "_random",
        "_settings",
        "_updated_at",
        "state",
    )

    def __init__(self, settings: BreakerSettings, random: Random) -> None:
        """Create a closed breaker; `random` is the source of jitter."""
        self._settings = settings
        self._random = random
        self.state = BreakerState.CLOSED
        self._calls = 0.0
        self._failures = 0.0
        self._updated_at = 0.0
        self._consecutive_failures = 0
        self._consecutive_openings = 0
        self._open_until = 0.0
        self._probe_in_flight = False

    def allows(self, now: float) -> bool:
        """Return whether a call may be sent at local monotonic time `now`."""
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.OPEN:
            return now >= self._open_until
        return not self._probe_in_flight

    def record_call_start(self, now: float) -> None:
        """Record that a call was sent; the first one after the open time is the probe."""
        if self.state is BreakerState.CLOSED:
            return
        if self.state is BreakerState.OPEN and now < self._open_until:
            # Sent in panic mode: the call is not the probe, but its success closes the breaker.
            return
        self.state = BreakerState.HALF_OPEN
        self._probe_in_flight = True

    def record_success(self, now: float) -> None:
        """Record a successful call: closes the breaker."""
        self._count(now, failed=False)
        self._consecutive_failures = 0
        self._probe_in_flight = False
        if self.state is not BreakerState.CLOSED:
            self.state = BreakerState.CLOSED
            self._consecutive_openings = 0
            self._calls = 0.0
            self._failures = 0.0

    def record_failure(self, now: float) -> None:
        """Record a call that failed through the replica's fault: may open the breaker."""
        self._count(now, failed=True)
        self._consecutive_failures += 1
        self._probe_in_flight = False
        if self.state is BreakerState.HALF_OPEN or self._is_failure_threshold_reached():
            self._open(now)

    def record_inconclusive(self) -> None:
        """Record the end of a call that shows neither success nor failure of the replica."""
        self._probe_in_flight = False

    def _count(self, now: float, *, failed: bool) -> None:
        elapsed_seconds = max(0.0, now - self._updated_at)
        decay = math.exp(-elapsed_seconds / self._settings.window_seconds)
        self._updated_at = now
        self._calls = self._calls * decay + 1.0
        self._failures = self._failures * decay + (1.0 if failed else 0.0)

    def _is_failure_threshold_reached(self) -> bool:
        if self.state is BreakerState.OPEN:
            return False
        if self._consecutive_failures >= self._settings.consecutive_failures:
            return True
        if self._calls < self._settings.minimum_calls:
            return False
        return self._failures >= self._settings.failure_share * self._calls

    def _open(self, now: float) -> None:
        open_seconds = min(
            self._settings.first_open_seconds * 2.0**self._consecutive_openings,
            self._settings.longest_open_seconds,
        )
        self._open_until = now + open_seconds * self._random.uniform(
            1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION
        )
        self._consecutive_openings = min(self._consecutive_openings + 1, MAXIMUM_DOUBLINGS)
        self.state = BreakerState.OPEN
