"""One generation inside the engine model."""

import msgspec

from merlinstand_lab.records.kinds import GenerationOutcome, Span


class GenerationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What the engine was asked to generate."""

    request_id: str
    prompt_tokens: int
    prefix_digests: tuple[str, ...] = ()
    target_tokens: int
    """Position at which the completion ends, resumed tokens included."""
    outcome_at_target: GenerationOutcome = GenerationOutcome.STOP
    priority: int = 0
    first_token: int = 0
    """Tokens that the caller already holds (resume)."""
    import_seconds: float | None = None
    """Time to import the cached state; None means it must be computed again."""
    background: bool = False
    """Sent by old scripts: nobody here reads its stream."""


class Sequence(msgspec.Struct, kw_only=True):
    """A request with its progress."""

    request: GenerationRequest
    arrival: int
    """Order of arrival."""
    produced: int
    """Tokens made up to the last settlement."""
    emitted: int
    """Tokens already given to the caller."""
    work_seconds: float = 0.0
    """Prefill or import work left before decoding starts, at full speed."""
    joined_clock: float = 0.0
    """Decode clock at which `produced` was right."""
    decoding: bool = False
    waiting: bool = False
    spans: list[Span] = []
    """Spans made here."""

    @property
    def remaining(self) -> int:
        """Tokens to go at the last settlement."""
        return self.request.target_tokens - self.produced

    @property
    def context_tokens(self) -> int:
        """Tokens in the context at the last settlement."""
        return self.request.prompt_tokens + self.produced


class ChunkReady(msgspec.Struct, frozen=True):
    """Tokens of one version for the caller."""

    request_id: str
    first_token: int
    end_token: int
    version: int
    opens_stream: bool
    """Whether this is the first chunk made here."""


class Finished(msgspec.Struct, frozen=True):
    """A generation ended."""

    request_id: str
    outcome: GenerationOutcome
    spans: list[Span]
    token_count: int


ModelEvent = ChunkReady | Finished


def extend_spans(spans: list[Span], version: int, first_token: int, end_token: int) -> None:
    """Add tokens of a version, merged into the last span if they follow it."""
    if spans and spans[-1][0] == version and spans[-1][2] == first_token:
        spans[-1] = (version, spans[-1][1], end_token)
    else:
        spans.append((version, first_token, end_token))
