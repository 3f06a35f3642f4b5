"""Requests that arrive before a gateway knows any routes: it has just started."""

import msgspec

from merlinstand.common.ids import RequestId
from merlinstand.kernel.effects import CancelTimer, Effect, SetTimer
from merlinstand.kernel.events import RequestReceived

TIMER_PREFIX = "routes."
PATIENCE_SECONDS = 0.2
"""A directory that has a leader answers well within this time; without one it takes longer."""
PATIENCE_SHARE = 0.4
"""A caller who has more time is held longer, for this share of it: a directory whose daemons all
lost their power has a leader again after 0.2 s to 0.9 s, the more the farther apart they are. More
than a second try would have left is never taken from it."""
LONGEST_PATIENCE_SECONDS = 1.0
MAXIMUM_WAITING = 256
"""Requests that wait at most; the next ones are refused at once."""


def patience_seconds(told_seconds: float | None) -> float:
    """How long a caller may be held who told how long it will wait; None if it didn't tell."""
    if told_seconds is None:
        return PATIENCE_SECONDS
    return min(LONGEST_PATIENCE_SECONDS, max(PATIENCE_SECONDS, PATIENCE_SHARE * told_seconds))


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
        self, event: RequestReceived, told_seconds: float | None, now: float
    ) -> list[Effect] | None:
        """Let a request wait.

        Args:
            event: The request.
            told_seconds: How long its caller will wait; None if it didn't tell.
            now: Local time.

        Returns:
            The timer that ends its wait; None if too many wait already.
        """
        if len(self._waiting) >= MAXIMUM_WAITING:
            return None
        self._waiting[event.request_id] = WaitingRequest(event, now)
        patience = patience_seconds(told_seconds)
        return [SetTimer(f"{TIMER_PREFIX}{event.request_id}", patience)]

    def end(self, request_id: RequestId) -> WaitingRequest | None:
        """Stop waiting for one request: its timer fired, or its caller left."""
        return self._waiting.pop(request_id, None)

    def take_all(self) -> tuple[list[WaitingRequest], list[Effect]]:
        """Give all requests, in order of arrival, and the effects that end their timers."""
        waiting, self._waiting = list(self._waiting.values()), {}
        timers = [CancelTimer(f"{TIMER_PREFIX}{held.event.request_id}") for held in waiting]
        return waiting, list(timers)
