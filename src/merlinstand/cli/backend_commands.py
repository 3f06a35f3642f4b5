"""`merlinstand backend`: lists, drains and undrains the servers of the pools."""

from typing import Any

import click

from merlinstand.cli.object_client import (
    MUST_NOT_EXIST,
    delete_object,
    put_object,
    read_objects,
)
from merlinstand.cli.operator_client import OperatorClient
from merlinstand.cli.options import operator_options
from merlinstand.cli.output import Column, fail, print_object, print_rows, unwrap
from merlinstand.common.errors import NotFoundError
from merlinstand.configuration.objects import Drain

_COLUMNS = (
    Column("BACKEND", "backend_id"),
    Column("POOL", "pool"),
    Column("ADDRESS", "address"),
    Column("ZONE", "zone"),
    Column("DRAINING", "draining"),
    Column("REASON", "reason"),
)


@click.group()
def backend() -> None:
    """List servers, and take them out of service or back in."""


@backend.command("list")
@click.option("--pool", default="", help="Only the servers of this pool.")
@operator_options
def list_backends(client: OperatorClient, output: str, pool: str) -> None:
    """List servers and whether they are being drained.

    \b
    Example:
        merlinstand backend list --pool shop-api
    """
    print_rows(_rows(client, output, pool), _COLUMNS, output)


@backend.command()
@click.argument("backend_id")
@click.option("--reason", default="", help="Reason, shown to other operators.")
@operator_options
def drain(client: OperatorClient, output: str, backend_id: str, reason: str) -> None:
    """Send no new requests to the server BACKEND_ID; requests in progress may finish.

    \b
    Example:
        merlinstand backend drain shop-api-2 --reason "disk swap"
    """
    if not any(row["backend_id"] == backend_id for row in _rows(client, output, "")):
        fail(NotFoundError(detail=f"no pool has a server named {backend_id}"), output)
    key = f"drain/{backend_id}"
    base_revision = _drain_revision(client, output, key)
    command_result = unwrap(
        put_object(client, key, Drain(backend_id, reason), base_revision), output
    )
    _print_result(backend_id, "draining", command_result.revision, output)


@backend.command()
@click.argument("backend_id")
@operator_options
def undrain(client: OperatorClient, output: str, backend_id: str) -> None:
    """Send new requests to the drained server BACKEND_ID again.

    \b
    Example:
        merlinstand backend undrain shop-api-2
    """
    key = f"drain/{backend_id}"
    command_result = unwrap(
        delete_object(client, key, _drain_revision(client, output, key)), output
    )
    _print_result(backend_id, "in service", command_result.revision, output)


def _drain_revision(client: OperatorClient, output: str, key: str) -> int:
    present = unwrap(read_objects(client, key), output)
    return next((stored.revision for stored in present if stored.key == key), MUST_NOT_EXIST)


def _rows(client: OperatorClient, output: str, pool_name: str) -> list[dict[str, Any]]:
    drains = {
        stored.value.backend_id: stored.value
        for stored in unwrap(read_objects(client, "drain/"), output)
    }
    rows = []
    for stored in unwrap(read_objects(client, "pool/"), output):
        if pool_name and stored.value.name != pool_name:
            continue
        for server in stored.value.backends:
            found = drains.get(server.backend_id)
            rows.append(
                {
                    "backend_id": server.backend_id,
                    "pool": stored.value.name,
                    "address": server.address,
                    "zone": server.zone,
                    "draining": found is not None,
                    "reason": found.reason if found else "",
                }
            )
    return rows


def _print_result(backend_id: str, result: str, revision: int, output: str) -> None:
    print_object({"backend": backend_id, "result": result, "revision": revision}, output)
