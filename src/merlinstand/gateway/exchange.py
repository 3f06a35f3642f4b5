"""State of one caller's request in the gateway (an exchange), and of the pool that serves it.

Both are in one module because an exchange refers to its pool's state, whose queue holds exchanges.
"""

import enum

from merlinstand.common.ids import CallId, RequestId
from merlinstand.configuration.objects import Backend, Pool
from merlinstand.decisions.queue_order import FairQueue
from merlinstand.gateway.caller_request import CallerRequest
from merlinstand.gateway.completion_rate import CompletionRate
from merlinstand.gateway.latency_quantile import LatencyQuantile
from merlinstand.gateway.rate_limits import CallerBuckets
from merlinstand.gateway.settings import GatewaySettings
from merlinstand.gateway.stream_progress import StreamProgress
from merlinstand.routing.retry_budget import new_attempt_budget
from merlinstand.routing.router import PoolRouter


class ExchangePhase(enum.Enum):
    """Phase of an exchange."""

    QUEUED = "queued"
    """The request waits for a free slot at a backend."""
    CLAIMING = "claiming"
    """The exchange holds a slot at a backend while the control group decides the claim on its
    idempotency key."""
    CALLING = "calling"
    """A call to a backend is in flight."""
    RESUMING = "searching"
    """An interrupted generation waits for an engine to resume on."""
    DONE = "concluded"
    """The exchange has ended."""


class ClaimTicket:
    """A claim of this gateway on an idempotency key."""

    __slots__ = ("digest", "exchange_number", "granted", "key", "owner_incarnation")

    def __init__(self, key: str, digest: str, owner_incarnation: int, number: int) -> None:
        """Create a ticket for a claim that is not granted yet.

        Args:
            key: The idempotency key, as `pool/key`.
            digest: Digest of the request; see `CallerRequest.digest`.
            owner_incarnation: Number of the claim.
            number: Number of the exchange.
        """
        self.key = key
        self.digest = digest
        self.owner_incarnation = owner_incarnation
        """Unique among the claims of all runs of all gateways, so that a late record of one claim
        cannot affect a later claim of the same key."""
        self.exchange_number = number
        self.granted = False


class SecondaryCall:
    """The call of a hedged lookup that is not the primary call at present."""

    __slots__ = ("backend", "call_id", "sent_at")

    def __init__(self, backend: Backend, call_id: CallId, sent_at: float) -> None:
        """Create the record of a call in flight, sent at local monotonic time `sent_at`."""
        self.backend = backend
        self.call_id = call_id
        self.sent_at = sent_at


class ErrorResponse:
    """Response of an engine with a status other than 200, while its body arrives."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        """Create a response whose body has not arrived yet."""
        self.status = status
        self.headers = headers
        self.body = b""


class PoolState:
    """State of one pool at this gateway."""

    __slots__ = ("hedge_budget", "latency", "number", "pool", "queue", "rate", "router")

    def __init__(
        self, number: int, pool: Pool, router: PoolRouter, settings: GatewaySettings
    ) -> None:
        """Create the state of a pool; `number` identifies the state in the timer queue."""
        admission = settings.admission
        self.number = number
        self.pool = pool
        self.router = router
        self.queue: FairQueue[Exchange] = FairQueue(
            admission.maximum_queued_per_pool, admission.maximum_queued_per_caller
        )
        self.rate = CompletionRate()
        self.latency = LatencyQuantile()
        self.hedge_budget = new_attempt_budget(settings.requests.hedge_budget)

    def expected_wait_seconds(self, caller: str, weight: float, now: float) -> float:
        """Return the expected queueing time of a caller's new request.

        Returns 0 if the queue is empty or if the pool's completion rate is not known yet.
        """
        if not len(self.queue):
            return 0.0
        rate = self.rate.per_second(now)
        if rate is None or rate <= 0.0:
            return 0.0
        return self.queue.cost_ahead(caller, weight) / rate


class Exchange:
    """Mutable state of one caller's request."""

    __slots__ = {
        "attempts": "Calls sent; for generations, since tokens last arrived.",
        "backend": "Backend at which a slot is reserved or a call is in flight.",
        "buckets": "Rate limits of its caller.",
        "call_id": "The primary call in flight; None between two attempts.",
        "call_sent_at": "Local monotonic time at which that call was sent.",
        "caller_answered": "Whether the outcome was sent and counted; the exchange may continue to"
        " record its outcome.",
        "claim": "Its claim on its idempotency key, from the claim request on.",
        "client_disconnected": "Whether the caller disconnected or already got its last response.",
        "deadline_at": "Local monotonic time after which the caller no longer waits.",
        "endpoint_id": "Id that the host gave the request.",
        "error_response": "An error response to a streamed call while its body is read.",
        "may_have_run": "Whether a byte may have been sent to a backend that did not prove that it"
        " never started.",
        "number": "Number that identifies it in the timer queue and in its pool's queue.",
        "phase": "Its present phase.",
        "pool_state": "State of its pool; kept if the pool is deleted.",
        "progress": "The part of a generation that has arrived.",
        "request": "The checked and typed request.",
        "resume_deadline_at": "Local monotonic time at which the search for an engine to resume on"
        " ends; 0 while no search has started since tokens last arrived.",
        "secondary_call": "The other call of a hedged lookup.",
        "tried_backends": "Backends that were sent a call; for generations, since tokens last"
        " arrived.",
    }

    def __init__(
        self,
        number: int,
        endpoint_id: RequestId,
        request: CallerRequest,
        pool_state: PoolState,
        buckets: CallerBuckets,
        now: float,
    ) -> None:
        """Create an exchange that arrived at local monotonic time `now`."""
        self.number = number
        self.endpoint_id = endpoint_id
        self.request = request
        self.pool_state = pool_state
        self.buckets = buckets
        self.deadline_at = now + request.deadline_seconds
        self.phase = ExchangePhase.QUEUED
        self.backend: Backend | None = None
        self.call_id: CallId | None = None
        self.call_sent_at = 0.0
        self.secondary_call: SecondaryCall | None = None
        self.attempts = 0
        self.tried_backends: set[str] = set()
        self.may_have_run = False
        self.client_disconnected = False
        self.caller_answered = False
        self.claim: ClaimTicket | None = None
        self.progress: StreamProgress | None = None
        self.error_response: ErrorResponse | None = None
        self.resume_deadline_at = 0.0

    def remaining_seconds(self, now: float) -> float:
        """Return the time left until the deadline; negative after it."""
        return self.deadline_at - now

    def demote_call(self) -> None:
        """Make the primary call the secondary one, so that another call can be sent."""
        if self.backend is not None and self.call_id is not None:
            self.secondary_call = SecondaryCall(self.backend, self.call_id, self.call_sent_at)
            self.backend = None
            self.call_id = None

    def promote_secondary_call(self) -> None:
        """Make the secondary call primary after the primary call failed or was not sent."""
        secondary_call = self.secondary_call
        if secondary_call is not None:
            self.secondary_call = None
            self.backend = secondary_call.backend
            self.call_id = secondary_call.call_id
            self.call_sent_at = secondary_call.sent_at

    def swap_calls(self) -> None:
        """Exchange the primary and the secondary call."""
        secondary_call = self.secondary_call
        if secondary_call is not None:
            self.demote_call()
            self.backend = secondary_call.backend
            self.call_id = secondary_call.call_id
            self.call_sent_at = secondary_call.sent_at
