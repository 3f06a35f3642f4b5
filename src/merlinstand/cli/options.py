"""Options shared by commands."""

import functools
from collections.abc import Callable
from typing import Any

import click
from result import Err

from merlinstand.cli.errors import UsageError
from merlinstand.cli.output import JSON, TABLE, fail, unwrap

SETTINGS_VARIABLE = "MERLINSTAND_SETTINGS"
TOKEN_VARIABLE = "MERLINSTAND_TOKEN"
CONTROL_VARIABLE = "MERLINSTAND_CONTROL"


def output_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add `--output table|json`."""
    return click.option(
        "--output",
        type=click.Choice((TABLE, JSON)),
        default=TABLE,
        show_default=True,
        help="Form of the result.",
    )(command)


def operator_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add what every operator command takes; the command gets `client` and `output`."""

    @functools.wraps(command)
    def run(
        *,
        settings_file: str,
        control: tuple[str, ...],
        token: str,
        timeout: float,
        command_id: str,
        expected_revision: int | None,
        output: str,
        **arguments: Any,
    ) -> Any:
        from merlinstand.cli.operator_client import ClientSettings, OperatorClient

        addresses, file_token, authority = _from_settings(settings_file, output)
        given = tuple(part for text in control for part in text.split(",") if part)
        if not (given or addresses):
            fail(UsageError(detail="give --control IP:PORT or --settings FILE"), output)
        settings = ClientSettings(
            addresses=given or addresses,
            token=token or file_token,
            authority=authority,
            timeout_seconds=timeout,
            command_id=command_id,
            expected_revision=expected_revision,
        )
        return command(client=OperatorClient(settings), output=output, **arguments)

    decorators = (
        click.option(
            "--settings",
            "settings_file",
            envvar=SETTINGS_VARIABLE,
            default="",
            metavar="FILE",
            help=f"Deployment file that names the control replicas (or ${SETTINGS_VARIABLE}).",
        ),
        click.option(
            "--control",
            multiple=True,
            envvar=CONTROL_VARIABLE,
            metavar="IP:PORT",
            help="HTTP address of a control replica; may be repeated.",
        ),
        click.option("--token", envvar=TOKEN_VARIABLE, default="", help="Operators' token."),
        click.option(
            "--timeout",
            default=15.0,
            show_default=True,
            help="Longest time to try, in seconds.",
        ),
        click.option(
            "--command-id",
            default="",
            help="Name of this command: repeating it under the same name is harmless.",
        ),
        click.option(
            "--expected-revision",
            type=int,
            default=None,
            help="Refuse unless the object still has this revision (0: must not exist).",
        ),
        output_option,
    )
    decorated: Callable[..., Any] = run
    for decorator in reversed(decorators):
        decorated = decorator(decorated)
    return decorated


def _from_settings(settings_file: str, output: str) -> tuple[tuple[str, ...], str, str]:
    """Give the control addresses, the token and the TLS authority of a deployment file."""
    if not settings_file:
        return (), "", ""
    from merlinstand.settings.daemons import load_deployment

    loaded = load_deployment(settings_file)
    if isinstance(loaded, Err):
        fail(loaded.err_value, output)
    settings = unwrap(loaded, output)
    addresses = tuple(table.http_address for table in settings.control)
    authority = settings.tls.authority if settings.tls else ""
    return addresses, settings.operators.token, authority
