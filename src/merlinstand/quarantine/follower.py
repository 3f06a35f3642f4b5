"""A daemon's table of suspected requests: their status, and what the daemon has to report.

Holds this daemon's observations that the control group hasn't committed yet, and a copy of the
committed state. The daemon's own observations take effect at once, even while no leader can be
reached; those of other daemons take effect once the group has committed them. Every component that
sends requests to backends checks `status` first. Runs in every gateway and keeper as part of the
directory's follower, which sends the reports with its pulls.
"""

from collections.abc import Callable, Iterable

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.quarantine.attempt_reports import AttemptReporter
from merlinstand.quarantine.blame import CRASHES_TO_BLAME, SuspectStatus, status_after
from merlinstand.quarantine.incarnations import backend_of, has_start_time
from merlinstand.quarantine.messages import (
    MAXIMUM_REPORT_ENTRIES,
    BackendCrash,
    SuspectReport,
    SuspectsView,
    Trial,
    encode_suspect_report,
)
from merlinstand.quarantine.rules import TRIAL_DELAY_SECONDS, was_served_recently

REPORT_RETRY_SECONDS = 0.1
"""Unacknowledged changes are reported again after this time."""
MINIMUM_REPORT_INTERVAL_SECONDS = 0.02
"""Minimum time between two reports of new changes: when many backends crash, each of some hundred
broken calls adds to the report."""
PENDING_LIMIT = 512
"""Maximum crashes, and likewise cleared requests, that wait to be committed. If no leader can be
reached for long, the oldest are dropped. Equals the number of crashes that the control group
stores."""

SERVED_LIMIT = 2_048
"""Maximum recently served requests remembered, 0.3 MB; a gateway serves some 80 a second."""


class _PendingCrash(msgspec.Struct):
    """A crash that isn't committed yet."""

    sequence: int
    """Number of the crash's newest change among all changes that this daemon reports."""
    contents: dict[ContentDigest, None]


