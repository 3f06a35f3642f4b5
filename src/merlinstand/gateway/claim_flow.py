"""Continues exchanges after the control group decided their claim: dispatch, replay or rejection.

A claim reserves an idempotency key, so that a request is dispatched at most once; see `claims`.
"""

from merlinstand.common.errors import OutcomeUnknownError
from merlinstand.control.commands import ClaimTaken
from merlinstand.gateway.claims import ClaimResult, Claims, ClaimVerdict
from merlinstand.gateway.dispatcher import Dispatcher
from merlinstand.gateway.exchange import Exchange, ExchangePhase
from merlinstand.gateway.exchange_table import ExchangeTable
from merlinstand.gateway.finalizer import Finalizer
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.refusals import (
    claim_pending,
    claim_unavailable,
    deadline_passed,
    key_reused,
    stale_configuration,
)
from merlinstand.gateway.responses import replayed_response
from merlinstand.gateway.settings import ClaimSettings
from merlinstand.kernel.effects import Effect
from merlinstand.routing.router import CallResult
from merlinstand.session.control_session import ControlSession


class ClaimFlow:
    """Continues exchanges that waited for a claim; `claims` describes the protocol."""

    def __init__(
        self,
        settings: ClaimSettings,
        session: ControlSession,
        table: ExchangeTable,
        claims: Claims,
        dispatcher: Dispatcher,
        finalizer: Finalizer,
    ) -> None:
        """Create the flow from the parts of the gateway that claims depend on."""
        self._pending_retry_seconds = settings.pending_retry_seconds
        self._session = session
        self._table = table
        self._claims = claims
        self._dispatcher = dispatcher
        self._finalizer = finalizer

    def on_claim_finished(self, result: ClaimResult, now: float, out: list[Effect]) -> None:
        """Continue the exchange of a claim that control granted or rejected, or that failed."""
        exchange = self._table.by_number.get(result.ticket.exchange_number)
        if exchange is None or exchange.phase is not ExchangePhase.CLAIMING:
            # The caller received `not_run` in the meantime. The request was never dispatched, so
            # the claim is released.
            if result.verdict is ClaimVerdict.GRANTED:
                self._claims.record(result.ticket, Outcome.NOT_RUN, None, now, out)
            return
        if result.verdict is ClaimVerdict.GRANTED:
            self._dispatch_claimed(exchange, now, out)
        elif result.taken is not None:
            self._answer_duplicate(exchange, result.taken, now, out)
        else:
            self._finalizer.reject(exchange, claim_unavailable("no answer of control"), now, out)

    def _dispatch_claimed(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        if exchange.client_disconnected or exchange.remaining_seconds(now) <= 0.0:
            self._finalizer.reject(exchange, deadline_passed(), now, out)
            return
        if not self._session.may_take_new_work(now):
            error = stale_configuration(self._session.seconds_until_retry(now))
            self._finalizer.reject(exchange, error, now, out)
            return
        backend = exchange.backend
        if backend is not None and exchange.pool_state.router.is_usable(backend.backend_id):
            self._dispatcher.call(exchange, backend, now, out)
            return
        self._finalizer.release(exchange, CallResult.INCONCLUSIVE, now)
        dispatch_error = self._dispatcher.dispatch(exchange, now, out)
        if dispatch_error is not None:
            self._finalizer.reject(exchange, dispatch_error, now, out)

    def _answer_duplicate(
        self, exchange: Exchange, taken: ClaimTaken, now: float, out: list[Effect]
    ) -> None:
        """Respond to a request whose key was claimed before; it is never dispatched."""
        request_id = exchange.request.request_id
        if taken.recorded == "answer":
            out.append(
                replayed_response(
                    exchange.endpoint_id, request_id, taken.status, taken.content_type, taken.body
                )
            )
            self._finalizer.finalize(exchange, Outcome.ANSWER, None, now, out)
        elif taken.recorded == "different_request":
            self._finalizer.reject_as(exchange, key_reused(), Outcome.NOT_RUN, now, out)
        elif taken.recorded == "pending":
            self._finalizer.reject_as(
                exchange, claim_pending(self._pending_retry_seconds), Outcome.UNKNOWN, now, out
            )
        else:
            error = OutcomeUnknownError(detail="an earlier request under this key may have run")
            self._finalizer.reject_as(exchange, error, Outcome.UNKNOWN, now, out)
