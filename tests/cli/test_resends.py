"""A command line repeated under the same `--command-id` is applied only once."""

import json
from pathlib import Path
from typing import Any

import pytest

from merlinstand.configuration.objects import Backend, Job, Pool, PoolKind
from tests.cli.conftest import FakeControl

JOB = Job(name="blurbs", model="blurb", pool="blurb-llm", prompts=("a",))
POOL = Pool(
    name="shop-api", kind=PoolKind.SERVICE, backends=(Backend("shop-api-1", "127.0.0.1:9", "z1"),)
)
PUBLISH = ("--digest", "d", "--source", "127.0.0.1:7401", "--size-bytes", "10")


@pytest.mark.parametrize(
    "line",
    [
        ("job", "create", "new", "--model", "blurb", "--pool", "blurb-llm"),
        ("job", "pause", "blurbs"),
        ("job", "cancel", "blurbs"),
        ("job", "move", "blurbs", "--to", "mirror"),
        ("backend", "drain", "shop-api-1", "--reason", "disk"),
        ("backend", "undrain", "shop-api-1"),
        ("weights", "publish", "blurb", "1", *PUBLISH),
        ("job", "rewind", "blurbs", "--consumer", "t", "--batch", "3", "--expected-batch", "9"),
    ],
    ids=lambda line: " ".join(line[:2]),
)
def test_repeated_command_line_gets_its_first_result(
    run: Any, control: FakeControl, line: tuple[str, ...]
) -> None:
    control.put("job/blurbs", JOB)
    control.put("pool/shop-api", POOL)
    if line[:2] == ("backend", "undrain"):
        assert run("backend", "drain", "shop-api-1").exit_code == 0
    first = run(*line, "--command-id", "mine")
    assert first.exit_code == 0, first.output
    revision = control.revision
    # Another operator changes the same object before the repeat.
    control.put("job/blurbs", JOB)
    repeated = run(*line, "--command-id", "mine")
    assert (repeated.exit_code, repeated.output) == (0, first.output)
    assert control.revision == revision + 1, "the resend changed something"


def test_different_command_line_under_the_same_id_is_applied(
    run: Any, control: FakeControl
) -> None:
    control.put("job/blurbs", JOB)
    assert run("job", "pause", "blurbs", "--command-id", "mine").exit_code == 0
    assert run("job", "resume", "blurbs", "--command-id", "mine").exit_code == 0
    assert control.objects["job/blurbs"][1]["phase"] == "running"


def test_repeated_command_line_gets_its_first_refusal(run: Any, control: FakeControl) -> None:
    control.put("job/blurbs", JOB)
    line = ("job", "pause", "blurbs", "--expected-revision", "7", "--command-id", "mine")
    outcome = {"outcome": "refused", "code": "conflict", "detail": "at revision 1, not 7"}
    control.override = lambda method, path, _body: (
        (200, {"revision": 9, "outcome": outcome}) if "/v1/commands/mine." in path else None
    )
    result = run(*line)
    assert result.exit_code == 5
    assert "at revision 1, not 7" in result.output
    assert control.posts == []


def test_repeated_apply_continues_after_a_lost_response(
    run: Any, control: FakeControl, tmp_path: Path
) -> None:
    file = tmp_path / "configuration.toml"
    limits = "".join(f'[[limits]]\ncaller = "caller-{number}"\n' for number in range(3))
    file.write_text(limits)
    responses = iter([None, (500, {"code": "lost", "detail": ""})])
    control.override = lambda method, *_rest: next(responses, None) if method == "POST" else None
    line = ("config", "apply", str(file), "--command-id", "mine", "--output", "json")
    failed = run(*line)
    assert failed.exit_code != 0
    assert [row["key"] for row in json.loads(failed.stdout)] == ["limits/caller-0"]
    rows = json.loads(run(*line).output)
    assert [row["result"] for row in rows] == ["unchanged", "created", "created"]
    assert set(control.objects) == {f"limits/caller-{number}" for number in range(3)}


def test_unknown_outcome_reports_the_id_to_retry_with(run: Any, control: FakeControl) -> None:
    control.put("job/blurbs", JOB)
    control.override = lambda method, *_rest: (
        (504, {"code": "outcome_unknown", "detail": "not decided"}) if method == "POST" else None
    )
    result = run("job", "pause", "blurbs", "--timeout", "0.1")
    assert result.exit_code == 6
    invocation_id = result.stderr.strip().rpartition("--command-id ")[2]
    assert control.posts[0]["command_id"].startswith(f"{invocation_id}.")
    control.override = lambda *_request: None
    assert run("job", "pause", "blurbs", "--command-id", invocation_id).exit_code == 0
    assert control.posts[-1]["command_id"] == control.posts[0]["command_id"]
