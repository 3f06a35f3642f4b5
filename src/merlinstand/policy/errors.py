"""Errors of policy programs."""

from typing import ClassVar

from merlinstand.common.errors import InvalidInputError, MerlinstandError


class PolicyError(InvalidInputError, frozen=True, kw_only=True):
    """A policy was rejected by validation."""

    code: ClassVar[str] = "invalid_policy"

    field: str = ""
    """Which part of the policy: `weight`, `priority`, `maximum_staleness_versions`, ..."""


class PolicyRunError(MerlinstandError, frozen=True, kw_only=True):
    """An accepted policy program failed on one record.

    The caller uses the neutral value (weight 1, priority 0) instead and counts the failure. A
    failing program neither starves a trainer nor weakens the staleness bound, which is a plain
    number and not a program.
    """

    code: ClassVar[str] = "policy_failed"

    field: str = ""
    """Which program failed: `weight` or `priority`."""
