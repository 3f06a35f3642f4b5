"""True time: the median of all daemons' wall clocks, so that a few wrong clocks have no effect.

`TrueTime` computes true time in the control leader, `FollowerClock` estimates it in any other
daemon from the leader's responses, and `LocalClock` holds the machine's wall clock in both. All
times are in seconds; true time and wall clock count from 1970.
"""

import msgspec

from merlinstand.common.ids import NodeId
from merlinstand.common.median import median

MAXIMUM_READING_AGE_SECONDS = 5.0
"""Readings older than this, more than two read intervals, are ignored."""
MINIMUM_CLOCKS = 3
"""With fewer clocks, a wrong one could determine the median."""
READ_INTERVAL_SECONDS = 2.0
"""Interval at which a daemon reads its machine's clock. After the clock was set, the old offset is
used for this long at most."""
MEDIAN_INTERVAL_SECONDS = 0.25
"""Interval at which the median is computed. Computing it at each pull would be costly: 300 daemons
send a thousand pulls a second. Local clocks drift by microseconds in the interval."""


class _Reading(msgspec.Struct, frozen=True):
    offset_seconds: float
    """Wall clock minus the leader's local time."""
    read_at: float


class TrueTime:
    """True time in the control leader, from the daemons' clocks."""

    def __init__(self) -> None:
        self._readings: dict[NodeId, _Reading] = {}
        self._offset_seconds: float | None = None
        self._updated_at = 0.0

    def clear(self) -> None:
        """Forget all clocks: true time is unknown until enough daemons have reported again."""
        self._readings.clear()
        self._offset_seconds = None

    def record(self, node_id: NodeId, wall_seconds: float, now: float) -> None:
        """Record the current wall clock of a node."""
        self._readings[node_id] = _Reading(wall_seconds - now, now)

    def seconds(self, now: float) -> float | None:
        """Return true time in seconds since 1970; None with fewer than `MINIMUM_CLOCKS` clocks."""
        if self._offset_seconds is None or now - self._updated_at >= MEDIAN_INTERVAL_SECONDS:
            self._update_median(now)
        return None if self._offset_seconds is None else now + self._offset_seconds

    def _update_median(self, now: float) -> None:
        oldest = now - MAXIMUM_READING_AGE_SECONDS
        self._readings = {n: r for n, r in self._readings.items() if r.read_at >= oldest}
        offsets = [reading.offset_seconds for reading in self._readings.values()]
        self._offset_seconds = median(offsets) if len(offsets) >= MINIMUM_CLOCKS else None
        self._updated_at = now


class TrueTimeEstimate:
    """Estimate of the leader's true time, assuming that the one-way time is half the round trip."""

    MAXIMUM_SAMPLE_AGE_SECONDS = 10.0
    """The response with the shortest round trip is used for this long; local clocks drift by far
    less than a millisecond in that time."""
    MAXIMUM_ROUND_TRIP_SECONDS = 0.5
    """A response with a longer round trip is ignored: it waited in a queue or for a suspended
    process."""

    def __init__(self) -> None:
        self._offset_seconds: float | None = None
        self._sampled_at = 0.0
        self.one_way_seconds = 0.0
        """Estimated time from this daemon to the leader."""

    def record_response(self, true_seconds: float, round_trip_seconds: float, now: float) -> None:
        """Record a response of the leader.

        Args:
            true_seconds: True time when the response was sent.
            round_trip_seconds: Time between sending the pull and receiving its response.
            now: Local time.
        """
        one_way_seconds = round_trip_seconds / 2.0
        is_fresh = (
            self._offset_seconds is not None
            and now - self._sampled_at < self.MAXIMUM_SAMPLE_AGE_SECONDS
        )
        if round_trip_seconds > self.MAXIMUM_ROUND_TRIP_SECONDS or (
            is_fresh and one_way_seconds > self.one_way_seconds
        ):
            return
        self._offset_seconds = true_seconds + one_way_seconds - now
        self._sampled_at = now
        self.one_way_seconds = one_way_seconds

    def seconds(self, now: float) -> float | None:
        """Return true time in seconds since 1970; None before the leader's first response."""
        return None if self._offset_seconds is None else now + self._offset_seconds


class LocalClock:
    """The machine's wall clock, extrapolated between readings."""

    def __init__(self) -> None:
        self._offset_seconds: float | None = None
        self._next_read_at = float("-inf")

    def start_read_if_due(self, now: float) -> bool:
        """Return whether a reading is due; if so, the next one is due an interval later."""
        if now < self._next_read_at:
            return False
        self._next_read_at = now + READ_INTERVAL_SECONDS
        return True

    def record_reading(self, wall_seconds: float, now: float) -> None:
        """Record a reading of the wall clock, in seconds since 1970."""
        self._offset_seconds = wall_seconds - now

    def wall_seconds(self, now: float) -> float | None:
        """Return the wall clock; None before the first reading."""
        return None if self._offset_seconds is None else now + self._offset_seconds


class FollowerClock:
    """Wall clock and true time of a daemon that follows the leader."""

    def __init__(self) -> None:
        self._local = LocalClock()
        self._estimate = TrueTimeEstimate()
        self._pull_sent_at = 0.0

    def start_read_if_due(self, now: float) -> bool:
        """Return whether a reading is due; if so, the next one is due an interval later."""
        return self._local.start_read_if_due(now)

    def record_reading(self, wall_seconds: float, now: float) -> None:
        """Record a reading of the machine's clock."""
        self._local.record_reading(wall_seconds, now)

    def record_pull_sent(self, now: float) -> None:
        """Record that a pull is sent; its response will contain true time."""
        self._pull_sent_at = now

    def record_response(self, true_seconds: float, now: float) -> None:
        """Record the true time in the response to the newest pull."""
        self._estimate.record_response(true_seconds, now - self._pull_sent_at, now)

    def wall_seconds(self, now: float) -> float:
        """Return what this machine's clock will show when a report sent now reaches the leader.

        Returns 0 before the first reading of the clock.
        """
        wall_seconds = self._local.wall_seconds(now)
        return 0.0 if wall_seconds is None else wall_seconds + self._estimate.one_way_seconds

    def true_seconds(self, now: float) -> float | None:
        """Return true time; None before the leader's first response."""
        return self._estimate.seconds(now)
