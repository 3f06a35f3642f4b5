"""`merlinstand weights`: publishes and lists weight versions of models."""

from typing import Any

import click
import msgspec

from merlinstand.cli.object_client import read_objects
from merlinstand.cli.operator_client import OperatorClient
from merlinstand.cli.options import operator_options
from merlinstand.cli.output import Column, print_object, print_rows, unwrap

_COLUMNS = (
    Column("MODEL", "model"),
    Column("VERSION", "version"),
    Column("DIGEST", "digest"),
    Column("SOURCE", "source"),
    Column("BYTES", "size_bytes"),
    Column("PUBLISHED", "published_at"),
)


@click.group()
def weights() -> None:
    """Publish weight versions and list them."""


@weights.command()
@click.argument("model")
@click.argument("version", type=int)
@click.option("--digest", required=True, help="Digest that engines verify loaded weights with.")
@click.option("--source", required=True, metavar="IP:PORT", help="Address of the weight store.")
@click.option("--size-bytes", required=True, type=int, help="Size of the weights in bytes.")
@operator_options
def publish(
    client: OperatorClient,
    output: str,
    model: str,
    version: int,
    digest: str,
    source: str,
    size_bytes: int,
) -> None:
    """Publish VERSION of MODEL; it must be the newest version plus one.

    \b
    Example:
        merlinstand weights publish blurb 4 --digest 9f86d081 --source 127.0.0.1:7401 \\
            --size-bytes 2000000000
    """
    command_result = unwrap(
        client.command(
            {
                "command": "publish_weights",
                "model": model,
                "version": version,
                "digest": digest,
                "source": source,
                "size_bytes": size_bytes,
            }
        ),
        output,
    )
    fields = {"model": model, "version": version, "result": "published"}
    print_object({**fields, "revision": command_result.revision}, output)


@weights.command()
@click.argument("model", default="")
@operator_options
def status(client: OperatorClient, output: str, model: str) -> None:
    """List the published versions of MODEL (all models by default), newest last.

    \b
    Example:
        merlinstand weights status blurb
    """
    rows: list[dict[str, Any]] = []
    for stored in unwrap(read_objects(client, "weights/"), output):
        if model and stored.value.model != model:
            continue
        for version in stored.value.versions:
            rows.append({"model": stored.value.model, **msgspec.to_builtins(version)})
    print_rows(rows, _COLUMNS, output)
