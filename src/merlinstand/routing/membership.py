"""Whether a replica is leaving: three signals, the earliest wins.

Each signal is taken back only by newer evidence from its own source, so a lagging list that
still says "live" cannot undo what the replica or an operator said.
"""

import enum

import msgspec

MAXIMUM_REPORT_LAG_SECONDS = 3.0
"""A replica's report may describe a moment so long before it was asked for."""


class ReplicaState(enum.Enum):
    """What a replica says of itself."""

    READY = "ready"
    LEAVING = "leaving"
    FAILED = "failed"


class MachineState(enum.Enum):
    """What the platform's list says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"


class StateReport(msgspec.Struct, frozen=True):
    """A replica's own word about its state."""

    state: ReplicaState
    reported_at: float
    """By the replica's clock."""
    incarnation: int = 0


class LeavingSignals:
    """The three leaving signals of one replica."""

    __slots__ = (
        "_asked_at",
        "_is_list_leaving",
        "_list_as_of",
        "_refused_at",
        "_report",
        "_was_listed",
        "drained",
    )

    def __init__(self) -> None:
        """Start with no signal."""
        self.drained = False
        """An operator's drain is in the configuration, which never reverts."""
        self._report: StateReport | None = None
        self._asked_at = -1.0
        self._refused_at: float | None = None
        self._is_list_leaving = False
        self._list_as_of = float("-inf")
        self._was_listed = False

    @property
    def leaving(self) -> bool:
        """Whether any signal says that the replica leaves."""
        return (
            self.drained
            or self._is_list_leaving
            or self._refused_at is not None
            or (self._report is not None and self._report.state is ReplicaState.LEAVING)
        )

    @property
    def reported_state(self) -> ReplicaState | None:
        """The replica's own last word; None before the first."""
        return None if self._report is None else self._report.state

    def record_report(self, report: StateReport, asked_at: float) -> bool:
        """Take in a status answer.

        Args:
            report: What the replica said.
            asked_at: Local time at which the question was sent.

        Returns:
            False if it is not newer than what is known and was ignored.
        """
        if not self._is_newer(report, asked_at):
            return False
        self._report = report
        self._asked_at = asked_at
        refused_at = self._refused_at
        if refused_at is not None and asked_at > refused_at + MAXIMUM_REPORT_LAG_SECONDS:
            # Asked so long after the refusal that even a lagging report describes a later moment.
            self._refused_at = None
        return True

    def record_leaving_refusal(self, now: float) -> None:
        """A request's answer said that the replica is leaving."""
        self._refused_at = now

    def record_listed(self, state: MachineState, as_of: float) -> None:
        """The platform's list of time `as_of` (its clock) names the machine."""
        if as_of <= self._list_as_of:
            return
        self._list_as_of = as_of
        self._was_listed = True
        self._is_list_leaving = state is MachineState.LEAVING

    def record_unlisted(self, as_of: float) -> None:
        """A list lacks the machine: it left if an earlier list had it."""
        if as_of <= self._list_as_of or not self._was_listed:
            return
        self._list_as_of = as_of
        self._is_list_leaving = True

    def _is_newer(self, report: StateReport, asked_at: float) -> bool:
        own = self._report
        if own is None:
            return True
        if report.incarnation != own.incarnation:
            return asked_at > self._asked_at
        return report.reported_at >= own.reported_at
