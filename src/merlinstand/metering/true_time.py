"""True time from the clocks of all daemons: a few that are wrong, even by years, change nothing.

`TrueTime` is the control leader's, `FollowerClock` that of any other daemon; `OwnClock` keeps the
machine's own for both. All times are in seconds; true time and time of day count from 1970.
"""

import msgspec

from merlinstand.common.ids import NodeId
from merlinstand.common.median import median

MAXIMUM_READING_AGE_SECONDS = 5.0
"""A clock that was not reported for this long doesn't count: two readings, and some."""
MINIMUM_CLOCKS = 3
"""With fewer, one wrong clock could decide."""
READ_INTERVAL_SECONDS = 2.0
"""How often a daemon reads its machine's clock: a clock that was set counts wrongly no longer.
Chosen, not measured."""
MEDIAN_INTERVAL_SECONDS = 0.25
"""The median is taken this often, not at each of the thousand pulls a second of 300 daemons: local
clocks drift by microseconds meanwhile."""


class _Reading(msgspec.Struct, frozen=True):
    offset_seconds: float
    """Time of day less the leader's own local time."""
    heard_at: float


class TrueTime:
    """What the leading control daemon hears of the daemons' clocks."""

    def __init__(self) -> None:
        """Begin without clocks."""
        self._readings: dict[NodeId, _Reading] = {}
        self._offset_seconds: float | None = None
        self._looked_at = 0.0

    def clear(self) -> None:
        """Forget all clocks."""
        self._readings.clear()
        self._offset_seconds = None

    def record(self, node_id: NodeId, wall_seconds: float, now: float) -> None:
        """Take in what a machine's clock shows just now."""
        self._readings[node_id] = _Reading(wall_seconds - now, now)

    def seconds(self, now: float) -> float | None:
        """True time in seconds since 1970; None while too few clocks are known."""
        if self._offset_seconds is None or now - self._looked_at >= MEDIAN_INTERVAL_SECONDS:
            self._look(now)
        return None if self._offset_seconds is None else now + self._offset_seconds

    def _look(self, now: float) -> None:
        oldest = now - MAXIMUM_READING_AGE_SECONDS
        self._readings = {n: r for n, r in self._readings.items() if r.heard_at >= oldest}
        offsets = [reading.offset_seconds for reading in self._readings.values()]
        self._offset_seconds = median(offsets) if len(offsets) >= MINIMUM_CLOCKS else None
        self._looked_at = now


class TrueTimeEstimate:
    """True time at a daemon that follows the leader's; the way from the leader counts as half of
    the round trip."""

    MAXIMUM_SAMPLE_AGE_SECONDS = 10.0
    """The answer with the shortest way holds this long: local clocks drift by far less than a
    millisecond meanwhile."""
    MAXIMUM_ROUND_TRIP_SECONDS = 0.5
    """An answer that took longer says nothing: its reader stood still, or it waited in a queue."""

    def __init__(self) -> None:
        """Begin without any."""
        self._offset_seconds: float | None = None
        self._taken_at = 0.0
        self.one_way_seconds = 0.0
        """From this daemon to the leader, one way."""

    def record_response(self, true_seconds: float, round_trip_seconds: float, now: float) -> None:
        """Take in the leader's answer.

        Args:
            true_seconds: When its answer left.
            there_and_back_seconds: From the question to its answer.
            now: Local time.
        """
        way = round_trip_seconds / 2.0
        is_kept = (
            self._offset_seconds is not None
            and now - self._taken_at < self.MAXIMUM_SAMPLE_AGE_SECONDS
        )
        if round_trip_seconds > self.MAXIMUM_ROUND_TRIP_SECONDS or (
            is_kept and way > self.one_way_seconds
        ):
            return
        self._offset_seconds = true_seconds + way - now
        self._taken_at = now
        self.one_way_seconds = way

    def seconds(self, now: float) -> float | None:
        """True time in seconds since 1970; None before the leader's first answer."""
        return None if self._offset_seconds is None else now + self._offset_seconds


class LocalClock:
    """The machine's own time of day between two readings."""

    def __init__(self) -> None:
        """Begin without a reading."""
        self._offset_seconds: float | None = None
        self._read_again_at = float("-inf")

    def start_read_if_due(self, now: float) -> bool:
        """Whether it should be read; it counts as asked for then."""
        if now < self._read_again_at:
            return False
        self._read_again_at = now + READ_INTERVAL_SECONDS
        return True

    def record_reading(self, wall_seconds: float, now: float) -> None:
        """Take in a reading."""
        self._offset_seconds = wall_seconds - now

    def wall_seconds(self, now: float) -> float | None:
        """Time of day; None before the first reading."""
        return None if self._offset_seconds is None else now + self._offset_seconds


class FollowerClock:
    """The clocks of a daemon that follows the leader: what it reports, and what it learns."""

    def __init__(self) -> None:
        """Begin without readings and answers."""
        self._own = LocalClock()
        self._followed = TrueTimeEstimate()
        self._asked_at = 0.0

    def start_read_if_due(self, now: float) -> bool:
        """Whether the machine's clock should be read; it counts as asked for then."""
        return self._own.start_read_if_due(now)

    def record_reading(self, wall_seconds: float, now: float) -> None:
        """Take in a reading of the machine's clock."""
        self._own.record_reading(wall_seconds, now)

    def record_pull_sent(self, now: float) -> None:
        """A pull leaves, whose answer holds true time."""
        self._asked_at = now

    def record_response(self, true_seconds: float, now: float) -> None:
        """Take in the answer to the newest pull."""
        self._followed.record_response(true_seconds, now - self._asked_at, now)

    def wall_seconds(self, now: float) -> float:
        """Time of day when a report arrives that leaves now; 0 before the first reading."""
        wall_seconds = self._own.wall_seconds(now)
        return 0.0 if wall_seconds is None else wall_seconds + self._followed.one_way_seconds

    def true_seconds(self, now: float) -> float | None:
        """True time; None before the leader's first answer."""
        return self._followed.seconds(now)
