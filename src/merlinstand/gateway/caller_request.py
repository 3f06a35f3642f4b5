"""A caller's request after validation by `request_parser`, and the bodies of completions.

`CompletionBody` is what callers send, `EngineBody` what engines receive (docs/INTERFACES.md).
"""

import enum

import msgspec

from merlinstand.configuration.objects import Pool
from merlinstand.routing.affinity import PromptAffinity


class RequestKind(enum.Enum):
    """Kind of a request."""

    LOOKUP = "lookup"
    """A request to a service pool, whether repeatable or not."""
    GENERATION = "generation"
    """A completion request to an engine."""


class ResumePoint(msgspec.Struct, frozen=True):
    """Position from which an engine resumes an interrupted generation (engines' wire format)."""

    handle: str | None
    source: str | None
    token_count: int
    spans: tuple[tuple[int, int, int], ...]


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """Completion request as sent by callers; other fields of the OpenAI API are ignored."""

    model: str
    prompt: str
    max_tokens: int = 256
    priority: int = 0
    stream: bool = False
    seed: int = 0
    resume: msgspec.Raw | None = None


class EngineBody(msgspec.Struct, frozen=True, kw_only=True):
    """Completion request as received by engines."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    stream: bool
    seed: int
    resume: ResumePoint | None


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A validated request."""

    kind: RequestKind
    pool: Pool
    """The pool as configured when the request arrived."""
    caller: str
    request_id: str
    repeatable: bool
    idempotency_key: str
    """`pool/key`; empty for repeatable requests."""
    digest: str
    """Digest of method, path and body; empty for repeatable requests."""
    deadline_seconds: float
    method: str
    path: str
    headers: dict[str, str]
    """End-to-end headers to send to the backend."""
    body: bytes
    cost: float
    """Generation: tokens of prompt and completion. Lookup: 1 plus a term for the body size."""
    completion: CompletionBody | None = None
    affinity: PromptAffinity | None = None
