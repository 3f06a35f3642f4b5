"""Status reports of daemons, and the members of the batch keepers' consensus group."""

from collections.abc import Collection

import msgspec


class DaemonReport(msgspec.Struct, frozen=True, kw_only=True):
    """The status of a daemon, sent with every directory pull."""

    node_id: str
    name: str
    """Machine name that operators use."""
    role: str
    zone: str = ""
    address: str = ""
    """Address of the internal protocol, `ip:port`."""
    http_address: str = ""
    """Address of the daemon's HTTP interface for other daemons; empty if it has none."""
    may_bootstrap: bool = msgspec.field(default=False, name="may_found")
    """Whether this is the first start of the whole deployment, so that a group may be created."""
    is_leader: bool = False
    """Batch keepers: whether this keeper leads the keepers' group."""
    term: int = 0
    members: tuple[str, ...] = ()
    """Batch keepers: node ids of the group's voters; reported by the group's leader only."""
    wall_seconds: float = 0.0
    """The machine's wall clock time in seconds since 1970; 0 before the first reading."""


class Keeper(msgspec.Struct, frozen=True, kw_only=True):
    """A batch keeper that reported recently."""

    node_id: str
    name: str
    zone: str
    address: str
    http_address: str
    is_leader: bool
    term: int
    has_replica: bool = msgspec.field(default=False, name="has_copy")
    """Whether the keeper has a replica of the jobs, according to the group's leader."""


def keeper_from_report(report: DaemonReport, members: Collection[str] = ()) -> Keeper:
    """Create a keeper from its status report.

    Args:
        report: The keeper's own report.
        members: Node ids of the group's voters, as reported by its leader.
    """
    return Keeper(
        node_id=report.node_id,
        name=report.name,
        zone=report.zone,
        address=report.address,
        http_address=report.http_address,
        is_leader=report.is_leader,
        term=report.term,
        has_replica=report.node_id in members,
    )


class KeeperGroup(msgspec.Struct, frozen=True):
    """The initial members of the batch keepers' group; decided once and never changed."""

    members: tuple[Keeper, ...]


class KeeperRetirements(msgspec.Struct, frozen=True):
    """Node ids of the keepers that operators are retiring from the group."""

    retiring: tuple[str, ...] = ()
