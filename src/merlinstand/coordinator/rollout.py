"""Rollout of new weights to the engines of one pool, under the `engines/POOL` lease.

For each engine (reasons are in docs/DECISIONS/0007-rollout-scheduling.md):

1. A pending order is resent every `order_poll_seconds` with the same fence until the engine reports
   that it is done; one that takes too long counts as failed (`EngineRollout.is_overdue`).
2. `rollout_engine` decides what the engine needs next: a load, an activation or nothing.
3. A load is ordered while fewer than the allowed number are in progress. That number is lowered
   when a load fails, since the store refuses requests beyond its rate, and raised when one succeeds
   (`_adapt_loads`).
4. An activation is ordered immediately if the engine serves nothing, otherwise while fewer than
   `wave_fraction` of the serving engines are swapping.

An order is a command to an engine. Orders carry a fence (lease epoch, sequence), so resent and
superseded orders do no harm. The engines' reports (`EnginePool`) may be outdated.
"""

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.configuration.objects import Weights, WeightVersion
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.engine_protocol import (
    EngineOrder,
    Fence,
    FencedResponse,
    OrderKind,
    OrderResult,
    OrderState,
)
from merlinstand.coordinator.engines import Engine, EnginePool
from merlinstand.coordinator.purposes import OrderCall
from merlinstand.coordinator.rollout_engine import EngineRollout, Need
from merlinstand.kernel.events import CallFailed, CallResponded

LOADS_DECREASE_FACTOR = 0.5
"""The limit on parallel loads is multiplied by this factor after a failed load."""

LOADS_INCREASE = 0.5
"""Added to the limit on parallel loads after a success: two successes allow one more load."""