class SuspectTable:
    """What one daemon knows of suspected requests."""

    def __init__(self) -> None:
        self.revision = -1
        self._view = SuspectsView()
        self._crashed_backends: frozenset[BackendId] = frozenset()
        self._unproven_since: dict[ContentDigest, float] = {}
        """Local time at which this daemon learned that a request is unproven."""
        self._run_id = ""
        self._pending_crashes: dict[BackendId, _PendingCrash] = {}
        self._pending_empty_crashes: dict[BackendId, int] = {}
        """Sequence numbers of crashed backends at which this daemon had no suspected request in
        flight, until they are committed."""
        self._reported_empty_crashes: dict[BackendId, None] = {}
        """Backends that were reported as crashed without suspects and have not responded since;
        oldest first."""
        self._pending_cleared: dict[ContentDigest, int] = {}
        """Sequence numbers of cleared requests that aren't committed yet."""
        self._served_at: dict[ContentDigest, float] = {}
        """Local time at which each request was last served to this daemon, oldest first."""
        self._trial_requests: dict[ContentDigest, None] = {}
        self._attempt_reporter = AttemptReporter()
        self._sequence = 0
        self._change_sequence = 0
        """Sequence number of the newest change that affects the status of requests (a crash or a
        cleared request)."""
        self._reported_sequence = 0
        self._reported_at = float("-inf")
        self._are_trial_requests_sent = True
        self._used_trial = 0

    def begin(self, run_id: str) -> None:
        """Start the daemon.

        Args:
            run_id: Identifies this run of the daemon; permits issued to an earlier run are invalid.
        """
        self._run_id = run_id

    # Status of requests

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected, in which case `status` need not be called."""
        return not self._view.suspicions and not self._pending_crashes

    def status(self, content: ContentDigest) -> SuspectStatus | None:
        """Return the status of a request; None if it isn't suspected."""
        if content in self._pending_cleared:
            return None
        committed = self._view.suspicions.get(content)
        seen = {b for b, crash in self._pending_crashes.items() if content in crash.contents}
        if committed is None:
            return self._status_before_commit(len(seen)) if seen else None
        if not seen or committed.status in (SuspectStatus.UNPROVEN, SuspectStatus.QUARANTINED):
            return committed.status
        # A crash that this daemon observed may be committed by now, and must not count twice.
        uncommitted = seen.difference(backend_of(b) for b in committed.crashed_backends)
        return self._status_before_commit(len(uncommitted) + len(committed.crashed_backends))

    def _status_before_commit(self, crashes: int) -> SuspectStatus:
        """Return the status of a request whose crashes aren't all committed."""
        # No trial is permitted before the control group has committed the crashes.
        return SuspectStatus.QUARANTINED if crashes >= CRASHES_TO_BLAME else status_after(crashes)

    def has_crashed(self, backend_id: BackendId) -> bool:
        """Whether a backend is known to have crashed and not to have restarted under its id."""
        return any(
            backend_id in known
            for known in (
                self._crashed_backends,
                self._pending_crashes,
                self._pending_empty_crashes,
            )
        )

    @property
    def trial(self) -> Trial | None:
        """The trial in progress, whichever daemon holds the permit."""
        return self._view.trial

    def has_permit(self, content: ContentDigest) -> bool:
        """Whether this daemon has an unused permit to send an unproven request once."""
        trial = self._view.trial
        if trial is None or trial.number <= self._used_trial:
            return False
        return trial.content == content and trial.run_id == self._run_id

    def trial_wait_seconds(self, content: ContentDigest, now: float) -> float:
        """Return the seconds until a trial of an unproven request may be requested; 0 for now."""
        since = self._unproven_since.get(content, now)
        remaining = since + TRIAL_DELAY_SECONDS - now
        if self._view.trial is not None and not self.has_permit(content):
            return max(remaining, REPORT_RETRY_SECONDS)
        return max(0.0, remaining)

    def use_permit(self) -> None:
        """Mark the permit of the current trial as used, when its request is sent."""
        if self._view.trial is not None:
            self._used_trial = self._view.trial.number

    def return_permit(self, content: ContentDigest) -> None:
        """Make a used permit valid again, because no backend has started to run its request."""
        trial = self._view.trial
        if trial is not None and (trial.content, trial.run_id) == (content, self._run_id):
            self._used_trial = min(self._used_trial, trial.number - 1)

    # Reports

    def record_crash(
        self, backend_id: BackendId, contents: Iterable[ContentDigest], now: float
    ) -> tuple[ContentDigest, ...]:
        """Record a crashed backend and the requests in flight at it; return the new suspects.

        Requests that were served recently are not suspected.
        """
        suspected = tuple(
            content for content in contents if not self._was_served_recently(content, now)
        )
        self._attempt_reporter.discard(backend_id)
        if not suspected:
            self._record_empty_crash(backend_id)
            return ()
        self._pending_empty_crashes.pop(backend_id, None)
        sequence = self._next_change()
        crash = self._pending_crashes.setdefault(backend_id, _PendingCrash(sequence, {}))
        crash.sequence = sequence
        for content in suspected:
            crash.contents[content] = None
            # A pending clearance covers only earlier crashes.
            self._pending_cleared.pop(content, None)
        while len(self._pending_crashes) > PENDING_LIMIT:
            del self._pending_crashes[next(iter(self._pending_crashes))]
        return suspected

    def _next_change(self) -> int:
        self._sequence += 1
        self._change_sequence = self._sequence
        return self._sequence

    def _record_empty_crash(self, backend_id: BackendId) -> None:
        """Record a crash at which this daemon had no suspects; a dead daemon may have had some."""
        if backend_id in self._reported_empty_crashes or backend_id in self._pending_crashes:
            return
        self._pending_empty_crashes[backend_id] = self._next_change()
        self._reported_empty_crashes[backend_id] = None
        while len(self._reported_empty_crashes) > PENDING_LIMIT:
            oldest = next(iter(self._reported_empty_crashes))
            del self._reported_empty_crashes[oldest]
            self._pending_empty_crashes.pop(oldest, None)

    def record_alive(self, backend_id: BackendId) -> None:
        """Record that a backend responded; if it had crashed, it has restarted under its id."""
        self._reported_empty_crashes.pop(backend_id, None)

    def record_unanswered(self, backend_id: BackendId, content: ContentDigest, now: float) -> None:
        """Record an attempt without a response, under which its backend may still crash."""
        if not self._was_served_recently(content, now):
            self._sequence += 1
            self._attempt_reporter.record_unanswered(backend_id, content, self._sequence)

    def record_outlived(self, backend_id: BackendId) -> None:
        """Record that a backend was still alive well after all of its unanswered attempts."""
        self._attempt_reporter.discard(backend_id)

    def record_send(
        self,
        call_id: CallId,
        backend: Backend,
        content_of: Callable[[], ContentDigest],
        now: float,
    ) -> None:
        """Record an attempt, and announce it (report it early) if its service requires that.

        The control leader requests announcements for a service after a backend crashed while a
        daemon died, since only the dead daemon may know which requests were in flight.

        Args:
            call_id: Id of the attempt's call; the caller must call `record_end` at the call's end.
            backend: Backend of the attempt.
            content_of: Returns the request's content digest; called only if the attempt is
                announced.
            now: Local time in seconds.
        """
        if not self._attempt_reporter.is_announcing(backend.service, now):
            return
        content = content_of()
        if not self._was_served_recently(content, now):
            self._attempt_reporter.announce(call_id, backend.backend_id, content)

    def record_end(self, call_id: CallId) -> None:
        """Record that an attempt ended, with or without a response."""
        self._attempt_reporter.record_end(call_id)

    def _was_served_recently(self, content: ContentDigest, now: float) -> bool:
        return was_served_recently(self._served_at.get(content), now)

    def record_served(self, content: ContentDigest, now: float) -> None:
        """Record that a request was served completely, which clears it of suspicion."""
        self._served_at.pop(content, None)
        self._served_at[content] = now
        if len(self._served_at) > SERVED_LIMIT:
            del self._served_at[next(iter(self._served_at))]
        if not self.is_empty and self.status(content) is not None:
            self._clear(content)

    def _clear(self, content: ContentDigest) -> None:
        self._pending_cleared[content] = self._next_change()
        for crash in self._pending_crashes.values():
            crash.contents.pop(content, None)
        while len(self._pending_cleared) > PENDING_LIMIT:
            del self._pending_cleared[next(iter(self._pending_cleared))]

    def request_trial(self, content: ContentDigest) -> None:
        """Ask the leader, with the next report, for the trial of an unproven request."""
        if content not in self._trial_requests:
            self._trial_requests[content] = None
            self._are_trial_requests_sent = False

    def withdraw_trial_request(self, content: ContentDigest) -> None:
        """Stop asking for a trial, because the caller's request no longer waits at this daemon."""
        self._trial_requests.pop(content, None)

    def is_report_due(self, now: float) -> bool:
        """Whether there is something to report that justifies a pull of its own."""
        if not self._are_trial_requests_sent or self._attempt_reporter.is_due(now):
            return True
        if self._change_sequence > self._reported_sequence:
            return now - self._reported_at >= MINIMUM_REPORT_INTERVAL_SECONDS
        return self._has_changes and now - self._reported_at >= REPORT_RETRY_SECONDS

    @property
    def _has_changes(self) -> bool:
        return bool(
            self._pending_crashes
            or self._pending_cleared
            or self._trial_requests
            or self._pending_empty_crashes
        )

    def next_report(self, now: float) -> bytes | None:
        """Return the encoded report for a pull that is sent now; None if there is none."""
        if not self._has_changes and self._attempt_reporter.is_empty:
            self._reported_sequence = self._sequence
            return None
        crashes = list(self._pending_crashes.items())
        cleared = list(self._pending_cleared.items())
        empty_crashes = list(self._pending_empty_crashes.items())
        if self._has_changes:
            # A report of attempts alone must not delay the next report that affects statuses.
            self._reported_at = now
        self._reported_sequence = self._sequence
        self._are_trial_requests_sent = True
        attempts = self._attempt_reporter.build_report(now)
        omitted = [] if attempts.first_omitted is None else [attempts.first_omitted]
        omitted += [crash.sequence for _id, crash in crashes[MAXIMUM_REPORT_ENTRIES:]]
        omitted += [sequence for _content, sequence in cleared[MAXIMUM_REPORT_ENTRIES:]]
        omitted += [sequence for _id, sequence in empty_crashes[MAXIMUM_REPORT_ENTRIES:]]
        report = SuspectReport(
            run_id=self._run_id,
            # Changes that didn't fit into the report must not be acknowledged with it.
            sequence=min(omitted, default=self._sequence + 1) - 1,
            crashes=tuple(
                BackendCrash(b, tuple(crash.contents))
                for b, crash in crashes[:MAXIMUM_REPORT_ENTRIES]
            )
            + tuple(BackendCrash(b, ()) for b, _sequence in empty_crashes[:MAXIMUM_REPORT_ENTRIES]),
            served=tuple(content for content, _sequence in cleared[:MAXIMUM_REPORT_ENTRIES]),
            trial_requests=tuple(self._trial_requests)[:MAXIMUM_REPORT_ENTRIES],
            unanswered=attempts.unanswered,
            in_flight=attempts.in_flight,
        )
        return encode_suspect_report(report)

    def acknowledge(self, sequence: int) -> None:
        """Drop the changes up to a sequence number, which the control group has committed."""
        self._pending_crashes = {
            b: c for b, c in self._pending_crashes.items() if c.sequence > sequence
        }
        self._pending_cleared = {c: s for c, s in self._pending_cleared.items() if s > sequence}
        self._pending_empty_crashes = {
            b: s for b, s in self._pending_empty_crashes.items() if s > sequence
        }
        self._attempt_reporter.acknowledge(sequence)

    def apply_view(self, view: SuspectsView, revision: int, now: float) -> bool:
        """Apply a committed view; return False if it is not newer than the present view."""
        if revision <= self.revision:
            return False
        self.revision = revision
        known = self._view.announced_services
        for service, position in view.announced_services.items():
            if position > known.get(service, 0):
                self._attempt_reporter.start_announcing(service, now)
        self._view = view
        self._crashed_backends = frozenset(
            b
            for held in view.suspicions.values()
            for b in held.crashed_backends
            if not has_start_time(b)
        )
        for content in view.suspicions:
            # Another daemon saw a backend crash under a request that this daemon saw served.
            if content not in self._pending_cleared and self._was_served_recently(content, now):
                self._clear(content)
        before = self._unproven_since
        self._unproven_since = {
            content: before.get(content, now)
            for content, suspicion in view.suspicions.items()
            if suspicion.status is SuspectStatus.UNPROVEN
        }
        return True
