"""Selects the attempts that a daemon reports early, so that they are known if the daemon dies.

Part of the daemon's `SuspectTable`. Attempts that ended without a response are reported at once,
and again until the control group has committed them. While the attempts of a service are announced,
each attempt is reported in the same reducer call in which it is sent, and all announced attempts in
flight are reported repeatedly. The control leader drops an attempt once a report no longer contains
it.
"""

from collections.abc import Iterable

import msgspec

from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.quarantine.messages import MAXIMUM_REPORT_ENTRIES, UnansweredAttempts
from merlinstand.quarantine.rules import ANNOUNCEMENT_SECONDS

MINIMUM_ATTEMPT_REPORT_INTERVAL_SECONDS = 0.02
"""Minimum time between two reports of attempts that ended without a response, since the loss of a
backend ends many attempts at once. Half the observed time in which a request crashes a backend."""
ATTEMPT_REPORT_RETRY_SECONDS = 0.1
"""Uncommitted attempts and attempts in flight are reported again after this time. Two of these
reports arrive before the control leader considers a daemon dead."""
UNANSWERED_LIMIT = 512
"""Maximum attempts that wait to be committed. While no leader can be reached, the oldest are
dropped beyond this limit. Equals the number of crashes that the control group stores."""
IN_FLIGHT_LIMIT = 64
"""Maximum attempts announced at once, 5 KB in each report. A gateway has some 80 requests a second,
each in flight for less than 0.1 s."""


class _Attempt(msgspec.Struct, frozen=True):
    """A request at a backend."""

    backend_id: BackendId
    content: ContentDigest


class AttemptsReport(msgspec.Struct, frozen=True):
    """The attempts in one report."""

    unanswered: tuple[UnansweredAttempts, ...]
    in_flight: tuple[UnansweredAttempts, ...]
    first_omitted: int | None
    """Lowest sequence number of the attempts that didn't fit; None if all did."""


class AttemptReporter:
    """Attempts that one daemon has to report."""

    def __init__(self) -> None:
        self._unanswered: dict[_Attempt, int] = {}
        """Sequence numbers of attempts that are not committed yet."""
        self._announced_until: dict[str, float] = {}
        """Local time in seconds, by service."""
        self._in_flight: dict[CallId, _Attempt] = {}
        self._reported_at = float("-inf")
        self._has_unreported_send = False
        self._has_unreported_end = False
        self._has_unreported_unanswered = False

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to report."""
        return not (self._unanswered or self._in_flight or self._has_unreported_end)

    # Attempts that ended without a response

    def record_unanswered(
        self, backend_id: BackendId, content: ContentDigest, sequence: int
    ) -> None:
        """Record an attempt that ended without a response.

        Args:
            backend_id: Backend of the attempt.
            content: Content digest of its request.
            sequence: Number of this change among all changes that the daemon reports.
        """
        key = _Attempt(backend_id, content)
        self._unanswered.pop(key, None)
        self._unanswered[key] = sequence
        self._has_unreported_unanswered = True
        while len(self._unanswered) > UNANSWERED_LIMIT:
            del self._unanswered[next(iter(self._unanswered))]

    def discard(self, backend_id: BackendId) -> None:
        """Drop a backend's attempts; the backend has outlived them or its crash is reported."""
        if self._unanswered:
            attempts = self._unanswered.items()
            self._unanswered = {t: s for t, s in attempts if t.backend_id != backend_id}

    def acknowledge(self, sequence: int) -> None:
        """Drop the attempts up to a sequence number, which the control group has committed."""
        self._unanswered = {t: s for t, s in self._unanswered.items() if s > sequence}

    # Attempts in flight

    def start_announcing(self, service: str, now: float) -> None:
        """Announce a service's attempts for the next `ANNOUNCEMENT_SECONDS`."""
        self._announced_until[service] = now + ANNOUNCEMENT_SECONDS

    def is_announcing(self, service: str, now: float) -> bool:
        """Whether a service's attempts are announced when they are sent."""
        return now < self._announced_until.get(service, now)

    def announce(self, call_id: CallId, backend_id: BackendId, content: ContentDigest) -> None:
        """Record an attempt that is sent and has to be announced."""
        if len(self._in_flight) < IN_FLIGHT_LIMIT:
            self._in_flight[call_id] = _Attempt(backend_id, content)
            self._has_unreported_send = True

    def record_end(self, call_id: CallId) -> None:
        """Record that an attempt ended, with or without a response."""
        if self._in_flight.pop(call_id, None) is not None:
            self._has_unreported_end = True

    # Reports

    def is_due(self, now: float) -> bool:
        """Whether there is something to report that justifies a report of its own."""
        if self._has_unreported_send:
            # Reported in the same reducer call as the send: the daemon may die before the next one.
            return True
        since_report = now - self._reported_at
        if self._has_unreported_unanswered:
            return since_report >= MINIMUM_ATTEMPT_REPORT_INTERVAL_SECONDS
        return not self.is_empty and since_report >= ATTEMPT_REPORT_RETRY_SECONDS

    def build_report(self, now: float) -> AttemptsReport:
        """Return the attempts for a report that is sent now."""
        self._reported_at = now
        self._has_unreported_send = False
        self._has_unreported_end = False
        self._has_unreported_unanswered = False
        unanswered = list(self._unanswered.items())
        omitted = [sequence for _attempt, sequence in unanswered[MAXIMUM_REPORT_ENTRIES:]]
        return AttemptsReport(
            _group_by_backend(t for t, _sequence in unanswered[:MAXIMUM_REPORT_ENTRIES]),
            _group_by_backend(self._in_flight.values()),
            min(omitted, default=None),
        )


def _group_by_backend(attempts: Iterable[_Attempt]) -> tuple[UnansweredAttempts, ...]:
    contents: dict[BackendId, list[ContentDigest]] = {}
    for attempt in attempts:
        contents.setdefault(attempt.backend_id, []).append(attempt.content)
    return tuple(UnansweredAttempts(b, tuple(held)) for b, held in contents.items())