class PoolRollout:
    """Updates the engines of a pool to the newest weights."""

    def __init__(self, pool: EnginePool, epoch: int) -> None:
        """The caller must hold the pool's lease.

        Args:
            pool: The engines.
            epoch: The lease's epoch, part of every fence.
        """
        self.epoch = epoch
        self._pool = pool
        self._sequence = 0
        self._engines: dict[str, EngineRollout] = {}
        self._parallel_loads = 0.0
        self._reported_version = 0

    def tick(self, context: Context, weights: Weights | None) -> None:
        """Send the orders that are due; if `weights` is None or empty, no order is sent."""
        settings = context.settings.rollout
        if self._parallel_loads <= 0.0:
            self._parallel_loads = float(settings.maximum_parallel_loads)
        for backend_id in [known for known in self._engines if known not in self._pool.engines]:
            del self._engines[backend_id]
        if weights is None or not weights.versions:
            return
        for backend_id, engine in self._pool.engines.items():
            self._tick_engine(context, backend_id, engine, weights)
        self._report_progress(context, weights.versions[-1])

    def _tick_engine(
        self, context: Context, backend_id: str, engine: Engine, weights: Weights
    ) -> None:
        status = engine.status
        if status is None:
            return
        settings = context.settings.rollout
        rollout = self._engines.setdefault(backend_id, EngineRollout())
        rollout.observe(status, context.now)
        if rollout.in_call:
            return
        if rollout.is_overdue(context.now, settings):
            self._finish_order(context, engine, rollout, OrderState.FAILED)
        if rollout.order is not None:
            if context.now - rollout.last_sent_at >= settings.order_poll_seconds:
                self._send(context, engine, rollout, rollout.order)
            return
        next_order = rollout.next_order(status, weights, context.now)
        if next_order.version is None:
            return
        if next_order.need is Need.LOAD and self._may_load():
            self._order(context, engine, rollout, OrderKind.LOAD, next_order.version)
        elif next_order.need is Need.ACTIVATE and self._may_swap(context, engine, weights):
            self._order(context, engine, rollout, OrderKind.ACTIVATE, next_order.version)

    def _may_load(self) -> bool:
        loading = sum(rollout.loading for rollout in self._engines.values())
        return loading < max(1, int(self._parallel_loads))

    def _may_swap(self, context: Context, engine: Engine, weights: Weights) -> bool:
        """Return whether an engine may swap now: enough other engines must keep serving."""
        now = context.now
        if not self._pool.serves(engine, weights, now):
            return True
        serving = [
            backend_id
            for backend_id, other in self._pool.engines.items()
            if self._pool.serves(other, weights, now)
        ]
        swapping = sum(
            backend_id in self._engines and self._engines[backend_id].swapping
            for backend_id in serving
        )
        maximum_swapping = max(1, int(len(serving) * context.settings.rollout.wave_fraction))
        return swapping < maximum_swapping

    def _order(
        self,
        context: Context,
        engine: Engine,
        rollout: EngineRollout,
        kind: OrderKind,
        version: WeightVersion,
    ) -> None:
        self._sequence += 1
        order = EngineOrder(
            fence=Fence(self.epoch, self._sequence),
            kind=kind,
            model=self._pool.pool.model,
            version=version.version,
            digest=version.digest,
            source=version.source,
        )
        context.log(
            "rollout.order",
            backend=engine.backend.backend_id,
            kind=kind.value,
            version=version.version,
            epoch=self.epoch,
            sequence=self._sequence,
        )
        self._send(context, engine, rollout, order)

    def _send(
        self, context: Context, engine: Engine, rollout: EngineRollout, order: EngineOrder
    ) -> None:
        rollout.record_sent(order, context.now)
        context.start_call(
            OrderCall(self._pool.pool.name, engine.backend.backend_id, order),
            engine.backend.address,
            "POST",
            "/v1/orders",
            body=msgspec.json.encode(order),
            timeout_seconds=context.settings.rollout.order_timeout_seconds,
        )

    # --- responses ------------------------------------------------------------------

    def handle_order_response(
        self, context: Context, purpose: OrderCall, event: CallResponded | CallFailed
    ) -> None:
        """Handle the response to an order; after a failed call the order is sent again."""
        rollout = self._engines.get(purpose.backend_id)
        engine = self._pool.engines.get(purpose.backend_id)
        if rollout is None or engine is None or rollout.order != purpose.order:
            return
        rollout.in_call = False
        if isinstance(event, CallFailed):
            return
        if event.status == 409:
            self._handle_fenced(context, rollout, event)
            return
        answer = _decode_result(event)
        if answer is None or answer.fence != purpose.order.fence:
            return
        self._finish_order(context, engine, rollout, answer.state)

    def _finish_order(
        self, context: Context, engine: Engine, rollout: EngineRollout, state: OrderState
    ) -> None:
        order = rollout.order
        if order is None or state is OrderState.IN_PROGRESS:
            return
        rollout.record_result(state, context.now, context.settings.rollout)
        context.log(
            "rollout.order_ended",
            backend=engine.backend.backend_id,
            kind=order.kind.value,
            version=order.version,
            state=state.value,
        )
        context.count(
            "orders_total", pool=self._pool.pool.name, kind=order.kind.value, state=state.value
        )
        if order.kind is OrderKind.LOAD:
            self._adapt_loads(context, state)
        elif order.kind is OrderKind.ACTIVATE and state is OrderState.DONE:
            engine.confirm_swap(order.version, order.digest, context.now)
            self._pool.changed = True

    def _adapt_loads(self, context: Context, state: OrderState) -> None:
        # The store refuses requests beyond its rate; engines report that as a failed load.
        if state is OrderState.FAILED:
            self._parallel_loads = max(1.0, self._parallel_loads * LOADS_DECREASE_FACTOR)
        else:
            most = float(context.settings.rollout.maximum_parallel_loads)
            self._parallel_loads = min(self._parallel_loads + LOADS_INCREASE, most)

    def _handle_fenced(
        self, context: Context, rollout: EngineRollout, event: CallResponded
    ) -> None:
        try:
            fence = msgspec.json.decode(event.body, type=FencedResponse).fence
        except DECODE_ERRORS:
            # Handled like a missing response: the order is sent again, and fails when overdue.
            return
        rollout.order = None
        if fence.epoch == self.epoch:
            # An order of the same lease, sent before a restart, superseded this one.
            self._sequence = max(self._sequence, fence.sequence)
        else:
            # A newer lease holder is active. Send no orders until the session reports it.
            rollout.not_before = context.now + context.settings.rollout.longest_retry_seconds
            context.log("rollout.fenced", "warning", epoch=self.epoch, newer_epoch=fence.epoch)

    def _report_progress(self, context: Context, newest: WeightVersion) -> None:
        behind = sum(
            engine.active_version != newest.version for engine in self._pool.engines.values()
        )
        context.gauge("engines_behind", float(behind), pool=self._pool.pool.name)
        if behind == 0 and self._reported_version != newest.version:
            self._reported_version = newest.version
            context.log("rollout.done", pool=self._pool.pool.name, version=newest.version)


def _decode_result(event: CallResponded) -> OrderResult | None:
    """Decode the response to an order; None if the response is invalid (the order is resent)."""
    if event.status != 200:
        return None
    try:
        return msgspec.json.decode(event.body, type=OrderResult)
    except DECODE_ERRORS:
        return None
