"""What a caller wants, and one attempt at it."""

import enum

import msgspec

from merlinstand_lab.standins import endpoint


class RequestKind(enum.Enum):
    """Kinds of live requests."""

    LOOKUP = "lookup"
    BOOKING = "booking"
    COMPLETION = "completion"


class _LiveCompletion(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a completion, as an OpenAI-style caller writes it."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool = True


class _Booking(msgspec.Struct, frozen=True):
    """Body of a booking."""

    slot: str


class Operation(msgspec.Struct, kw_only=True):
    """One wish of a caller, with its attempts so far."""

    kind: RequestKind
    name: str
    caller: str
    service: str
    repeatable: bool
    deadline_at: float
    gateway_index: int
    completion_tokens: int
    request_ids: set[str]
    """Every request id under this operation's key, twins' included."""
    attempts: int = 0

    @property
    def method(self) -> str:
        """HTTP method."""
        return "GET" if self.kind is RequestKind.LOOKUP else "POST"

    @property
    def backend_path(self) -> str:
        """Path as the back end sees it."""
        match self.kind:
            case RequestKind.LOOKUP:
                return f"/items/{self.name}"
            case RequestKind.BOOKING:
                return "/bookings"
            case RequestKind.COMPLETION:
                return "/v1/completions"

    @property
    def gateway_path(self) -> str:
        """Path at the gateway."""
        if self.kind is RequestKind.COMPLETION:
            return self.backend_path
        return f"/{self.service}{self.backend_path}"

    @property
    def idempotency_key(self) -> str:
        """Key of a booking, the same for all its attempts."""
        return f"k-{self.name}" if self.kind is RequestKind.BOOKING else ""

    @property
    def body(self) -> bytes:
        """Request body, the same for all attempts."""
        match self.kind:
            case RequestKind.LOOKUP:
                return b""
            case RequestKind.BOOKING:
                return msgspec.json.encode(_Booking(self.name))
            case RequestKind.COMPLETION:
                completion = _LiveCompletion(
                    model=self.service,
                    prompt=f"Describe item {self.name} in one sentence.",
                    max_tokens=self.completion_tokens,
                )
                return msgspec.json.encode(completion)

    def headers(self, request_id: str, remaining_seconds: float) -> dict[str, str]:
        """Headers of one attempt."""
        headers = {
            endpoint.REQUEST_ID_HEADER: request_id,
            "x-caller": self.caller,
            "x-repeatable": "true" if self.repeatable else "false",
            "x-deadline-seconds": f"{remaining_seconds:.3f}",
        }
        if self.body:
            headers["content-type"] = "application/json"
        if self.idempotency_key:
            headers["idempotency-key"] = self.idempotency_key
        return headers


class Attempt(msgspec.Struct, kw_only=True):
    """One request on the wire."""

    operation: Operation
    request_id: str
    gateway: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = {}
    chunks: list[bytes] = []
