"""Control's answers, as far as the command line reads them.

The JSON of control's HTTP interface (docs/INTERFACES.md); fields that are not named here are
ignored.
"""

from typing import Any

import msgspec


class ConfigurationItem(msgspec.Struct, frozen=True):
    """One object of the configuration."""

    key: str
    revision: int
    value: dict[str, Any]


class Configuration(msgspec.Struct, frozen=True):
    """Objects of the configuration at one revision."""

    revision: int
    objects: tuple[ConfigurationItem, ...]


class CommandResult(msgspec.Struct, frozen=True):
    """Control's answer to an applied command."""

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
    """The control group."""

    members: tuple[Member, ...]
    term: int = 0
    commit_index: int = 0


class Lease(msgspec.Struct, frozen=True):
    """One lease."""

    resource: str
    holder: str
    epoch: int = 0
    remaining_seconds: float = 0.0


class Leases(msgspec.Struct, frozen=True):
    """All leases."""

    leases: tuple[Lease, ...]
