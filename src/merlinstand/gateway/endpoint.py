"""HTTP endpoint: the readiness check, and the checks of a request before it becomes an exchange.

Checks in order of cost: size, headers, readiness and early admission, body, duplicates of a pending
key, pool, admission. Requests rejected here have the outcome `not_run`, except possible duplicates
of a request in flight at this gateway: their outcome is `unknown`, since that request may be
running.
"""

from result import Err

from merlinstand.common.errors import MerlinstandError
from merlinstand.common.ids import RequestId
from merlinstand.gateway.admission import Admission
from merlinstand.gateway.caller_request import CallerRequest
from merlinstand.gateway.claims import Claims
from merlinstand.gateway.dispatcher import Dispatcher
from merlinstand.gateway.errors import UnknownPoolError
from merlinstand.gateway.exchange import Exchange
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.pool_states import PoolStates
from merlinstand.gateway.refusals import (
    claim_pending,
    claim_unavailable,
    key_reused,
    stale_configuration,
    stopping,
)
from merlinstand.gateway.request_parser import (
    RequestHead,
    check_size,
    parse_head,
    parse_request,
)
from merlinstand.gateway.responses import JSON_TYPE, rejection
from merlinstand.gateway.settings import GatewaySettings
from merlinstand.kernel.effects import CountMetric, Effect, Respond
from merlinstand.kernel.events import RequestReceived
from merlinstand.session.control_session import ControlSession

REJECTED_METRIC = "merlinstand_gateway_refused_total"
HEALTHY_BODY = b'{"status":"ok"}'


class Endpoint:
    """Checks requests, cheapest check first, and submits them to the dispatcher."""

    def __init__(
        self,
        settings: GatewaySettings,
        session: ControlSession,
        pool_states: PoolStates,
        admission: Admission,
        claims: Claims,
        dispatcher: Dispatcher,
    ) -> None:
        """Create an endpoint from the parts of the gateway that checks depend on."""
        self._settings = settings
        self._session = session
        self._pool_states = pool_states
        self._admission = admission
        self._claims = claims
        self._dispatcher = dispatcher
        self._number = 0
        self.stopping = False
        """Whether a planned stop has begun: new requests are rejected."""
        self._counters: dict[str, CountMetric] = {}

    def receive(self, event: RequestReceived, now: float, out: list[Effect]) -> None:
        """Submit a request as an exchange, or respond to it at once."""
        self._number += 1
        generated_id = f"{self._settings.node_id}-{event.request_id}"
        error = check_size(event, self._settings.requests)
        if error is not None:
            self._reject(event, generated_id, error, Outcome.NOT_RUN, out)
            return
        head = parse_head(event, generated_id, self._settings.requests)
        if isinstance(head, Err):
            self._reject(event, generated_id, head.err_value, Outcome.NOT_RUN, out)
            return
        request_id = head.ok_value.request_id
        error = self._readiness_error(now) or self._admission.reject_early(
            head.ok_value.caller, now
        )
        if error is not None:
            self._reject_early(event, head.ok_value, error, out)
            return
        view = self._session.view
        parsed = parse_request(event, head.ok_value, view.pools, self._settings.requests)
        if isinstance(parsed, Err):
            self._reject(event, request_id, parsed.err_value, Outcome.NOT_RUN, out)
            return
        self._admit(event, parsed.ok_value, now, out)

    def answer_readiness(self, request_id: RequestId, now: float, out: list[Effect]) -> None:
        """Respond to a readiness check."""
        error = self._readiness_error(now)
        if error is None:
            out.append(Respond(request_id, 200, {"content-type": JSON_TYPE}, HEALTHY_BODY))
        else:
            out.append(rejection(request_id, "", error, Outcome.NOT_RUN))

    def _admit(
        self, event: RequestReceived, request: CallerRequest, now: float, out: list[Effect]
    ) -> None:
        if request.idempotency_key and self._reject_duplicate(event, request, out):
            return
        pool_state = self._pool_states.get(request.pool.name)
        if pool_state is None:
            error: MerlinstandError = UnknownPoolError(detail="no such pool")
            self._reject(event, request.request_id, error, Outcome.NOT_RUN, out)
            return
        admitted = self._admission.admit(request, now)
        if isinstance(admitted, Err):
            self._reject(event, request.request_id, admitted.err_value, Outcome.NOT_RUN, out)
            return
        exchange = Exchange(
            self._number, event.request_id, request, pool_state, admitted.ok_value, now
        )
        self._dispatcher.submit(exchange, now, out)

    def _reject_early(
        self,
        event: RequestReceived,
        head: RequestHead,
        error: MerlinstandError,
        out: list[Effect],
    ) -> None:
        """Reject a request whose pool and body were not parsed."""
        if self._claims.may_be_pending(head.idempotency_key):
            pending = claim_pending(self._settings.claims.pending_retry_seconds)
            self._reject(event, head.request_id, pending, Outcome.UNKNOWN, out)
            return
        self._reject(event, head.request_id, error, Outcome.NOT_RUN, out)

    def _reject_duplicate(
        self, event: RequestReceived, request: CallerRequest, out: list[Effect]
    ) -> bool:
        """Reject a duplicate, or any request if there are too many claims.

        Returns:
            Whether the request was rejected.
        """
        ticket = self._claims.pending_ticket(request.idempotency_key)
        if ticket is not None and ticket.digest != request.digest:
            self._reject(event, request.request_id, key_reused(), Outcome.NOT_RUN, out)
            return True
        if ticket is not None:
            # Never `not_run`, since the request that holds the claim may be running.
            pending = claim_pending(self._settings.claims.pending_retry_seconds)
            self._reject(event, request.request_id, pending, Outcome.UNKNOWN, out)
            return True
        if not self._claims.has_capacity():
            error = claim_unavailable("too many claims wait for control")
            self._reject(event, request.request_id, error, Outcome.NOT_RUN, out)
            return True
        return False

    def _readiness_error(self, now: float) -> MerlinstandError | None:
        if self.stopping:
            return stopping()
        if not self._session.may_take_new_work(now):
            return stale_configuration(self._session.seconds_until_retry(now))
        return None

    def _reject(
        self,
        event: RequestReceived,
        request_id: str,
        error: MerlinstandError,
        outcome: Outcome,
        out: list[Effect],
    ) -> None:
        out.append(rejection(event.request_id, request_id, error, outcome))
        code = type(error).code
        counter = self._counters.get(code)
        if counter is None:
            counter = CountMetric(REJECTED_METRIC, 1.0, {"code": code})
            self._counters[code] = counter
        out.append(counter)
