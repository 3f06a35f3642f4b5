"""State of a replica that is shared by its roles, with the basic operations on it.

`election`, `follower` and `leader` change the state and add effects to the current step; `replica`
calls `finish_step` at the end of each call, which returns them as a `Step`.
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
    """Role of a replica in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    """Asks for pre-votes, without incrementing its term."""
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaState:
    """Log, hard state (term and vote), membership, snapshot, journal and the current step."""

    def __init__(self, settings: ReplicaSettings) -> None:
        """Create the state of a replica that has not started."""
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
        self.has_first_start_record = False
        """Whether the disk holds the `FirstStart` record, which permits to bootstrap the group."""
        self.snapshot = Snapshot()
        self.snapshot_data = b""
        self.commit_index = 0
        self.delivered_index = 0
        self._hard_state_position = 0
        self._addresses: dict[NodeId, str] = {}
        self._bytes_since_snapshot = 0
        self._snapshot_requested = False
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
        """The newest membership in the log, committed or not."""
        return self.history.current

    @property
    def is_voter(self) -> bool:
        """Whether this identity (node and incarnation) is a voter."""
        return self.membership.is_voter(self.identity)

    @property
    def is_blank(self) -> bool:
        """Whether this replica has neither log entries nor a membership."""
        return self.log.is_empty and self.membership.is_empty

    # Effects

    def emit(self, effect: Effect) -> None:
        """Add an effect to the current step."""
        self._effects.append(effect)

    def send(self, receiver: NodeId, message: Any) -> None:
        """Send a message that does not depend on an unsynced write."""
        self._effects.append(SendMessage(receiver, message))

    def send_when_synced(self, receiver: NodeId, message: Any) -> None:
        """Send a message once everything written so far is durable."""
        effect = self.journal.hold_until_synced(SendMessage(receiver, message))
        if effect is not None:
            self._effects.append(effect)

    def set_timer(self, name: str, delay_seconds: float) -> None:
        """Start a timer, replacing a running one of the same name."""
        self._effects.append(SetTimer(name, delay_seconds))

    def cancel_timer(self, name: str) -> None:
        """Stop a timer."""
        self._effects.append(CancelTimer(name))

    def log_event(self, name: str, severity: str = "info", **fields: Any) -> None:
        """Write the log event `consensus.<name>` with the current term and the given fields."""
        self._effects.append(LogEvent(f"consensus.{name}", {"term": self.term, **fields}, severity))

    def learn_address(self, node_id: NodeId, address: str) -> None:
        """Pass a node's address to the transport if the address is new."""
        if address and node_id != self.identity.node_id and self._addresses.get(node_id) != address:
            self._addresses[node_id] = address
            self._effects.append(LearnAddress(node_id, address))

    def address_of(self, node_id: NodeId) -> str | None:
        """Return a node's internal address, or None if it is unknown."""
        if node_id == self.identity.node_id:
            return self.settings.address
        return self._addresses.get(node_id)

    def report_leadership_change(self, change: LeadershipChange) -> None:
        """Report in the step that this replica became or stopped being the leader."""
        self._leadership = change

    def report_reads_ready(self, read_ids: list[str]) -> None:
        """Report read barriers that were passed."""
        self._reads_ready.extend(read_ids)

    def report_reads_failed(self, read_ids: list[str]) -> None:
        """Report read barriers that cannot be passed."""
        self._reads_failed.extend(read_ids)

    def report_hand_over_ended(self) -> None:
        """Report in the step that a hand-over has ended."""
        self._hand_over_ended = True

    # Hard state

    def set_hard_state(self, term: int, voted_for: Identity | None) -> None:
        """Change term and vote; messages that depend on them need `send_when_synced`."""
        assert term >= self.term, "the term must not decrease"
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
    def has_unsynced_hard_state(self) -> bool:
        """Whether the current term or vote is not durable yet."""
        return self.journal.synced_position < self._hard_state_position

    # Log

    def append_entry(self, entry: Entry) -> None:
        """Append an entry to the log and the journal."""
        self.log.append(entry)
        self.journal.write_entry(encode_entry(entry), entry.index)
        if self.history.record(entry):
            self.membership_changed()

    def truncate_from(self, index: int) -> None:
        """Drop uncommitted entries from `index` on, which a new leader replaces."""
        assert index > self.commit_index, "committed entries must not be dropped"
        self.log.truncate_from(index)
        self.journal.truncate_from(index)
        if self.history.truncate_from(index):
            self.membership_changed()

    def membership_changed(self) -> None:
        """Pass the addresses of the newest membership to the transport."""
        for member in self.membership.members():
            self.learn_address(member.identity.node_id, member.address)

    def last_group_time(self) -> float:
        """Return the group time of the newest entry, at which a new leader starts.

        Only the log is used: a time received from an earlier leader can be ahead of that of a
        later leader, under which a lease was granted in the meantime.
        """
        entry = self.log.entry_at(self.log.last_index)
        return entry.group_time if entry is not None else self.snapshot.group_time

    # Snapshots

    def compact(self, applied_index: int, state: bytes) -> None:
        """Save a snapshot at a delivered index and discard older entries except retained ones.

        Does nothing if there is already a snapshot at or after the index.
        """
        self._snapshot_requested = False
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
        self.log.discard_through(self._cut_index(applied_index))
        self.history.discard_through(self.log.base_index)
        self._save_snapshot()

    def _cut_index(self, applied_index: int) -> int:
        """Index through which entries are discarded; later ones are kept for lagging followers."""
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
        """Replace state and log by a leader's snapshot; keep later entries if the log matches."""
        snapshot = decode_snapshot(data)
        self.snapshot = snapshot
        self.snapshot_data = data
        self._bytes_since_snapshot = 0
        if self.log.term_at(snapshot.last_index) == snapshot.last_term:
            self.log.discard_through(snapshot.last_index)
            self.history.discard_through(snapshot.last_index)
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
        """Start the next disk write, deliver committed entries and return the step."""
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
        is_wanted = (
            applied_entries >= limits.compaction_entries
            or self._bytes_since_snapshot >= limits.compaction_bytes
        )
        if not is_wanted or self._snapshot_requested:
            return False
        self._snapshot_requested = True
        return True

    def append_own_entry(self, kind: EntryKind, payload: bytes, group_time: float) -> Entry:
        """Create and append an entry of the current term (leader only)."""
        entry = Entry(self.log.last_index + 1, self.term, kind, payload, group_time)
        self.append_entry(entry)
        return entry
