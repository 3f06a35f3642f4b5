"""The variables that policy programs can read (docs/POLICIES.md).

The field names are the names of the variables, so a field may be used by programs even if no code
reads it.
"""

import msgspec


class SampleRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Variables of a `weight` program: one finished sample."""

    prompt_id: int
    attempt: int
    prompt: str
    text: str
    token_count: int
    finish_reason: str
    """`stop` or `length`."""
    has_score: bool
    score: float
    """0.0 where `has_score` is false."""
    oldest_version: int
    newest_version: int
    """Newest published version when the program runs."""
    age_versions: int
    """`newest_version - oldest_version`."""
    age_seconds: float
    """Time since the sample's first token."""
    version_count: int
    """Number of different weight versions that produced the sample."""


class RequestRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Variables of a `priority` program: one sample about to be generated."""

    prompt_id: int
    attempt: int
    prompt: str
    expected_tokens: int
    """Expected length, estimated from the lengths of earlier samples."""
    done_tokens: int
    """Tokens already generated before an interruption."""
    waiting_seconds: float
    """Time since the sample was requested."""


EXAMPLE_SAMPLE = SampleRecord(
    prompt_id=7,
    attempt=1,
    prompt="Write a blurb for a linen shirt.",
    text="A light linen shirt for warm evenings.",
    token_count=120,
    finish_reason="stop",
    has_score=True,
    score=0.5,
    oldest_version=4,
    newest_version=5,
    age_versions=1,
    age_seconds=12.5,
    version_count=2,
)
"""A `weight` program must run on this record without error to be accepted."""

EXAMPLE_REQUEST = RequestRecord(
    prompt_id=7,
    attempt=1,
    prompt="Write a blurb for a linen shirt.",
    expected_tokens=150,
    done_tokens=0,
    waiting_seconds=0.5,
)
"""A `priority` program must run on this record without error to be accepted."""
