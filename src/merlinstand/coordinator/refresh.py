"""Chooses samples in progress to restart on newer weights, so that fewer are delivered stale.

A sample that is still in progress when its batch is delivered, or finishes just after, goes into a
later batch, one version older. If the engines have spare capacity before that batch is due, the
sample is restarted on the new weights instead. The same slot generates the same sample, so none is
replaced by a shorter one. A sample too long to finish within a cycle is not restarted, and is
delivered at the bound.
"""

from collections.abc import Iterable

import msgspec

MAXIMUM_LENGTH_SHARE = 0.7
"""A sample is restarted only if its expected length is at most this part of the tokens that a
stream generates in the window. With 0.9, 3.7% of the samples arrived two versions old and 0.258 of
the tokens were unused; with 0.7, 4.9% and 0.184 (vitrina-calm, 60 s steps, 900 s, one seed)."""

RESTART_SHARE = 0.25
"""Part of the unneeded tokens in the window that may be spent on restarted samples."""


class Window(msgspec.Struct, frozen=True):
    """What the engines can generate for a job before its next batch is due."""

    stream_tokens: float
    """Tokens that one stream generates until the batch is due."""
    streams: float
    """Limit on the job's concurrent streams."""
    needed_tokens: float
    """Tokens still to be generated for that batch."""

    @property
    def spare_tokens(self) -> float:
        """Tokens that may be generated again."""
        return RESTART_SHARE * max(0.0, self.stream_tokens * self.streams - self.needed_tokens)


class Restartable(msgspec.Struct, frozen=True):
    """Samples that are delivered together and would be stale when the trainer receives them."""

    slots: tuple[int, ...]
    done_tokens: int
    """Tokens received for all these samples, which a restart would generate again."""
    expected_tokens: float
    """Expected length of the longest of these samples, in tokens."""


class RestartBudget:
    """Chooses the samples of one job to restart, within a budget for each batch."""

    def __init__(self) -> None:
        """The budget of the first batch is unspent."""
        self._version = 0
        self._spent_tokens = 0

    def choose(self, candidates: Iterable[Restartable], window: Window, version: int) -> list[int]:
        """Choose samples within the batch's budget, those with the fewest tokens first.

        Engines activate new weights one after another, so this is called several times for each
        batch.

        Args:
            candidates: Samples that would be stale at delivery, none of them restarted before.
            window: What the engines can generate.
            version: Oldest version that is fresh enough for the batch; when it changes, a new
                budget starts.

        Returns:
            Slots of the chosen samples.
        """
        if version != self._version:
            self._version, self._spent_tokens = version, 0
        longest = MAXIMUM_LENGTH_SHARE * window.stream_tokens
        chosen: list[int] = []
        for candidate in sorted(candidates, key=lambda each: (each.done_tokens, each.slots)):
            if self._spent_tokens + candidate.done_tokens > window.spare_tokens:
                break
            if candidate.expected_tokens <= longest:
                self._spent_tokens += candidate.done_tokens
                chosen.extend(candidate.slots)
        return chosen
