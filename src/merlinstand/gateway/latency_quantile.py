"""A running estimate of the time that nearly all lookups of a pool stay below."""

INITIAL_LATENCY_SECONDS = 0.1
"""Estimate before any answer: high, so that nothing is hedged before something is known. Chosen,
not measured."""

LATENCY_QUANTILE = 0.95
"""Share of lookups that stay below the estimate, from 0 to 1; `RequestSettings.hedge_factor`
multiplies it. Hedges as a whole are measured in docs/DECISIONS/0006-request-routing.md; the figure
itself was chosen."""

ADJUSTMENT_STEP = 0.1
"""Largest part by which one answer moves the estimate: smaller is steadier and follows later.
Chosen, not measured."""


class LatencyQuantile:
    """A running estimate of the time that nearly all lookups stay below.

    Each answer moves the estimate by a small factor, up or down in the proportion that leaves
    it in place at the quantile. Needs no window and follows a pool that becomes slower.
    """

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        """Start high: no hedges before something is known."""
        self.seconds = INITIAL_LATENCY_SECONDS

    def record(self, seconds: float) -> None:
        """Take in the time that one answer took."""
        if seconds > self.seconds:
            self.seconds *= 1.0 + ADJUSTMENT_STEP * LATENCY_QUANTILE
        else:
            self.seconds *= 1.0 - ADJUSTMENT_STEP * (1.0 - LATENCY_QUANTILE)
