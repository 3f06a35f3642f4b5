"""Measured speed of one stream."""

SMOOTHING = 0.1
"""Weight of a newly measured stream against all before it, from 0 to 1: about the last ten streams
count. Chosen, not measured."""

INITIAL_TOKENS_PER_SECOND = 50.0
"""Tokens a second of a stream until the first one was measured. Chosen, not measured."""


class StreamSpeed:
    """Smoothed tokens per second of a stream, queueing included."""

    def __init__(self) -> None:
        """Begin with a guess."""
        self.tokens_per_second = INITIAL_TOKENS_PER_SECOND
        self._measured = False

    def record(self, tokens: int, seconds: float) -> None:
        """Take in a stream that ended well."""
        if tokens <= 0 or seconds <= 0.0:
            return
        speed = tokens / seconds
        if self._measured:
            self.tokens_per_second += SMOOTHING * (speed - self.tokens_per_second)
        else:
            self.tokens_per_second = speed
            self._measured = True

    def seconds(self, tokens: float) -> float:
        """Return how long a stream takes for some tokens."""
        return tokens / self.tokens_per_second
