"""What one process saw of a back end: requests in flight, latency, failures, kept connections.

Plain data with its rules of updating; `server_choice` weighs it. Times are local, in seconds.
"""

import msgspec

from merlinstand.decisions.distance import DEFAULT_LATENCY_SECONDS
from merlinstand.decisions.waiting import FULL_SERVICE_PAUSE_SECONDS

LATENCY_WEIGHT = 0.3
"""Weight of the newest latency in the moving average. Chosen, not measured."""
LATENCY_HALF_LIFE_SECONDS = 3.0
"""An old latency moves half the way to the first assumption in this time. Chosen, not measured."""
CONNECTION_KEEP_ALIVE_SECONDS = 15.0
"""A connection is assumed to be kept this long after an answer; if its server closed it sooner,
a new one is opened there as it would be anywhere."""
FIRST_PENALTY_SECONDS = 0.5
"""A back end that failed is avoided for this long first. Chosen, not measured."""
LONGEST_PENALTY_SECONDS = 4.0
"""The penalty doubles with each failure up to this: one request in 4 s probes a server that
is gone. Chosen, not measured."""
FIRST_FULL_SECONDS = FULL_SERVICE_PAUSE_SECONDS
"""A back end that turned a request away is passed over for this long first: a request that all
turned away finds the first of them open again after its pause."""
LONGEST_FULL_SECONDS = 0.4
"""That time doubles with each request turned away after it, up to this: a place that comes free is
found soon enough for callers that wait a second."""


class BackendEvidence(msgspec.Struct):
    """What this process saw of one back end."""

    in_flight: int = 0
    suspects_in_flight: int = 0
    """Requests in flight there under which servers have ended before."""
    first_latency_seconds: float = DEFAULT_LATENCY_SECONDS
    """Assumed while nothing is known."""
    latency_seconds: float = DEFAULT_LATENCY_SECONDS
    latency_at: float = 0.0
    avoid_until: float = 0.0
    penalty_seconds: float = 0.0
    connected_until: float = 0.0
    """Until when a connection to it is assumed to be kept."""
    full_until: float = 0.0
    """Until when it is passed over since it turned a request away."""
    full_seconds: float = 0.0
    """How long that was the last time; 0 once it has run a request again."""

    def latency(self, now: float) -> float:
        """Moving average, faded towards the first assumption as it ages."""
        age = max(0.0, now - self.latency_at)
        share = 0.5 ** (age / LATENCY_HALF_LIFE_SECONDS)
        first = self.first_latency_seconds
        return first + (self.latency_seconds - first) * share

    def record_latency(self, seconds: float, now: float) -> None:
        """Take a whole answer's latency in."""
        present = self.latency(now)
        self.latency_seconds = present + LATENCY_WEIGHT * (seconds - present)
        self.latency_at = now

    def record_failure(self, now: float) -> None:
        """Avoid the back end for a while, longer each time."""
        longer = max(FIRST_PENALTY_SECONDS, self.penalty_seconds * 2)
        self.penalty_seconds = min(LONGEST_PENALTY_SECONDS, longer)
        self.avoid_until = now + self.penalty_seconds
        self.connected_until = 0.0

    def record_response(self, now: float) -> None:
        """It answered, whatever it said: the connection can be used again."""
        self.connected_until = now + CONNECTION_KEEP_ALIVE_SECONDS

    def record_refusal(self, now: float) -> None:
        """It had no room for a request; what was sent before it showed that says nothing new."""
        if now < self.full_until:
            return
        longer = max(FIRST_FULL_SECONDS, self.full_seconds * 2)
        self.full_seconds = min(LONGEST_FULL_SECONDS, longer)
        self.full_until = now + self.full_seconds

    def clear_full(self) -> None:
        """It ran a request."""
        self.full_seconds = 0.0
        self.full_until = 0.0

    def is_full(self, now: float) -> bool:
        """Whether it turned a request away lately."""
        return now < self.full_until

    def record_cancellation(self) -> None:
        """A try there was cancelled, and its connection closed."""
        self.connected_until = 0.0

    def record_success(self) -> None:
        """The back end works."""
        self.penalty_seconds = 0.0
        self.avoid_until = 0.0
