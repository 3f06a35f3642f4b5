"""Errors of the command line are one line with a code and advice."""

import errno
import json
import ssl
import sys
from pathlib import Path
from typing import Any, NoReturn

import pytest
from click.testing import CliRunner, Result
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand.cli import http_request, output
from merlinstand.cli.main import main
from merlinstand.kernel.effects import StartCall
from merlinstand.runtime.http_connection import ConnectError, ConnectionPool
from tests.cli.conftest import FakeControl

EXAMPLE_FILE = str(Path(__file__).parents[2] / "examples" / "vitrina" / "merlinstand.toml")
CREATE_JOB = ("job", "create", "j", "--model", "m", "--pool", "p")


def invoke(*arguments: str) -> Result:
    return CliRunner().invoke(main, list(arguments), env={})


def check_error(result: Result, exit_code: int, *parts: str) -> None:
    assert result.exit_code == exit_code, result.output
    assert isinstance(result.exception, SystemExit), result.exception
    (line,) = result.stderr.splitlines()
    assert line.startswith("error: ")
    assert "; " in line, "no advice"
    for part in parts:
        assert part in line


@pytest.mark.parametrize(
    ("arguments", "part"),
    [
        (("nonsense",), "No such command 'nonsense'"),
        (("job", "pause"), "see `merlinstand job pause --help`"),
        (("job", "list", "--output", "xml"), "'xml' is not one of"),
        (("job", "list"), "--control IP:PORT"),
        (("job", "list", "--control", "localhost:1"), "'localhost' is no IP number"),
        (("job", "list", "--control", "garbage"), "'garbage' is not ip:port"),
        (("job", "list", "--control", "127.0.0.1:1", "--timeout", "-1"), "x>0"),
        (("job", "list", "--control", "127.0.0.1:1", "--timeout", "nan"), "--timeout"),
        (("job", "list", "--control", "127.0.0.1:1", "--token", "a\nb"), "--token"),
        (("job", "list", "--control", "127.0.0.1:1", "--command-id", "i" * 151), "--command-id"),
        (("job", "list", "--control", "127.0.0.1:1", "--expected-revision", "x"), "integer"),
        (("job", "pause", "\udcff"), "UTF-8"),
        (("gateway", "--settings", EXAMPLE_FILE), "'--node'"),
        (("weights", "publish", "m", "one"), "not a valid integer"),
    ],
)
def test_usage_errors_are_one_line(arguments: tuple[str, ...], part: str) -> None:
    check_error(invoke(*arguments), 2, "error: usage: ", part)


def test_errors_are_json_with_output_json() -> None:
    for output_option in (("--output", "json"), ("--output=json",)):
        error = json.loads(invoke("job", "pause", *output_option).stderr)
        assert (error["code"], error["exit_code"]) == ("usage", 2)
        assert error["advice"] == "see `merlinstand job pause --help`"


@pytest.mark.parametrize(
    ("flag", "value", "part"),
    [
        ("--address", "1.2.3.4", "control[0].address = '1.2.3.4': expected ip:port"),
        ("--http-address", "8.8.8.8:1", "operators.token"),
        ("--zone", "nowhere", "control[0].zone = 'nowhere': expected one of"),
    ],
)
def test_daemon_flags_are_validated_before_start(flag: str, value: str, part: str) -> None:
    line = ("control", "--settings", EXAMPLE_FILE, "--node", "control-hall-a", flag, value)
    check_error(invoke(*line), 3, "with the flags given", part)


@pytest.mark.parametrize("option", ["--prompts-file", "--policy"])
def test_input_files_must_be_readable_utf8(tmp_path: Path, option: str) -> None:
    missing = (*CREATE_JOB, "--control", "127.0.0.1:1", option, str(tmp_path / "none"))
    check_error(invoke(*missing), 3, "expected a readable file")
    binary = tmp_path / "binary"
    binary.write_bytes(b"\x7fELF\xff\xfe")
    check_error(invoke(*missing[:-1], str(binary)), 3, "expected UTF-8 text")


