"""A daemon's side of suspects: what is held against a request, and what the daemon has to report.

Owns what this daemon saw and the group hasn't agreed on yet, and its copy of what is agreed. What
it saw itself counts at once, also while no leader can be reached; what all daemons saw counts as
soon as the control group has agreed on it. All that sends requests to servers asks `standing`
first. Runs in every gateway and keeper, as part of the directory's follower, which sends reports
with its pulls.
"""

from collections.abc import Callable, Iterable

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.quarantine.attempt_reports import TriesToTell
from merlinstand.quarantine.blame import CRASHES_TO_BLAME, SuspectStatus, standing_after
from merlinstand.quarantine.incarnations import has_start, server_of
from merlinstand.quarantine.messages import (
    MAXIMUM_REPORT_ENTRIES,
    BackendCrash,
    SuspectReport,
    SuspectsView,
    Trial,
    encode_suspect_report,
)
from merlinstand.quarantine.rules import TRIAL_PAUSE_SECONDS, is_vouched_for

REPORT_AGAIN_SECONDS = 0.1
"""What was not acknowledged is reported again after this time; chosen, not measured."""
REPORT_PAUSE_SECONDS = 0.02
"""Shortest time between two reports that hold something new: when many servers crash, each of some
hundred calls that break adds to the report. Chosen, not measured."""
PENDING_LIMIT = 512
"""Crashes, and cleared requests, that wait to be agreed; older ones are dropped while no leader can
be reached for long. As many as the control group remembers."""

SERVED_LIMIT = 2_048
"""Requests remembered that were served lately, of which a gateway has some 80 a second; 0.3 MB."""


class _PendingCrash(msgspec.Struct):
    """A crash that isn't agreed yet."""

    sequence: int
    """Number of its newest change, in the order of all that this daemon has to report."""
    contents: dict[ContentDigest, None]


