"""Result of a call to a replica, and the errors of proposals.

Each error means that nothing was proposed.
"""

import enum

import msgspec

from merlinstand.common.errors import NotFoundError, UnavailableError
from merlinstand.common.ids import NodeId
from merlinstand.kernel.effects import Effect


class EntryKind(enum.IntEnum):
    """Kind of a log entry."""

    COMMAND = 0
    MEMBERSHIP = 1
    NO_OP = 2
    """First entry of a leader's term; without payload."""


class CommittedEntry(msgspec.Struct, frozen=True, gc=False):
    """A committed entry to apply. Entries are delivered once, in order, without gaps."""

    index: int
    """Log index; also the revision of the objects that the entry changes."""
    term: int
    kind: EntryKind
    payload: bytes
    """The proposed command if the kind is `COMMAND`, else internal data."""
    group_time: float
    """Group time of the proposal in seconds; never lower than that of an earlier entry."""


class LeadershipChange(enum.Enum):
    """Whether this replica became or stopped being the leader in this step."""

    GAINED = "gained"
    """Elected. The replica must not act as leader before `Replica.may_act(now)` is true."""
    LOST = "lost"
    """Deposed or resigned. The outcome of this replica's uncommitted proposals is unknown."""


class Step(msgspec.Struct, frozen=True):
    """Result of one call. The caller performs all of it, in the order of the fields."""

    effects: tuple[Effect, ...] = ()
    restored: bytes | None = None
    """State of a snapshot that replaces the state machine before `committed` is applied."""
    committed: tuple[CommittedEntry, ...] = ()
    leadership: LeadershipChange | None = None
    reads_ready: tuple[str, ...] = ()
    """Reads that may be answered from the state after `committed`."""
    reads_failed: tuple[str, ...] = ()
    """Reads that this replica cannot answer; the client must ask another replica."""
    snapshot_wanted: bool = False
    """Whether to call `Replica.compact` with the state after `committed`."""
    hand_over_ended: bool = False
    """Whether a requested hand-over has ended, successful or not."""


class Proposal(msgspec.Struct, frozen=True):
    """A command that was appended to the leader's log."""

    index: int
    """Log index. The entry committed there is this command only if its term equals `term`."""
    term: int
    step: Step


class NotLeaderError(UnavailableError, frozen=True, kw_only=True):
    """This replica is not the leader, holds no lease, or is handing over."""

    code = "not_leader"
    leader: NodeId | None = None
    """The leader, if known."""


class OverloadedError(UnavailableError, frozen=True, kw_only=True):
    """The leader's uncommitted proposals exceed their size limit."""

    code = "overloaded"


class MembershipRefusedError(UnavailableError, frozen=True, kw_only=True):
    """Another membership change is in progress."""

    code = "membership_refused"


class UnknownNodeError(NotFoundError, frozen=True, kw_only=True):
    """No control node with this name is known."""

    code = "not_found"


ProposeError = NotLeaderError | OverloadedError
ReplacementError = ProposeError | MembershipRefusedError | UnknownNodeError
