"""Attempts that daemons reported when they sent them (announced), as held by the control leader.

Each report of a daemon contains all of its announced attempts in flight and replaces the previous
report. A live daemon reports every 0.1 s while it has such attempts, and also reports calls that
broke off because their backend crashed. If a daemon listed attempts at a backend before the
backend's crash and has not reported since, the daemon must therefore have died. Soft state of the
leader, with one entry for each announcing daemon.
"""

import msgspec

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.messages import UnansweredAttempts
from merlinstand.quarantine.rules import is_announcement_settled, may_have_crashed_backend


class _Announced(msgspec.Struct, frozen=True):
    """Attempts that one run of a daemon has in flight."""

    attempts: tuple[UnansweredAttempts, ...]
    reported_at: float


class _Crash(msgspec.Struct):
    """A reported crash of a backend.

    A report is settled once all live daemons have had time to announce their attempts again, so
    that attempts which were not announced again belong to dead daemons.
    """

    first_reported_at: float
    """Leader's local time of the first report."""
    unsettled_reports: list[float]
    """Times of the first and the last report of this crash, as far as they are not settled.

    Where backends keep their ids across restarts, the first report may concern the previous start
    of the backend; the attempts in flight at the crash of the present start were then announced
    after that report.
    """

    def record_repeat(self, now: float) -> None:
        """Record another report of the crash; ignored once the first report is settled."""
        if not is_announcement_settled(self.first_reported_at, now):
            self.unsettled_reports[1:] = [now]

    def pop_settled(self, now: float) -> list[float]:
        """Remove and return the times of the reports that are settled by now."""
        settled = [at for at in self.unsettled_reports if is_announcement_settled(at, now)]
        self.unsettled_reports = [at for at in self.unsettled_reports if at not in settled]
        return settled


class AnnouncedAttempts:
    """All announced attempts in flight, and the crashes for which dead daemons' attempts count."""

    def __init__(self) -> None:
        self._by_run: dict[str, _Announced] = {}
        self._crashes: dict[BackendId, _Crash] = {}

    def reset(self) -> None:
        """Drop all state at the start of a leadership; daemons announce their attempts again."""
        self._by_run.clear()
        self._crashes.clear()

    def update(self, run_id: str, attempts: tuple[UnansweredAttempts, ...], now: float) -> None:
        """Replace the attempts that one run of a daemon has in flight."""
        if attempts:
            self._by_run[run_id] = _Announced(attempts, now)
        else:
            self._by_run.pop(run_id, None)

    def record_crash(self, backend_id: BackendId, now: float) -> bool:
        """Record a reported crash; return whether this report starts the wait for settlement."""
        if not self._by_run:
            return False
        known = self._crashes.get(backend_id)
        if known is not None:
            known.record_repeat(now)
            return False
        self._crashes[backend_id] = _Crash(now, [now])
        return True

    def pop_lost_attempts(self, now: float) -> dict[BackendId, tuple[ContentDigest, ...]]:
        """Return the requests that dead daemons had in flight at crashed backends.

        Returns:
            Requests by backend, for crashes after which all live daemons have had time to report.
        """
        lost: dict[BackendId, tuple[ContentDigest, ...]] = {}
        for backend_id, crash in self._crashes.items():
            settled = crash.pop_settled(now)
            contents = self._attempts_lost_at(backend_id, settled[-1]) if settled else ()
            if contents:
                lost[backend_id] = contents
        self._drop_expired(now)
        return lost

    def _attempts_lost_at(
        self, backend_id: BackendId, crashed_at: float
    ) -> tuple[ContentDigest, ...]:
        contents = dict.fromkeys(
            content
            for held in self._by_run.values()
            if held.reported_at <= crashed_at
            for attempts in held.attempts
            if attempts.backend_id == backend_id
            for content in attempts.contents
        )
        return tuple(contents)

    def _drop_expired(self, now: float) -> None:
        runs, crashes = self._by_run, self._crashes
        self._by_run = {
            r: held for r, held in runs.items() if may_have_crashed_backend(held.reported_at, now)
        }
        self._crashes = {
            b: c for b, c in crashes.items() if may_have_crashed_backend(c.first_reported_at, now)
        }
