"""One caller's request on its way through the gateway."""

import enum
from typing import Any

from merlinstand.common.ids import CallId, RequestId
from merlinstand.configuration.objects import Backend
from merlinstand.gateway.caller_request import CallerRequest
from merlinstand.gateway.pool_states import PoolState
from merlinstand.gateway.rate_limits import CallerBuckets
from merlinstand.gateway.stream_progress import StreamProgress


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


class Exchange:
    """Mutable state of one request."""

    __slots__ = (
        "arrived_at",
        "backend",
        "buckets",
        "call_id",
        "call_sent_at",
        "claim",
        "client_gone",
        "deadline_at",
        "endpoint_id",
        "held_answer",
        "last_error",
        "maybe_ran",
        "number",
        "parked",
        "phase",
        "pool_state",
        "progress",
        "request",
        "search_until",
        "told",
        "tried",
        "tries",
    )

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
        """The host's name of the request."""
        self.request = request
        self.pool_state = pool_state
        self.buckets = buckets
        self.arrived_at = now
        self.deadline_at = now + request.deadline_seconds
        self.phase = ExchangePhase.QUEUED
        self.backend: Backend | None = None
        """Where a place is held or a call is under way."""
        self.call_id: CallId | None = None
        self.call_sent_at = 0.0
        self.parked: ParkedCall | None = None
        """The other call of a hedged lookup."""
        self.tries = 0
        """Calls sent; for generations, since tokens last arrived."""
        self.tried: set[str] = set()
        """Backends that failed it; for generations, since tokens last arrived."""
        self.maybe_ran = False
        """Some byte may have left for a back end that did not prove it had not started."""
        self.client_gone = False
        """Nobody waits for an answer any more."""
        self.told = False
        """The caller was answered, though the exchange goes on for the sake of its record."""
        self.claim: ClaimTicket | None = None
        self.progress: StreamProgress | None = None
        """What arrived of a generation so far."""
        self.held_answer: Any = None
        """A non-200 head of a streamed call whose body is being read."""
        self.search_until = 0.0
        """When a search for an engine gives up; 0 while none began since tokens last arrived."""
        self.last_error: Any = None
        """Why the last try failed."""

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


class ExchangeTable:
    """All exchanges, by number, by the host's name and by call."""

    def __init__(self) -> None:
        """Make an empty table."""
        self.by_number: dict[int, Exchange] = {}
        self.by_endpoint: dict[RequestId, Exchange] = {}
        self.by_call: dict[CallId, Exchange] = {}

    def __len__(self) -> int:
        """Return the number of exchanges."""
        return len(self.by_number)

    def add(self, exchange: Exchange) -> None:
        """Take an exchange in."""
        self.by_number[exchange.number] = exchange
        self.by_endpoint[exchange.endpoint_id] = exchange

    def remove(self, exchange: Exchange) -> None:
        """Forget an exchange."""
        self.by_number.pop(exchange.number, None)
        self.by_endpoint.pop(exchange.endpoint_id, None)
        self.call_ended(exchange)

    def call_began(self, exchange: Exchange, call_id: CallId) -> None:
        """Remember whose call it is."""
        exchange.call_id = call_id
        self.by_call[call_id] = exchange

    def parked_call_ended(self, parked: ParkedCall) -> None:
        """Forget a parked call."""
        self.by_call.pop(parked.call_id, None)

    def call_ended(self, exchange: Exchange) -> None:
        """Forget the call of an exchange; later events of it find nobody."""
        if exchange.call_id is not None:
            self.by_call.pop(exchange.call_id, None)
            exchange.call_id = None
