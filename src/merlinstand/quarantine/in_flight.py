"""Tries that daemons announced as they sent them, at the control leader.

A daemon reports all of its tries that are under way, each report in place of the one before. One
that lives reports again each 0.1 s while there are any, and tells by itself what broke off with its
server. So what was listed before a server's crash, by one that has not reported since, was sent by
a daemon that died. Soft state of the leader, bounded by the daemons that announce.
"""

import msgspec

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.messages import UnansweredAttempts
from merlinstand.quarantine.rules import is_announcement_settled, may_have_crashed_server


class _Announced(msgspec.Struct, frozen=True):
    """What one run of a daemon has under way."""

    tries: tuple[UnansweredAttempts, ...]
    at: float


class _Crash(msgspec.Struct):
    """A server that crashed, as far as announced tries are concerned."""

    at: float
    """When the leader learned of it, by its local time."""
    unsettled: list[float]
    """Times of its first and its last report that wait for daemons to announce their tries again.

    Where servers keep their ids, the first report may be of the start before; what the start that
    crashed had in flight was then announced after it.
    """

    def note_again(self, now: float) -> None:
        """Another report: it counts if it comes before the first one is settled."""
        if not is_announcement_settled(self.at, now):
            self.unsettled[1:] = [now]

    def take_settled(self, now: float) -> list[float]:
        """Give the times of reports that are settled now, each once."""
        settled = [at for at in self.unsettled if is_announcement_settled(at, now)]
        self.unsettled = [at for at in self.unsettled if at not in settled]
        return settled


class AnnouncedTries:
    """All tries under way that were announced, and the crashes that wait for what is left."""

    def __init__(self) -> None:
        """Begin with none."""
        self._by_run: dict[str, _Announced] = {}
        self._crashes: dict[BackendId, _Crash] = {}

    def begin(self) -> None:
        """A leadership begins: daemons announce again what is under way."""
        self._by_run.clear()
        self._crashes.clear()

    def take(self, run: str, tries: tuple[UnansweredAttempts, ...], now: float) -> None:
        """Take in what one run of a daemon has under way, in place of what it had."""
        if tries:
            self._by_run[run] = _Announced(tries, now)
        else:
            self._by_run.pop(run, None)

    def note_crash(self, backend_id: BackendId, now: float) -> bool:
        """A server has crashed; gives whether this is the first report of it."""
        if not self._by_run:
            return False
        known = self._crashes.get(backend_id)
        if known is not None:
            known.note_again(now)
            return False
        self._crashes[backend_id] = _Crash(now, [now])
        return True

    def take_left(self, now: float) -> dict[BackendId, tuple[ContentDigest, ...]]:
        """Give what daemons that died had at servers that crashed.

        Returns:
            By server, when daemons that live have reported since they learned of its crash.
        """
        left: dict[BackendId, tuple[ContentDigest, ...]] = {}
        for backend_id, crash in self._crashes.items():
            settled = crash.take_settled(now)
            contents = self._left_at(backend_id, settled[-1]) if settled else ()
            if contents:
                left[backend_id] = contents
        self._forget_old(now)
        return left

    def _left_at(self, backend_id: BackendId, crashed_at: float) -> tuple[ContentDigest, ...]:
        contents = dict.fromkeys(
            content
            for held in self._by_run.values()
            if held.at <= crashed_at
            for tries in held.tries
            if tries.backend_id == backend_id
            for content in tries.contents
        )
        return tuple(contents)

    def _forget_old(self, now: float) -> None:
        runs, crashes = self._by_run, self._crashes
        self._by_run = {
            r: held for r, held in runs.items() if may_have_crashed_server(held.at, now)
        }
        self._crashes = {b: c for b, c in crashes.items() if may_have_crashed_server(c.at, now)}
