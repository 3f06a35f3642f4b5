"""`merlinstand members`: lists and replaces the control replicas."""

import click
import msgspec

from merlinstand.cli.errors import UsageError
from merlinstand.cli.operator_client import OperatorClient
from merlinstand.cli.options import operator_options
from merlinstand.cli.output import Column, fail, print_object, print_rows, unwrap
from merlinstand.common.errors import NotFoundError

COLUMNS = (
    Column("NODE", "node_id"),
    Column("ZONE", "zone"),
    Column("ADDRESS", "address"),
    Column("VOTER", "voter"),
    Column("LEADER", "leader"),
    Column("MATCH", "match_index"),
    Column("HEARD", "last_heard_seconds"),
)


@click.group()
def members() -> None:
    """List the control replicas, or replace one."""


@members.command("list")
@operator_options
def list_members(client: OperatorClient, output: str) -> None:
    """List the control replicas.

    \b
    Example:
        merlinstand members list
    """
    found = unwrap(client.members(), output)
    print_rows(msgspec.to_builtins(found.members), COLUMNS, output)


@members.command()
@click.option("--remove", default="", metavar="NODE", help="Replica to remove from the group.")
@click.option("--add", default="", metavar="NODE", help="Replica to add to the group.")
@operator_options
def replace(client: OperatorClient, output: str, remove: str, add: str) -> None:
    """Replace a control replica: the new one catches up first, then the old one is removed.

    Without --add, the leader picks a standby that has announced itself. The group makes the
    change in steps after the command was accepted; `members list` shows the progress.

    \b
    Example:
        merlinstand members replace --remove control-hall-c --add control-hall-d
    """
    if not (remove or add):
        fail(UsageError(detail="pass --remove NODE, --add NODE or both"), output)
    unknown = _find_unknown_replica(client, output, remove, add)
    if unknown is not None:
        fail(unknown, output)
    command_result = unwrap(
        client.command({"command": "change_membership", "add_node": add, "remove_node": remove}),
        output,
    )
    print_object(
        {
            "added": add,
            "removed": remove,
            "result": "accepted",
            "revision": command_result.revision,
        },
        output,
    )


def _find_unknown_replica(
    client: OperatorClient, output: str, remove: str, add: str
) -> NotFoundError | None:
    """Return an error for an unknown replica.

    The group would accept the change and then wait for that replica indefinitely.
    """
    known = {member.node_id for member in unwrap(client.members(), output).members}
    known.update(client.settings.control_nodes)
    # Without a deployment file, the client does not know the replica to be added.
    names = (remove, add) if client.settings.control_nodes else (remove,)
    for name in names:
        if name and name not in known:
            detail = f"no control replica is named {name}; known: {', '.join(sorted(known))}"
            return NotFoundError(detail=detail)
    return None
