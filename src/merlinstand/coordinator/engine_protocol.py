"""Bodies of the engines' HTTP interface (`docs/INTERFACES.md`, "Engine servers")."""

import enum
from typing import Annotated

import msgspec

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
"""An integer in an engine's body. A larger one is rejected as malformed, since writing it to the
journal or converting it to a gauge would raise and end the process."""


class Span(msgspec.Struct, frozen=True, array_like=True):
    """A range of tokens that one weight version generated; the end is exclusive."""

    version: NonNegativeInt
    first_token: NonNegativeInt
    end_token: NonNegativeInt


class ResumeState(msgspec.Struct, frozen=True, kw_only=True):
    """State from which a completion resumes after an interruption."""

    handle: str | None = None
    """Handle of the exported KV cache; None resumes from the prompt and the text."""
    source: str | None = None
    """`ip:port` of the engine that holds the exported cache."""
    token_count: int
    spans: tuple[Span, ...]
    text: str


class CompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/completions`."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    stream: bool
    seed: int
    resume: ResumeState | None = None


class FinishReason(enum.Enum):
    """Reason for the end of a stream."""

    STOP = "stop"
    LENGTH = "length"
    CANCELLED = "cancelled"
    EXPORTED = "exported"
    SWAPPED = "swapped"


class CompletionChunk(msgspec.Struct, frozen=True, kw_only=True):
    """One server-sent event of a stream; the last one has a finish reason and the spans."""

    request_id: str
    index: NonNegativeInt
    token_count: NonNegativeInt
    weight_version: NonNegativeInt
    text: str
    finish_reason: FinishReason | None = None
    spans: tuple[Span, ...] | None = None


class RequestReference(msgspec.Struct, frozen=True):
    """Body of `POST /v1/cancel` and `POST /v1/kv/export`."""

    request_id: str


class ExportedCache(msgspec.Struct, frozen=True):
    """Response to `POST /v1/kv/export`."""

    handle: str
    token_count: NonNegativeInt
    size_bytes: NonNegativeInt


class Fence(msgspec.Struct, frozen=True, order=True):
    """Fencing token of an order (a command to an engine); engines reject lower ones as outdated."""

    epoch: NonNegativeInt
    sequence: NonNegativeInt


class OrderKind(enum.Enum):
    """Kind of an order to an engine."""

    LOAD = "load"
    ACTIVATE = "activate"
    ADAPTER = "adapter"
    ROLE = "role"


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/orders`."""

    fence: Fence
    kind: OrderKind
    model: str
    version: int = 0
    digest: str = ""
    source: str = ""
    role: str = ""


class OrderState(enum.Enum):
    """How far an engine has executed an order."""

    DONE = "done"
    IN_PROGRESS = "in_progress"
    FAILED = "failed"


class OrderResult(msgspec.Struct, frozen=True):
    """State of an order, in the response to the order and in status reports."""

    fence: Fence
    state: OrderState


class FencedResponse(msgspec.Struct, frozen=True):
    """Body of a 409 response: the engine has received an order with a newer fence."""

    fence: Fence


class LoadedVersion(msgspec.Struct, frozen=True):
    """A weight version that an engine has loaded."""

    version: NonNegativeInt
    digest: str


class EngineState(enum.Enum):
    """State that an engine reports."""

    READY = "ready"
    FAILED = "failed"
    LEAVING = "leaving"


class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `GET /v1/status`: the engine's state and load, which may be outdated."""

    backend_id: str
    state: EngineState
    model: str
    active_version: NonNegativeInt | None = None
    active_digest: str | None = None
    loaded: tuple[LoadedVersion, ...] = ()
    loading: tuple[NonNegativeInt, ...] = ()
    order: OrderResult | None = None
    running: NonNegativeInt = 0
    queued: NonNegativeInt = 0
    queued_tokens: NonNegativeInt = 0
    free_blocks: NonNegativeInt = 0
    total_blocks: NonNegativeInt = 0
    tokens_per_second: float = 0.0
    incarnation: int = 0
    """Random number that identifies one run of the engine's process. It may use all 64 bits, so it
    is only compared, never stored or converted."""
    reported_at: float = 0.0
    role: str = ""

    def has_loaded(self, version: int, digest: str) -> bool:
        """Return whether the engine has loaded exactly these weights."""
        return any(held.version == version and held.digest == digest for held in self.loaded)
