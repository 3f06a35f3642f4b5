"""`merlinstand-lab standin`: run one stand-in as a process."""

import sys

import click
from result import Err

from merlinstand.runtime.host_settings import HostSettings
from merlinstand.runtime.process import run_host
from merlinstand_lab.fleet.settings import LabSettings, load_lab_settings
from merlinstand_lab.standins.catalogue import make_standin
from merlinstand_lab.standins.settings import StandinSettings

_KINDS = (
    "engine",
    "service",
    "weight-store",
    "scorer",
    "machine-list",
    "scripts",
    "trainer",
    "callers",
)
_EXIT_USAGE = 2
"""Exit code of a wrong command line, as `click` has it."""
_EXIT_INVALID = 3
"""Exit code of invalid settings, as the product's command line has it."""


@click.command()
@click.argument("kind", type=click.Choice(_KINDS))
@click.option("--settings", "settings_path", required=True, help="The fleet's lab.toml.")
@click.option("--node", required=True, help="Which stand-in of that kind.")
@click.option("--records", "record_folder", default="out/run", show_default=True)
def command(kind: str, settings_path: str, node: str, record_folder: str) -> None:
    """Run one stand-in until SIGTERM.

    Example: merlinstand-lab standin engine --settings examples/vitrina/lab.toml --node blurb-llm-1
    """
    loaded = load_lab_settings(settings_path)
    if isinstance(loaded, Err):
        click.echo(loaded.err_value.describe(), err=True)
        sys.exit(_EXIT_INVALID)
    settings = find_standin(loaded.ok_value, kind, node)
    if settings is None:
        click.echo(f"{settings_path} has no {kind} with node_id = {node!r}", err=True)
        sys.exit(_EXIT_USAGE)
    host_settings = HostSettings(
        node_id=settings.node_id,
        http_address=settings.address,
        record_folder=record_folder,
    )
    sys.exit(run_host(make_standin(settings), host_settings))


def find_standin(lab: LabSettings, kind: str, node: str) -> StandinSettings | None:
    """Find a stand-in by kind and node id."""
    standins = lab.platform_standins() + lab.old_scripts() + lab.load_standins()
    for one_kind, settings in standins:
        if (one_kind, settings.node_id) == (kind, node):
            return settings
    return None
