"""Forecasts when consumers request their next batches, and the newest version at that time."""

import msgspec

SMOOTHING = 0.3
"""Weight of a consumer's newest cycle in its moving average, from 0 to 1: about the last three
cycles count."""


class Demand(msgspec.Struct, frozen=True):
    """A batch that a consumer is expected to request."""

    batches_ahead: int
    """0 for the batch that is requested next."""
    due_at: float
    newest_version: int
    """Newest version expected to be published when the batch is requested."""
    count: int
    """Number of samples in the batch."""
    is_awaited: bool = True
    """Whether the consumer already waits for the batch."""


class ConsumerForecast:
    """Models one consumer's cycle: request, receive, train, publish, request again."""

    def __init__(self) -> None:
        """The consumer is assumed to wait for its first batch."""
        self._waiting = True
        self._has_requested = False
        self._delivered_at: float | None = None
        self._newest_at_delivery = 0
        self._step_seconds: float | None = None
        self._cycle_seconds: float | None = None
        self._versions_per_cycle = 1.0

    @property
    def waiting(self) -> bool:
        """Whether the consumer waits for a batch, as far as is known."""
        return self._waiting

    @property
    def cycle_seconds(self) -> float | None:
        """Moving average of the time between batches; None before the second batch."""
        return self._cycle_seconds

    @property
    def step_seconds(self) -> float | None:
        """Moving average of the time from a batch to the next request; None before the first."""
        return self._step_seconds

    def record_request(self, now: float) -> None:
        """Record that the consumer requested its next batch."""
        if self._delivered_at is not None and not self._waiting:
            self._step_seconds = _smooth(self._step_seconds, now - self._delivered_at)
        self._waiting = True
        self._has_requested = True

    def record_repeated_request(self) -> None:
        """Record that the consumer did not receive its batch and waits for that batch again."""
        self._waiting = True

    def record_composed(self, now: float, newest_version: int) -> None:
        """Record that a batch was composed for the consumer and submitted to the ledger.

        Its samples are reserved from here on. If the consumer still counted as waiting, the planner
        would start a second batch to replace them.
        """
        if self._delivered_at is not None:
            self._cycle_seconds = _smooth(self._cycle_seconds, now - self._delivered_at)
            published = max(0, newest_version - self._newest_at_delivery)
            self._versions_per_cycle += SMOOTHING * (published - self._versions_per_cycle)
        self._delivered_at = now
        self._newest_at_delivery = newest_version
        self._waiting = False

    def record_commit(self, newest_version: int) -> None:
        """Record the ledger's newest version at the commit, even if not configured here yet."""
        self._newest_at_delivery = max(self._newest_at_delivery, newest_version)

    def demands(self, now: float, newest: int, count: int, look_ahead: int) -> list[Demand]:
        """Forecast the next batches.

        Args:
            now: Local monotonic time.
            newest: Newest version published now.
            count: Batch size.
            look_ahead: Number of batches to forecast beyond the next one.

        Returns:
            One demand per batch, earliest first.
        """
        versions_per_cycle = round(self._versions_per_cycle)
        is_awaited = self._waiting
        due_at = now
        if not self._waiting and self._delivered_at is not None:
            due_at = max(now, self._delivered_at + (self._step_seconds or 0.0))
            published = newest - self._newest_at_delivery
            newest += max(0, versions_per_cycle - published)
        demands = [Demand(0, due_at, newest, count, is_awaited)]
        # A consumer that never sent a request may not exist yet: prepare one batch only.
        if not self._has_requested:
            return demands
        cycle_seconds = self._cycle_seconds or self._step_seconds or 0.0
        for ahead in range(1, look_ahead + 1):
            due_at += cycle_seconds
            newest += versions_per_cycle
            demands.append(Demand(ahead, due_at, newest, count, False))
        return demands


def _smooth(known: float | None, measured: float) -> float:
    return measured if known is None else known + SMOOTHING * (measured - known)
