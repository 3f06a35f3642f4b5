"""Entry point of the command `merlinstand`.

Commands import their modules when they run, so that a daemon does not load the code of other
roles and `--help` is fast.
"""

import importlib
import sys
from collections.abc import Sequence
from typing import Any

import click

from merlinstand.cli.errors import CommandInterruptedError, OutputError, UsageError
from merlinstand.cli.output import JSON, TABLE, fail
from merlinstand.common.errors import ExitCode

PROGRAM_NAME = "merlinstand"

EPILOG = """\b
Exit codes: 0 done, 1 failure, 2 usage, 3 invalid input, 4 not found, 5 conflict,
6 unavailable, 7 unauthorized.
Shell completion: eval "$(_MERLINSTAND_COMPLETE=bash_source merlinstand)"
(zsh_source and fish_source for the other shells)."""

_COMMANDS = {
    "control": "merlinstand.cli.daemon_commands:control",
    "gateway": "merlinstand.cli.daemon_commands:gateway",
    "coordinator": "merlinstand.cli.daemon_commands:coordinator",
    "settings": "merlinstand.cli.settings_commands:settings",
    "config": "merlinstand.cli.config_commands:config",
    "job": "merlinstand.cli.job_commands:job",
    "policy": "merlinstand.cli.policy_commands:policy",
    "backend": "merlinstand.cli.backend_commands:backend",
    "weights": "merlinstand.cli.weights_commands:weights",
    "members": "merlinstand.cli.members_commands:members",
    "status": "merlinstand.cli.status_commands:status",
}


class LazyGroup(click.Group):
    """A command group that imports its commands on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return all command names, in the order in which help lists them."""
        return list(_COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command; None if the name is unknown."""
        target = _COMMANDS.get(cmd_name)
        if target is None:
            return None
        module_name, _colon, attribute = target.partition(":")
        command: click.Command = getattr(importlib.import_module(module_name), attribute)
        return command

    def main(
        self,
        args: Sequence[str] | None = None,
        prog_name: str | None = None,
        complete_var: str | None = None,
        standalone_mode: bool = True,
        windows_expand_args: bool = True,
        **extra: Any,
    ) -> Any:
        """Run a command line, and report every error on one line, as text or as JSON."""
        arguments = list(sys.argv[1:] if args is None else args)
        name = prog_name or PROGRAM_NAME
        if not standalone_mode:
            return super().main(arguments, name, complete_var, False, **extra)
        output = _find_output_format(arguments)
        invalid_argument = _find_non_utf8_argument(arguments)
        if invalid_argument is not None:
            fail(invalid_argument, output)
        try:
            exit_code = super().main(arguments, name, complete_var, False, **extra)
        except click.exceptions.NoArgsIsHelpError as error:
            error.show()
            sys.exit(ExitCode.USAGE)
        except click.ClickException as error:
            fail(_usage_error(error), output)
        except OSError as error:
            # Errors of input and network are handled where they occur; this one is of the output.
            fail(OutputError(detail=error.strerror or str(error)), output)
        except click.Abort:
            fail(CommandInterruptedError(detail="interrupted by the operator"), output)
        sys.exit(exit_code if isinstance(exit_code, int) else ExitCode.OK)


def _find_output_format(arguments: Sequence[str]) -> str:
    """Detect `--output json` even in a command line that cannot be parsed."""
    command_line = " ".join(arguments).replace("--output=", "--output ")
    return JSON if f"--output {JSON}" in command_line else TABLE


def _find_non_utf8_argument(arguments: Sequence[str]) -> UsageError | None:
    """Return an error for the first argument that is not valid UTF-8, which cannot be sent."""
    for argument in arguments:
        try:
            argument.encode("utf-8")
        except UnicodeEncodeError:
            return UsageError(detail=f"{argument!a}: expected UTF-8 text")
    return None


def _usage_error(error: click.ClickException) -> UsageError:
    context = error.ctx if isinstance(error, click.UsageError) else None
    command_path = context.command_path if context is not None else PROGRAM_NAME
    message = error.format_message().rstrip(".")
    return UsageError(detail=f"{command_path}: {message}", command_path=command_path)


@click.group(name=PROGRAM_NAME, cls=LazyGroup, epilog=EPILOG)
@click.version_option(package_name="merlinstand")
def main() -> None:
    """Run merlinstand's daemons, and operate a deployment.

    \b
    Example:
        merlinstand control --settings merlinstand.toml --node control-hall-a
        merlinstand status --settings merlinstand.toml
    """


if __name__ == "__main__":
    main()
