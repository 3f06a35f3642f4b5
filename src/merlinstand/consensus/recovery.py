"""Recovery of a replica's state from its disk: the snapshot, then the journal's records in order.

The start fails if records are inconsistent.
"""

import random

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.consensus.journal import Journal
from merlinstand.consensus.log import ReplicaLog
from merlinstand.consensus.membership import Identity
from merlinstand.consensus.membership_history import MembershipHistory
from merlinstand.consensus.records import (
    EntryRecord,
    FirstStart,
    HardState,
    LogStart,
    Record,
    decode_record,
    decode_snapshot,
)
from merlinstand.consensus.settings import ReplicaSettings
from merlinstand.consensus.state import ReplicaState
from merlinstand.consensus.step import CommittedEntry as Entry
from merlinstand.kernel.events import Started


class JournalContentError(Exception):
    """The journal's records or the snapshot are inconsistent or cannot be decoded.

    The storage layer verifies checksums, so this indicates a bug or the journal of another
    program. The process must not start, because it could lose a vote.
    """


def recover(state: ReplicaState, event: Started) -> bytes | None:
    """Restore the state from the content of the disk.

    Returns:
        The state machine's snapshot, if there is one.

    Raises:
        JournalContentError: The content is inconsistent or cannot be decoded.
    """
    state.identity = Identity(event.node_id, event.incarnation)
    state.random = random.Random(event.seed)
    if event.snapshot is not None:
        _restore_snapshot(state, event.snapshot)
    for data in event.records:
        _replay(state, _decode(data))
    state.journal = Journal(durable_index=state.log.last_index)
    return state.snapshot.state if event.snapshot is not None else None


def holds_membership(settings: ReplicaSettings, event: Started) -> bool:
    """Whether the disk holds a membership of the group.

    A replica that voted but never received an entry has records but no membership.

    Raises:
        JournalContentError: The content is inconsistent or cannot be decoded.
    """
    state = ReplicaState(settings)
    recover(state, event)
    return not state.membership.is_empty


def _restore_snapshot(state: ReplicaState, data: bytes) -> None:
    try:
        state.snapshot = decode_snapshot(data)
    except DECODE_ERRORS as error:
        raise JournalContentError(f"cannot decode snapshot: {error}") from error
    state.snapshot_data = data
    snapshot = state.snapshot
    state.log = ReplicaLog(snapshot.last_index, snapshot.last_term)
    state.history = MembershipHistory(snapshot.membership, snapshot.membership_index)
    state.commit_index = state.delivered_index = snapshot.last_index


def _decode(data: bytes) -> Record:
    try:
        return decode_record(data)
    except DECODE_ERRORS as error:
        raise JournalContentError(f"cannot decode journal record: {error}") from error


def _replay(state: ReplicaState, record: Record) -> None:
    if isinstance(record, HardState):
        state.term, state.voted_for = record.term, record.voted_for
    elif isinstance(record, LogStart):
        state.log.reset(record.index, record.term)
    elif isinstance(record, FirstStart):
        state.has_first_start_record = True
    else:
        _replay_entry(state, record)


def _replay_entry(state: ReplicaState, record: EntryRecord) -> None:
    if record.index > state.log.last_index + 1 or record.index <= state.log.base_index:
        raise JournalContentError(
            f"journal entry {record.index} does not continue the log, whose last index is"
            f" {state.log.last_index}"
        )
    if record.index <= state.log.last_index:
        state.log.truncate_from(record.index)
        state.history.truncate_from(record.index)
    state.log.append(
        Entry(record.index, record.term, record.kind, record.payload, record.group_time)
    )
    # The snapshot's membership already includes the retained entries through its index.
    if record.index > state.history.current_index:
        state.history.record(state.log.entry_at(record.index))  # type: ignore[arg-type]
