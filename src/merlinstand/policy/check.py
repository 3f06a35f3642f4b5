"""Validates policy programs: syntax, types, cost and bounds.

Used by control before it accepts a job and by `merlinstand policy check`.
"""

import re
from collections.abc import Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result

from merlinstand.configuration.objects import PolicySource
from merlinstand.policy.cel_library import cel
from merlinstand.policy.errors import PolicyError
from merlinstand.policy.program import CompiledPolicy
from merlinstand.policy.records import (
    EXAMPLE_REQUEST,
    EXAMPLE_SAMPLE,
    RequestRecord,
    SampleRecord,
)

MAXIMUM_EXPRESSION_CHARACTERS = 2_000
"""Limits the cost of a program (docs/POLICIES.md)."""
MAXIMUM_NESTING_DEPTH = 24
"""Limits the nesting of brackets, and so the parser's recursion (docs/POLICIES.md)."""
MAXIMUM_STALENESS_VERSIONS = 1_000
"""Largest staleness bound, in versions, that a job may set."""

MAXIMUM_ADDITIONS = 16
"""A chain of n additions of strings copies its first string n times."""

MAXIMUM_DETAIL_CHARACTERS = 300
"""Only this many characters at the end of the compiler's message are reported."""

ALLOWED_FUNCTIONS = ("size", "contains", "startsWith", "endsWith", "int", "double", "string")
"""Functions allowed besides the operators; the cost of each is linear in its arguments' length."""

_ARITHMETIC = ("-_", "_+_", "_-_", "_*_", "_/_", "_%_")
_COMPARISONS = ("_==_", "_!=_", "_<_", "_<=_", "_>_", "_>=_", "_[_]", "@in")
_OPERATORS = frozenset(("_?_:_", "_&&_", "_||_", "!_", *_ARITHMETIC, *_COMPARISONS))

# The cost of a comprehension grows with its input, and nested ones multiply. The compiled program
# contains only the operators that they expand to, so the source is searched for their names.
FORBIDDEN_FUNCTIONS = ("all", "exists", "exists_one", "map", "filter", "reduce", "matches")

# Comments are rejected: one between a name and its bracket would hide a comprehension.
_COMMENT_START = "//"

_FORBIDDEN_CALL = re.compile(rf"\b({'|'.join(FORBIDDEN_FUNCTIONS)})\s*\(")


def check_policy(source: PolicySource) -> Result[CompiledPolicy, PolicyError]:
    """Compile a policy and run it on the example records.

    Args:
        source: The policy as an operator wrote it.

    Returns:
        The compiled policy, or the first error found.
    """
    bounds = _check_bounds(source)
    if isinstance(bounds, Err):
        return bounds
    weight = _compile("weight", source.weight, SampleRecord)
    if isinstance(weight, Err):
        return weight
    priority = _compile("priority", source.priority, RequestRecord)
    if isinstance(priority, Err):
        return priority
    policy = CompiledPolicy(source, weight.ok_value, priority.ok_value)
    return _run_on_examples(policy)


def _check_bounds(source: PolicySource) -> Result[None, PolicyError]:
    if not 0 <= source.maximum_staleness_versions <= MAXIMUM_STALENESS_VERSIONS:
        return Err(
            PolicyError(
                field="maximum_staleness_versions",
                detail=f"expected 0 to {MAXIMUM_STALENESS_VERSIONS}",
            )
        )
    seconds = source.maximum_staleness_seconds
    if seconds is not None and not 0.0 < seconds < float("inf"):
        return Err(
            PolicyError(field="maximum_staleness_seconds", detail="expected more than 0 seconds")
        )
    return Ok(None)


def _compile(
    field: str, expression: str, record_type: type[msgspec.Struct]
) -> Result[Any, PolicyError]:
    cost = _check_cost(field, expression)
    if isinstance(cost, Err):
        return cost
    try:
        program = cel.compile(expression)
    except ValueError as error:
        detail = str(error).splitlines()[0][-MAXIMUM_DETAIL_CHARACTERS:]
        return Err(PolicyError(field=field, detail=detail))
    unknown = _find_unknown_name(program, record_type.__struct_fields__)
    return Err(PolicyError(field=field, detail=unknown)) if unknown else Ok(program)


def _find_unknown_name(program: Any, variables: Sequence[str]) -> str:
    """Describe a disallowed name in the program, including branches that the examples don't run."""
    for name in program.variables():
        if name not in variables:
            return f"Undefined variable {name}; there are: {', '.join(variables)}"
    for name in program.functions():
        if name not in _OPERATORS and name not in ALLOWED_FUNCTIONS:
            return f"{name}() is not allowed; there are: {', '.join(ALLOWED_FUNCTIONS)}"
    return ""


def _check_cost(field: str, expression: str) -> Result[None, PolicyError]:
    if len(expression) > MAXIMUM_EXPRESSION_CHARACTERS:
        limit = MAXIMUM_EXPRESSION_CHARACTERS
        return Err(PolicyError(field=field, detail=f"longer than {limit} characters"))
    # String literals are searched too: excluding them would need a second parser, and a bug in it
    # would let a comprehension through.
    if _COMMENT_START in expression:
        return Err(PolicyError(field=field, detail=f"comments ({_COMMENT_START}) are not allowed"))
    if expression.count("+") > MAXIMUM_ADDITIONS:
        return Err(PolicyError(field=field, detail=f"more than {MAXIMUM_ADDITIONS} additions"))
    forbidden = _FORBIDDEN_CALL.search(expression)
    if forbidden is not None:
        return Err(PolicyError(field=field, detail=f"{forbidden.group(1)}() is not allowed"))
    if _nesting_depth(expression) > MAXIMUM_NESTING_DEPTH:
        return Err(PolicyError(field=field, detail=f"nested deeper than {MAXIMUM_NESTING_DEPTH}"))
    return Ok(None)


def _nesting_depth(expression: str) -> int:
    """Return the maximum bracket depth; the parser itself limits every other recursion."""
    deepest = depth = 0
    for character in expression:
        if character in "([{":
            depth += 1
            deepest = max(deepest, depth)
        elif character in ")]}":
            depth -= 1
    return deepest


def _run_on_examples(policy: CompiledPolicy) -> Result[CompiledPolicy, PolicyError]:
    weight = policy.weight(EXAMPLE_SAMPLE)
    if isinstance(weight, Err):
        return Err(PolicyError(field="weight", detail=weight.err_value.detail))
    priority = policy.priority(EXAMPLE_REQUEST)
    if isinstance(priority, Err):
        return Err(PolicyError(field="priority", detail=priority.err_value.detail))
    return Ok(policy)
