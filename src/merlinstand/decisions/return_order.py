"""When requests that found no room should be retried (pure).

Retries that come together would compete for the room of one request, and all others would be
rejected again. So each rejected request gets a later time than the one before it.
"""

MAXIMUM_RETRY_AFTER_SECONDS = 10.0
"""Largest Retry-After. Those rejected beyond it are told the same time."""
SMOOTHING = 0.2
"""Weight of the newest observation of how long requests occupy their room."""


class ReturnOrder:
    """Assigns return times to rejected requests, in the order of their rejection."""

    def __init__(self, minimum_seconds: float, usual_seconds: float) -> None:
        """Start without rejected requests.

        Args:
            minimum_seconds: Smallest Retry-After.
            usual_seconds: How long a request that fills the room is assumed to occupy it, until
                `record_use` has been called.
        """
        self._minimum_seconds = minimum_seconds
        self._usual_seconds = usual_seconds
        self._last_return_at = 0.0

    def record_use(self, seconds: float, share: float) -> None:
        """Record how long a request occupied its share (0 to 1) of the room."""
        if share <= 0.0:
            return
        whole_seconds = min(seconds / share, MAXIMUM_RETRY_AFTER_SECONDS)
        self._usual_seconds += SMOOTHING * (whole_seconds - self._usual_seconds)

    def retry_after_seconds(self, now: float, share: float) -> float:
        """Return the Retry-After of a request that needs this share (0 to 1) of the room."""
        interval_seconds = min(1.0, share) * self._usual_seconds
        earliest_at = now + self._minimum_seconds
        return_at = max(earliest_at, self._last_return_at + interval_seconds)
        self._last_return_at = min(return_at, now + MAXIMUM_RETRY_AFTER_SECONDS)
        return self._last_return_at - now
