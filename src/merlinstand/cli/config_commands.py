"""`merlinstand config`: reads, checks and applies the replicated configuration."""

from typing import TYPE_CHECKING, Any

import click
from result import Err, Ok, Result

from merlinstand.cli.operator_client import OperatorClient
from merlinstand.cli.options import operator_options, output_option
from merlinstand.cli.output import Column, fail, print_rows, unwrap
from merlinstand.common.errors import MerlinstandError

if TYPE_CHECKING:
    from merlinstand.cli.object_client import StoredObject
    from merlinstand.configuration.objects import ConfigurationObject

_COLUMNS = (Column("KEY", "key"), Column("REVISION", "revision"), Column("VALUE", "value"))
_CHECK_COLUMNS = (Column("KEY", "key"), Column("KIND", "kind"))
_APPLY_COLUMNS = (Column("KEY", "key"), Column("RESULT", "result"), Column("REVISION", "revision"))


@click.group()
def config() -> None:
    """Read the configuration, or apply a file to it."""


@config.command()
@click.argument("prefix", default="")
@operator_options
def get(client: OperatorClient, output: str, prefix: str) -> None:
    """Show the objects whose keys begin with PREFIX (all by default).

    \b
    Example:
        merlinstand config get pool/ --settings examples/vitrina/merlinstand.toml
    """
    found = unwrap(client.configuration(prefix), output)
    rows = [
        {"key": item.key, "revision": item.revision, "value": item.value} for item in found.objects
    ]
    print_rows(rows, _COLUMNS, output)


@config.command()
@click.argument("file")
@output_option
def check(file: str, output: str) -> None:
    """Check FILE (TOML) without contacting the control group.

    \b
    Example:
        merlinstand config check examples/vitrina/configuration.toml
    """
    from merlinstand.settings.configuration_file import load_configuration

    rows = [
        {"key": key, "kind": type(value).__name__.lower()}
        for key, value in unwrap(load_configuration(file), output)
    ]
    print_rows(rows, _CHECK_COLUMNS, output)


@config.command()
@click.argument("file")
@operator_options
def apply(client: OperatorClient, output: str, file: str) -> None:
    """Create or replace the objects that FILE (TOML) describes; other objects are kept.

    The whole file is checked first. Each change is refused if the object was changed
    concurrently; running the command again continues from there. --expected-revision is
    compared with the newest revision of the whole configuration before anything is changed.

    \b
    Example:
        merlinstand config apply examples/vitrina/configuration.toml \\
            --settings examples/vitrina/merlinstand.toml
    """
    from merlinstand.cli.object_client import read_objects
    from merlinstand.settings.configuration_file import load_configuration

    objects = unwrap(load_configuration(file), output)
    _check_expected_revision(client, output)
    stored = {found.key: found for found in unwrap(read_objects(client, ""), output)}
    rows: list[dict[str, Any]] = []
    for key, value in objects:
        applied = _apply_object(client, key, value, stored.get(key))
        if isinstance(applied, Err):
            # The changes made before the error are in effect, so they are reported.
            print_rows(rows, _APPLY_COLUMNS, output)
            fail(applied.err_value, output)
        rows.append(applied.ok_value)
    print_rows(rows, _APPLY_COLUMNS, output)


def _check_expected_revision(client: OperatorClient, output: str) -> None:
    """Fail with a conflict if the configuration is not at the operator's expected revision."""
    from merlinstand.common.errors import ConflictError

    expected = client.settings.expected_revision
    if expected is None:
        return
    newest = unwrap(client.configuration(), output).revision
    if newest != expected:
        detail = f"the configuration is at revision {newest}, not {expected}"
        fail(ConflictError(detail=detail), output)


def _apply_object(
    client: OperatorClient, key: str, value: "ConfigurationObject", current: "StoredObject | None"
) -> Result[dict[str, Any], MerlinstandError]:
    """Put one object, unless it already has the desired value.

    Args:
        client: Client to send the command with.
        key: The object's key.
        value: Desired value.
        current: The object as it was read; None if it did not exist.

    Returns:
        The object's row of the result table.
    """
    from merlinstand.cli.object_client import MUST_NOT_EXIST, put_object_at_revision

    if current is not None and current.value == value:
        return Ok({"key": key, "result": "unchanged", "revision": current.revision})
    base_revision = MUST_NOT_EXIST if current is None else current.revision
    result = "created" if current is None else "changed"
    put_result = put_object_at_revision(client, key, value, base_revision)
    return put_result.map(
        lambda command_result: {"key": key, "result": result, "revision": command_result.revision}
    )
