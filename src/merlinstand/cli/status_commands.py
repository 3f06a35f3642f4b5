"""`merlinstand status`: summary of the deployment's state."""

from typing import Any

import click
import msgspec

from merlinstand.cli.object_client import read_objects
from merlinstand.cli.operator_client import OperatorClient
from merlinstand.cli.options import operator_options
from merlinstand.cli.output import JSON, Column, print_object, print_rows, unwrap
from merlinstand.configuration.objects import Job

_DAEMON_COLUMNS = (
    Column("DAEMON", "node_id"),
    Column("ROLE", "role"),
    Column("ZONE", "zone"),
    Column("ADDRESS", "address"),
    Column("HTTP", "http_address"),
)
_WEIGHTS_COLUMNS = (Column("MODEL", "model"), Column("NEWEST", "version"))
_JOB_COLUMNS = (
    Column("JOB", "name"),
    Column("PHASE", "phase"),
    Column("MODE", "mode"),
    Column("OWNER", "owner"),
)


@click.command()
@operator_options
def status(client: OperatorClient, output: str) -> None:
    """Show the control group, the daemons, the jobs with their owners, and the newest weights.

    \b
    Example:
        merlinstand status --settings examples/vitrina/merlinstand.toml
    """
    from merlinstand.cli.members_commands import COLUMNS

    members = msgspec.to_builtins(unwrap(client.members(), output))
    leases = unwrap(client.leases(), output).leases
    daemons = [
        msgspec.to_builtins(stored.value)
        for stored in unwrap(read_objects(client, "daemon/"), output)
    ]
    owners = {lease.resource: lease.holder for lease in leases}
    jobs = [
        _job_row(stored.value, owners) for stored in unwrap(read_objects(client, "job/"), output)
    ]
    newest = [
        {"model": stored.value.model, "version": stored.value.versions[-1].version}
        for stored in unwrap(read_objects(client, "weights/"), output)
        if stored.value.versions
    ]
    if output == JSON:
        body = {"control": members, "daemons": daemons, "jobs": jobs, "weights": newest}
        body["leases"] = msgspec.to_builtins(leases)
        print_object(body, output)
        return
    print_rows(members["members"], COLUMNS, output)
    click.echo()
    print_rows(daemons, _DAEMON_COLUMNS, output)
    click.echo()
    print_rows(jobs, _JOB_COLUMNS, output)
    click.echo()
    print_rows(newest, _WEIGHTS_COLUMNS, output)


def _job_row(job: Job, owners: dict[str, str]) -> dict[str, Any]:
    row: dict[str, Any] = msgspec.to_builtins(job)
    return {**row, "owner": owners.get(f"job/{job.name}")}
