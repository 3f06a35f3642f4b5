"""Hedged lookups: a second replica is asked when the first is slower than nearly all others.

Both calls then run; the first whole answer wins and the other call is given up. Hedges have a
budget of their own, a small share of first tries, so that a pool that is slow as a whole is not
asked twice. Only lookups that may be repeated are hedged (`try_times.hedge_delay_seconds`).
"""

from merlinstand.common.ids import CallId
from merlinstand.gateway.dispatcher import Dispatcher
from merlinstand.gateway.exchange import Exchange, ExchangePhase
from merlinstand.kernel.effects import CountMetric, Effect

HEDGES_METRIC = CountMetric("merlinstand_gateway_hedges_total")


class Hedging:
    """Starts second calls, and keeps the call an event belongs to in front."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Join the parts."""
        self._dispatcher = dispatcher

    def on_delay_elapsed(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """A lookup has waited longer than nearly all others do."""
        pool_state = exchange.pool_state
        if exchange.phase is not ExchangePhase.CALLING or exchange.secondary_call is not None:
            return
        # Where requests queue, places are better used for those that have none.
        if len(pool_state.queue) or not pool_state.hedge_budget.try_spend(now):
            return
        exchange.demote_call()
        if self._dispatcher.dispatch(exchange, now, out) is None:
            out.append(HEDGES_METRIC)
        else:
            exchange.promote_secondary_call()

    def select_call(self, exchange: Exchange, call_id: CallId) -> None:
        """Make the call that an event belongs to the one that the exchange looks at."""
        if exchange.call_id != call_id:
            exchange.swap_calls()
