"""The permission to found a group, kept on the disk of those that had it.

Only the first start of a whole system may found a group, and a process is told so once. A founder
that dies before the group is founded would start again without the permission, and nobody else
founds it. A wiped disk has lost the permission, as it must: the group may live elsewhere.
"""

from merlinstand.consensus.records import FirstStart, decode_record, encode_record
from merlinstand.kernel.effects import AppendRecords, Effect
from merlinstand.kernel.events import Event, RecordsSynced, Started

FIRST_START_TOKEN = -1
"""Of the write that keeps the permission; a replica counts its own writes from 1."""


def has_first_start_record(event: Started) -> bool:
    """Whether a disk was there at the first start of all.

    Raises:
        msgspec.DecodeError: A record is malformed.
    """
    return any(isinstance(decode_record(data), FirstStart) for data in event.records)


def persist_first_start(event: Started, may_bootstrap: bool) -> list[Effect]:
    """Keep the permission, if a blank disk is told of it for the first time."""
    is_blank = not event.records and event.snapshot is None
    if not (may_bootstrap and is_blank):
        return []
    return [AppendRecords((encode_record(FirstStart()),), FIRST_START_TOKEN)]


def is_first_start_synced(event: Event) -> bool:
    """Whether an event only tells that the permission is durable: nothing waits for it."""
    return isinstance(event, RecordsSynced) and event.token == FIRST_START_TOKEN
