"""Rollout of new weights over the engines of one pool, under the `engines/POOL` lease.

The decision, engine by engine (reasons and measurements in
docs/DECISIONS/0007-rollout-scheduling.md):

1. An order under way is sent again every `order_poll_seconds` under its fence until the engine says
   that it is done; one that takes too long counts as failed (`EngineRollout.overdue`).
2. What the engine needs next is decided in `rollout_engine`: a load, an activation or nothing.
3. A load is ordered while fewer than the allowed ones are under way. Their number is lowered when
   one fails, as the store refuses beyond its rate, and raised again when one succeeds
   (`_adapt_loads`).
4. An activation is ordered at once where the engine serves nothing, else while fewer than
   `wave_fraction` of the serving engines swap.

Orders carry the fence (lease epoch, sequence); one that is sent again or overtaken does no harm.
Owns the sequence of this lease and the orders under way; relies on `EnginePool` for the engines'
reports, which lag.
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
"""Part of the parallel loads that is left after one failed. Chosen, not measured."""

LOADS_INCREASE = 0.5
"""Parallel loads added after one succeeded: every second success allows one more. Chosen, not
measured."""


class PoolRollout:
    """Brings the engines of a pool to the newest weights."""

    def __init__(self, pool: EnginePool, epoch: int) -> None:
        """Begin under a lease.

        Args:
            pool: The engines.
            epoch: The lease's epoch, which goes into every fence.
        """
        self.epoch = epoch
        self._pool = pool
        self._sequence = 0
        self._engines: dict[str, EngineRollout] = {}
        self._parallel_loads = 0.0
        self._reported_version = 0

    def tick(self, context: Context, weights: Weights | None) -> None:
        """Send the orders that are due."""
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
        """Keep enough engines serving: those that serve nothing swap at once."""
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

    # --- answers --------------------------------------------------------------------

    def handle_order_response(
        self, context: Context, purpose: OrderCall, event: CallResponded | CallFailed
    ) -> None:
        """Take in the answer to an order; without one it is sent again."""
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
        # The store refuses beyond its rate, which an engine reports as a failed load.
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
            # As good as no answer: the order is sent again, and fails when it is overdue.
            return
        rollout.order = None
        if fence.epoch == self.epoch:
            # An order of this same lease from before a restart overtook it.
            self._sequence = max(self._sequence, fence.sequence)
        else:
            # A newer holder is at work. The session will say so; until then, keep quiet.
            rollout.not_before = context.now + context.settings.rollout.longest_retry_seconds
            context.log("rollout.fenced", "warning", epoch=self.epoch, newer=fence.epoch)

    def _report_progress(self, context: Context, newest: WeightVersion) -> None:
        behind = sum(
            engine.active_version != newest.version for engine in self._pool.engines.values()
        )
        context.gauge("engines_behind", float(behind), pool=self._pool.pool.name)
        if behind == 0 and self._reported_version != newest.version:
            self._reported_version = newest.version
            context.log("rollout.done", pool=self._pool.pool.name, version=newest.version)


def _decode_result(event: CallResponded) -> OrderResult | None:
    """Return the answer to an order; None is as good as none, so the order is sent again."""
    if event.status != 200:
        return None
    try:
        return msgspec.json.decode(event.body, type=OrderResult)
    except DECODE_ERRORS:
        return None
