"""Hedged lookups: a lookup slower than nearly all others is also sent to a second replica.

The first complete response wins and the other call is cancelled. Hedges have their own budget, a
small share of first attempts, so that a slow pool does not get twice the load. Only repeatable
lookups are hedged (`try_times.hedge_delay_seconds`).
"""

from merlinstand.common.ids import CallId
from merlinstand.gateway.dispatcher import Dispatcher
from merlinstand.gateway.exchange import Exchange, ExchangePhase
from merlinstand.kernel.effects import CountMetric, Effect

HEDGES_METRIC = CountMetric("merlinstand_gateway_hedges_total")


class Hedging:
    """Sends hedges, and selects the primary call of an exchange when an event of a call arrives."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Create an instance that sends hedges through a dispatcher."""
        self._dispatcher = dispatcher

    def on_delay_elapsed(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Send a hedge if the lookup's call is in flight and the hedge budget allows it."""
        pool_state = exchange.pool_state
        if exchange.phase is not ExchangePhase.CALLING or exchange.secondary_call is not None:
            return
        # Free slots are left to queued requests.
        if len(pool_state.queue) or not pool_state.hedge_budget.try_spend(now):
            return
        exchange.demote_call()
        if self._dispatcher.dispatch(exchange, now, out) is None:
            out.append(HEDGES_METRIC)
        else:
            exchange.promote_secondary_call()

    def select_call(self, exchange: Exchange, call_id: CallId) -> None:
        """Make the call to which an event belongs the primary call of its exchange."""
        if exchange.call_id != call_id:
            exchange.swap_calls()
