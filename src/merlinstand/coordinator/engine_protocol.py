"""Bodies of the engines' HTTP interface (`docs/INTERFACES.md`, "Engine servers")."""

import enum
from typing import Annotated

import msgspec

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
"""Of an engine's body. A larger integer would end the process when it is written to the journal
or turned into a gauge, so it is refused as malformed."""


class Span(msgspec.Struct, frozen=True, array_like=True):
    """Tokens made by one weight version; the end is exclusive."""

    version: NonNegativeInt
    first_token: NonNegativeInt
    end_token: NonNegativeInt


class ResumeState(msgspec.Struct, frozen=True, kw_only=True):
    """Where a completion goes on after an interruption."""

    handle: str | None = None
    """Name of the exported KV cache; None resumes from the prompt and the text."""
    source: str | None = None
    """`ip:port` of the engine that holds the export."""
    token_count: int
    spans: tuple[Span, ...]
    text: str


class CompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /v1/completions`."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    stream: bool
    seed: int
    resume: ResumeState | None = None


class FinishReason(enum.Enum):
    """Why a stream ended."""

    STOP = "stop"
    LENGTH = "length"
    CANCELLED = "cancelled"
    EXPORTED = "exported"
    SWAPPED = "swapped"


class CompletionChunk(msgspec.Struct, frozen=True, kw_only=True):
    """One server-sent event of a stream; the last one has a reason and the spans."""

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
    """Answer to `POST /v1/kv/export`."""

    handle: str
    token_count: NonNegativeInt
    size_bytes: NonNegativeInt


class Fence(msgspec.Struct, frozen=True, order=True):
    """Orders apply in growing order of fences only."""

    epoch: NonNegativeInt
    sequence: NonNegativeInt


class OrderKind(enum.Enum):
    """What an order asks of an engine."""

    LOAD = "load"
    ACTIVATE = "activate"
    ADAPTER = "adapter"
    ROLE = "role"


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /v1/orders`."""

    fence: Fence
    kind: OrderKind
    model: str
    version: int = 0
    digest: str = ""
    source: str = ""
    role: str = ""


class OrderState(enum.Enum):
    """How far an order has come."""

    DONE = "done"
    IN_PROGRESS = "in_progress"
    FAILED = "failed"


class OrderResult(msgspec.Struct, frozen=True):
    """Answer to an order, and its state in a status."""

    fence: Fence
    state: OrderState


class FencedResponse(msgspec.Struct, frozen=True):
    """409 to an order that a newer one overtook."""

    fence: Fence


class LoadedVersion(msgspec.Struct, frozen=True):
    """A version held by an engine."""

    version: NonNegativeInt
    digest: str


class EngineState(enum.Enum):
    """What an engine says of itself."""

    READY = "ready"
    FAILED = "failed"
    LEAVING = "leaving"


class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """`GET /v1/status`: the load report, which lags."""

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
    """A random number: it is compared, never counted with nor written."""
    reported_at: float = 0.0
    role: str = ""

    def holds(self, version: int, digest: str) -> bool:
        """Tell whether the engine has loaded exactly these weights."""
        return any(held.version == version and held.digest == digest for held in self.loaded)
