"""Queue of requests that arrive before a newly started gateway knows any routes.

`decisions.waiting` limits how long they wait.
"""

import msgspec

from merlinstand.common.ids import RequestId
from merlinstand.decisions.waiting import routes_wait_seconds
from merlinstand.kernel.effects import CancelTimer, Effect, SetTimer
from merlinstand.kernel.events import RequestReceived

TIMER_PREFIX = "routes."
MAXIMUM_WAITING_REQUESTS = 256
"""Maximum number of waiting requests; further requests are rejected at once."""


class WaitingRequest(msgspec.Struct, frozen=True):
    """A waiting request and its arrival time."""

    event: RequestReceived
    arrived_at: float
    """Local time in seconds."""


class RoutesWaitQueue:
    """Requests that wait for the first routes."""

    def __init__(self) -> None:
        self._waiting: dict[RequestId, WaitingRequest] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def enqueue(
        self, event: RequestReceived, caller_timeout_seconds: float | None, now: float
    ) -> list[Effect] | None:
        """Make a request wait.

        Args:
            event: The request.
            caller_timeout_seconds: Timeout that the caller sent; None if it sent none.
            now: Local time.

        Returns:
            The timer that ends the wait; None if the queue is full.
        """
        if len(self._waiting) >= MAXIMUM_WAITING_REQUESTS:
            return None
        self._waiting[event.request_id] = WaitingRequest(event, now)
        seconds = routes_wait_seconds(caller_timeout_seconds)
        return [SetTimer(f"{TIMER_PREFIX}{event.request_id}", seconds)]

    def remove(self, request_id: RequestId) -> WaitingRequest | None:
        """Remove a request whose timer fired or whose caller disconnected."""
        return self._waiting.pop(request_id, None)

    def pop_all(self) -> tuple[list[WaitingRequest], list[Effect]]:
        """Remove all requests; return them in order of arrival, and the cancelled timers."""
        waiting, self._waiting = list(self._waiting.values()), {}
        timers = [CancelTimer(f"{TIMER_PREFIX}{held.event.request_id}") for held in waiting]
        return waiting, list(timers)
