"""Requests that arrive before a gateway knows any routes: it has just started.

Owned by the gateway, which answers them; `decisions.waiting` says how long they wait.
"""

import msgspec

from merlinstand.common.ids import RequestId
from merlinstand.decisions.waiting import routes_wait_seconds
from merlinstand.kernel.effects import CancelTimer, Effect, SetTimer
from merlinstand.kernel.events import RequestReceived

TIMER_PREFIX = "routes."
MAXIMUM_WAITING = 256
"""Requests that wait at most; the next ones are refused at once. Chosen, not measured."""


class WaitingRequest(msgspec.Struct, frozen=True):
    """A request and when it came."""

    event: RequestReceived
    arrived_at: float
    """Local time in seconds."""


class RoutesWait:
    """Requests that wait for the first routes; owned by the gateway, which answers them."""

    def __init__(self) -> None:
        """Begin with none."""
        self._waiting: dict[RequestId, WaitingRequest] = {}

    def __len__(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    def begin(
        self, event: RequestReceived, patience_seconds: float | None, now: float
    ) -> list[Effect] | None:
        """Let a request wait.

        Args:
            event: The request.
            patience_seconds: How long its caller will wait; None if it didn't say.
            now: Local time.

        Returns:
            The timer that ends its wait; None if too many wait already.
        """
        if len(self._waiting) >= MAXIMUM_WAITING:
            return None
        self._waiting[event.request_id] = WaitingRequest(event, now)
        seconds = routes_wait_seconds(patience_seconds)
        return [SetTimer(f"{TIMER_PREFIX}{event.request_id}", seconds)]

    def end(self, request_id: RequestId) -> WaitingRequest | None:
        """Stop waiting for one request: its timer fired, or its caller left."""
        return self._waiting.pop(request_id, None)

    def take_all(self) -> tuple[list[WaitingRequest], list[Effect]]:
        """Give all requests, in order of arrival, and the effects that end their timers."""
        waiting, self._waiting = list(self._waiting.values()), {}
        timers = [CancelTimer(f"{TIMER_PREFIX}{held.event.request_id}") for held in waiting]
        return waiting, list(timers)
