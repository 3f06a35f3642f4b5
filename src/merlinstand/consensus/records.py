"""What a replica keeps on disk: log entries, hard state and snapshots, with their codec.

Msgpack arrays, told apart by a tag. Their bytes are those of folders in use: fields may only be
added, at the end and with a default. `recovery` reads them back; `storage` frames and checksums
them.
"""

import msgspec

from merlinstand.consensus.membership import EMPTY_MEMBERSHIP, Identity, Membership
from merlinstand.consensus.step import CommittedEntry as Entry
from merlinstand.consensus.step import EntryKind


class EntryRecord(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=0):
    """Journal record: append this entry; it replaces any suffix from its index on."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes
    group_time: float


class HardState(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Journal record: the newest term and the vote given in it; the last one counts."""

    term: int = 0
    voted_for: Identity | None = None


class LogStart(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Journal record: position and term just before the first entry that follows."""

    index: int
    term: int


class FirstStart(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Journal record: the disk was there at the first start of all; see `first_start`."""


Record = EntryRecord | HardState | LogStart | FirstStart


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state machine as of a log position, with what consensus must remember of it."""

    last_index: int = 0
    last_term: int = 0
    group_time: float = 0.0
    membership: Membership = EMPTY_MEMBERSHIP
    """The newest membership at `last_index`."""
    membership_index: int = 0
    state: bytes = b""


_RECORD_DECODER = msgspec.msgpack.Decoder(Record)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
_ENCODER = msgspec.msgpack.Encoder()


def encode_entry(entry: Entry) -> bytes:
    """Encode a log entry as a journal record."""
    record = EntryRecord(entry.index, entry.term, entry.kind, entry.payload, entry.group_time)
    return _ENCODER.encode(record)


def encode_record(record: HardState | LogStart | FirstStart) -> bytes:
    """Encode any other journal record."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode a journal record.

    Raises:
        msgspec.DecodeError: The bytes are no record.
    """
    return _RECORD_DECODER.decode(data)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot for the disk and for followers."""
    return _ENCODER.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot.

    Raises:
        msgspec.DecodeError: The bytes are no snapshot.
    """
    return _SNAPSHOT_DECODER.decode(data)
