"""The variables that policy programs can read.

The names of the fields are the language's variables (docs/POLICIES.md): each is there for programs,
also where no code of ours reads it.
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
    """Newest version published when the program runs."""
    age_versions: int
    """`newest_version - oldest_version`."""
    age_seconds: float
    """Since the sample's first token."""
    version_count: int
    """Different weight versions that produced the sample."""


class RequestRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Variables of a `priority` program: one sample about to be generated."""

    prompt_id: int
    attempt: int
    prompt: str
    expected_tokens: int
    """Expected length, from measured ones."""
    done_tokens: int
    """Tokens that an interrupted generation already has."""
    waiting_seconds: float
    """Since the sample was wanted."""


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
"""The record that a `weight` program must run on to be accepted."""

EXAMPLE_REQUEST = RequestRecord(
    prompt_id=7,
    attempt=1,
    prompt="Write a blurb for a linen shirt.",
    expected_tokens=150,
    done_tokens=0,
    waiting_seconds=0.5,
)
"""The record that a `priority` program must run on to be accepted."""