def test_invalid_recorded_sample_is_reported_with_file_and_line(tmp_path: Path) -> None:
    policy = tmp_path / "policy.toml"
    policy.write_text('weight = "1.0"\n')
    samples = tmp_path / "samples.jsonl"
    samples.write_text('\n{"prompt_id": "seven"}\n')
    line = ("policy", "check", str(policy), "--samples", str(samples))
    check_error(invoke(*line), 3, f"{samples}: line 2", "prompt_id")
    check_error(invoke(*line[:-1], str(tmp_path / "none")), 3, "expected a readable file")


def test_prompts_are_read_from_a_file(run: Any, control: FakeControl, tmp_path: Path) -> None:
    file = tmp_path / "prompts.txt"
    file.write_text("one\n\n  two \u2028 lines\n", encoding="utf-8")
    assert run(*CREATE_JOB, "--prompts-file", str(file)).exit_code == 0
    assert control.objects["job/j"][1]["prompts"] == ("one", "two \u2028 lines")


def test_unreachable_control_is_unavailable() -> None:
    line = ("members", "list", "--control", "127.0.0.1:1", "--timeout", "0.2")
    check_error(invoke(*line), 6, "error: unavailable: ", "127.0.0.1:1", "try again")


def test_failed_write_of_the_output_is_reported(
    run: Any, control: FakeControl, monkeypatch: pytest.MonkeyPatch
) -> None:
    def raise_disk_full(*_arguments: Any, **options: Any) -> None:
        if not options.get("err"):
            raise OSError(errno.ENOSPC, "No space left on device")
        sys.stderr.write(str(_arguments[0]) + "\n")

    monkeypatch.setattr(output.click, "echo", raise_disk_full)
    check_error(run("members", "list"), 1, "error: output: No space left on device")


@pytest.mark.parametrize("content", ["", "no certificate"])
def test_authority_file_must_contain_certificates(tmp_path: Path, content: str) -> None:
    file = tmp_path / "authority.pem"
    line = ("members", "list", "--control", "127.0.0.1:1", "--authority", str(file))
    check_error(invoke(*line), 3, "expected a readable file of certificates")
    file.write_text(content)
    check_error(invoke(*line), 3, "expected a readable file of certificates")


def test_client_stops_when_all_certificates_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    addresses_tried: list[str] = []

    def refuse_certificate(call: StartCall, _pool: ConnectionPool) -> NoReturn:
        addresses_tried.append(call.address)
        error = ssl.SSLCertVerificationError(1, "certificate verify failed")
        error.verify_message = "certificate has expired"
        raise ConnectError(str(error)) from error

    monkeypatch.setattr(http_request, "fetch", refuse_certificate)
    addresses = ("--control", "127.0.0.1:1", "--control", "127.0.0.1:2")
    result = invoke("members", "list", *addresses, "--timeout", "60")
    check_error(result, 6, "error: untrusted: 127.0.0.1:1", "certificate has expired", "renew")
    assert addresses_tried == ["127.0.0.1:1", "127.0.0.1:2"]


ARGUMENTS = st.sampled_from(
    [
        "job",
        "list",
        "create",
        "config",
        "get",
        "policy",
        "check",
        "backend",
        "drain",
        "weights",
        "publish",
        "members",
        "replace",
        "status",
        "settings",
        "--output",
        "json",
        "--control",
        "127.0.0.1:1",
        "--timeout",
        "0.01",
        "--settings",
        "--pool",
        "--",
        "-",
        "=",
        "�",
    ]
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(ARGUMENTS | st.text(max_size=5), max_size=6))
def test_arbitrary_arguments_cause_no_traceback(arguments: list[str]) -> None:
    result = CliRunner().invoke(main, arguments, env={}, input="")
    assert result.exception is None or isinstance(result.exception, SystemExit), arguments
