"""Rebuild a replica's state from what its disk held.

The snapshot first, then the journal's records in their order, before anything else happens; bytes
that contradict each other end the start.
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
    """The journal's records contradict each other or can't be decoded.

    The storage layer vouches for every record by its checksum, so this is a defect or a
    journal of another program; going on could forget a vote. The host must not start.
    """


def recover(state: ReplicaState, event: Started) -> bytes | None:
    """Fill the state from the disk's content.

    Returns:
        The state machine's snapshot, if there is one.

    Raises:
        JournalContentError: The content makes no sense.
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
    """Whether the disk knows the members of its group.

    A replica that voted but never took an entry has records, too, and knows nobody.

    Raises:
        JournalContentError: The content makes no sense.
    """
    state = ReplicaState(settings)
    recover(state, event)
    return not state.membership.is_empty


def _restore_snapshot(state: ReplicaState, data: bytes) -> None:
    try:
        state.snapshot = decode_snapshot(data)
    except DECODE_ERRORS as error:
        raise JournalContentError(f"undecodable snapshot: {error}") from error
    state.snapshot_data = data
    snapshot = state.snapshot
    state.log = ReplicaLog(snapshot.last_index, snapshot.last_term)
    state.history = MembershipHistory(snapshot.membership, snapshot.membership_index)
    state.commit_index = state.delivered_index = snapshot.last_index


def _decode(data: bytes) -> Record:
    try:
        return decode_record(data)
    except DECODE_ERRORS as error:
        raise JournalContentError(f"undecodable journal record: {error}") from error


def _replay(state: ReplicaState, record: Record) -> None:
    if isinstance(record, HardState):
        state.term, state.voted_for = record.term, record.voted_for
    elif isinstance(record, LogStart):
        state.log.reset(record.index, record.term)
    elif isinstance(record, FirstStart):
        state.was_first_start = True
    else:
        _replay_entry(state, record)


def _replay_entry(state: ReplicaState, record: EntryRecord) -> None:
    if record.index > state.log.last_index + 1 or record.index <= state.log.base_index:
        raise JournalContentError(
            f"entry {record.index} does not follow {state.log.last_index} in the journal"
        )
    if record.index <= state.log.last_index:
        state.log.truncate_from(record.index)
        state.history.truncate_from(record.index)
    state.log.append(
        Entry(record.index, record.term, record.kind, record.payload, record.group_time)
    )
    # Retained entries up to the snapshot's position are already part of its membership.
    if record.index > state.history.current_index:
        state.history.note(state.log.entry_at(record.index))  # type: ignore[arg-type]
