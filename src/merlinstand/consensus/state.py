"""State of a replica that all its roles share, and the primitive steps on it.

Owns the log, the hard state (term and vote), the membership, the snapshot, the journal of pending
writes and the outbox of the step being made. `election`, `follower` and `leader` work on it;
`replica` calls `finish_step` at the end of each call, which hands the outbox over as a `Step`.
"""

import enum
import random
from typing import Any

from merlinstand.common.ids import NodeId
from merlinstand.consensus.journal import Journal
from merlinstand.consensus.log import ReplicaLog
from merlinstand.consensus.membership import Identity, Membership
from merlinstand.consensus.membership_history import MembershipHistory
from merlinstand.consensus.records import (
    HardState,
    LogStart,
    Snapshot,
    decode_snapshot,
    encode_entry,
    encode_record,
    encode_snapshot,
)
from merlinstand.consensus.settings import ReplicaSettings
from merlinstand.consensus.step import CommittedEntry as Entry
from merlinstand.consensus.step import EntryKind, LeadershipChange, Step
from merlinstand.kernel.effects import (
    CancelTimer,
    Effect,
    LearnAddress,
    LogEvent,
    SendMessage,
    SetTimer,
)

TIMER_PREFIX = "consensus."
ELECTION_TIMER = "consensus.election"
HEARTBEAT_TIMER = "consensus.heartbeat"
JOIN_TIMER = "consensus.join"
HAND_OVER_TIMER = "consensus.hand_over"


