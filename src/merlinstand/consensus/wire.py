"""Conversion of identities and log entries to and from the messages of `protocol/idl`."""

from merlinstand.common.ids import NodeId
from merlinstand.consensus.membership import Identity
from merlinstand.consensus.step import CommittedEntry as Entry
from merlinstand.consensus.step import EntryKind
from merlinstand.protocol.generated.consensus.ttypes import LogEntry, ReplicaIdentity


def to_wire_identity(identity: Identity) -> ReplicaIdentity:
    """Convert an identity for a message."""
    return ReplicaIdentity(identity.node_id, identity.incarnation)


def from_wire_identity(identity: ReplicaIdentity) -> Identity:
    """Convert an identity from a message."""
    return Identity(NodeId(identity.node_id), identity.incarnation)


def to_wire_entry(entry: Entry) -> LogEntry:
    """Convert an entry for a message."""
    return LogEntry(entry.index, entry.term, int(entry.kind), entry.payload, entry.group_time)


def from_wire_entry(entry: LogEntry) -> Entry:
    """Convert an entry from a message.

    Raises:
        ValueError: The kind is unknown.
    """
    kind = EntryKind(entry.kind)
    return Entry(entry.index, entry.term, kind, entry.payload, entry.group_time)
