"""Validation of policy programs, and errors of programs that fail at run time."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from merlinstand.configuration.objects import PolicySource
from merlinstand.policy.check import (
    FORBIDDEN_FUNCTIONS,
    MAXIMUM_ADDITIONS,
    MAXIMUM_EXPRESSION_CHARACTERS,
    MAXIMUM_NESTING_DEPTH,
    check_policy,
)
from merlinstand.policy.program import MAXIMUM_PRIORITY, MAXIMUM_WEIGHT
from merlinstand.policy.records import EXAMPLE_REQUEST, EXAMPLE_SAMPLE


@pytest.mark.parametrize(
    "weight",
    [
        "1.0",
        "1",
        "score > 0.3 ? 2.0 : 0.0",
        "has_score && age_versions <= 1 ? score : 0.5",
        "text.contains('linen') || size(prompt) > 3 ? 1.0 : 0.0",
        "age_seconds < 60.0 && version_count == 2 ? 1 : 0",
    ],
)
def test_accepts_programs_that_use_sample_variables(weight: str) -> None:
    assert isinstance(check_policy(PolicySource(weight=weight)), Ok)


@pytest.mark.parametrize(
    ("weight", "message"),
    [
        ("1 +", "Failed to parse"),
        ("no_such_variable", "Undefined variable no_such_variable"),
        ("'text'", "expected a number"),
        ("true", "expected a number"),
        ("1 / 0", "division"),
        ("score + 1", "does not coerce"),
        ("[1, 2].map(x, x)[0]", "map() is not allowed"),
        ("[1].all(x, x > 0) ? 1 : 0", "all() is not allowed"),
        ("[1].exists(x, x > 0) ? 1 : 0", "exists() is not allowed"),
        ("[1].filter (x, x > 0)[0]", "filter() is not allowed"),
        ("text.matches('a+') ? 1 : 0", "matches() is not allowed"),
        ("1" + " " * MAXIMUM_EXPRESSION_CHARACTERS, "longer than"),
        ("(" * (MAXIMUM_NESTING_DEPTH + 1) + "1" + ")" * (MAXIMUM_NESTING_DEPTH + 1), "nested"),
        (f"{MAXIMUM_WEIGHT * 2}", "out of range"),
        ("has_score ? 1.0 : nonsuch", "Undefined variable nonsuch"),
        ("has_score ? 1.0 : expected_tokens", "Undefined variable expected_tokens"),
        ("has_score ? 1.0 : best(score)", "best() is not allowed"),
        ("duration('1s') > duration('2s') ? 1.0 : 0.0", "duration() is not allowed"),
        ("size(text" + " + text" * (MAXIMUM_ADDITIONS + 1) + ") > 0 ? 1.0 : 0.0", "additions"),
    ],
)
def test_rejection_has_the_field_and_the_reason(weight: str, message: str) -> None:
    checked = check_policy(PolicySource(weight=weight))
    assert isinstance(checked, Err)
    assert checked.err_value.field == "weight"
    assert message in checked.err_value.detail


def test_a_comprehension_between_escaped_quotes_is_rejected() -> None:
    hidden = r"r'\'.size() + [1,2].map(x, x)[0] + '\''.size()"
    assert isinstance(check_policy(PolicySource(weight=hidden)), Err)


@pytest.mark.parametrize("name", FORBIDDEN_FUNCTIONS)
def test_a_comprehension_with_a_comment_before_its_bracket_is_rejected(name: str) -> None:
    checked = check_policy(PolicySource(weight=f"[1].{name}//\n(text, true) == [] ? 1.0 : 0.0"))
    assert "comments" in checked.unwrap_err().detail


def test_error_detail_is_truncated() -> None:
    long = "true ? 1.0 : " * 140 + "1.0"
    assert len(check_policy(PolicySource(weight=long)).unwrap_err().detail) <= 300


@pytest.mark.parametrize(
    ("source", "field"),
    [
        (PolicySource(maximum_staleness_versions=-1), "maximum_staleness_versions"),
        (PolicySource(maximum_staleness_versions=10**6), "maximum_staleness_versions"),
        (PolicySource(maximum_staleness_seconds=0.0), "maximum_staleness_seconds"),
        (PolicySource(maximum_staleness_seconds=float("nan")), "maximum_staleness_seconds"),
        (PolicySource(priority="score"), "priority"),
    ],
)
def test_rejects_invalid_bounds_and_variables_of_other_programs(
    source: PolicySource, field: str
) -> None:
    checked = check_policy(source)
    assert isinstance(checked, Err)
    assert checked.err_value.field == field


def test_a_run_time_failure_is_returned_as_an_error() -> None:
    policy = check_policy(PolicySource(weight="1.0 / double(token_count - 100)")).unwrap()
    assert policy.weight(EXAMPLE_SAMPLE).is_ok()
    failing = msgspec.structs.replace(EXAMPLE_SAMPLE, token_count=100)
    outcome = policy.weight(failing)
    assert isinstance(outcome, Err)
    assert outcome.err_value.field == "weight"


def test_priorities_are_clamped() -> None:
    policy = check_policy(PolicySource(priority="waiting_seconds * 1e9")).unwrap()
    assert policy.priority(EXAMPLE_REQUEST).unwrap() == MAXIMUM_PRIORITY


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.text(max_size=60))
def test_arbitrary_text_is_accepted_or_rejected_without_raising(text: str) -> None:
    checked = check_policy(PolicySource(weight=text, priority=text))
    assert isinstance(checked, Ok | Err)
