"""What one process saw of a back end: requests in flight, latency, failures, kept connections.

Plain data with its rules of updating; `server_choice` weighs it. Times are local, in seconds.
"""

import msgspec

from merlinstand.decisions.distance import ANSWER_SECONDS

LATENCY_WEIGHT = 0.3
"""Weight of the newest latency in the moving average. Chosen, not measured."""
LATENCY_HALF_LIFE_SECONDS = 3.0
"""An old latency moves half the way to the first assumption in this time. Chosen, not measured."""
KEPT_CONNECTION_SECONDS = 15.0
"""A connection is assumed to be kept this long after an answer; if its server closed it sooner,
a new one is opened there as it would be anywhere."""
FIRST_PENALTY_SECONDS = 0.5
"""A back end that failed is avoided for this long first. Chosen, not measured."""
LONGEST_PENALTY_SECONDS = 4.0
"""The penalty doubles with each failure up to this: one request in 4 s probes a server that
is gone. Chosen, not measured."""


class BackendEvidence(msgspec.Struct):
    """What this process saw of one back end."""

    in_flight: int = 0
    suspects: int = 0
    """Requests in flight there under which servers have ended before."""
    first_latency_seconds: float = ANSWER_SECONDS
    """Assumed while nothing is known."""
    latency_seconds: float = ANSWER_SECONDS
    latency_at: float = 0.0
    avoid_until: float = 0.0
    penalty_seconds: float = 0.0
    connected_until: float = 0.0
    """Until when a connection to it is assumed to be kept."""

    def latency(self, now: float) -> float:
        """Moving average, faded towards the first assumption as it ages."""
        age = max(0.0, now - self.latency_at)
        share = 0.5 ** (age / LATENCY_HALF_LIFE_SECONDS)
        first = self.first_latency_seconds
        return first + (self.latency_seconds - first) * share

    def note_latency(self, seconds: float, now: float) -> None:
        """Take a whole answer's latency in."""
        present = self.latency(now)
        self.latency_seconds = present + LATENCY_WEIGHT * (seconds - present)
        self.latency_at = now

    def note_failure(self, now: float) -> None:
        """Avoid the back end for a while, longer each time."""
        longer = max(FIRST_PENALTY_SECONDS, self.penalty_seconds * 2)
        self.penalty_seconds = min(LONGEST_PENALTY_SECONDS, longer)
        self.avoid_until = now + self.penalty_seconds
        self.connected_until = 0.0

    def note_answer(self, now: float) -> None:
        """It answered, whatever it said: the connection can be used again."""
        self.connected_until = now + KEPT_CONNECTION_SECONDS

    def note_given_up(self) -> None:
        """A try there was cancelled, and its connection closed."""
        self.connected_until = 0.0

    def note_success(self) -> None:
        """The back end works."""
        self.penalty_seconds = 0.0
        self.avoid_until = 0.0
