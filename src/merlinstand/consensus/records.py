"""Codec of a replica's records on disk: log entries, hard state and snapshots.

Journal records are msgpack arrays with an integer tag. The encoding must stay compatible with
existing data folders: fields may only be added at the end and with a default. `storage` frames and
checksums the records.
"""

import msgspec

from merlinstand.consensus.membership import EMPTY_MEMBERSHIP, Identity, Membership
from merlinstand.consensus.step import CommittedEntry as Entry
from merlinstand.consensus.step import EntryKind


class EntryRecord(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=0):
    """Journal record: a log entry, which replaces all entries from its index on."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes
    group_time: float


class HardState(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Journal record: current term and the vote granted in it; the last record is valid."""

    term: int = 0
    voted_for: Identity | None = None


class LogStart(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Journal record: index and term of the entry before the first one that follows."""

    index: int
    term: int


class FirstStart(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Journal record: the replica may bootstrap the group; see `first_start`."""


Record = EntryRecord | HardState | LogStart | FirstStart


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state machine at a log index, with the consensus metadata of that index."""

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
        msgspec.DecodeError: The bytes are not a valid record.
    """
    return _RECORD_DECODER.decode(data)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot for the disk and for transfer to followers."""
    return _ENCODER.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot.

    Raises:
        msgspec.DecodeError: The bytes are not a valid snapshot.
    """
    return _SNAPSHOT_DECODER.decode(data)
