"""Everything that an engine holds in memory, and what it does with it."""

import math
import random

import msgspec

from merlinstand.common.ids import RequestId
from merlinstand.kernel.effects import Effect, RespondStart, WriteRecord
from merlinstand.kernel.events import CallFailed, CallResponded, TimerFired
from merlinstand_lab.records.kinds import (
    ActivationRecord,
    GenerationOutcome,
    GenerationRecord,
    StartRecord,
)
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.engine_background import BackgroundSource
from merlinstand_lab.standins.engine_kv import KvExchange
from merlinstand_lab.standins.engine_messages import CompletionBody, Exported, OrderBody
from merlinstand_lab.standins.engine_model.model import EngineModel
from merlinstand_lab.standins.engine_model.sequence import ModelEvent
from merlinstand_lab.standins.engine_orders import OrderBook
from merlinstand_lab.standins.engine_reports import CacheEventLog, EngineReporter
from merlinstand_lab.standins.engine_requests import generation_request
from merlinstand_lab.standins.engine_streams import StreamTable
from merlinstand_lab.standins.engine_swap import SwapController, SwapEnd
from merlinstand_lab.standins.settings import EngineSettings

_CANCEL_GRACE_SECONDS = 1.0
"""A cancel that comes so long after its client closed the stream is still its cancel."""

_SSE_HEADERS = {"content-type": "text/event-stream", "cache-control": "no-cache"}


