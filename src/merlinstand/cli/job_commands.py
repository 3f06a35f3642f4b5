"""`merlinstand job`: creates, lists and changes rollout jobs."""

from typing import Any

import click
import msgspec

from merlinstand.cli.input_lines import read_lines
from merlinstand.cli.object_client import (
    MUST_NOT_EXIST,
    StoredObject,
    put_object,
    read_object,
    read_objects,
)
from merlinstand.cli.operator_client import OperatorClient
from merlinstand.cli.options import operator_options
from merlinstand.cli.output import Column, print_object, print_rows, unwrap
from merlinstand.configuration.objects import Job, JobMode, JobPhase, PolicySource

_COLUMNS = (
    Column("JOB", "name"),
    Column("MODEL", "model"),
    Column("POOL", "pool"),
    Column("PHASE", "phase"),
    Column("MODE", "mode"),
    Column("BATCH", "batch_size"),
    Column("CONSUMERS", "consumers"),
    Column("REVISION", "revision"),
)


@click.group()
def job() -> None:
    """Create, show and control rollout jobs."""


@job.command()
@click.argument("name")
@click.option("--model", required=True, help="Model to generate samples with.")
@click.option("--pool", required=True, help="Engine pool that generates the samples.")
@click.option("--consumer", "consumers", multiple=True, help="Trainer; may be repeated.")
@click.option("--batch-size", default=32, show_default=True, help="Samples per batch.")
@click.option("--samples-per-prompt", default=1, show_default=True, help="Samples per prompt.")
@click.option("--prompt", "prompts", multiple=True, help="Prompt text; may be repeated.")
@click.option(
    "--prompts-file", default="", metavar="FILE", help="File with one prompt per line; - = stdin."
)
@click.option("--prompt-source", default="", metavar="IP:PORT", help="Prompt server.")
@click.option("--maximum-tokens", default=512, show_default=True, help="Maximum tokens per sample.")
@click.option("--scorer", default="", metavar="IP:PORT", help="Scoring service.")
@click.option(
    "--share", default=1.0, show_default=True, help="Weight relative to other jobs of the pool."
)
@click.option(
    "--mode",
    type=click.Choice([mode.value for mode in JobMode]),
    default=JobMode.ACTIVE.value,
    show_default=True,
    help="What controls rollouts: merlinstand (active) or the old scripts (mirror).",
)
@click.option("--policy", "policy_file", default="", metavar="FILE", help="Policy (TOML).")
@operator_options
def create(
    client: OperatorClient, output: str, policy_file: str, prompts_file: str, **fields: Any
) -> None:
    """Create the job NAME.

    \b
    Example:
        merlinstand job create blurbs --model blurb --pool blurb-llm --batch-size 16 \\
            --prompt "Write a blurb for a linen shirt." --control 127.0.0.1:7001
    """
    policy = _load_policy(policy_file, output)
    prompts = list(fields.pop("prompts"))
    if prompts_file:
        prompts += [line.text for line in unwrap(read_lines(prompts_file), output)]
    consumers = fields.pop("consumers") or ("trainer-1",)
    new_job = Job(
        prompts=tuple(prompts),
        consumers=tuple(consumers),
        mode=JobMode(fields.pop("mode")),
        policy=policy,
        **fields,
    )
    command_result = unwrap(
        put_object(client, f"job/{new_job.name}", new_job, MUST_NOT_EXIST), output
    )
    print_object(
        {"job": new_job.name, "result": "created", "revision": command_result.revision}, output
    )


@job.command("list")
@operator_options
def list_jobs(client: OperatorClient, output: str) -> None:
    """List all jobs.

    \b
    Example:
        merlinstand job list --output json
    """
    found = unwrap(read_objects(client, "job/"), output)
    print_rows([_row(stored) for stored in found], _COLUMNS, output)


@job.command()
@click.argument("name")
@operator_options
def show(client: OperatorClient, output: str, name: str) -> None:
    """Show the job NAME and the positions of its consumers.

    \b
    Example:
        merlinstand job show blurbs
    """
    stored = unwrap(read_object(client, f"job/{name}"), output)
    ledger = unwrap(client.ledger(name), output)
    print_object({**_row(stored), "ledger": ledger}, output)


@job.command()
@click.argument("name")
@operator_options
def pause(client: OperatorClient, output: str, name: str) -> None:
    """Pause the job NAME: it generates and delivers nothing until it is resumed.

    \b
    Example:
        merlinstand job pause blurbs
    """
    _change(client, output, name, "paused", phase=JobPhase.PAUSED)


@job.command()
@click.argument("name")
@operator_options
def resume(client: OperatorClient, output: str, name: str) -> None:
    """Resume the paused job NAME.

    \b
    Example:
        merlinstand job resume blurbs
    """
    _change(client, output, name, "resumed", phase=JobPhase.RUNNING)


@job.command()
@click.argument("name")
@operator_options
def cancel(client: OperatorClient, output: str, name: str) -> None:
    """Cancel the job NAME permanently.

    \b
    Example:
        merlinstand job cancel blurbs
    """
    _change(client, output, name, "cancelled", phase=JobPhase.CANCELLED)


@job.command()
@click.argument("name")
@click.option(
    "--to",
    "mode",
    required=True,
    type=click.Choice([mode.value for mode in JobMode]),
    help="What controls rollouts from now on: merlinstand (active) or the old scripts (mirror).",
)
@operator_options
def move(client: OperatorClient, output: str, name: str, mode: str) -> None:
    """Move the job NAME between the old scripts and merlinstand.

    \b
    Example:
        merlinstand job move blurbs --to active
    """
    _change(client, output, name, "moved", mode=JobMode(mode))


@job.command()
@click.argument("name")
@click.option("--consumer", required=True, help="Trainer that returned to a checkpoint.")
@click.option("--batch", required=True, type=int, help="Next batch that the trainer will request.")
@click.option(
    "--expected-batch", required=True, type=int, help="Current next batch; refused if it differs."
)
@operator_options
def rewind(
    client: OperatorClient, output: str, name: str, consumer: str, batch: int, expected_batch: int
) -> None:
    """Rewind a trainer of the job NAME to the batch of an older checkpoint.

    \b
    Example:
        merlinstand job rewind blurbs --consumer trainer-1 --batch 40 --expected-batch 57
    """
    command_result = unwrap(
        client.command(
            {
                "command": "rewind_job",
                "job": name,
                "consumer": consumer,
                "batch": batch,
                "expected_batch": expected_batch,
            }
        ),
        output,
    )
    print_object({"job": name, "result": "rewound", "revision": command_result.revision}, output)


def _change(client: OperatorClient, output: str, name: str, result: str, **changes: Any) -> None:
    key = f"job/{name}"
    stored = unwrap(read_object(client, key), output)
    changed = msgspec.structs.replace(stored.value, **changes)
    command_result = unwrap(
        put_object(client, key, changed, stored.revision, change=changes), output
    )
    print_object({"job": name, "result": result, "revision": command_result.revision}, output)


def _row(stored: StoredObject) -> dict[str, Any]:
    row: dict[str, Any] = msgspec.to_builtins(stored.value)
    row["revision"] = stored.revision
    return row


def _load_policy(policy_file: str, output: str) -> PolicySource:
    if not policy_file:
        return PolicySource()
    from merlinstand.cli.policy_commands import load_checked_policy

    return unwrap(load_checked_policy(policy_file), output)
