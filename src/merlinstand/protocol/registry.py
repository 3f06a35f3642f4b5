"""The message classes that processes may send to each other.

The generated code of a file of the interface definition is imported with its first message. A
gateway, for instance, takes no part in consensus and uses 0.3 MB less memory without its messages.
"""

import importlib
from functools import lru_cache
from typing import Any

_MESSAGES_BY_FILE = {
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
_FILE_BY_MESSAGE = {name: file for file, names in _MESSAGES_BY_FILE.items() for name in names}
MESSAGE_NAMES = tuple(_FILE_BY_MESSAGE)
"""Names on the wire, equal to the class names."""


@lru_cache(maxsize=len(MESSAGE_NAMES) + 1)
def message_class(name: str) -> Any:
    """Return the class of a message by its name on the wire; None for an unregistered name."""
    file = _FILE_BY_MESSAGE.get(name)
    if file is None:
        return None
    module = importlib.import_module(f"merlinstand.protocol.generated.{file}.ttypes")
    return getattr(module, name)
