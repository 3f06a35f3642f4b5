"""Staleness of samples, and the bounds on it in a batch."""

import math
from collections import deque

import msgspec

REMEMBERED_VERSIONS = 256
"""Number of versions whose publication time is stored; older ones count as infinitely old."""

REMEMBERED_INTERVALS = 8
"""Number of recent publication intervals; the shortest of them is assumed for the next one."""

QUIET_FRACTION = 0.5
"""After a publication, no other one is expected for this part of the shortest recent interval.
Without this rule 2,209 generations were cancelled instead of 44 (two trainers, 60 s steps, 600 s,
one seed)."""

UNKNOWN_INTERVAL_SECONDS = 1.0
"""Assumed interval between publications until one has been measured."""
SECONDS_MARGIN_FRACTION = 0.1
"""Part of a bound in seconds reserved for sending the response to the trainer."""


class VersionClock:
    """Times at which versions of a model were first seen by this coordinator."""

    def __init__(self) -> None:
        self.newest = 0
        self._seen_at: dict[int, float] = {}
        self._last_published_at: float | None = None
        self._intervals: deque[float] = deque(maxlen=REMEMBERED_INTERVALS)

    def observe(self, version: int, now: float) -> bool:
        """Record a published version; returns whether it is the newest so far."""
        if version <= self.newest:
            return False
        if self.newest > 0:
            for missed in range(max(self.newest + 1, version - REMEMBERED_VERSIONS), version + 1):
                self._seen_at[missed] = now
        if self._last_published_at is not None:
            self._intervals.append(now - self._last_published_at)
        self._last_published_at = now
        self.newest = version
        while len(self._seen_at) > REMEMBERED_VERSIONS:
            del self._seen_at[next(iter(self._seen_at))]
        return True

    def is_publication_unlikely(self, now: float) -> bool:
        """Return whether no publication is expected for a while.

        True if the time since the last publication is less than half of the shortest recent
        interval between publications.
        """
        if self._last_published_at is None or not self._intervals:
            return False
        return now - self._last_published_at < QUIET_FRACTION * min(self._intervals)

    def unpublished_seconds(self, versions: int, now: float) -> float:
        """Return the time within which at most `versions` publications are expected.

        Assumes that publications are at least half of the shortest recent interval apart.

        Args:
            versions: Number of publications that may still happen.
            now: Local monotonic time.
        """
        if self._last_published_at is None or not self._intervals:
            return versions * UNKNOWN_INTERVAL_SECONDS
        interval = QUIET_FRACTION * min(self._intervals)
        return max(0.0, self._last_published_at + interval - now) + versions * interval

    def age_seconds(self, version: int, now: float) -> float:
        """Return how long ago a version was superseded; 0 if newest, infinity if unknown."""
        if version >= self.newest:
            return 0.0
        superseded_at = self._seen_at.get(version + 1)
        return math.inf if superseded_at is None else now - superseded_at


class StalenessBound(msgspec.Struct, frozen=True):
    """A policy's staleness bound, and the stricter limit for ordinary samples.

    Staleness is checked when a batch is committed, but a version may be published between the
    commit and the receipt. If the bound is large enough, ordinary samples are therefore included
    only up to one version below it (`usual_versions`).
    """

    maximum_versions: int
    maximum_seconds: float | None = None
    sole_consumer: bool = True
    """Whether only one trainer receives the model's samples: then no other trainer publishes
    between a commit and its receipt, and the full bound may be used."""

    @property
    def usual_versions(self) -> int:
        """Largest staleness of an ordinary sample at commit, in versions."""
        keeps_margin = self.maximum_versions >= 2 or not self.sole_consumer
        return max(0, self.maximum_versions - 1) if keeps_margin else self.maximum_versions

    def allows(self, oldest: int, newest: int, age_seconds: float, *, at_bound: bool) -> bool:
        """Return whether a sample may be committed.

        Args:
            oldest: Version of its oldest span.
            newest: Newest version when the batch is committed.
            age_seconds: How long ago `oldest` was superseded.
            at_bound: Whether the full bound may be used.
        """
        versions = self.maximum_versions if at_bound else self.usual_versions
        if newest - oldest > versions:
            return False
        if self.maximum_seconds is None:
            return True
        return age_seconds <= self.maximum_seconds * (1.0 - SECONDS_MARGIN_FRACTION)


def fresh_seconds(
    bound: StalenessBound, clock: VersionClock, oldest: int, newest: int, now: float
) -> float | None:
    """Return how long from now a batch is expected to stay within its bound.

    Args:
        bound: Staleness bound of the batch's policy.
        clock: Publication times of versions.
        oldest: Oldest version in the batch.
        newest: Newest version when the batch was committed.
        now: Local monotonic time.

    Returns:
        Seconds; None if the batch cannot become too old.
    """
    limits = []
    if not bound.sole_consumer:
        spare_versions = max(0, bound.maximum_versions - (newest - oldest))
        limits.append(clock.unpublished_seconds(spare_versions, now))
    if bound.maximum_seconds is not None and oldest < newest:
        limits.append(max(0.0, bound.maximum_seconds - clock.age_seconds(oldest, now)))
    return min(limits, default=None)


class BoundBudget:
    """Limits how many samples at the bound are delivered although an earlier batch omitted them.

    A sample that took so long that no earlier batch could include it is delivered at the bound
    regardless of the budget: dropping it would bias training against long samples. A sample that
    was ready when an earlier batch omitted it may be delivered only if this stays rare, so that
    the usual staleness does not become the bound itself.
    """

    SHARE = 0.009
    """Samples at the bound allowed for each delivered sample."""

    LARGEST_CREDIT = 4.0
    """Limit on the accumulated number of samples."""

    def __init__(self) -> None:
        """The initial budget is one sample."""
        self._credit = 1.0

    def available(self) -> int:
        """Return how many samples at the bound may be delivered now."""
        return int(self._credit)

    def record_delivery(self, sample_count: int, spent: int) -> None:
        """Update the budget after a committed batch."""
        earned = self._credit + self.SHARE * sample_count - spent
        self._credit = min(earned, self.LARGEST_CREDIT)
