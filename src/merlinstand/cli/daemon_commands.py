"""`merlinstand control|gateway|coordinator`: run one daemon."""

import sys
from collections.abc import Callable
from typing import Any

import click
import msgspec
from result import Result

from merlinstand.cli.options import SETTINGS_VARIABLE
from merlinstand.cli.output import unwrap
from merlinstand.kernel.reducer import Reducer
from merlinstand.runtime.early_signals import ignore_reload_signal
from merlinstand.settings.daemons import (
    Overrides,
    control_daemon,
    coordinator_daemon,
    gateway_daemon,
    load_deployment,
    override_node,
)


def _daemon_options(command: Callable[..., Any]) -> Callable[..., Any]:
    decorators = (
        click.option(
            "--settings",
            "settings_file",
            required=True,
            envvar=SETTINGS_VARIABLE,
            metavar="FILE",
            help="Deployment file.",
        ),
        click.option(
            "--node", required=True, help="Node id of this process in the deployment file."
        ),
        click.option(
            "--address",
            default="",
            metavar="IP:PORT",
            help="Internal address; overrides the file's.",
        ),
        click.option(
            "--http-address",
            default="",
            metavar="IP:PORT",
            help="HTTP address; overrides the file's.",
        ),
        click.option(
            "--health-address",
            default="",
            metavar="IP:PORT",
            help="Address of health checks and metrics; overrides the file's.",
        ),
        click.option("--zone", default="", help="Zone; overrides the file's."),
        click.option(
            "--data-folder",
            default="",
            metavar="FOLDER",
            help="Data folder of this process; overrides the file's.",
        ),
        click.option(
            "--profile",
            default="",
            metavar="FILE",
            help="Profile the process, and write cProfile statistics to FILE when it exits.",
        ),
    )
    for decorator in reversed(decorators):
        command = decorator(command)
    return command


@click.command()
@_daemon_options
def control(**options: str) -> None:
    """Run one replica of the control group.

    \b
    Example:
        merlinstand control --settings examples/vitrina/merlinstand.toml --node control-hall-a
    """
    ignore_reload_signal()
    from merlinstand.control.daemon import ControlDaemon

    _run(control_daemon, ControlDaemon, options)


@click.command()
@_daemon_options
def gateway(**options: str) -> None:
    """Run one gateway, which forwards callers' requests.

    \b
    Example:
        merlinstand gateway --settings examples/vitrina/merlinstand.toml --node gateway-hall-a
    """
    ignore_reload_signal()
    from merlinstand.gateway.daemon import GatewayDaemon

    _run(gateway_daemon, GatewayDaemon, options)


@click.command()
@_daemon_options
def coordinator(**options: str) -> None:
    """Run one coordinator, which delivers batches of samples to trainers.

    \b
    Example:
        merlinstand coordinator --settings examples/vitrina/merlinstand.toml \\
            --node coordinator-hall-a
    """
    ignore_reload_signal()
    from merlinstand.coordinator.daemon import CoordinatorDaemon

    _run(coordinator_daemon, CoordinatorDaemon, options)


def _run(
    find_settings: Callable[..., Result[Any, Any]],
    daemon_class: Callable[[Any], Reducer],
    options: dict[str, str],
) -> None:
    from merlinstand.runtime.process import run_host

    file, node = options["settings_file"], options["node"]
    deployment = unwrap(load_deployment(file))
    overrides = Overrides(
        address=options["address"],
        http_address=options["http_address"],
        health_address=options["health_address"],
        zone=options["zone"],
    )
    deployment = unwrap(override_node(file, deployment, node, overrides))
    found = unwrap(find_settings(deployment, node, options["data_folder"]))
    host_settings = msgspec.structs.replace(found.host, profile_path=options["profile"])
    sys.exit(run_host(daemon_class(found.role), host_settings))
