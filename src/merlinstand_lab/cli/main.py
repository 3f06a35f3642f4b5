"""Entry point of `merlinstand-lab`; subcommands are imported only when used."""

import importlib

import click

_SUBCOMMANDS = {
    "standin": "merlinstand_lab.cli.standin",
    "run": "merlinstand_lab.cli.run",
    "verify": "merlinstand_lab.cli.verify",
    "simulate": "merlinstand_lab.simulator.cli",
    "account": "merlinstand_lab.accounts.cli",
    "capacity": "merlinstand_lab.capacity.cli",
}
"""Module of each subcommand; every module exposes `command`."""


class LazyGroup(click.Group):
    """A group that imports a subcommand when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Names of the subcommands."""
        return list(_SUBCOMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import one subcommand."""
        module_name = _SUBCOMMANDS.get(cmd_name)
        if module_name is None:
            return None
        command = importlib.import_module(module_name).command
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Laboratory of merlinstand: stand-ins, fleet, simulator, checkers, capacity.

    Example: merlinstand-lab run --settings examples/vitrina
    """


if __name__ == "__main__":
    main()
