"""Attempts that daemons announced when they sent them, as held by the control leader.

Each report of a daemon contains all of its attempts in flight and replaces the one before. A live
daemon reports every 0.1 s while it has any, and also reports the calls that broke off with their
backend. Attempts listed before a backend's crash by a daemon that has not reported since were
therefore sent by a daemon that died. Soft state of the leader, with one entry for each announcing
daemon.
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
    """A crashed backend whose announced attempts are to be settled."""

    first_reported_at: float
    """Leader's local time of the first report."""
    unsettled_reports: list[float]
    """Times of its first and its last report that still wait for daemons to announce their attempts
    again.

    Where backends keep their ids, the first report may concern the previous start; what the crashed
    start had in flight was then announced after it.
    """

    def record_repeat(self, now: float) -> None:
        """Record another report; it counts if the first one is not settled yet."""
        if not is_announcement_settled(self.first_reported_at, now):
            self.unsettled_reports[1:] = [now]

    def pop_settled(self, now: float) -> list[float]:
        """Remove and return the times of reports that are settled now."""
        settled = [at for at in self.unsettled_reports if is_announcement_settled(at, now)]
        self.unsettled_reports = [at for at in self.unsettled_reports if at not in settled]
        return settled


class AnnouncedAttempts:
    """All announced attempts in flight, and the crashes to be settled against them."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._by_run: dict[str, _Announced] = {}
        self._crashes: dict[BackendId, _Crash] = {}

    def reset(self) -> None:
        """Start a leadership: daemons announce again what is in flight."""
        self._by_run.clear()
        self._crashes.clear()

    def update(self, run_id: str, attempts: tuple[UnansweredAttempts, ...], now: float) -> None:
        """Replace the attempts that one run of a daemon has in flight."""
        if attempts:
            self._by_run[run_id] = _Announced(attempts, now)
        else:
            self._by_run.pop(run_id, None)

    def record_crash(self, backend_id: BackendId, now: float) -> bool:
        """Record a reported crash; return whether it is the first report to be settled."""
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
