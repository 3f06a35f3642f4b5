"""A circuit breaker for one replica.

The decision, with the figures of `BreakerSettings`:

1. It opens after `consecutive_failures` in a row, or when `failure_share` of the recent calls
   failed and there were `minimum_calls` of them. Recent calls fade exponentially, by
   `window_seconds`.
2. Open, it lets no call through for `first_open_seconds`, doubled with each opening in a row up to
   `longest_open_seconds`, and spread at random.
3. Then one call goes through to see: its success closes the breaker, its failure opens it again.

A success at any time closes it. Owns the counts; relies on its owner to report each call's start
and end, with local monotonic times.
"""

import enum
import math
from random import Random

from merlinstand.routing.settings import BreakerSettings

JITTER_FRACTION = 0.25
"""Share by which a pause is longer or shorter, at random: keeps the gateways of a fleet from
probing a replica all at once. Chosen, not measured."""

MAXIMUM_DOUBLINGS = 16
"""Openings in a row that still double the pause, which `longest_open_seconds` bounds long before:
keeps the power small."""


class BreakerState(enum.Enum):
    """Whether a replica gets calls."""

    CLOSED = "closed"
    """Calls go through."""
    OPEN = "open"
    """No calls until the pause is over."""
    HALF_OPEN = "half_open"
    """One call goes through to see."""


class CircuitBreaker:
    """Opens on failures, tries one call after a pause, closes on its success.

    A breaker judges one replica only; `balancer.without_open_breakers` sees to it that breakers
    together never shut out a whole pool.
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
        """Make a closed breaker."""
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
        """Tell whether a call may be sent at `now`."""
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.OPEN:
            return now >= self._open_until
        return not self._probe_in_flight

    def record_call_start(self, now: float) -> None:
        """A call was sent: after a pause, it is the probe."""
        if self.state is BreakerState.CLOSED:
            return
        if self.state is BreakerState.OPEN and now < self._open_until:
            # Sent in panic mode: it may close the breaker but does not count as the probe.
            return
        self.state = BreakerState.HALF_OPEN
        self._probe_in_flight = True

    def record_success(self, now: float) -> None:
        """A call came to a good end."""
        self._count(now, failed=False)
        self._consecutive_failures = 0
        self._probe_in_flight = False
        if self.state is not BreakerState.CLOSED:
            self.state = BreakerState.CLOSED
            self._consecutive_openings = 0
            self._calls = 0.0
            self._failures = 0.0

    def record_failure(self, now: float) -> None:
        """A call failed by the replica's fault."""
        self._count(now, failed=True)
        self._consecutive_failures += 1
        self._probe_in_flight = False
        if self.state is BreakerState.HALF_OPEN or self._is_failure_threshold_reached():
            self._open(now)

    def record_inconclusive(self) -> None:
        """A call ended without telling anything about the replica."""
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
        pause_seconds = min(
            self._settings.first_open_seconds * 2.0**self._consecutive_openings,
            self._settings.longest_open_seconds,
        )
        self._open_until = now + pause_seconds * self._random.uniform(
            1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION
        )
        self._consecutive_openings = min(self._consecutive_openings + 1, MAXIMUM_DOUBLINGS)
        self.state = BreakerState.OPEN
