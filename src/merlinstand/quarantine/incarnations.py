"""Distinguishes the starts (incarnations) of a backend that restarts under the same id.

One request may crash a backend twice, and the backend has the same id both times. To count two
crashes, each crash is recorded under the backend's id and start time, if a heartbeat has reported
the start time. The newest starts are soft state of each control replica: daemons report backend
ids, and the leader adds the start times. A report that arrives only after the next start is
assigned to that start.
"""

from msgspec.structs import replace

from merlinstand.common.ids import BackendId
from merlinstand.quarantine.messages import BackendCrash, SuspectReport, UnansweredAttempts

STARTS_LIMIT = 8_192
"""Maximum backends whose newest start is remembered; those whose start was recorded longest ago are
dropped first. Twice the target number of backends, 1 MB."""
_SEPARATOR = "@"


def incarnation_id(backend_id: BackendId, started_ms: int) -> BackendId:
    """Return the id of one start of a backend.

    Args:
        backend_id: Id under which the backend is registered.
        started_ms: Start time in Unix milliseconds; 0 if not reported.
    """
    return BackendId(f"{backend_id}{_SEPARATOR}{started_ms}") if started_ms else backend_id


def has_start_time(incarnation: BackendId) -> bool:
    """Whether an id contains a start time, in which case the backend may have restarted since."""
    _id, separator, started = incarnation.rpartition(_SEPARATOR)
    return bool(separator) and started.isascii() and started.isdigit()


def backend_of(incarnation: BackendId) -> BackendId:
    """Return the backend's id without the time of the start."""
    return (
        BackendId(incarnation.rpartition(_SEPARATOR)[0])
        if has_start_time(incarnation)
        else incarnation
    )


class Incarnations:
    """The newest start of each backend, as known to one control replica."""

    def __init__(self) -> None:
        self._started_ms: dict[BackendId, int] = {}

    def record(self, backend_id: BackendId, started_ms: int) -> BackendId | None:
        """Record a backend's start; return the id of its previous incarnation, which has ended.

        Returns None if no previous incarnation is known. A time before the known start comes from a
        delayed heartbeat and is ignored.
        """
        known = self._started_ms.get(backend_id, 0)
        if started_ms <= known:
            return None
        self._started_ms.pop(backend_id, None)
        self._started_ms[backend_id] = started_ms
        if len(self._started_ms) > STARTS_LIMIT:
            del self._started_ms[next(iter(self._started_ms))]
        return incarnation_id(backend_id, known) if known else None

    def current(self, backend_id: BackendId) -> BackendId:
        """Return the id of a backend's newest start."""
        return incarnation_id(backend_id, self._started_ms.get(backend_id, 0))

    def qualify(self, report: SuspectReport) -> SuspectReport:
        """Replace the backend ids in a report by the ids of the backends' newest starts."""
        if not self._started_ms:
            return report
        return replace(
            report,
            crashes=tuple(
                BackendCrash(self.current(c.backend_id), c.contents) for c in report.crashes
            ),
            unanswered=self._qualify_attempts(report.unanswered),
            in_flight=self._qualify_attempts(report.in_flight),
        )

    def _qualify_attempts(
        self, attempts: tuple[UnansweredAttempts, ...]
    ) -> tuple[UnansweredAttempts, ...]:
        return tuple(UnansweredAttempts(self.current(t.backend_id), t.contents) for t in attempts)
