"""The list of known red tests: how many entries it may have, and which of them count."""

import importlib.util
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parents[2]
ENTRY = "tests/tools/test_known_red.py::test_entries_that_count | some cause | {issue}"


def load_tool() -> Any:
    spec = importlib.util.spec_from_file_location("known_red", ROOT / "tools" / "known_red.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize(
    ("issues", "status"),
    [
        pytest.param([], 0, id="empty list"),
        pytest.param(["55", "55", "31"], 0, id="as many as allowed"),
        pytest.param(["55", "55", "31", "40"], 1, id="one too many"),
        pytest.param(["58"] * 5, 0, id="entries of issue 58 don't count"),
        pytest.param(["58", "55", "58", "55", "31"], 0, id="they don't count beside others"),
        pytest.param(["58", "55", "55", "31", "40"], 1, id="others still count"),
        pytest.param(["158", "581", "5", "8"], 1, id="other numbers with the same digits count"),
    ],
)
def test_entries_that_count(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, issues: list[str], status: int
) -> None:
    tool = load_tool()
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text("\n".join(["# a comment", *(ENTRY.format(issue=one) for one in issues)]))
    monkeypatch.setattr(tool, "FILE", file)
    assert tool.main() == status
