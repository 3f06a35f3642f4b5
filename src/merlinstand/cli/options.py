"""Options shared by several commands."""

import functools
from collections.abc import Callable
from typing import Any

import click
import msgspec

from merlinstand.cli.output import JSON, TABLE, fail, unwrap

SETTINGS_VARIABLE = "MERLINSTAND_SETTINGS"
TOKEN_VARIABLE = "MERLINSTAND_TOKEN"
CONTROL_VARIABLE = "MERLINSTAND_CONTROL"


class ControlAccess(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, node ids and credentials of the control replicas, from a deployment file."""

    addresses: tuple[str, ...] = ()
    nodes: tuple[str, ...] = ()
    token: str = ""
    authority: str = ""


def output_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add `--output table|json`."""
    return click.option(
        "--output",
        type=click.Choice((TABLE, JSON)),
        default=TABLE,
        show_default=True,
        help="Format of the result.",
    )(command)


_OPERATOR_OPTIONS = (
    click.option(
        "--settings",
        "settings_file",
        envvar=SETTINGS_VARIABLE,
        default="",
        metavar="FILE",
        help=f"Deployment file that lists the control replicas (or ${SETTINGS_VARIABLE}).",
    ),
    click.option(
        "--control",
        multiple=True,
        envvar=CONTROL_VARIABLE,
        metavar="IP:PORT",
        help=f"HTTP address of a control replica; may be repeated (or ${CONTROL_VARIABLE}).",
    ),
    click.option(
        "--token",
        envvar=TOKEN_VARIABLE,
        default="",
        help=f"Operators' token (or ${TOKEN_VARIABLE}).",
    ),
    click.option(
        "--authority",
        default="",
        metavar="FILE",
        help="CA certificates (PEM) that sign the replicas' certificates, if they use TLS.",
    ),
    click.option(
        "--timeout",
        type=click.FloatRange(min=0.0, min_open=True),
        default=15.0,
        show_default=True,
        help="Limit for each request to control with its retries, in seconds.",
    ),
    click.option(
        "--command-id",
        default="",
        help="Id of this command: repeating it under the same id is safe.",
    ),
    click.option(
        "--expected-revision",
        type=click.IntRange(min=0),
        default=None,
        help="Refuse unless the object still has this revision (0: must not exist).",
    ),
    output_option,
)


def operator_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options of all operator commands; the command receives `client` and `output`."""

    @functools.wraps(command)
    def run(
        *,
        settings_file: str,
        control: tuple[str, ...],
        token: str,
        authority: str,
        timeout: float,
        command_id: str,
        expected_revision: int | None,
        output: str,
        **arguments: Any,
    ) -> Any:
        access = _read_control_access(settings_file, output)
        control_addresses = tuple(part for text in control for part in text.split(",") if part)
        client = _make_client(
            output,
            addresses=control_addresses or access.addresses,
            control_nodes=access.nodes,
            token=token or access.token,
            authority=authority or access.authority,
            timeout_seconds=timeout,
            command_id=command_id,
            expected_revision=expected_revision,
        )
        return command(client=client, output=output, **arguments)

    decorated: Callable[..., Any] = run
    for decorator in reversed(_OPERATOR_OPTIONS):
        decorated = decorator(decorated)
    return decorated


def _make_client(output: str, **settings: Any) -> Any:
    """Make the client, or exit with an error if its settings are invalid."""
    from merlinstand.cli.client_settings import ClientSettings, find_invalid_setting
    from merlinstand.cli.operator_client import OperatorClient

    client_settings = ClientSettings(**settings)
    error = find_invalid_setting(client_settings)
    if error is not None:
        fail(error, output)
    return OperatorClient(client_settings)


def _read_control_access(settings_file: str, output: str) -> ControlAccess:
    """Read a deployment file's control replicas; empty if no file is named."""
    if not settings_file:
        return ControlAccess()
    from merlinstand.settings.daemons import load_deployment

    settings = unwrap(load_deployment(settings_file), output)
    return ControlAccess(
        addresses=tuple(table.http_address for table in settings.control),
        nodes=tuple(table.node for table in settings.control),
        token=settings.operators.token,
        authority=settings.tls.authority if settings.tls else "",
    )
