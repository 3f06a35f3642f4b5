"""Bodies of the engine's HTTP interface (`docs/INTERFACES.md`, "Engine servers")."""

import msgspec

from merlinstand_lab.records.kinds import Span


class Resume(msgspec.Struct, frozen=True, kw_only=True):
    """Where a completion goes on."""

    handle: str | None = None
    source: str | None = None
    token_count: int = 0
    spans: list[Span] = []


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /v1/completions`."""

    request_id: str = ""
    model: str
    prompt: str
    max_tokens: int = 512
    priority: int = 0
    stream: bool = False
    seed: int = 0
    resume: Resume | None = None


class CompletionChunk(msgspec.Struct, frozen=True, kw_only=True):
    """One server-sent event of a stream."""

    request_id: str
    index: int
    token_count: int
    weight_version: int
    text: str
    finish_reason: None = None


class CompletionEnd(msgspec.Struct, frozen=True, kw_only=True):
    """The last server-sent event of a stream."""

    request_id: str
    index: int
    token_count: int
    weight_version: int
    text: str
    finish_reason: str
    spans: list[Span]


class CompletionAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The whole answer without a stream."""

    request_id: str
    text: str
    token_count: int
    spans: list[Span]
    finish_reason: str


class RequestName(msgspec.Struct, frozen=True):
    """Body of cancel and export."""

    request_id: str


class Cancelled(msgspec.Struct, frozen=True):
    """Answer of cancel."""

    cancelled: bool


class Exported(msgspec.Struct, frozen=True):
    """Answer of an export of cached keys and values."""

    handle: str
    token_count: int
    size_bytes: int


class Fence(msgspec.Struct, frozen=True, order=True):
    """Orders apply in growing order of fences only."""

    epoch: int
    sequence: int


class OrderBody(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /v1/orders`."""

    fence: Fence
    kind: str
    model: str = ""
    version: int = 0
    digest: str = ""
    source: str = ""
    role: str = ""


class OrderState(msgspec.Struct, frozen=True):
    """State of an order: `done`, `in_progress` or `failed`."""

    fence: Fence
    state: str


class FencedBody(msgspec.Struct, frozen=True):
    """409 for an overtaken order."""

    fence: Fence
    code: str = "fenced"
    detail: str = "a newer order was seen"
    retry_after_seconds: float | None = None


class LoadedVersion(msgspec.Struct, frozen=True):
    """A version held by the engine."""

    version: int
    digest: str


class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """`GET /v1/status`."""

    backend_id: str
    state: str
    model: str
    active_version: int
    active_digest: str
    loaded: list[LoadedVersion]
    loading: list[int]
    order: OrderState | None
    running: int
    queued: int
    queued_tokens: int
    free_blocks: int
    total_blocks: int
    tokens_per_second: float
    incarnation: int
    reported_at: float
    role: str = ""
    adapter: str = ""


class CacheEventLine(msgspec.Struct, frozen=True):
    """One published event of the prefix cache."""

    sequence: int
    kind: str
    prefix_digest: str


class CacheEvents(msgspec.Struct, frozen=True):
    """`GET /v1/cache_events`."""

    events: list[CacheEventLine]
    next: int


class StoreAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """`GET /v1/weights/MODEL/VERSION`."""

    digest: str
    size_bytes: int
    transfer_seconds: float


class StorePut(msgspec.Struct, frozen=True):
    """`PUT /v1/weights/MODEL/VERSION`."""

    size_bytes: int


class StorePutAnswer(msgspec.Struct, frozen=True):
    """Answer of a put."""

    digest: str
