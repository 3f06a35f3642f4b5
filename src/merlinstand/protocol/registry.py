"""Which message classes may travel between processes.

Fields that hold msgpack name the module of their type in the comments of the interface definition.
These comments keep earlier names; the types are:

- `DirectoryPull.report`: `cluster.daemons.DaemonReport`,
- `DirectoryPull.cold_wishes`: `cold_servers.grants.GrantRequests`,
- `DirectoryUpdate.cold_grants`: `cold_servers.grants.ColdGrants`,
- `DirectoryPull.suspect_news`: `quarantine.messages.SuspectReport`,
- `BackendBeats.batch`: `directory.heartbeat_intake.HeartbeatBatch`.

A part's generated code is loaded with its first message: a gateway neither votes nor keeps a log,
and holds 0.3 MB less without those messages.
"""

import importlib
from functools import lru_cache
from typing import Any

_PARTS = {
    "consensus": (
        "VoteRequest",
        "VoteReply",
        "AppendRequest",
        "AppendReply",
        "SnapshotChunk",
        "SnapshotReply",
        "ElectNow",
        "JoinRequest",
    ),
    "control": (
        "Hello",
        "CommandRequest",
        "CommandReply",
        "QueryRequest",
        "QueryReply",
        "ConfigurationPull",
        "ConfigurationUpdate",
    ),
    "directory": (
        "DirectoryPull",
        "DirectoryUpdate",
        "BackendBeats",
    ),
}
_PART_OF = {name: part for part, names in _PARTS.items() for name in names}
MESSAGE_NAMES = tuple(_PART_OF)
"""Names on the wire, which are those of the classes."""


@lru_cache(maxsize=len(MESSAGE_NAMES) + 1)
def message_class(name: str) -> Any:
    """Give the class of a message's name on the wire; None if no such message may travel."""
    part = _PART_OF.get(name)
    if part is None:
        return None
    module = importlib.import_module(f"merlinstand.protocol.generated.{part}.ttypes")
    return getattr(module, name)
