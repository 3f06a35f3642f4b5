"""Which scoring calls are under way: never so many that callers wait behind them.

Items end in bursts, a hundred within some tenths of a second, and the service that scores them
answers callers, too. Calls beyond what it works on at once are refused, offered again each 20 ms,
and callers' requests meet full servers meanwhile: on a day with three small servers 3,928 of 9,715
requests were turned away, and a fifth of the lookups came late.

Part of the leading keeper's scoring (`item_scoring`); owns which calls wait and which have a place.
"""

from collections import deque
from collections.abc import Callable

SCORING_SHARE = 0.75
"""Share of a service's slots that scoring takes; the rest is the callers'. Three servers of six
slots then score 290 items a second at 45 ms each, of some 70 that come in the mean. Median time of
a lookup on that day: 61 ms without a bound, 54 ms with all slots, 47 ms with three quarters, 43 ms
with half; the steps of trainers took a second longer with half."""
FEWEST_CALLS = 1
"""Calls under way at least, also where no server reports its slots."""


class ScoringQueue:
    """Scoring calls that wait for a place and those that have one, by service."""

    def __init__(self, slots_of: Callable[[str], int]) -> None:
        """Begin without calls.

        Args:
            slots_of: Slots of a service's servers that are there, all together.
        """
        self._slots_of = slots_of
        self._waiting: dict[str, deque[str]] = {}
        self._under_way: dict[str, str] = {}
        """Service of each call that has a place, by key."""

    def add(self, key: str, service: str) -> None:
        """Let a call wait for a place."""
        self._waiting.setdefault(service, deque()).append(key)

    def start_ready(self, service: str) -> list[str]:
        """Give the calls that have a place now, oldest first."""
        waiting = self._waiting.get(service)
        if not waiting:
            return []
        limit = max(FEWEST_CALLS, int(SCORING_SHARE * self._slots_of(service)))
        busy = sum(1 for taken in self._under_way.values() if taken == service)
        begun: list[str] = []
        while waiting and busy + len(begun) < limit:
            begun.append(waiting.popleft())
        self._under_way.update(dict.fromkeys(begun, service))
        return begun

    def release(self, key: str) -> str:
        """A call ended; gives the service where its place is free, or nothing if it had none."""
        return self._under_way.pop(key, "")

    def clear(self) -> None:
        """Forget all calls: the leadership is over."""
        self._waiting.clear()
        self._under_way.clear()

    def services_waiting(self) -> list[str]:
        """Services for which calls wait."""
        return [service for service, waiting in self._waiting.items() if waiting]
