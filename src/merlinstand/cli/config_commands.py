"""`merlinstand config`: the replicated configuration as a whole."""

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
    """Check FILE (TOML) as far as that goes without a control group.

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
    """Create or replace the objects that FILE (TOML) describes; others stay.

    The whole file is checked first. Each change is refused if somebody else changed the
    object meanwhile; running the command again goes on from there. --expected-revision is
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
            # What was done before is in force, and has to be known.
            print_rows(rows, _APPLY_COLUMNS, output)
            fail(applied.err_value, output)
        rows.append(applied.ok_value)
    print_rows(rows, _APPLY_COLUMNS, output)


def _check_expected_revision(client: OperatorClient, output: str) -> None:
    """End the command if the configuration is not at the revision that the operator expects."""
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
    """Put one object, unless it is already as wanted.

    Args:
        client: Where to send it.
        key: The object's key.
        value: What it shall be.
        current: What it was when the configuration was read; None if it did not exist.

    Returns:
        Its row of the result.
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
