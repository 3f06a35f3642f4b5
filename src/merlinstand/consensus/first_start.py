"""Record of the permission to bootstrap a group, written to the journal.

Only the first start of a whole system may bootstrap a group, and a process receives this
permission only once. The record lets a process that stops before the bootstrap completes try again
after a restart. The record is deliberately kept on no other disk: if this disk is lost, the group
may already exist on other nodes.
"""

from merlinstand.consensus.records import FirstStart, decode_record, encode_record
from merlinstand.kernel.effects import AppendRecords, Effect
from merlinstand.kernel.events import Event, RecordsSynced, Started

FIRST_START_TOKEN = -1
"""Token of the write of this record; a replica's own writes have tokens from 1."""


def has_first_start_record(event: Started) -> bool:
    """Whether the disk holds the record of the first start.

    Raises:
        msgspec.DecodeError: A record is malformed.
    """
    return any(isinstance(decode_record(data), FirstStart) for data in event.records)


def persist_first_start(event: Started, may_bootstrap: bool) -> list[Effect]:
    """Write the record if the process may bootstrap and its disk is blank."""
    is_blank = not event.records and event.snapshot is None
    if not (may_bootstrap and is_blank):
        return []
    return [AppendRecords((encode_record(FirstStart()),), FIRST_START_TOKEN)]


def is_first_start_synced(event: Event) -> bool:
    """Whether an event confirms the write of the record, which needs no further handling."""
    return isinstance(event, RecordsSynced) and event.token == FIRST_START_TOKEN
