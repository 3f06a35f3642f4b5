"""`merlinstand members`: the control group."""

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
@click.option("--remove", default="", metavar="NODE", help="Replica that leaves the group.")
@click.option("--add", default="", metavar="NODE", help="Replica that joins it.")
@operator_options
def replace(client: OperatorClient, output: str, remove: str, add: str) -> None:
    """Replace a control replica: the new one learns first, then the old one leaves.

    Without --add, the leader takes a standby that announced itself. The group carries the
    change out step by step after it was accepted; `members list` shows how far it is.

    \b
    Example:
        merlinstand members replace --remove control-hall-c --add control-hall-d
    """
    if not (remove or add):
        fail(UsageError(detail="give --remove NODE, --add NODE or both"), output)
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
    """Refuse names that are no replica: the group would keep the order, and wait for ever."""
    known = {member.node_id for member in unwrap(client.members(), output).members}
    known.update(client.settings.control_nodes)
    # Without a deployment file, a replica that is to join can't be known here.
    names = (remove, add) if client.settings.control_nodes else (remove,)
    for name in names:
        if name and name not in known:
            detail = f"no control replica {name}; there are: {', '.join(sorted(known))}"
            return NotFoundError(detail=detail)
    return None