class SuspectTable:
    """What one daemon knows of suspects."""

    def __init__(self) -> None:
        """Begin with nothing known."""
        self.revision = -1
        self._view = SuspectsView()
        self._crashed_servers: frozenset[BackendId] = frozenset()
        self._unproven_since: dict[ContentDigest, float] = {}
        """When this daemon heard that a request is unproven."""
        self._asker = ""
        self._crashes: dict[BackendId, _PendingCrash] = {}
        self._gone: dict[BackendId, int] = {}
        """Sequence numbers of servers that are gone, with nothing of this daemon in flight there,
        and that the group doesn't know of yet."""
        self._told_gone: dict[BackendId, None] = {}
        """Servers that were told as gone, and have not answered since; oldest first."""
        self._cleared: dict[ContentDigest, int] = {}
        """Sequence numbers of cleared requests that aren't agreed yet."""
        self._served_at: dict[ContentDigest, float] = {}
        """When requests were last served whole here, oldest first."""
        self._trial_requests: dict[ContentDigest, None] = {}
        self._tries = TriesToTell()
        self._sequence = 0
        self._news_sequence = 0
        """Of the newest crash, or cleared request: what changes what is held against requests."""
        self._reported_sequence = 0
        self._reported_at = float("-inf")
        self._are_trial_requests_sent = True
        self._used_trial = 0

    def begin(self, asker: str) -> None:
        """The daemon starts.

        Args:
            asker: Names this run of it: a permit of an earlier one is not this one's.
        """
        self._asker = asker

    # What is held against requests

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held against any request: then nobody needs to ask."""
        return not self._view.suspicions and not self._crashes

    def status(self, content: ContentDigest) -> SuspectStatus | None:
        """Tell what is held against a request; None if nothing is."""
        if content in self._cleared:
            return None
        agreed = self._view.suspicions.get(content)
        seen = {b for b, crash in self._crashes.items() if content in crash.contents}
        if agreed is None:
            return self._standing_after(len(seen)) if seen else None
        if not seen or agreed.status in (SuspectStatus.UNPROVEN, SuspectStatus.QUARANTINED):
            return agreed.status
        # A crash that was seen here may be among the agreed ones by now.
        unagreed = seen.difference(server_of(b) for b in agreed.crashed_backends)
        return self._standing_after(len(unagreed) + len(agreed.crashed_backends))

    def _standing_after(self, crashes: int) -> SuspectStatus:
        """What is held against a request by crashes that aren't all agreed."""
        # Nobody permits to try an unproven one before the control group knows of it.
        return SuspectStatus.QUARANTINED if crashes >= CRASHES_TO_BLAME else standing_after(crashes)

    def has_crashed(self, backend_id: BackendId) -> bool:
        """Whether a server is known to have crashed, and can't be back under its id."""
        return any(
            backend_id in known for known in (self._crashed_servers, self._crashes, self._gone)
        )

    @property
    def trial(self) -> Trial | None:
        """The trial that is under way, whoever is permitted it."""
        return self._view.trial

    def has_permit(self, content: ContentDigest) -> bool:
        """Whether an unproven request may be sent from here now, once."""
        trial = self._view.trial
        if trial is None or trial.number <= self._used_trial:
            return False
        return trial.content == content and trial.run_id == self._asker

    def trial_wait_seconds(self, content: ContentDigest, now: float) -> float:
        """How long until a trial of an unproven request may be requested; 0 if it may now."""
        since = self._unproven_since.get(content, now)
        left = since + TRIAL_PAUSE_SECONDS - now
        if self._view.trial is not None and not self.has_permit(content):
            return max(left, REPORT_AGAIN_SECONDS)
        return max(0.0, left)

    def use_permit(self) -> None:
        """The request of the trial is sent."""
        if self._view.trial is not None:
            self._used_trial = self._view.trial.number

    def return_permit(self, content: ContentDigest) -> None:
        """The request of the trial has reached no server, or none that began it."""
        trial = self._view.trial
        if trial is not None and (trial.content, trial.run_id) == (content, self._asker):
            self._used_trial = min(self._used_trial, trial.number - 1)

    # What there is to report

    def record_crash(
        self, backend_id: BackendId, contents: Iterable[ContentDigest], now: float
    ) -> tuple[ContentDigest, ...]:
        """A server crashed while these requests were in flight there; gives those suspected."""
        suspected = tuple(content for content in contents if not self._vouches(content, now))
        self._tries.forget(backend_id)
        if not suspected:
            self._note_gone(backend_id)
            return ()
        self._gone.pop(backend_id, None)
        sequence = self._next_news()
        crash = self._crashes.setdefault(backend_id, _PendingCrash(sequence, {}))
        crash.sequence = sequence
        for content in suspected:
            crash.contents[content] = None
            # It was cleared of earlier crashes only.
            self._cleared.pop(content, None)
        while len(self._crashes) > PENDING_LIMIT:
            del self._crashes[next(iter(self._crashes))]
        return suspected

    def _next_news(self) -> int:
        self._sequence += 1
        self._news_sequence = self._sequence
        return self._sequence

    def _note_gone(self, backend_id: BackendId) -> None:
        """Nothing of this daemon was there; another one may have died that had something there."""
        if backend_id in self._told_gone or backend_id in self._crashes:
            return
        self._gone[backend_id] = self._next_news()
        self._told_gone[backend_id] = None
        while len(self._told_gone) > PENDING_LIMIT:
            oldest = next(iter(self._told_gone))
            del self._told_gone[oldest]
            self._gone.pop(oldest, None)

    def record_alive(self, backend_id: BackendId) -> None:
        """A server answered: one that was gone is back under its id."""
        self._told_gone.pop(backend_id, None)

    def record_unanswered(self, backend_id: BackendId, content: ContentDigest, now: float) -> None:
        """A try ended without an answer: its server may crash under it yet."""
        if not self._vouches(content, now):
            self._sequence += 1
            self._tries.note(backend_id, content, self._sequence)

    def record_outlived(self, backend_id: BackendId) -> None:
        """A server has outlived all tries there that ended without an answer."""
        self._tries.forget(backend_id)

    def record_send(
        self,
        call_id: CallId,
        backend: Backend,
        content_of: Callable[[], ContentDigest],
        now: float,
    ) -> None:
        """A try is sent: it is announced, if evidence of its service's crashes was lost lately.

        Args:
            call_id: Of the try; `note_ended` follows.
            backend: Where it goes.
            content_of: Gives its content; asked only if it is announced.
            now: Local time.
        """
        if not self._tries.announces(backend.service, now):
            return
        content = content_of()
        if not self._vouches(content, now):
            self._tries.announce(call_id, backend.backend_id, content)

    def record_end(self, call_id: CallId) -> None:
        """A try is over, however it ended."""
        self._tries.end(call_id)

    def _vouches(self, content: ContentDigest, now: float) -> bool:
        return is_vouched_for(self._served_at.get(content), now)

    def record_served(self, content: ContentDigest, now: float) -> None:
        """A server answered a request whole: whatever crashed, not under this one."""
        self._served_at.pop(content, None)
        self._served_at[content] = now
        if len(self._served_at) > SERVED_LIMIT:
            del self._served_at[next(iter(self._served_at))]
        if not self.is_empty and self.status(content) is not None:
            self._clear(content)

    def _clear(self, content: ContentDigest) -> None:
        self._cleared[content] = self._next_news()
        for crash in self._crashes.values():
            crash.contents.pop(content, None)
        while len(self._cleared) > PENDING_LIMIT:
            del self._cleared[next(iter(self._cleared))]

    def request_trial(self, content: ContentDigest) -> None:
        """An unproven request waits here to be tried."""
        if content not in self._trial_requests:
            self._trial_requests[content] = None
            self._are_trial_requests_sent = False

    def withdraw_trial_request(self, content: ContentDigest) -> None:
        """Nothing waits for a trial of this request any more."""
        self._trial_requests.pop(content, None)

    def is_report_due(self, now: float) -> bool:
        """Whether there is something to report that is worth a pull of its own."""
        if not self._are_trial_requests_sent or self._tries.is_due(now):
            return True
        if self._news_sequence > self._reported_sequence:
            return now - self._reported_at >= REPORT_PAUSE_SECONDS
        return self._has_news and now - self._reported_at >= REPORT_AGAIN_SECONDS

    @property
    def _has_news(self) -> bool:
        return bool(self._crashes or self._cleared or self._trial_requests or self._gone)

    def next_report(self, now: float) -> bytes | None:
        """Give the report for a pull that leaves now, encoded; None if there is none."""
        if not self._has_news and self._tries.is_empty:
            self._reported_sequence = self._sequence
            return None
        crashes = list(self._crashes.items())
        cleared = list(self._cleared.items())
        gone = list(self._gone.items())
        if self._has_news:
            # A report of tries alone doesn't put off the next one that changes what is held.
            self._reported_at = now
        self._reported_sequence = self._sequence
        self._are_trial_requests_sent = True
        tries = self._tries.report(now)
        left = [] if tries.first_left is None else [tries.first_left]
        left += [crash.sequence for _id, crash in crashes[MAXIMUM_REPORT_ENTRIES:]]
        left += [sequence for _content, sequence in cleared[MAXIMUM_REPORT_ENTRIES:]]
        left += [sequence for _id, sequence in gone[MAXIMUM_REPORT_ENTRIES:]]
        report = SuspectReport(
            run_id=self._asker,
            # Only what is in the report is agreed with it.
            sequence=min(left, default=self._sequence + 1) - 1,
            crashes=tuple(
                BackendCrash(b, tuple(crash.contents))
                for b, crash in crashes[:MAXIMUM_REPORT_ENTRIES]
            )
            + tuple(BackendCrash(b, ()) for b, _sequence in gone[:MAXIMUM_REPORT_ENTRIES]),
            served=tuple(content for content, _sequence in cleared[:MAXIMUM_REPORT_ENTRIES]),
            trial_requests=tuple(self._trial_requests)[:MAXIMUM_REPORT_ENTRIES],
            unanswered=tries.unanswered,
            in_flight=tries.in_flight,
        )
        return encode_suspect_report(report)

    def acknowledge(self, sequence: int) -> None:
        """What was reported up to a sequence number is agreed."""
        self._crashes = {b: c for b, c in self._crashes.items() if c.sequence > sequence}
        self._cleared = {c: s for c, s in self._cleared.items() if s > sequence}
        self._gone = {b: s for b, s in self._gone.items() if s > sequence}
        self._tries.acknowledge(sequence)

    def apply_view(self, view: SuspectsView, revision: int, now: float) -> bool:
        """Take in what was agreed; an older view never replaces a newer one."""
        if revision <= self.revision:
            return False
        self.revision = revision
        known = self._view.announced_services
        for service, mark in view.announced_services.items():
            if mark > known.get(service, 0):
                self._tries.begin_announcing(service, now)
        self._view = view
        self._crashed_servers = frozenset(
            b
            for held in view.suspicions.values()
            for b in held.crashed_backends
            if not has_start(b)
        )
        for content in view.suspicions:
            # Another daemon saw a server crash under it, which this one saw served.
            if content not in self._cleared and self._vouches(content, now):
                self._clear(content)
        before = self._unproven_since
        self._unproven_since = {
            content: before.get(content, now)
            for content, suspicion in view.suspicions.items()
            if suspicion.status is SuspectStatus.UNPROVEN
        }
        return True
