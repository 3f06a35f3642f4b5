"""Estimates the length of items, in events, from recently finished items of the same model.

Kept in memory by the leading keeper's runner; a new leader starts with the defaults below.
"""

from bisect import bisect_right
from collections import deque
from itertools import accumulate

HISTORY_ITEMS = 512
"""Number of newest finished items of a model from which lengths are estimated."""
MINIMUM_LONGER_ITEMS = 5
"""Minimum number of longer items for an estimate from their mean. With fewer, an item is assumed to
generate as many more events as it already has, or, if `SUFFICIENT_ITEMS` are known, `FINAL_EVENTS`
more."""
SUFFICIENT_ITEMS = HISTORY_ITEMS // 4
"""Number of finished items from which on an item that is longer than nearly all of them is assumed
to be about to end."""
FINAL_EVENTS = 1.0
"""Remaining events assumed of an item that is about to end."""
DEFAULT_EVENTS = 20.0
"""Events assumed of a new item while no item of its model has finished."""


class _ModelLengths:
    """Finished items of one model."""

    def __init__(self) -> None:
        self._history: deque[tuple[int, int]] = deque(maxlen=HISTORY_ITEMS)
        self._sorted_events: list[int] = []
        self._prefix_sums: list[int] = []
        """Prefix sums: index n holds the sum of the first n values of `_sorted_events`."""
        self._events_per_token = 0.0

    def record(self, events: int, expected_tokens: int) -> None:
        self._history.append((events, expected_tokens))
        self._sorted_events = []

    def _refresh(self) -> None:
        if self._sorted_events or not self._history:
            return
        self._sorted_events = sorted(events for events, _tokens in self._history)
        self._prefix_sums = [0, *accumulate(self._sorted_events)]
        estimated = [(events, tokens) for events, tokens in self._history if tokens > 0]
        tokens = sum(tokens for _events, tokens in estimated)
        self._events_per_token = (
            sum(events for events, _tokens in estimated) / tokens if tokens else 0.0
        )

    def expected_remaining_events(self, events: int, expected_tokens: int) -> float:
        self._refresh()
        if not self._sorted_events:
            return max(DEFAULT_EVENTS, float(events))
        if not events and self._events_per_token and expected_tokens:
            return expected_tokens * self._events_per_token
        first = bisect_right(self._sorted_events, events)
        longer = len(self._sorted_events) - first
        if longer < MINIMUM_LONGER_ITEMS:
            # Hardly any item was longer: it is about to end, or too few lengths are known.
            return float(events) if len(self._sorted_events) < SUFFICIENT_ITEMS else FINAL_EVENTS
        return (self._prefix_sums[-1] - self._prefix_sums[first]) / longer - events

    def longest_events(self) -> float:
        self._refresh()
        return float(self._sorted_events[-1]) if self._sorted_events else DEFAULT_EVENTS


class LengthHistory:
    """Lengths of finished items by model; bounded by the number of models of the services."""

    def __init__(self) -> None:
        self._models: dict[str, _ModelLengths] = {}

    def record(self, model: str, events: int, expected_tokens: int) -> None:
        """Record a finished item.

        Args:
            model: Its model.
            events: Number of events of its complete text.
            expected_tokens: Output tokens that its sender estimated; 0 if there is no estimate.
        """
        self._models.setdefault(model, _ModelLengths()).record(events, expected_tokens)

    def expected_remaining_events(self, model: str, events: int, expected_tokens: int) -> float:
        """Return the number of events that an item is expected to still generate.

        For a started item: the mean number of events by which longer items exceed its current
        length. For an item that has not started: its sender's estimate, scaled by the model's
        events per estimated token.
        """
        model_lengths = self._models.get(model)
        if model_lengths is None:
            return max(DEFAULT_EVENTS, float(events))
        return model_lengths.expected_remaining_events(events, expected_tokens)

    def longest_events(self, model: str) -> float:
        """Return the number of events of the longest recent item of a model."""
        model_lengths = self._models.get(model)
        return DEFAULT_EVENTS if model_lengths is None else model_lengths.longest_events()
