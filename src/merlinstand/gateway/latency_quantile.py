"""Streaming estimate of a high quantile of a pool's lookup latency."""

INITIAL_LATENCY_SECONDS = 0.1
"""Estimate before any response; high, so that hedging starts only once latencies are known."""

LATENCY_QUANTILE = 0.95
"""Quantile that is estimated; lookups are hedged after `RequestSettings.hedge_factor` times the
estimate (docs/DECISIONS/0006-request-routing.md)."""

ADJUSTMENT_STEP = 0.1
"""Maximum relative change by one response: smaller is less noisy and slower to adapt."""


class LatencyQuantile:
    """Streaming estimate of the `LATENCY_QUANTILE` quantile of latency, in seconds.

    Each response raises or lowers the estimate by a small factor. The two factors are such that the
    changes cancel out when the estimate is at the quantile. Needs no window of samples, and adapts
    to a pool that becomes slower.
    """

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        """Create an estimate of `INITIAL_LATENCY_SECONDS`."""
        self.seconds = INITIAL_LATENCY_SECONDS

    def record(self, seconds: float) -> None:
        """Update the estimate with the latency of one response, in seconds."""
        if seconds > self.seconds:
            self.seconds *= 1.0 + ADJUSTMENT_STEP * LATENCY_QUANTILE
        else:
            self.seconds *= 1.0 - ADJUSTMENT_STEP * (1.0 - LATENCY_QUANTILE)
