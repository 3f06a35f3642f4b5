"""`merlinstand settings`: checks deployment files and prints the settings reference."""

import click

from merlinstand.cli.options import output_option
from merlinstand.cli.output import Column, print_rows, unwrap

_COLUMNS = (
    Column("ROLE", "role"),
    Column("NODE", "node"),
    Column("ZONE", "zone"),
    Column("ADDRESS", "address"),
    Column("HTTP", "http_address"),
    Column("HEALTH", "health_address"),
    Column("STANDBY", "standby"),
)


@click.group()
def settings() -> None:
    """Check deployment files and print the reference of all settings."""


@settings.command()
@click.argument("file")
@output_option
def check(file: str, output: str) -> None:
    """Check FILE and list the processes it describes.

    \b
    Example:
        merlinstand settings check examples/vitrina/merlinstand.toml
    """
    from merlinstand.settings.daemons import list_daemons, load_deployment

    deployment = unwrap(load_deployment(file), output)
    rows = [
        {
            "role": entry.role,
            "node": entry.node_id,
            "zone": entry.zone,
            "address": entry.address,
            "http_address": entry.http_address,
            "health_address": entry.health_address,
            "standby": entry.standby,
        }
        for entry in list_daemons(deployment)
    ]
    print_rows(rows, _COLUMNS, output)


@settings.command()
def reference() -> None:
    """Print the reference of all settings, as Markdown.

    \b
    Example:
        merlinstand settings reference > SETTINGS.md
    """
    from merlinstand.settings.reference import reference_page

    click.echo(reference_page(), nl=False)
