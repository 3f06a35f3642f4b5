"""Compiled policy programs: CEL expressions over one record.

A program is operator input: every failure at run time is returned as an error and never raised.
"""

import math
from typing import Any

import msgspec
from result import Err, Ok, Result

from merlinstand.configuration.objects import PolicySource
from merlinstand.policy.cel_library import cel
from merlinstand.policy.errors import PolicyRunError
from merlinstand.policy.records import RequestRecord, SampleRecord

MAXIMUM_PRIORITY = 1_000
"""Priorities are clamped to plus or minus this, so that no program starves others."""

MAXIMUM_WEIGHT = 1e6
"""A weight with a larger absolute value is an error of the program."""


class CompiledPolicy:
    """A validated policy, ready to run. Create one with `check.check_policy`."""

    def __init__(self, source: PolicySource, weight: Any, priority: Any) -> None:
        """Create a policy from compiled programs.

        Args:
            source: The policy as the operator wrote it.
            weight: Compiled `cel.Program` of the weight.
            priority: Compiled `cel.Program` of the priority.
        """
        self.source = source
        self._weight = weight
        self._priority = priority

    @classmethod
    def neutral(cls, source: PolicySource) -> "CompiledPolicy":
        """Return a policy with the same staleness bound, weight 1 and priority 0."""
        return cls(source, cel.compile("1.0"), cel.compile("0"))

    @property
    def maximum_staleness_versions(self) -> int:
        """Maximum age, in versions, of a sample that a trainer may receive."""
        return self.source.maximum_staleness_versions

    @property
    def maximum_staleness_seconds(self) -> float | None:
        """Maximum age, in seconds, of a sample that a trainer may receive."""
        return self.source.maximum_staleness_seconds

    def weight(self, record: SampleRecord) -> Result[float, PolicyRunError]:
        """Return a sample's training weight; 0 or less drops the sample."""
        return _run(self._weight, record, "weight", MAXIMUM_WEIGHT)

    def priority(self, record: RequestRecord) -> Result[int, PolicyRunError]:
        """Return a request's priority, clamped to ±`MAXIMUM_PRIORITY`; higher is served first."""
        outcome = _run(self._priority, record, "priority", math.inf)
        return outcome.map(lambda value: int(min(max(value, -MAXIMUM_PRIORITY), MAXIMUM_PRIORITY)))


def _run(
    program: Any, record: msgspec.Struct, field: str, largest: float
) -> Result[float, PolicyRunError]:
    # cel raises ValueError, TypeError, RuntimeError or arithmetic errors, depending on the failure;
    # all are returned as errors, because a program is operator input.
    try:
        value = program.execute(msgspec.structs.asdict(record))
    except (ValueError, TypeError, RuntimeError, ArithmeticError, LookupError) as error:
        return Err(PolicyRunError(field=field, detail=str(error).splitlines()[0]))
    if isinstance(value, bool) or not isinstance(value, int | float):
        kind = type(value).__name__
        return Err(PolicyRunError(field=field, detail=f"expected a number, got {kind}"))
    if math.isnan(value) or abs(value) > largest:
        return Err(PolicyRunError(field=field, detail=f"number out of range: {value}"))
    return Ok(float(value))
