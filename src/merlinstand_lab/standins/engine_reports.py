"""What an engine publishes about itself: late load reports, late and gappy cache events."""

import random
from collections import deque

import msgspec

from merlinstand_lab.standins.engine_messages import CacheEventLine, CacheEvents, EngineStatus
from merlinstand_lab.standins.engine_model.prefix_cache import CacheEvent
from merlinstand_lab.standins.settings import EngineProfile

_KEPT_CACHE_EVENTS = 2048
_CACHE_EVENTS_IN_AN_ANSWER = 512


class _PendingEvent(msgspec.Struct, frozen=True):
    """A cache event that becomes visible later."""

    visible_at: float
    line: CacheEventLine


class StatusHistory:
    """Snapshots of the engine's state; readers see one that is `lag` old."""

    def __init__(self, profile: EngineProfile) -> None:
        """Begin empty."""
        self._lag_seconds = profile.status_lag_seconds
        length = 2 + int(profile.status_lag_seconds / profile.status_interval_seconds)
        self._snapshots: deque[EngineStatus] = deque(maxlen=length)

    def add(self, status: EngineStatus) -> None:
        """Take a snapshot."""
        self._snapshots.append(status)

    def visible(self, now: float) -> EngineStatus:
        """Return the newest snapshot that is at least `lag` old, else the oldest."""
        visible = self._snapshots[0]
        for snapshot in self._snapshots:
            if snapshot.reported_at <= now - self._lag_seconds:
                visible = snapshot
        return visible

    def clear(self) -> None:
        """Forget all (a restart)."""
        self._snapshots.clear()


class CacheEventLog:
    """The published cache events: numbered, late, some lost."""

    def __init__(self, profile: EngineProfile, generator: random.Random) -> None:
        """Begin empty."""
        self._profile = profile
        self._generator = generator
        self._next = 1
        self._events: deque[_PendingEvent] = deque(maxlen=_KEPT_CACHE_EVENTS)

    def add(self, events: list[CacheEvent], now: float) -> None:
        """Number events; a lost one uses up its number."""
        for event in events:
            line = CacheEventLine(self._next, event.kind, event.prefix_digest)
            self._next += 1
            if self._generator.random() >= self._profile.cache_event_loss:
                visible_at = now + self._profile.cache_event_lag_seconds
                self._events.append(_PendingEvent(visible_at, line))

    def after(self, sequence: int, now: float) -> CacheEvents:
        """Return visible events above a number."""
        lines = [
            pending.line
            for pending in self._events
            if pending.visible_at <= now and pending.line.sequence > sequence
        ][:_CACHE_EVENTS_IN_AN_ANSWER]
        return CacheEvents(lines, lines[-1].sequence if lines else sequence)