class Role(enum.Enum):
    """What a replica does in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    """Asks whether it could win, without raising its term."""
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaState:
    """Log, hard state, membership and the outbox of the step being made."""

    def __init__(self, settings: ReplicaSettings) -> None:
        """Make the state of a replica that has not started."""
        self.settings = settings
        self.identity = Identity(settings.node_id, 0)
        self.random = random.Random(0)
        self.role = Role.FOLLOWER
        self.term = 0
        self.voted_for: Identity | None = None
        self.leader: Identity | None = None
        self.log = ReplicaLog()
        self.history = MembershipHistory()
        self.journal = Journal()
        self.was_first_start = False
        """Whether the disk was there at the first start of all: it may still found the group."""
        self.snapshot = Snapshot()
        self.snapshot_data = b""
        self.commit_index = 0
        self.delivered_index = 0
        self._hard_state_position = 0
        self._addresses: dict[NodeId, str] = {}
        self._bytes_since_snapshot = 0
        self._snapshot_asked_for = False
        self._begin_step()

    def _begin_step(self) -> None:
        self._effects: list[Effect] = []
        self._restored: bytes | None = None
        self._leadership: LeadershipChange | None = None
        self._reads_ready: list[str] = []
        self._reads_failed: list[str] = []
        self._hand_over_ended = False

    # Membership

    @property
    def membership(self) -> Membership:
        """The membership in force here."""
        return self.history.current

    @property
    def is_voter(self) -> bool:
        """Whether this very replica (node and incarnation) may vote."""
        return self.membership.is_voter(self.identity)

    @property
    def is_blank(self) -> bool:
        """Whether this replica holds nothing of any group."""
        return self.log.is_empty and self.membership.is_empty

    # Outbox

    def emit(self, effect: Effect) -> None:
        """Add an effect to the step."""
        self._effects.append(effect)

    def send(self, receiver: NodeId, message: Any) -> None:
        """Send a message that depends on nothing unsynced."""
        self._effects.append(SendMessage(receiver, message))

    def send_when_synced(self, receiver: NodeId, message: Any) -> None:
        """Send a message once everything written so far is durable."""
        effect = self.journal.hold_until_synced(SendMessage(receiver, message))
        if effect is not None:
            self._effects.append(effect)

    def set_timer(self, name: str, delay_seconds: float) -> None:
        """Arm a timer."""
        self._effects.append(SetTimer(name, delay_seconds))

    def cancel_timer(self, name: str) -> None:
        """Disarm a timer."""
        self._effects.append(CancelTimer(name))

    def log_event(self, name: str, severity: str = "info", **fields: Any) -> None:
        """Write a log line."""
        self._effects.append(LogEvent(f"consensus.{name}", {"term": self.term, **fields}, severity))

    def learn_address(self, node_id: NodeId, address: str) -> None:
        """Tell the transport where a node listens, if it is new."""
        if address and node_id != self.identity.node_id and self._addresses.get(node_id) != address:
            self._addresses[node_id] = address
            self._effects.append(LearnAddress(node_id, address))

    def address_of(self, node_id: NodeId) -> str | None:
        """Where a node listens, as far as known."""
        if node_id == self.identity.node_id:
            return self.settings.address
        return self._addresses.get(node_id)

    def note_leadership(self, change: LeadershipChange) -> None:
        """Report that the own leadership began or ended."""
        self._leadership = change

    def reads_passed(self, read_ids: list[str]) -> None:
        """Report passed read barriers."""
        self._reads_ready.extend(read_ids)

    def reads_refused(self, read_ids: list[str]) -> None:
        """Report read barriers that can't be passed."""
        self._reads_failed.extend(read_ids)

    def note_hand_over_ended(self) -> None:
        """Report the end of a hand-over."""
        self._hand_over_ended = True

    # Hard state

    def set_hard_state(self, term: int, voted_for: Identity | None) -> None:
        """Change term and vote; whatever depends on them must be sent when synced."""
        assert term >= self.term, "terms never go back"
        if term == self.term and voted_for == self.voted_for:
            return
        self.term = term
        self.voted_for = voted_for
        self.persist_hard_state()

    def persist_hard_state(self) -> None:
        """Write term and vote to the journal."""
        self.journal.write(encode_record(HardState(self.term, self.voted_for)))
        self._hard_state_position = self.journal.position

    @property
    def unsynced_hard_state(self) -> bool:
        """Whether term or vote aren't durable yet."""
        return self.journal.synced_position < self._hard_state_position

    # Log

    def append_entry(self, entry: Entry) -> None:
        """Append to the log and the journal."""
        self.log.append(entry)
        self.journal.write_entry(encode_entry(entry), entry.index)
        if self.history.note(entry):
            self.membership_changed()

    def truncate_from(self, index: int) -> None:
        """Drop uncommitted entries that a new leader replaces."""
        assert index > self.commit_index, "committed entries are never dropped"
        self.log.truncate_from(index)
        self.journal.truncate_from(index)
        if self.history.truncate_from(index):
            self.membership_changed()

    def membership_changed(self) -> None:
        """Make the newest membership known to the transport."""
        for member in self.membership.members():
            self.learn_address(member.identity.node_id, member.address)

    def last_group_time(self) -> float:
        """The group time of the newest entry: where a new leader's clock begins.

        Only the log may tell. A time heard from an earlier leader can be ahead of the
        clock of a later one, under which a lease was granted meanwhile.
        """
        entry = self.log.entry_at(self.log.last_index)
        return entry.group_time if entry is not None else self.snapshot.group_time

    # Snapshots

    def compact(self, applied_index: int, state: bytes) -> None:
        """Save a snapshot as of a delivered position and cut the log behind it."""
        self._snapshot_asked_for = False
        term = self.log.term_at(applied_index)
        if applied_index <= self.snapshot.last_index or term is None:
            return
        assert applied_index <= self.delivered_index, "only delivered entries can be in a snapshot"
        entry = self.log.entry_at(applied_index)
        membership_index, membership = self.history.at(applied_index)
        self.snapshot = Snapshot(
            last_index=applied_index,
            last_term=term,
            group_time=entry.group_time if entry is not None else self.snapshot.group_time,
            membership=membership,
            membership_index=membership_index,
            state=state,
        )
        self.snapshot_data = encode_snapshot(self.snapshot)
        self._bytes_since_snapshot = 0
        self.log.cut_through(self._cut_index(applied_index))
        self.history.cut_through(self.log.base_index)
        self._save_snapshot()

    def _cut_index(self, applied_index: int) -> int:
        """Where to cut so that followers a little behind need no snapshot."""
        limits = self.settings.limits
        index = applied_index
        retained_bytes = 0
        retained_entries = min(limits.retained_entries, limits.compaction_entries // 4)
        oldest = max(self.log.base_index, applied_index - retained_entries)
        while index > oldest:
            entry = self.log.entry_at(index)
            retained_bytes += len(entry.payload) if entry is not None else 0
            if retained_bytes > limits.retained_bytes:
                break
            index -= 1
        return index

    def install_snapshot(self, data: bytes) -> None:
        """Replace log and state by a leader's snapshot; keep a suffix that follows it."""
        snapshot = decode_snapshot(data)
        self.snapshot = snapshot
        self.snapshot_data = data
        self._bytes_since_snapshot = 0
        if self.log.term_at(snapshot.last_index) == snapshot.last_term:
            self.log.cut_through(snapshot.last_index)
            self.history.cut_through(snapshot.last_index)
        else:
            self.log.reset(snapshot.last_index, snapshot.last_term)
            self.history.reset(snapshot.membership, snapshot.membership_index)
            self.journal.truncate_from(snapshot.last_index + 1)
        self.commit_index = max(self.commit_index, snapshot.last_index)
        self.delivered_index = snapshot.last_index
        self._restored = snapshot.state
        self._save_snapshot()
        self.membership_changed()

    def _save_snapshot(self) -> None:
        entries = self.log.between(self.log.base_index + 1, self.log.last_index)
        records = [
            encode_record(LogStart(self.log.base_index, self.log.base_term)),
            encode_record(HardState(self.term, self.voted_for)),
            *(encode_entry(entry) for entry in entries),
        ]
        self.journal.save_snapshot(self.snapshot_data, tuple(records), self.log.last_index)

    # End of a step

    def finish_step(self) -> Step:
        """Start the next disk write, deliver what is committed and return the step."""
        write = self.journal.next_write()
        if write is not None:
            self._effects.append(write)
        step = Step(
            effects=tuple(self._effects),
            restored=self._restored,
            committed=self._deliver(),
            leadership=self._leadership,
            reads_ready=tuple(self._reads_ready),
            reads_failed=tuple(self._reads_failed),
            snapshot_wanted=self._wants_snapshot(),
            hand_over_ended=self._hand_over_ended,
        )
        self._begin_step()
        return step

    def _deliver(self) -> tuple[Entry, ...]:
        if self.delivered_index >= self.commit_index:
            return ()
        committed = self.log.between(self.delivered_index + 1, self.commit_index)
        self.delivered_index = self.commit_index
        for entry in committed:
            self._bytes_since_snapshot += len(entry.payload)
        return tuple(committed)

    def _wants_snapshot(self) -> bool:
        limits = self.settings.limits
        applied_entries = self.delivered_index - self.snapshot.last_index
        wanted = (
            applied_entries >= limits.compaction_entries
            or self._bytes_since_snapshot >= limits.compaction_bytes
        )
        if not wanted or self._snapshot_asked_for:
            return False
        self._snapshot_asked_for = True
        return True

    def own_entry(self, kind: EntryKind, payload: bytes, group_time: float) -> Entry:
        """Append an entry of the current term (leader only)."""
        entry = Entry(self.log.last_index + 1, self.term, kind, payload, group_time)
        self.append_entry(entry)
        return entry
