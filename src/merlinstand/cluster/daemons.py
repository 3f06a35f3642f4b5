"""Daemons as they report themselves, and the batch keepers' group among them."""

from collections.abc import Collection

import msgspec


class DaemonReport(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's report on itself, sent with every pull."""

    node_id: str
    name: str
    """The machine's name, as operators know it."""
    role: str
    zone: str = ""
    address: str = ""
    """Internal protocol, `ip:port`."""
    http_address: str = ""
    """Where its HTTP interface for other daemons listens; empty if it has none."""
    may_bootstrap: bool = msgspec.field(default=False, name="may_found")
    """Whether this is the very first start of the whole system."""
    is_leader: bool = False
    """Batch keepers: leads the keepers' group."""
    term: int = 0
    members: tuple[str, ...] = ()
    """Batch keepers: node ids of the group's voters; only its leader reports them."""
    wall_seconds: float = 0.0
    """The machine's time of day in seconds since 1970; 0 before it was read."""


class Keeper(msgspec.Struct, frozen=True, kw_only=True):
    """A batch keeper that reported lately."""

    node_id: str
    name: str
    zone: str
    address: str
    http_address: str
    is_leader: bool
    term: int
    has_replica: bool = msgspec.field(default=False, name="has_copy")
    """Whether it holds the replicated jobs, by the report of the group's leader."""


def keeper_from_report(report: DaemonReport, members: Collection[str] = ()) -> Keeper:
    """Make a keeper of its report.

    Args:
        report: What the keeper said of itself.
        members: Node ids of the group's members, as its leader reports them.
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
    """The founding members of the batch keepers' group; decided once and for all."""

    members: tuple[Keeper, ...]


class KeeperRetirements(msgspec.Struct, frozen=True):
    """Node ids of keepers that operators want emptied."""

    retiring: tuple[str, ...] = ()
