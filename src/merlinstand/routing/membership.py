"""Whether a replica is draining (on the wire: `leaving`) and gets no new requests.

A signal from the replica, the platform or an operator is enough. Each signal is only cleared by
newer evidence from the same source, so a lagging machine list that still says "live" cannot
override the replica or an operator.
"""

import enum

import msgspec

MAXIMUM_REPORT_LAG_SECONDS = 3.0
"""Maximum time by which the state in a status response may be older than the status request."""


class ReplicaState(enum.Enum):
    """State that a replica reports about itself."""

    READY = "ready"
    DRAINING = "leaving"
    FAILED = "failed"


class MachineState(enum.Enum):
    """State of a machine in the platform's machine list."""

    LIVE = "live"
    DRAINING = "leaving"


class StateReport(msgspec.Struct, frozen=True):
    """State that a replica reported about itself."""

    state: ReplicaState
    reported_at: float
    """Time by the replica's clock; only comparable within one incarnation."""
    incarnation: int = 0


class DrainSignals:
    """Signals that one replica is draining, by source."""

    __slots__ = (
        "_is_list_draining",
        "_list_as_of",
        "_refused_at",
        "_report",
        "_requested_at",
        "_was_listed",
        "has_operator_drain",
    )

    def __init__(self) -> None:
        """Create the signals of a replica; none is set."""
        self.has_operator_drain = False
        """Whether an operator drains the replica, by the configuration, whose revisions never go
        back."""
        self._report: StateReport | None = None
        self._requested_at = -1.0
        self._refused_at: float | None = None
        self._is_list_draining = False
        self._list_as_of = float("-inf")
        self._was_listed = False

    @property
    def is_draining(self) -> bool:
        """Whether any signal says that the replica is draining."""
        return (
            self.has_operator_drain
            or self._is_list_draining
            or self._refused_at is not None
            or (self._report is not None and self._report.state is ReplicaState.DRAINING)
        )

    @property
    def reported_state(self) -> ReplicaState | None:
        """State last reported by the replica; None before the first report."""
        return None if self._report is None else self._report.state

    def record_report(self, report: StateReport, requested_at: float) -> bool:
        """Record a report from a status response.

        Args:
            report: The replica's report.
            requested_at: Local monotonic time at which the status request was sent.

        Returns:
            False if the report was ignored because it is older than the last report.
        """
        if not self._is_newer(report, requested_at):
            return False
        self._report = report
        self._requested_at = requested_at
        refused_at = self._refused_at
        if refused_at is not None and requested_at > refused_at + MAXIMUM_REPORT_LAG_SECONDS:
            # The report was requested so long after the refusal that it describes a later state,
            # even if it lags.
            self._refused_at = None
        return True

    def record_draining_refusal(self, now: float) -> None:
        """Record that the replica refused a request because it is draining."""
        self._refused_at = now

    def record_listed(self, state: MachineState, as_of: float) -> None:
        """Record the machine's state in the platform's list.

        Args:
            state: State of the machine.
            as_of: Time of the list by the platform's clock; older lists are ignored.
        """
        if as_of <= self._list_as_of:
            return
        self._list_as_of = as_of
        self._was_listed = True
        self._is_list_draining = state is MachineState.DRAINING

    def record_unlisted(self, as_of: float) -> None:
        """Record that the platform's list lacks the machine: draining if an earlier list had it.

        Args:
            as_of: Time of the list by the platform's clock; older lists are ignored.
        """
        if as_of <= self._list_as_of or not self._was_listed:
            return
        self._list_as_of = as_of
        self._is_list_draining = True

    def _is_newer(self, report: StateReport, requested_at: float) -> bool:
        last = self._report
        if last is None:
            return True
        if report.incarnation != last.incarnation:
            return requested_at > self._requested_at
        return report.reported_at >= last.reported_at
