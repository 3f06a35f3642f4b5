"""What one call into a replica led to.

Also the errors of proposals, all of which mean that nothing was proposed.
"""

import enum

import msgspec

from merlinstand.common.errors import NotFoundError, UnavailableError
from merlinstand.common.ids import NodeId
from merlinstand.kernel.effects import Effect


class EntryKind(enum.IntEnum):
    """What a log entry is for."""

    COMMAND = 0
    MEMBERSHIP = 1
    NO_OP = 2
    """Opens a leader's term; carries nothing."""


class CommittedEntry(msgspec.Struct, frozen=True, gc=False):
    """An entry that is committed: apply it. Entries come once, in order, without gaps."""

    index: int
    """Log position; the revision of whatever the entry changes."""
    term: int
    kind: EntryKind
    payload: bytes
    """What was proposed (`COMMAND`), else internal."""
    group_time: float
    """Group time when it was proposed; never lower than that of an earlier entry."""


class LeadershipChange(enum.Enum):
    """This replica's own leadership began or ended in this step."""

    GAINED = "gained"
    """Elected. It may act once `Replica.may_act(now)` says so."""
    LOST = "lost"
    """Its unanswered proposals may or may not be committed later: outcome unknown."""


class Step(msgspec.Struct, frozen=True):
    """Outcome of one call; the caller performs all of it, in the order of the fields."""

    effects: tuple[Effect, ...] = ()
    restored: bytes | None = None
    """Replace the state machine by this snapshot, before applying `committed`."""
    committed: tuple[CommittedEntry, ...] = ()
    leadership: LeadershipChange | None = None
    reads_ready: tuple[str, ...] = ()
    """Read barriers passed: answer them from the state after `committed`."""
    reads_failed: tuple[str, ...] = ()
    """Read barriers that can't be passed here any more: the client asks another replica."""
    snapshot_wanted: bool = False
    """The log has grown: call `Replica.compact` with the state after `committed`."""
    hand_over_ended: bool = False
    """A hand-over asked for is over, whether or not a successor took over."""


class Proposal(msgspec.Struct, frozen=True):
    """A command that entered the leader's log."""

    index: int
    """It is this command that commits at `index` only if `term` is equal there too."""
    term: int
    step: Step


class NotLeaderError(UnavailableError, frozen=True, kw_only=True):
    """This replica doesn't lead, or lost touch with its quorum. Nothing was proposed."""

    code = "not_leader"
    leader: NodeId | None = None
    """The leader it knows of, if any."""


class OverloadedError(UnavailableError, frozen=True, kw_only=True):
    """Too much waits for commitment. Nothing was proposed."""

    code = "overloaded"


class MembershipRefusedError(UnavailableError, frozen=True, kw_only=True):
    """The membership change can't be made now. Nothing was proposed."""

    code = "membership_refused"


class UnknownNodeError(NotFoundError, frozen=True, kw_only=True):
    """No control node has this name. Nothing was proposed."""

    code = "not_found"


ProposeError = NotLeaderError | OverloadedError
ReplacementError = ProposeError | MembershipRefusedError | UnknownNodeError
