"""How long items turn out to be, learnt from those that ended lately (pure bookkeeping).

Part of the leading keeper's runner of items; owns the lengths of the last items of each model. They
are lost with the process: a new leader begins with the assumptions below. Lengths are in events.
"""

from bisect import bisect_right
from collections import deque
from itertools import accumulate

REMEMBERED_ITEMS = 512
"""Newest ended items of one model from which the lengths of others are estimated. Chosen, not
measured."""
FEWEST_LONGER = 5
"""With fewer longer items known, an item is assumed to go on for as long as it did so far, or, if
`ENOUGH_ITEMS` are known, to be at its end. Chosen, not measured."""
ENOUGH_ITEMS = REMEMBERED_ITEMS // 4
"""Ended items from which on hardly any longer one means that there are none. Chosen, not
measured."""
LAST_EVENTS = 1.0
"""Events left of an item that is at its end."""
USUAL_EVENTS = 20.0
"""Events assumed of a new item while nothing of its model has ended. Chosen, not measured."""


class _ModelLengths:
    """Ended items of one model."""

    def __init__(self) -> None:
        self._ended: deque[tuple[int, int]] = deque(maxlen=REMEMBERED_ITEMS)
        self._events: list[int] = []
        self._sums: list[int] = []
        """Sum of the first n of `_events`, sorted, at position n."""
        self._events_a_token = 0.0

    def note(self, events: int, expected_tokens: int) -> None:
        self._ended.append((events, expected_tokens))
        self._events = []

    def _update(self) -> None:
        if self._events or not self._ended:
            return
        self._events = sorted(events for events, _tokens in self._ended)
        self._sums = [0, *accumulate(self._events)]
        hinted = [(events, tokens) for events, tokens in self._ended if tokens > 0]
        tokens = sum(tokens for _events, tokens in hinted)
        self._events_a_token = sum(events for events, _tokens in hinted) / tokens if tokens else 0.0

    def rest(self, events: int, expected_tokens: int) -> float:
        self._update()
        if not self._events:
            return max(USUAL_EVENTS, float(events))
        if not events and self._events_a_token and expected_tokens:
            return expected_tokens * self._events_a_token
        first = bisect_right(self._events, events)
        longer = len(self._events) - first
        if longer < FEWEST_LONGER:
            # Hardly any item was longer: it is at the end, or lengths are new to us.
            return float(events) if len(self._events) < ENOUGH_ITEMS else LAST_EVENTS
        return (self._sums[-1] - self._sums[first]) / longer - events

    def longest(self) -> float:
        self._update()
        return float(self._events[-1]) if self._events else USUAL_EVENTS


class LengthHistory:
    """Lengths by model; no more models than the services have."""

    def __init__(self) -> None:
        """Begin with nothing known."""
        self._models: dict[str, _ModelLengths] = {}

    def record(self, model: str, events: int, expected_tokens: int) -> None:
        """An item ended.

        Args:
            model: Its model.
            events: Events of its whole text.
            expected_tokens: Its sender's guess of the tokens out; 0 if it made none.
        """
        self._models.setdefault(model, _ModelLengths()).note(events, expected_tokens)

    def expected_remaining_events(self, model: str, events: int, expected_tokens: int) -> float:
        """Events that an item is expected to have yet.

        The mean of what those that were longer had beyond that point; for one that has not begun,
        its sender's guess, scaled to what such guesses were worth.
        """
        known = self._models.get(model)
        if known is None:
            return max(USUAL_EVENTS, float(events))
        return known.rest(events, expected_tokens)

    def longest_events(self, model: str) -> float:
        """Events of the longest item of a model that ended lately."""
        known = self._models.get(model)
        return USUAL_EVENTS if known is None else known.longest()
