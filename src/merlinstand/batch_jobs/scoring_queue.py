"""Limits the concurrent scoring calls of each service, so that they do not delay callers' requests.

Items complete in bursts, and the scoring service also serves callers. Without a limit, a burst
would occupy all backends: the excess calls would be refused and retried, and callers' requests
would find the backends full: on a day with three small servers, 3,928 of 9,715 requests were
refused and a fifth of the lookups came late. Used by `item_scoring` in the leading keeper.
"""

from collections import deque
from collections.abc import Callable

SCORING_SHARE = 0.75
"""Share of a service's slots that scoring calls may use; the rest remains for callers. A smaller
share lowers the latency of callers' requests, but lengthens the steps of trainers. The median of
a lookup on that day was 61 ms without a limit, 54 ms with all slots, 47 ms with three quarters and
43 ms with half of them; with half, a trainer's step took a second longer."""
MINIMUM_CALLS = 1
"""Lower bound of the limit per service, for services whose backends report no slots."""


class ScoringQueue:
    """Scoring calls that are queued and in progress, by service."""

    def __init__(self, count_slots: Callable[[str], int]) -> None:
        """Start without calls.

        Args:
            count_slots: Returns the total slots of a service's backends.
        """
        self._count_slots = count_slots
        self._queued: dict[str, deque[str]] = {}
        self._in_flight: dict[str, str] = {}
        """Service of each call in progress, by key."""

    def add(self, key: str, service: str) -> None:
        """Queue a call."""
        self._queued.setdefault(service, deque()).append(key)

    def start_ready(self, service: str) -> list[str]:
        """Mark queued calls as in progress, up to the limit; return their keys, oldest first."""
        queued = self._queued.get(service)
        if not queued:
            return []
        limit = max(MINIMUM_CALLS, int(SCORING_SHARE * self._count_slots(service)))
        in_flight = sum(1 for busy_service in self._in_flight.values() if busy_service == service)
        started: list[str] = []
        while queued and in_flight + len(started) < limit:
            started.append(queued.popleft())
        self._in_flight.update(dict.fromkeys(started, service))
        return started

    def release(self, key: str) -> str:
        """Remove a call that is no longer in progress.

        Returns:
            The service of the call; an empty string if the call was not in progress.
        """
        return self._in_flight.pop(key, "")

    def clear(self) -> None:
        """Remove all calls, at the end of the leadership term."""
        self._queued.clear()
        self._in_flight.clear()

    def services_with_queued_calls(self) -> list[str]:
        """Return the services that have queued calls."""
        return [service for service, queued in self._queued.items() if queued]
