"""Which zones are probably cut off: several servers fell silent, and none has answered since.

Owned by the chooser of one process. One silent server says little of its zone. Two at once, with no
answer of any between them, are seldom two faults.
"""

import msgspec

from merlinstand.common.ids import BackendId

MINIMUM_UNRESPONSIVE_BACKENDS = 2
"""So many servers of a zone, silent at once, make the zone count as unreachable."""
TIMEOUT_WINDOW_SECONDS = 3.0
"""A silence is forgotten after this long. Chosen, not measured."""
INITIAL_AVOID_SECONDS = 0.5
"""How long an unreachable zone is avoided first; doubled with each further silence."""
MAXIMUM_AVOID_SECONDS = 4.0
"""Longest time between two probes of an unreachable zone; as long as for a server that fails."""


class _ZoneTimeouts(msgspec.Struct):
    timed_out_at: dict[BackendId, float] = msgspec.field(default_factory=dict)
    """No more of them than servers."""
    avoid_seconds: float = 0.0
    avoid_until: float = 0.0


class ZoneEvidence:
    """Silences and answers by zone, as one process met them."""

    def __init__(self) -> None:
        """Begin without evidence."""
        self._timeouts: dict[str, _ZoneTimeouts] = {}
        """Zones with a silence since their last answer."""

    @property
    def has_timeouts(self) -> bool:
        """Whether any zone was silent since its last answer."""
        return bool(self._timeouts)

    def record_timeout(self, zone: str, backend_id: BackendId, now: float) -> None:
        """A server did not answer in time, and did not break off either."""
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
        """A server of the zone answered, whatever it said: the zone can be reached."""
        self._timeouts.pop(zone, None)

    def is_unreachable(self, zone: str, now: float) -> bool:
        """Whether a zone is avoided now; once that time is over, a request probes it."""
        timeouts = self._timeouts.get(zone)
        return timeouts is not None and timeouts.avoid_until > now
