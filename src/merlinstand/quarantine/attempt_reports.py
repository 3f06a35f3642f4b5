"""Tries without an answer that one daemon tells others of, since it may die with what it knows.

Owned by the daemon's table of suspects. Tries that ended without an answer are told at once, and
again until the control group holds them. While tries of a service are announced, each is told in
the turn in which it is sent, and all that are under way again and again: the control leader forgets
them as soon as they are not in a report.
"""

from collections.abc import Iterable

import msgspec

from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.quarantine.messages import MAXIMUM_REPORT_ENTRIES, UnansweredAttempts
from merlinstand.quarantine.rules import ANNOUNCEMENT_SECONDS

TELL_PAUSE_SECONDS = 0.02
"""Shortest time between two reports of tries that ended without an answer: a server that is lost
leaves many at once. Half of the time from a request's arrival to the server's end in the runs
known to crash one. Chosen, not measured."""
TELL_AGAIN_SECONDS = 0.1
"""What isn't held by the group, or is under way, is told again after this time: two such reports
come before the control leader takes a daemon for dead."""
UNANSWERED_LIMIT = 512
"""Tries that wait to be held by the group; older ones are dropped while no leader can be reached.
As many as the group holds of crashes."""
IN_FLIGHT_LIMIT = 64
"""Tries announced at once, 5 KB in each report; a gateway has some 80 requests a second, each for
less than a tenth of one. Chosen, not measured."""


class _Try(msgspec.Struct, frozen=True):
    """A request at a server."""

    backend_id: BackendId
    content: ContentDigest


class TriesReport(msgspec.Struct, frozen=True):
    """What a report holds of tries."""

    unanswered: tuple[UnansweredAttempts, ...]
    in_flight: tuple[UnansweredAttempts, ...]
    first_left: int | None
    """Lowest sequence number of what didn't fit; None if all did."""


class TriesToTell:
    """All tries that one daemon tells of."""

    def __init__(self) -> None:
        """Begin with none."""
        self._unanswered: dict[_Try, int] = {}
        """Sequence numbers of tries that the group doesn't hold yet."""
        self._announced_until: dict[str, float] = {}
        """By service, in local time."""
        self._in_flight: dict[CallId, _Try] = {}
        self._told_at = float("-inf")
        self._is_send_untold = False
        self._is_end_untold = False
        self._is_unanswered_untold = False

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not (self._unanswered or self._in_flight or self._is_end_untold)

    # Tries that ended without an answer

    def note(self, backend_id: BackendId, content: ContentDigest, sequence: int) -> None:
        """A try ended without an answer.

        Args:
            backend_id: Where it was.
            content: What it asked.
            sequence: Number of this change, in the order of all that the daemon has to report.
        """
        key = _Try(backend_id, content)
        self._unanswered.pop(key, None)
        self._unanswered[key] = sequence
        self._is_unanswered_untold = True
        while len(self._unanswered) > UNANSWERED_LIMIT:
            del self._unanswered[next(iter(self._unanswered))]

    def forget(self, backend_id: BackendId) -> None:
        """A server has outlived its tries, or what was there is told with its crash."""
        if self._unanswered:
            tries = self._unanswered.items()
            self._unanswered = {t: s for t, s in tries if t.backend_id != backend_id}

    def acknowledge(self, sequence: int) -> None:
        """The group holds what was told up to a sequence number."""
        self._unanswered = {t: s for t, s in self._unanswered.items() if s > sequence}

    # Tries under way

    def begin_announcing(self, service: str, now: float) -> None:
        """From now on tries of a service are announced, for some time."""
        self._announced_until[service] = now + ANNOUNCEMENT_SECONDS

    def announces(self, service: str, now: float) -> bool:
        """Whether a service's tries are announced as they are sent."""
        return now < self._announced_until.get(service, now)

    def announce(self, call_id: CallId, backend_id: BackendId, content: ContentDigest) -> None:
        """A try is sent whose service's tries are announced."""
        if len(self._in_flight) < IN_FLIGHT_LIMIT:
            self._in_flight[call_id] = _Try(backend_id, content)
            self._is_send_untold = True

    def end(self, call_id: CallId) -> None:
        """A try has ended, however that was."""
        if self._in_flight.pop(call_id, None) is not None:
            self._is_end_untold = True

    # Reports

    def is_due(self, now: float) -> bool:
        """Whether there is something to tell that is worth a report of its own."""
        if self._is_send_untold:
            # In the turn of the send: the daemon may not see another one.
            return True
        since_told = now - self._told_at
        if self._is_unanswered_untold:
            return since_told >= TELL_PAUSE_SECONDS
        return not self.is_empty and since_told >= TELL_AGAIN_SECONDS

    def report(self, now: float) -> TriesReport:
        """Give what a report that leaves now holds."""
        self._told_at = now
        self._is_send_untold = False
        self._is_end_untold = False
        self._is_unanswered_untold = False
        unanswered = list(self._unanswered.items())
        left = [sequence for _try, sequence in unanswered[MAXIMUM_REPORT_ENTRIES:]]
        return TriesReport(
            _by_server(t for t, _sequence in unanswered[:MAXIMUM_REPORT_ENTRIES]),
            _by_server(self._in_flight.values()),
            min(left, default=None),
        )


def _by_server(tries: Iterable[_Try]) -> tuple[UnansweredAttempts, ...]:
    contents: dict[BackendId, list[ContentDigest]] = {}
    for sent in tries:
        contents.setdefault(sent.backend_id, []).append(sent.content)
    return tuple(UnansweredAttempts(b, tuple(held)) for b, held in contents.items())
