"""Response bodies of control's HTTP interface (JSON, docs/INTERFACES.md).

Only the fields that the command line reads are declared; others are ignored.
"""

from typing import Any

import msgspec


class ConfigurationItem(msgspec.Struct, frozen=True):
    """One configuration object, not yet converted to its class."""

    key: str
    revision: int
    value: dict[str, Any]


class Configuration(msgspec.Struct, frozen=True):
    """Configuration objects as of one revision."""

    revision: int
    objects: tuple[ConfigurationItem, ...]


class CommandResult(msgspec.Struct, frozen=True):
    """Outcome of a command, and the log position (revision) at which it was applied."""

    revision: int
    outcome: dict[str, Any]


class Member(msgspec.Struct, frozen=True):
    """One control replica."""

    node_id: str
    zone: str
    address: str
    voter: bool
    leader: bool
    match_index: int
    last_heard_seconds: float
    incarnation: int = 0


class Members(msgspec.Struct, frozen=True):
    """The control group's members; a member's `match_index` is a log position."""

    members: tuple[Member, ...]
    term: int = 0
    commit_index: int = 0


class Lease(msgspec.Struct, frozen=True):
    """One unexpired lease."""

    resource: str
    holder: str
    epoch: int = 0
    remaining_seconds: float = 0.0


class Leases(msgspec.Struct, frozen=True):
    """All unexpired leases."""

    leases: tuple[Lease, ...]
