"""Detects zones that are probably unreachable, from timeouts of several of their backends.

A single unresponsive backend says little about its zone. Two backends that time out shortly after
each other, without a response from any backend of the zone between, seldom have separate faults.
Each process has its own evidence.
"""

import msgspec

from merlinstand.common.ids import BackendId

MINIMUM_UNRESPONSIVE_BACKENDS = 2
"""A zone counts as unreachable once this many of its backends timed out within the window."""
TIMEOUT_WINDOW_SECONDS = 3.0
"""A timeout is forgotten after this time."""
INITIAL_AVOID_SECONDS = 0.5
"""An unreachable zone is avoided for this long at first; the time doubles with each further
timeout."""
MAXIMUM_AVOID_SECONDS = 4.0
"""Longest time between two probes of an unreachable zone, the same as for a failing backend."""


class _ZoneTimeouts(msgspec.Struct):
    timed_out_at: dict[BackendId, float] = msgspec.field(default_factory=dict)
    """Time of the last timeout of each backend."""
    avoid_seconds: float = 0.0
    avoid_until: float = 0.0


class ZoneEvidence:
    """Timeouts and responses by zone, as seen by one process."""

    def __init__(self) -> None:
        self._timeouts: dict[str, _ZoneTimeouts] = {}
        """Timeouts by zone, for zones with a timeout since the last response from the zone."""

    @property
    def has_timeouts(self) -> bool:
        """Whether any zone had a timeout since the last response from the zone."""
        return bool(self._timeouts)

    def record_timeout(self, zone: str, backend_id: BackendId, now: float) -> None:
        """Record that a backend neither responded in time nor broke the connection."""
        if not zone:
            return
        timeouts = self._timeouts.setdefault(zone, _ZoneTimeouts())
        timeouts.timed_out_at = {
            known: at
            for known, at in timeouts.timed_out_at.items()
            if now - at < TIMEOUT_WINDOW_SECONDS
        }
        timeouts.timed_out_at[backend_id] = now
        if (
            len(timeouts.timed_out_at) < MINIMUM_UNRESPONSIVE_BACKENDS
            and not timeouts.avoid_seconds
        ):
            return
        doubled = max(INITIAL_AVOID_SECONDS, timeouts.avoid_seconds * 2)
        timeouts.avoid_seconds = min(MAXIMUM_AVOID_SECONDS, doubled)
        timeouts.avoid_until = now + timeouts.avoid_seconds

    def record_response(self, zone: str) -> None:
        """Record a response of any status from the zone, which is therefore reachable."""
        self._timeouts.pop(zone, None)

    def is_unreachable(self, zone: str, now: float) -> bool:
        """Return whether a zone is avoided now; once that ends, a request probes the zone."""
        timeouts = self._timeouts.get(zone)
        return timeouts is not None and timeouts.avoid_until > now
