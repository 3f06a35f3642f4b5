"""What an engine publishes about itself: late load reports, late and gappy cache events."""

import random
from collections import deque

import msgspec

from merlinstand.kernel.effects import WriteRecord
from merlinstand_lab.records.kinds import BackendStateRecord
from merlinstand_lab.standins.engine_messages import CacheEventLine, CacheEvents, EngineStatus
from merlinstand_lab.standins.engine_model.model import EngineModel
from merlinstand_lab.standins.engine_model.prefix_cache import CacheEvent
from merlinstand_lab.standins.engine_orders import OrderBook
from merlinstand_lab.standins.engine_swap import SwapController
from merlinstand_lab.standins.settings import EngineProfile, EngineSettings

_KEPT_CACHE_EVENTS = 2048
"""Events; chosen, not measured."""
_CACHE_EVENTS_IN_AN_ANSWER = 512
"""Events; chosen, not measured."""


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


class EngineReporter:
    """The engine's state for readers and for the records."""

    def __init__(
        self, settings: EngineSettings, model: EngineModel, orders: OrderBook, swap: SwapController
    ) -> None:
        """Observe the parts of one engine."""
        self._settings = settings
        self._model = model
        self._orders = orders
        self._swap = swap
        self._history = StatusHistory(settings.profile)

    def take_snapshot(self, incarnation: int, leaving: bool, now: float) -> None:
        """Remember the state of this moment for later readers."""
        self._history.add(self._status(incarnation, leaving, now))

    def visible(self, now: float) -> EngineStatus:
        """Return what a reader sees now."""
        return self._history.visible(now)

    def state_record(self, incarnation: int, leaving: bool, now: float) -> WriteRecord:
        """Record of the state that the engine reports."""
        record = BackendStateRecord(
            backend_id=self._settings.node_id,
            state=self._state(leaving),
            at=now,
            incarnation=incarnation,
        )
        return WriteRecord(f"state-{self._settings.node_id}", record)

    def _state(self, leaving: bool) -> str:
        """State as a word."""
        if self._swap.failed:
            return "failed"
        return "leaving" if leaving else "ready"

    def _status(self, incarnation: int, leaving: bool, now: float) -> EngineStatus:
        """Everything that a load report holds."""
        return EngineStatus(
            backend_id=self._settings.node_id,
            state=self._state(leaving),
            model=self._settings.model,
            active_version=0 if self._swap.failed else self._model.version,
            active_digest=self._swap.active_digest,
            loaded=self._orders.loaded,
            loading=self._orders.loading,
            order=self._orders.last,
            running=self._model.running,
            queued=self._model.queued,
            queued_tokens=self._model.queued_tokens,
            free_blocks=self._model.free_blocks,
            total_blocks=self._settings.profile.total_blocks,
            tokens_per_second=self._model.tokens_per_second,
            incarnation=incarnation,
            reported_at=now,
            role=self._orders.role,
            adapter=self._orders.adapter,
        )
