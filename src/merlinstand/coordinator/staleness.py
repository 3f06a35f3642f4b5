"""How old a sample is, and which samples a batch may hold."""

import math
from collections import deque

import msgspec

REMEMBERED_VERSIONS = 256
"""Versions whose time of publication is known; older ones count as infinitely old. Chosen, not
measured."""

REMEMBERED_INTERVALS = 8
"""Newest intervals between publications whose shortest is taken for the next one. Chosen, not
measured."""

QUIET_FRACTION = 0.5
"""Share of the shortest recent interval in which no publication is expected to follow another. The
rule was measured (two trainers, 60 s steps, 600 s, one seed: 44 generations cancelled, 2,209
without it); the figure itself was chosen."""

UNKNOWN_INTERVAL_SECONDS = 1.0
"""Interval between publications, as long as none was measured."""
SECONDS_MARGIN_FRACTION = 0.1
"""Part of a bound in seconds kept back for the way of an answer to its trainer."""


class VersionClock:
    """When newer versions of a model were first seen here."""

    def __init__(self) -> None:
        """Begin without any version."""
        self.newest = 0
        self._seen_at: dict[int, float] = {}
        self._last_published_at: float | None = None
        self._intervals: deque[float] = deque(maxlen=REMEMBERED_INTERVALS)

    def observe(self, version: int, now: float) -> bool:
        """Take in a published version; returns whether it is the newest so far."""
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
        """Tell whether no publication is to be expected for a while.

        True in the first half of the shortest recent interval between publications.
        """
        if self._last_published_at is None or not self._intervals:
            return False
        return now - self._last_published_at < QUIET_FRACTION * min(self._intervals)

    def unpublished_seconds(self, versions: int, now: float) -> float:
        """Return for how long surely no more than some versions will be published.

        That is, as long as none follows another in less than half of the shortest recent
        interval.

        Args:
            versions: Publications that do no harm.
            now: Local monotonic time.
        """
        if self._last_published_at is None or not self._intervals:
            return versions * UNKNOWN_INTERVAL_SECONDS
        interval = QUIET_FRACTION * min(self._intervals)
        return max(0.0, self._last_published_at + interval - now) + versions * interval

    def age_seconds(self, version: int, now: float) -> float:
        """Return for how long a version has not been the newest; infinite if unknown."""
        if version >= self.newest:
            return 0.0
        superseded_at = self._seen_at.get(version + 1)
        return math.inf if superseded_at is None else now - superseded_at


class StalenessBound(msgspec.Struct, frozen=True):
    """A policy's staleness bound and what composition makes of it.

    A batch is judged at its commit, but a version may be published between the commit and
    the receipt. Where the bound leaves room, ordinary samples are therefore taken only up
    to one version below it (`usual_versions`).
    """

    maximum_versions: int
    maximum_seconds: float | None = None
    sole_consumer: bool = True
    """Whether one trainer alone receives what the model makes: then nobody else publishes
    between a commit and its receipt, and the whole bound may be used up."""

    @property
    def usual_versions(self) -> int:
        """Largest staleness at commit of an ordinary sample."""
        keeps_margin = self.maximum_versions >= 2 or not self.sole_consumer
        return max(0, self.maximum_versions - 1) if keeps_margin else self.maximum_versions

    def allows(self, oldest: int, newest: int, age_seconds: float, *, at_bound: bool) -> bool:
        """Tell whether a sample may be committed.

        Args:
            oldest: Version of its oldest span.
            newest: Newest version at the commit.
            age_seconds: How long `oldest` has not been the newest.
            at_bound: Whether the whole bound may be used up.
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
    """Return for how long a batch surely stays within its bound from now on.

    Args:
        bound: The bound.
        clock: When versions were published.
        oldest: Oldest version in the batch.
        newest: Newest version at its commit.
        now: Local monotonic time.

    Returns:
        Seconds, None if nothing that may happen makes the batch too old.
    """
    limits = []
    if not bound.sole_consumer:
        spare_versions = max(0, bound.maximum_versions - (newest - oldest))
        limits.append(clock.unpublished_seconds(spare_versions, now))
    if bound.maximum_seconds is not None and oldest < newest:
        limits.append(max(0.0, bound.maximum_seconds - clock.age_seconds(oldest, now)))
    return min(limits, default=None)


class BoundBudget:
    """Lets a small share of passed-over samples leave when they are as old as the bound.

    A sample that ran so long that no batch could take it sooner leaves at the bound without
    asking: refusing it would bias training against long samples. One that lay ready while a
    batch left without it is only worth delivering if that does not make the usual staleness
    the bound itself.
    """

    SHARE = 0.009
    """Samples that may leave at the bound for each one delivered. Chosen, not measured."""

    LARGEST_CREDIT = 4.0
    """Most samples saved up. Chosen, not measured."""

    def __init__(self) -> None:
        """Begin with room for one sample."""
        self._credit = 1.0

    def available(self) -> int:
        """Return how many samples at the bound may be delivered now."""
        return int(self._credit)

    def record_delivery(self, sample_count: int, spent: int) -> None:
        """Account for a committed batch."""
        earned = self._credit + self.SHARE * sample_count - spent
        self._credit = min(earned, self.LARGEST_CREDIT)
