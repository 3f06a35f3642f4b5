"""What one process has observed of a backend: requests in flight, latency, failures, connections.

`server_choice` compares backends by these observations. All times are local, in seconds.
"""

import msgspec

from merlinstand.decisions.distance import DEFAULT_LATENCY_SECONDS
from merlinstand.decisions.waiting import FULL_SERVICE_PAUSE_SECONDS

LATENCY_WEIGHT = 0.3
"""Weight of the newest latency in the moving average."""
LATENCY_HALF_LIFE_SECONDS = 3.0
"""Time in which a measured latency decays half of the way to the default."""
CONNECTION_KEEP_ALIVE_SECONDS = 15.0
"""A connection is assumed to stay open for this long after a response. If the backend closed it
earlier, the next request opens a new one."""
INITIAL_PENALTY_SECONDS = 0.5
"""A backend is avoided for this long after its first failure."""
MAXIMUM_PENALTY_SECONDS = 4.0
"""The penalty doubles with each failure up to this limit, so a stopped backend is probed by one
request in 4 s."""
INITIAL_FULL_SECONDS = FULL_SERVICE_PAUSE_SECONDS
"""A backend is passed over for this long after its first refusal. A request that every backend
refused pauses for the same time, so that the first of these backends is selectable again then."""
MAXIMUM_FULL_SECONDS = 0.4
"""The time doubles with each later refusal up to this limit, short enough that free capacity is
found in time for callers that wait one second."""


class BackendEvidence(msgspec.Struct):
    """What this process has observed of one backend."""

    in_flight: int = 0
    suspects_in_flight: int = 0
    """Requests in flight at the backend that are suspected of crashing backends."""
    default_latency_seconds: float = DEFAULT_LATENCY_SECONDS
    """Latency assumed until a response was measured."""
    latency_seconds: float = DEFAULT_LATENCY_SECONDS
    latency_recorded_at: float = 0.0
    avoid_until: float = 0.0
    penalty_seconds: float = 0.0
    connected_until: float = 0.0
    """Until when a connection to the backend is assumed to be open."""
    full_until: float = 0.0
    """Until when the backend is passed over because it refused a request."""
    full_seconds: float = 0.0
    """Length of the last period until `full_until`; 0 once the backend has run a request again."""

    def latency(self, now: float) -> float:
        """Return the moving average in seconds, which decays towards the default with age."""
        age = max(0.0, now - self.latency_recorded_at)
        weight = 0.5 ** (age / LATENCY_HALF_LIFE_SECONDS)
        default = self.default_latency_seconds
        return default + (self.latency_seconds - default) * weight

    def record_latency(self, seconds: float, now: float) -> None:
        """Add the latency of a complete response to the moving average."""
        current = self.latency(now)
        self.latency_seconds = current + LATENCY_WEIGHT * (seconds - current)
        self.latency_recorded_at = now

    def record_failure(self, now: float) -> None:
        """Avoid the backend for a period that doubles with each failure."""
        doubled = max(INITIAL_PENALTY_SECONDS, self.penalty_seconds * 2)
        self.penalty_seconds = min(MAXIMUM_PENALTY_SECONDS, doubled)
        self.avoid_until = now + self.penalty_seconds
        self.connected_until = 0.0

    def record_response(self, now: float) -> None:
        """Record a response of any status, after which the connection can be reused."""
        self.connected_until = now + CONNECTION_KEEP_ALIVE_SECONDS

    def record_refusal(self, now: float) -> None:
        """Mark the backend as full after it refused a request.

        Refusals while the backend is already marked are ignored, because those requests were sent
        before it was marked.
        """
        if now < self.full_until:
            return
        doubled = max(INITIAL_FULL_SECONDS, self.full_seconds * 2)
        self.full_seconds = min(MAXIMUM_FULL_SECONDS, doubled)
        self.full_until = now + self.full_seconds

    def clear_full(self) -> None:
        """Record that the backend ran a request, so it is no longer marked as full."""
        self.full_seconds = 0.0
        self.full_until = 0.0

    def is_full(self, now: float) -> bool:
        """Return whether the backend refused a request recently."""
        return now < self.full_until

    def record_cancellation(self) -> None:
        """Record that an attempt at the backend was cancelled and its connection closed."""
        self.connected_until = 0.0

    def record_success(self) -> None:
        """End the penalty for failures."""
        self.penalty_seconds = 0.0
        self.avoid_until = 0.0
