"""Swap of an engine to a loaded version, which may fail half-way."""

import msgspec

from merlinstand_lab.records.kinds import GenerationOutcome
from merlinstand_lab.standins.engine_messages import OrderBody
from merlinstand_lab.standins.engine_model.model import EngineModel
from merlinstand_lab.standins.engine_model.sequence import ModelEvent
from merlinstand_lab.standins.engine_orders import STATE_DONE, STATE_FAILED, OrderBook


class SwapEnd(msgspec.Struct, frozen=True):
    """A swap came to its end."""

    order: OrderBody
    failed: bool
    events: list[ModelEvent]
    """What a failed swap ended."""


class SwapController:
    """The swap under way, the digest being served, and whether the weights are in doubt."""

    def __init__(self, model: EngineModel, orders: OrderBook, pause_seconds: float) -> None:
        """Begin without a version."""
        self._model = model
        self._orders = orders
        self._pause_seconds = pause_seconds
        self._order: OrderBody | None = None
        self.active_digest = ""
        self.failed = False
        """Half of the weights are of another version: nothing may be served."""

    def begin(self, order: OrderBody, now: float) -> list[ModelEvent]:
        """Start the swap of an accepted `activate` order."""
        assert self._orders.last is not None
        if self._orders.last.state == STATE_FAILED:
            return []
        active = (self._model.version, self.active_digest)
        if self._order is None and active == (order.version, order.digest):
            self._orders.settle(STATE_DONE)
            return []
        self._order = order
        # The digest belongs to the version of the batch, which changes when the swap ends.
        return self._model.activate(order.version, self._pause_seconds, now)

    def finish(self, fails: bool, now: float) -> SwapEnd | None:
        """Return the end of the swap once its pause is over.

        Args:
            fails: Whether the swap fails half-way if it ends now.
            now: Time of the engine.
        """
        order = self._order
        if (
            order is None
            or self._model.version != order.version
            or self._model.paused_until is not None
        ):
            return None
        self._order = None
        self.failed = fails
        self.active_digest = "" if fails else order.digest
        events: list[ModelEvent] = []
        if fails:
            events = self._model.end_all(GenerationOutcome.SWAPPED, now)
            self._model.deactivate()
        if self._orders.last is not None and self._orders.last.fence == order.fence:
            self._orders.settle(STATE_FAILED if fails else STATE_DONE)
        return SwapEnd(order, fails, events)