class EngineMemory:
    """Batch, cache, streams, orders and exports of one incarnation; a crash loses it all."""

    def __init__(
        self, settings: EngineSettings, generator: random.Random, incarnation: int, now: float
    ) -> None:
        """Begin empty, without a version."""
        profile = settings.profile
        self._settings = settings
        self._incarnation = incarnation
        self.model = EngineModel(profile, now)
        self.orders = OrderBook()
        self.streams = StreamTable(settings)
        self.cache_log = CacheEventLog(profile, generator)
        self.background = BackgroundSource(profile, generator, now)
        self.exchange = KvExchange(profile, generator, f"{settings.node_id}-{incarnation}")
        self.swap = SwapController(self.model, self.orders, profile.activate_seconds)
        self.reporter = EngineReporter(settings, self.model, self.orders, self.swap)
        self._abandoned: dict[str, GenerationRecord] = {}
        """Closed streams whose cancel may still be on its way, oldest first."""

    @property
    def serves(self) -> bool:
        """Whether a whole version is being served."""
        return self.model.version > 0 and not self.swap.failed

    # --- time -----------------------------------------------------------------------

    def next_event_at(self) -> float | None:
        """When something happens by itself next; None if nothing will."""
        candidates = (self.model.next_event_at(), self.background.next_at)
        return min((time for time in candidates if time is not None), default=None)

    def advance(self, now: float) -> list[Effect]:
        """Let the model's time pass; old scripts send what is due."""
        effects = self.perform(self.model.advance(now), now)
        effects += self.record_abandoned(before=now - _CANCEL_GRACE_SECONDS)
        for request in self.background.due(now):
            if self.model.version:
                effects += self.perform(self.model.submit(request, now), now)
        return effects

    def perform(self, events: list[ModelEvent], now: float) -> list[Effect]:
        """Turn what the model did into responses and records."""
        effects = self.streams.perform(events, self._incarnation, now)
        self.cache_log.add(self.model.cache.take_events(), now)
        return effects

    # --- completions ----------------------------------------------------------------

    def begin(
        self, http_request_id: RequestId, request_id: str, body: CompletionBody, now: float
    ) -> list[Effect]:
        """Record the start, open the response, queue the work."""
        self.streams.open(http_request_id, request_id, body, now)
        start = StartRecord(
            request_id=request_id,
            backend_id=self._settings.node_id,
            started_at=now,
            incarnation=self._incarnation,
        )
        effects: list[Effect] = [WriteRecord(f"started-{self._settings.node_id}", start)]
        if body.stream:
            headers = {**_SSE_HEADERS, endpoint.REQUEST_ID_HEADER: request_id}
            effects.append(RespondStart(http_request_id, 200, headers))
        request = generation_request(body, request_id, self._settings.profile)
        resume = body.resume
        if resume is not None and resume.handle and resume.source:
            return [*effects, self.exchange.start_import(request, resume.handle, resume.source)]
        return effects + self.perform(self.model.submit(request, now), now)

    def end(self, request_id: str, outcome: GenerationOutcome, now: float) -> list[Effect]:
        """End a request early, also one whose import is still under way."""
        if self.streams.holds(request_id) and not self.model.holds(request_id):
            self.exchange.give_up(request_id)
            return self.streams.end_unstarted(request_id, outcome, self._incarnation, now)
        return self.perform(self.model.end(request_id, outcome, now), now)

    def abandon(self, request_id: str, now: float) -> list[Effect]:
        """Stop working for a client that went away.

        A client that cancels closes the stream and sends its cancel on another connection;
        whichever arrives first, the generation counts as cancelled.
        """
        effects: list[Effect] = []
        for effect in self.end(request_id, GenerationOutcome.ABORTED, now):
            if isinstance(effect, WriteRecord) and isinstance(effect.record, GenerationRecord):
                self._abandoned[request_id] = effect.record
            else:
                effects.append(effect)
        return effects

    def cancel(self, request_id: str, now: float) -> list[Effect]:
        """End a request on its client's wish."""
        record = self._abandoned.pop(request_id, None)
        if record is None:
            return self.end(request_id, GenerationOutcome.CANCELLED, now)
        cancelled = msgspec.structs.replace(record, outcome=GenerationOutcome.CANCELLED)
        return [self._generation_effect(cancelled)]

    def record_abandoned(self, before: float = math.inf) -> list[Effect]:
        """Record the streams that were closed before a moment and not cancelled."""
        due = [name for name, record in self._abandoned.items() if record.ended_at <= before]
        return [self._generation_effect(self._abandoned.pop(name)) for name in due]

    def _generation_effect(self, record: GenerationRecord) -> WriteRecord:
        """Write the record of a generation."""
        return WriteRecord(f"engine-{self._settings.node_id}", record)

    def export(self, request_id: str, now: float) -> tuple[Exported, list[Effect]]:
        """End a running request and keep its cached state for another engine."""
        prompt_tokens = self.streams.prompt_tokens(request_id)
        effects = self.end(request_id, GenerationOutcome.EXPORTED, now)
        token_count = self.streams.last_token_count
        return self.exchange.keep(token_count, prompt_tokens + token_count), effects

    def crash(self, now: float) -> list[Effect]:
        """Break every stream; nothing here is of use afterwards."""
        ends = self.model.end_all(GenerationOutcome.CRASHED, now)
        effects = self.record_abandoned()
        effects += self.streams.break_all(ends, self._incarnation, now)
        self.model.deactivate()
        return effects

    # --- orders and what they wait for ----------------------------------------------

    def order(self, order: OrderBody, now: float) -> list[Effect]:
        """Carry out an order whose fence is the highest yet."""
        effects = list(self.orders.accept(order))
        if order.kind == "activate":
            effects += self.perform(self.swap.begin(order, now), now)
        elif order.kind == "adapter":
            # Keys and values cached under another adapter are of no use.
            self.model.cache.clear()
        return effects

    def call_ended(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """The store or another engine answered."""
        if self.orders.handles(event):
            return list(self.orders.reduce(event))
        request = self.exchange.imported(event)
        if request is None:
            return []
        return self.perform(self.model.submit(request, now), now)

    def order_timer(self, event: TimerFired) -> list[Effect]:
        """A transfer ended, or the store may be asked again."""
        if not self.orders.handles(event):
            return []
        effects = list(self.orders.reduce(event))
        self.orders.forget_versions_below(self.model.version)
        return effects

    def pass_swap(self, fails: bool, now: float) -> tuple[list[Effect], SwapEnd | None]:
        """Let time pass up to the end of a swap, if one is due, and end it.

        Whether the swap failed must be known before a token is made under it.

        Args:
            fails: Whether a swap that ends now fails half-way.
            now: Time of the engine.
        """
        ends_at = self.model.paused_until
        if ends_at is None or ends_at > now:
            return [], None
        effects = self.perform(self.model.advance(ends_at), now)
        end = self.swap.finish(fails, now)
        if end is not None:
            effects += self.perform(end.events, now)
            if not end.failed:
                effects.append(self._activation_record(end.order, now))
        return effects, end

    def _activation_record(self, order: OrderBody, now: float) -> WriteRecord:
        """Record of a version that is served from now on."""
        record = ActivationRecord(
            backend_id=self._settings.node_id,
            model=self._settings.model,
            version=order.version,
            digest=order.digest,
            activated_at=now,
            incarnation=self._incarnation,
        )
        return WriteRecord(f"versions-{self._settings.node_id}", record)
