"""docs/POLICIES.md matches the behaviour of the programs."""

import json
import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec
import pytest

from merlinstand.configuration.objects import PolicySource
from merlinstand.policy import check
from merlinstand.policy.check import check_policy
from merlinstand.policy.program import MAXIMUM_PRIORITY, MAXIMUM_WEIGHT
from merlinstand.policy.records import (
    EXAMPLE_REQUEST,
    EXAMPLE_SAMPLE,
    RequestRecord,
    SampleRecord,
)

PAGE = (Path(__file__).parents[2] / "docs" / "POLICIES.md").read_text(encoding="utf-8")
EXAMPLES = PAGE.split("\n### ")[1:]
ROW = re.compile(r"^\| (weight|priority) \| `(\{.*\})` \| ([-0-9.]+) \|$", re.MULTILINE)
VARIABLE = re.compile(r"^\| `(\w+)` \| (?:int|double|string|bool) \| .* \| `?(.*?)`? \|$", re.M)


def test_there_are_five_examples() -> None:
    assert len(EXAMPLES) == 5


@pytest.mark.parametrize("text", EXAMPLES, ids=lambda text: text.splitlines()[0])
def test_an_example_gives_the_documented_results(text: str) -> None:
    (block,) = re.findall(r"```toml\n(.*?)```", text, re.DOTALL)
    policy = check_policy(msgspec.convert(tomllib.loads(block), PolicySource)).unwrap()
    rows = ROW.findall(text)
    assert rows
    for field, record, result in rows:
        changes = json.loads(record)
        found: Any
        if field == "weight":
            found = policy.weight(msgspec.structs.replace(EXAMPLE_SAMPLE, **changes))
        else:
            found = policy.priority(msgspec.structs.replace(EXAMPLE_REQUEST, **changes))
        assert found.unwrap() == pytest.approx(float(result)), record


def test_the_page_lists_every_variable_with_the_example_record() -> None:
    weight_part, priority_part = PAGE.split("Of `priority`")
    for part, record_type, example in (
        (weight_part, SampleRecord, EXAMPLE_SAMPLE),
        (priority_part, RequestRecord, EXAMPLE_REQUEST),
    ):
        listed = dict(VARIABLE.findall(part))
        shown = {name: str(value) for name, value in msgspec.structs.asdict(example).items()}
        shown = {name: value.lower() if value == "True" else value for name, value in shown.items()}
        assert listed == shown
        assert tuple(listed) == record_type.__struct_fields__


def test_the_page_names_the_limits() -> None:
    assert ", ".join(f"`{name}`" for name in check.ALLOWED_FUNCTIONS) in PAGE
    assert ", ".join(f"`{name}`" for name in check.FORBIDDEN_FUNCTIONS) in PAGE
    for text in (
        f"at most {check.MAXIMUM_EXPRESSION_CHARACTERS} characters",
        f"nested {check.MAXIMUM_NESTING_DEPTH} deep",
        f"at most {check.MAXIMUM_ADDITIONS} additions",
        f"(0 to {check.MAXIMUM_STALENESS_VERSIONS})",
        f"±{MAXIMUM_PRIORITY}",
        f"±{MAXIMUM_WEIGHT:,.0f}",
    ):
        assert text in PAGE
