"""Weight-version spans of a sample, derived only from the engine's chunks."""

from collections.abc import Sequence

from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError
from merlinstand.coordinator.engine_protocol import Span


class SpanError(InvalidInputError, frozen=True, kw_only=True):
    """Chunks are not contiguous: the sample's versions cannot be determined."""

    code = "span_mismatch"


class SpanRecorder:
    """Merges chunks into spans without gaps or overlaps."""

    __slots__ = ("_spans",)

    def __init__(self) -> None:
        self._spans: list[Span] = []

    @property
    def token_count(self) -> int:
        """Number of tokens recorded so far."""
        return self._spans[-1].end_token if self._spans else 0

    @property
    def oldest_version(self) -> int | None:
        """Oldest version that generated any token; None before the first token."""
        return min((span.version for span in self._spans), default=None)

    def spans(self) -> tuple[Span, ...]:
        """Return the spans recorded so far."""
        return tuple(self._spans)

    def append(self, version: int, first_token: int, token_count: int) -> Result[None, SpanError]:
        """Record one chunk.

        Args:
            version: Weight version named in the chunk.
            first_token: Position of the chunk's first token in the sample.
            token_count: Number of tokens in the chunk; 0 records nothing.

        Returns:
            An error if the chunk does not begin where the last one ended, or if its values are
            impossible.
        """
        if first_token != self.token_count:
            detail = f"chunk begins at token {first_token}, expected token {self.token_count}"
            return Err(SpanError(detail=detail))
        if token_count < 0 or (token_count > 0 and version <= 0):
            return Err(
                SpanError(detail=f"invalid chunk: weight version {version}, {token_count} tokens")
            )
        if token_count == 0:
            return Ok(None)
        end_token = first_token + token_count
        last = self._spans[-1] if self._spans else None
        if last is not None and last.version == version:
            self._spans[-1] = Span(version, last.first_token, end_token)
        else:
            self._spans.append(Span(version, first_token, end_token))
        return Ok(None)


def normalised(spans: Sequence[Span]) -> tuple[Span, ...] | None:
    """Merge adjacent spans of the same version; None if the spans are not contiguous."""
    span_recorder = SpanRecorder()
    for span in spans:
        token_count = span.end_token - span.first_token
        if isinstance(span_recorder.append(span.version, span.first_token, token_count), Err):
            return None
    return span_recorder.spans()
