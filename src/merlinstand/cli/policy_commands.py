"""`merlinstand policy`: checks policy programs and assigns them to jobs."""

from typing import Any

import click
import msgspec
from result import Err, Ok, Result

from merlinstand.cli.operator_client import OperatorClient
from merlinstand.cli.options import operator_options, output_option
from merlinstand.cli.output import Column, print_object, print_rows, unwrap
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import MerlinstandError
from merlinstand.configuration.objects import PolicySource

_COLUMNS = (
    Column("SAMPLE", "sample"),
    Column("WEIGHT", "weight"),
    Column("KEPT", "kept"),
    Column("ERROR", "error"),
)


@click.group()
def policy() -> None:
    """Check policy programs and assign them to jobs."""


@policy.command()
@click.argument("file")
@click.option(
    "--samples",
    "samples_file",
    default="",
    metavar="FILE",
    help="Recorded samples (JSON Lines, docs/POLICIES.md) to evaluate; - = stdin.",
)
@output_option
def check(file: str, samples_file: str, output: str) -> None:
    """Check the policy in FILE (TOML), and evaluate it on recorded samples.

    Without --samples it is evaluated on the example record of docs/POLICIES.md.

    \b
    Example:
        merlinstand policy check policy.toml --samples samples.jsonl
    """
    from merlinstand.policy.check import check_policy
    from merlinstand.policy.records import EXAMPLE_SAMPLE

    source = unwrap(load_checked_policy(file), output)
    compiled = unwrap(check_policy(source), output)
    records = [EXAMPLE_SAMPLE]
    if samples_file:
        records = unwrap(_read_samples(samples_file), output)
    rows: list[dict[str, Any]] = []
    for record in records:
        name = f"{record.prompt_id}/{record.attempt}"
        weight = compiled.weight(record)
        if isinstance(weight, Err):
            detail = weight.err_value.detail
            rows.append({"sample": name, "weight": None, "kept": None, "error": detail})
        else:
            value = weight.ok_value
            rows.append({"sample": name, "weight": value, "kept": value > 0, "error": None})
    print_rows(rows, _COLUMNS, output)


@policy.command("set")
@click.argument("job_name", metavar="JOB")
@click.argument("file")
@operator_options
def set_policy(client: OperatorClient, output: str, job_name: str, file: str) -> None:
    """Assign the policy in FILE (TOML) to JOB.

    \b
    Example:
        merlinstand policy set blurbs policy.toml
    """
    from merlinstand.cli.object_client import put_object, read_object

    source = unwrap(load_checked_policy(file), output)
    key = f"job/{job_name}"
    stored = unwrap(read_object(client, key), output)
    changed = msgspec.structs.replace(stored.value, policy=source)
    command_result = unwrap(
        put_object(client, key, changed, stored.revision, change=source), output
    )
    print_object(
        {"job": job_name, "result": "policy set", "revision": command_result.revision}, output
    )


def load_checked_policy(file: str) -> Result[PolicySource, MerlinstandError]:
    """Read a policy file, and check it with the same rules as control."""
    from merlinstand.policy.check import check_policy
    from merlinstand.settings.toml_file import load_toml

    loaded = load_toml(file, PolicySource)
    if isinstance(loaded, Err):
        return loaded
    checked = check_policy(loaded.ok_value)
    return checked if isinstance(checked, Err) else Ok(loaded.ok_value)


def _read_samples(samples_file: str) -> Result[list[Any], MerlinstandError]:
    from merlinstand.cli.input_lines import read_lines
    from merlinstand.policy.recorded import decode_recorded_samples
    from merlinstand.settings.errors import MAXIMUM_SHOWN_CHARACTERS, SettingsError

    lines = read_lines(samples_file)
    if isinstance(lines, Err):
        return lines
    records: list[Any] = []
    for line in lines.ok_value:
        try:
            records += decode_recorded_samples(line.text)
        except DECODE_ERRORS as error:
            place = f"line {line.number}"
            expected = f"a recorded sample or batch ({error})"
            shown = line.text[:MAXIMUM_SHOWN_CHARACTERS]
            return Err(SettingsError(file=samples_file, path=place, value=shown, expected=expected))
    return Ok(records)
