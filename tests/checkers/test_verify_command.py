"""`merlinstand-lab verify`: exit 0 for a clean folder, 1 for any record that was tampered with."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner, Result

from merlinstand_lab.cli.verify import command
from merlinstand_lab.records.record_set import RecordSet

from .clean_run import CONSUMER, ENGINE


@pytest.fixture
def folder(tmp_path: Path, records: RecordSet) -> Path:
    """A clean run's records as files."""
    for stream, found in records.streams():
        lines = b"".join(msgspec.json.encode(record) + b"\n" for record in found)
        (tmp_path / f"{stream}.jsonl").write_bytes(lines)
    return tmp_path


def verify(folder: Path, *arguments: str) -> Result:
    return CliRunner().invoke(command, [str(folder), *arguments], catch_exceptions=False)


def change(path: Path, **fields: Any) -> None:
    """Change fields of the first record of a file."""
    first, *others = path.read_text().splitlines()
    changed = json.dumps(json.loads(first) | fields)
    path.write_text("\n".join([changed, *others]) + "\n")


def test_a_clean_run_ends_with_0_and_says_so(folder: Path) -> None:
    result = verify(folder)
    assert result.exit_code == 0, result.output
    assert "all promises kept" in result.output


def test_the_report_as_json_counts_what_was_checked(folder: Path) -> None:
    result = verify(folder, "--output", "json")
    promises = {one["name"]: one for one in json.loads(result.stdout)["promises"]}
    assert promises["exactly-once"]["checked"] == 6
    assert all(one["violations"] == [] for one in promises.values())


@pytest.mark.parametrize(
    ("stream", "fields", "promise"),
    [
        (f"trainer-{CONSUMER}", {"weight_versions": [[2, 0, 20]]}, "versions-true"),
        (f"trainer-{CONSUMER}", {"sample_id": "blurbs/p1/1"}, "exactly-once"),
        (f"engine-{ENGINE}", {"spans": [[1, 0, 5]]}, "versions-true"),
        ("callers", {"digest_ok": False}, "whole-answers"),
        ("callers", {"outcome": "not_run"}, "not-run-is-true"),
        ("store", {"digest": "another"}, "versions-true"),
    ],
)
def test_one_corrupt_record_ends_with_1(
    folder: Path, stream: str, fields: dict[str, Any], promise: str
) -> None:
    change(folder / f"{stream}.jsonl", **fields)
    result = verify(folder)
    assert result.exit_code == 1
    (line,) = [one for one in result.output.splitlines() if one.split()[1:2] == [promise]]
    assert line.startswith("VIOLATED")


def test_a_line_that_is_no_record_ends_with_1(folder: Path) -> None:
    with (folder / "callers.jsonl").open("ab") as callers:
        callers.write(b'{"request_id": "cut off\n')
    result = verify(folder)
    assert result.exit_code == 1
    assert "records-complete: callers.jsonl line" in result.output


def test_a_missing_file_ends_with_1(folder: Path) -> None:
    (folder / f"trainer-{CONSUMER}.jsonl").unlink()
    assert verify(folder).exit_code == 1


def test_the_named_fields_alone_tell_of_a_repeated_sample(folder: Path) -> None:
    path = folder / f"trainer-{CONSUMER}.jsonl"
    path.write_text(path.read_text() + path.read_text().splitlines()[0] + "\n")
    result = verify(folder, "--named-fields-only")
    assert result.exit_code == 1
    assert "exactly-once: blurbs/blurbs/p1/0: received 2 times" in result.output
