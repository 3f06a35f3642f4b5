"""Measures the speed of streams."""

SMOOTHING = 0.1
"""Weight of the newest stream in the moving average, from 0 to 1: about the last ten streams
count."""

INITIAL_TOKENS_PER_SECOND = 50.0
"""Assumed speed of a stream until the first one has been measured."""


class StreamSpeed:
    """Moving average of a stream's tokens per second, including time queued."""

    def __init__(self) -> None:
        self.tokens_per_second = INITIAL_TOKENS_PER_SECOND
        self._measured = False

    def record(self, tokens: int, seconds: float) -> None:
        """Record a stream that completed its sample."""
        if tokens <= 0 or seconds <= 0.0:
            return
        speed = tokens / seconds
        if self._measured:
            self.tokens_per_second += SMOOTHING * (speed - self.tokens_per_second)
        else:
            self.tokens_per_second = speed
            self._measured = True

    def seconds(self, tokens: float) -> float:
        """Return the expected time in which a stream generates a number of tokens."""
        return tokens / self.tokens_per_second
