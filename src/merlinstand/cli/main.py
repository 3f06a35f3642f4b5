"""The command `merlinstand`: daemons and the operators' client.

Commands load their modules when they run, so that a daemon loads nothing of another role
and help is quick.
"""

import importlib

import click

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
    """A group whose commands are imported when they are needed."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Give all names, in the order of the table."""
        return list(_COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import one command."""
        target = _COMMANDS.get(cmd_name)
        if target is None:
            return None
        module_name, _colon, attribute = target.partition(":")
        command: click.Command = getattr(importlib.import_module(module_name), attribute)
        return command


@click.group(cls=LazyGroup, epilog=EPILOG)
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
