"""The platform's names occur only in `platform/` and `deploy/`, not in the product."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PLATFORM_NAMES = re.compile(
    r"X-(Server-Stamp|Not-Executed|Expect-Instance|Weight-Versions|Token-Count|Prompt-Prefix"
    r"|Length-Hint|Wait-Ms|Request-Priority)"
    r"|HeartbeatAddr|version-put|ResultDeadlineMs|MaxQueueS|TrafficSplit|ScoringUrl|NextToken"
    r"|MinVersion|ExpectedRev|MERLINSTAND_NODE_FILE|PortRange|/lots/|merlinstand_platform",
    re.IGNORECASE,
)
CHECKED = ("src", "examples", "benchmarks")


def find_names(text: str) -> list[str]:
    """Return the platform's names that occur in a text."""
    return [match.group(0) for match in PLATFORM_NAMES.finditer(text)]


def test_product_contains_no_platform_names() -> None:
    found = [
        f"{path.relative_to(ROOT)}: {name}"
        for folder in CHECKED
        for path in sorted((ROOT / folder).rglob("*.py"))
        for name in find_names(path.read_text())
    ]
    assert found == []


def test_platform_names_are_detected() -> None:
    assert find_names('headers["x-expect-instance"] = backend_id') == ["x-expect-instance"]
    assert find_names("from merlinstand_platform.names import HEADER_NAMES") != []


def test_platform_folder_size_is_limited() -> None:
    lines = sum(len(path.read_text().splitlines()) for path in (ROOT / "platform").rglob("*.py"))
    assert lines < 1_200
