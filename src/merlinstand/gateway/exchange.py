"""One caller's request on its way through the gateway, and the pool that it is for.

An exchange refers to its pool's state, whose queue holds exchanges: the two stand in one module.
`Dispatcher`, `Retries`, `Interruptions` and `Concluder` move exchanges from phase to phase.
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
from merlinstand.routing.retry_budget import new_budget
from merlinstand.routing.router import PoolRouter


class ExchangePhase(enum.Enum):
    """Where a request stands."""

    QUEUED = "queued"
    """Waits for a free place at a back end."""
    CLAIMING = "claiming"
    """A place is held; control is asked for the idempotency key."""
    CALLING = "calling"
    """A back end has it."""
    SEARCHING = "searching"
    """An interrupted generation looks for an engine to go on."""
    CONCLUDED = "concluded"
    """Answered for good."""


class ClaimTicket:
    """A claim on an idempotency key, made by this gateway."""

    __slots__ = ("digest", "exchange_number", "granted", "key", "owner_incarnation")

    def __init__(self, key: str, digest: str, owner_incarnation: int, number: int) -> None:
        """Make a ticket that is not granted yet."""
        self.key = key
        self.digest = digest
        self.owner_incarnation = owner_incarnation
        """Unique among all claims of all gateways' runs, so that a late record of one claim
        cannot touch a later claim of the same key."""
        self.exchange_number = number
        self.granted = False


class ParkedCall:
    """A call that goes on while the exchange looks at another one (a hedge)."""

    __slots__ = ("backend", "call_id", "sent_at")

    def __init__(self, backend: Backend, call_id: CallId, sent_at: float) -> None:
        """Remember a call under way."""
        self.backend = backend
        self.call_id = call_id
        self.sent_at = sent_at


class HeldAnswer:
    """An engine's answer that is not a stream (its status is not 200), while its body arrives."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        """Start without body."""
        self.status = status
        self.headers = headers
        self.body = b""


class PoolState:
    """One pool as this gateway serves it."""

    __slots__ = ("hedge_budget", "latency", "number", "pool", "queue", "rate", "router")

    def __init__(
        self, number: int, pool: Pool, router: PoolRouter, settings: GatewaySettings
    ) -> None:
        """Begin with an empty queue."""
        admission = settings.admission
        self.number = number
        self.pool = pool
        self.router = router
        self.queue: FairQueue[Exchange] = FairQueue(
            admission.maximum_queued_per_pool, admission.maximum_queued_per_caller
        )
        self.rate = CompletionRate()
        self.latency = LatencyQuantile()
        self.hedge_budget = new_budget(settings.requests.hedge_budget)

    def expected_wait_seconds(self, caller: str, weight: float, now: float) -> float:
        """Return how long a new request of a caller would wait; 0 while nothing is known."""
        if not len(self.queue):
            return 0.0
        rate = self.rate.per_second(now)
        if rate is None or rate <= 0.0:
            return 0.0
        return self.queue.cost_ahead(caller, weight) / rate


class Exchange:
    """Mutable state of one request."""

    __slots__ = {
        "backend": "Where a place is held or a call is under way.",
        "buckets": "Its caller's rate limits.",
        "call_id": "The call under way; None between two tries.",
        "call_sent_at": "Local monotonic time at which that call was sent.",
        "caller_answered": "Its outcome was sent and counted, though it may go on for its record.",
        "claim": "Its claim on an idempotency key, once control was asked for one.",
        "client_gone": "Nobody waits for an answer any more.",
        "deadline_at": "Local monotonic time after which its caller waits no longer.",
        "endpoint_id": "The host's name of the request.",
        "held_answer": "A failure of a streamed call whose body is being read.",
        "maybe_ran": "Some byte may have left for a back end that did not prove it never started.",
        "number": "The gateway's own number of it, for the agenda and the queue.",
        "parked": "The other call of a hedged lookup.",
        "phase": "Where it stands.",
        "pool_state": "The pool it is for; kept when the pool is deleted.",
        "progress": "What arrived of a generation so far.",
        "request": "What was asked, checked and typed.",
        "search_until": "When a search for an engine gives up; 0 while none began since tokens last"
        " arrived.",
        "tried": "Backends that failed it; for generations, since tokens last arrived.",
        "tries": "Calls sent; for generations, since tokens last arrived.",
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
        """Make an exchange that has just arrived."""
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
        self.parked: ParkedCall | None = None
        self.tries = 0
        self.tried: set[str] = set()
        self.maybe_ran = False
        self.client_gone = False
        self.caller_answered = False
        self.claim: ClaimTicket | None = None
        self.progress: StreamProgress | None = None
        self.held_answer: HeldAnswer | None = None
        self.search_until = 0.0

    def remaining_seconds(self, now: float) -> float:
        """Return the time left until the caller's deadline."""
        return self.deadline_at - now

    def park_call(self) -> None:
        """Put the call under way aside, so that another one can begin."""
        if self.backend is not None and self.call_id is not None:
            self.parked = ParkedCall(self.backend, self.call_id, self.call_sent_at)
            self.backend = None
            self.call_id = None

    def unpark_call(self) -> None:
        """Take the parked call back; there is no other."""
        parked = self.parked
        if parked is not None:
            self.parked = None
            self.backend = parked.backend
            self.call_id = parked.call_id
            self.call_sent_at = parked.sent_at

    def swap_calls(self) -> None:
        """Look at the parked call and park the other one."""
        parked = self.parked
        if parked is not None:
            self.park_call()
            self.backend = parked.backend
            self.call_id = parked.call_id
            self.call_sent_at = parked.sent_at
