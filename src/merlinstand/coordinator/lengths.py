"""Statistics of completion lengths: expected length and expected remaining length."""

from bisect import bisect_right, insort
from collections import OrderedDict, deque

MAXIMUM_LENGTHS = 512
"""Number of a job's newest lengths that quantiles and mean are computed from."""

MAXIMUM_PROMPTS = 4_096
"""Number of prompts whose length is stored; the least recently recorded is evicted."""

PROMPT_SMOOTHING = 0.3
"""Weight of a prompt's newest length in its moving average, from 0 to 1."""

MINIMUM_LENGTHS = 8
"""With fewer recorded lengths, quantiles and mean are estimated from the job's token limit."""


class LengthStatistics:
    """Quantiles of a job's recent lengths, and a moving average for each prompt; in tokens."""

    def __init__(self, maximum_tokens: int) -> None:
        """Estimate from the token limit until enough lengths are recorded.

        Args:
            maximum_tokens: The job's token limit, from which lengths are estimated at first.
        """
        self._maximum_tokens = maximum_tokens
        self._recent: deque[int] = deque()
        self._ordered: list[int] = []
        self._total_tokens = 0
        self._by_prompt: OrderedDict[str, float] = OrderedDict()

    def record(self, prompt: str, token_count: int) -> None:
        """Record the length of a finished sample."""
        self._recent.append(token_count)
        self._total_tokens += token_count
        insort(self._ordered, token_count)
        if len(self._recent) > MAXIMUM_LENGTHS:
            oldest = self._recent.popleft()
            self._total_tokens -= oldest
            del self._ordered[bisect_right(self._ordered, oldest) - 1]
        known = self._by_prompt.pop(prompt, float(token_count))
        self._by_prompt[prompt] = known + PROMPT_SMOOTHING * (token_count - known)
        if len(self._by_prompt) > MAXIMUM_PROMPTS:
            self._by_prompt.popitem(last=False)

    def quantile(self, fraction: float) -> float:
        """Return a quantile of recent lengths; `fraction` is from 0 to 1."""
        if len(self._ordered) < MINIMUM_LENGTHS:
            return float(self._maximum_tokens) * fraction
        index = min(int(fraction * len(self._ordered)), len(self._ordered) - 1)
        return float(self._ordered[index])

    def mean(self) -> float:
        """Return the mean of recent lengths; half of the limit while there are too few."""
        if len(self._ordered) < MINIMUM_LENGTHS:
            return self._maximum_tokens / 2
        return self._total_tokens / len(self._ordered)

    def expected(self, prompt: str) -> float:
        """Return the expected length of a prompt's completion."""
        return self._by_prompt.get(prompt, self.mean())

    def expected_remaining(self, done_tokens: int) -> float:
        """Return the median remaining length of a sample that has `done_tokens` tokens.

        Lengths are heavy-tailed: the longer a sample already is, the more tokens remain.
        """
        longer = len(self._ordered) - bisect_right(self._ordered, done_tokens)
        left = max(0, self._maximum_tokens - done_tokens)
        if longer < 2:
            return left / 2
        median = self._ordered[len(self._ordered) - longer + longer // 2]
        return float(min(median - done_tokens, left))
