"""One replica of the control group (composition; the parts are in sibling modules).

Pure: time and completions arrive as arguments, everything to be done leaves as effects.
The owner calls `start` once, hands over every event for which `handles` is true, and
performs each returned `Step` as described there.

The replica owns the process's journal and snapshot: the owner must not emit
`AppendRecords` or `SaveSnapshot` itself.
"""

import msgspec
from result import Result

from merlinstand.common.ids import NodeId
from merlinstand.consensus.membership import Identity, Membership
from merlinstand.consensus.settings import ReplicaSettings
from merlinstand.consensus.step import MembershipRefusedError, Proposal, ProposeError, Step
from merlinstand.kernel.events import Event, Started


class MemberState(msgspec.Struct, frozen=True):
    """A member as the leader (or, with less detail, a follower) sees it."""

    node_id: NodeId
    incarnation: int
    address: str
    zone: str
    role: str
    """`voter` or `learner`."""
    is_leader: bool
    match_index: int
    """Highest log position known to be durable there; 0 if not known."""
    silent_seconds: float
    """Time since its last answer; negative if not known."""


class Replica:
    """Raft-style replication of an opaque command log."""

    def __init__(self, settings: ReplicaSettings) -> None:
        """Make a replica that has not started."""
        raise NotImplementedError

    # Events

    def start(self, event: Started, now: float) -> Step:
        """Recover from the disk; `Step.restored` carries the snapshot's state, if any.

        Committed entries after the snapshot are delivered later, when a leader proves
        them committed.
        """
        raise NotImplementedError

    def handles(self, event: Event) -> bool:
        """Whether an event belongs to the replica.

        True for `consensus.*` timers, messages of `consensus.thrift`, `RecordsSynced`
        and `SnapshotSaved`.
        """
        raise NotImplementedError

    def handle(self, event: Event, now: float) -> Step:
        """Take any event for which `handles` is true."""
        raise NotImplementedError

    # Identity and roles

    @property
    def identity(self) -> Identity:
        """This replica's node and storage incarnation."""
        raise NotImplementedError

    @property
    def term(self) -> int:
        """The current term."""
        raise NotImplementedError

    @property
    def is_leader(self) -> bool:
        """Whether this replica was elected in the current term (it may lack a lease)."""
        raise NotImplementedError

    @property
    def leader(self) -> NodeId | None:
        """The leader of the current term, if known."""
        raise NotImplementedError

    @property
    def leader_address(self) -> str | None:
        """`ip:port` (internal) of the known leader."""
        raise NotImplementedError

    @property
    def membership(self) -> Membership:
        """The newest membership in the log."""
        raise NotImplementedError

    @property
    def commit_index(self) -> int:
        """Highest position known to be committed; all up to it were delivered."""
        raise NotImplementedError

    def members(self, now: float) -> tuple[MemberState, ...]:
        """The group's members for operators."""
        raise NotImplementedError

    # Time

    def may_act(self, now: float) -> bool:
        """Whether this replica is the leader and no other replica can be acting as one.

        True while the leader lease is held, an entry of the own term is committed and
        no hand-over has begun. Check it before anything that relies on being the only
        leader, at that very moment.
        """
        raise NotImplementedError

    def group_time(self, now: float) -> float:
        """The group's own time in seconds.

        It advances only by the elapsed time of a leader that holds its lease (so never
        faster than real time but for clock drift), is carried in every log entry and
        starts at a new leader where the old one was last known to be. Durations
        measured in it never end too soon for a holder who counts real time; over a
        failover they end later. Judge expiry in the state machine by
        `CommittedEntry.group_time` only, so that all replicas agree.
        """
        raise NotImplementedError

    def proof_age_seconds(self, now: float) -> float | None:
        """How old the proof is that the delivered state was the newest committed one.

        0 on a leader that may act. On a follower: everything committed up to this many
        seconds ago has been delivered here. None without any proof.
        """
        raise NotImplementedError

    # Requests

    def propose(self, payload: bytes, now: float) -> Result[Proposal, ProposeError]:
        """Append a command to the log (leader with a lease only).

        An error means that it was certainly not proposed. A proposal is decided when
        `Step.committed` delivers its index: with the same term it is this command, with
        another term this command was lost. Proposals made before one `Step` is
        performed share the next journal write (group commit).
        """
        raise NotImplementedError

    def read_barrier(self, read_id: str, now: float) -> Step:
        """Ask when a linearizable read may be answered from the delivered state.

        `Step.reads_ready` names it in this step if the lease is held, else in a later
        step after a quorum round; `Step.reads_failed` if this replica can't tell.
        """
        raise NotImplementedError

    def compact(self, applied_index: int, state: bytes, now: float) -> Step:
        """Save a snapshot of the state machine as of `applied_index` and cut the log."""
        raise NotImplementedError

    def hand_over(self, now: float) -> Step:
        """Pass leadership on before a planned stop.

        Proposals are refused from now on; `Step.hand_over_ended` follows (at once if
        this replica doesn't lead or there is nobody to take over).
        """
        raise NotImplementedError

    def request_replacement(
        self, add_node: NodeId | None, remove_node: NodeId | None, now: float
    ) -> Result[Proposal, ProposeError | MembershipRefusedError]:
        """Record an operator's wish to take a node in or out.

        The wish is a log entry of its own; the leader carries it out one server at a
        time, learners first, and hands leadership over before it removes itself.
        """
        raise NotImplementedError
