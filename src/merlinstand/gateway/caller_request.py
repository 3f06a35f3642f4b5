"""A caller's request, checked and typed (`request_parser` makes it), and the bodies that carry it.

`CompletionBody` is what callers send, `EngineBody` what engines receive (docs/INTERFACES.md).
"""

import enum

import msgspec

from merlinstand.configuration.objects import Pool
from merlinstand.routing.affinity import PromptAffinity


class RequestKind(enum.Enum):
    """What a request asks of the fleet."""

    LOOKUP = "lookup"
    """A short request to a service, bookings included."""
    GENERATION = "generation"
    """A completion by an engine."""


class ResumePoint(msgspec.Struct, frozen=True):
    """Where an interrupted generation goes on (wire form of engines)."""

    handle: str | None
    source: str | None
    token_count: int
    spans: tuple[tuple[int, int, int], ...]


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """The completion request as callers send it; other OpenAI fields are ignored."""

    model: str
    prompt: str
    max_tokens: int = 256
    priority: int = 0
    stream: bool = False
    seed: int = 0
    resume: msgspec.Raw | None = None


class EngineBody(msgspec.Struct, frozen=True, kw_only=True):
    """The completion request as engines receive it."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    stream: bool
    seed: int
    resume: ResumePoint | None


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One checked request."""

    kind: RequestKind
    pool: Pool
    """As configured when the request came."""
    caller: str
    request_id: str
    repeatable: bool
    idempotency_key: str
    """Scoped by pool; empty for repeatable requests."""
    digest: str
    """Of method, path and body; empty for repeatable requests."""
    deadline_seconds: float
    method: str
    path: str
    headers: dict[str, str]
    """End-to-end headers for the back end."""
    body: bytes
    cost: float
    """Tokens, prompt and generated; 1 and a little for a lookup."""
    completion: CompletionBody | None = None
    affinity: PromptAffinity | None = None
