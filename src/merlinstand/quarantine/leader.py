"""The control leader's processing of reports on suspected requests, and its permits for trials.

Holds the reports that wait to be proposed together; `replica` holds the committed state. The
requests counted as in flight at a crashed backend are those that daemons report with the crash, and
those that daemons reported earlier, including daemons that have died since. Part of the control
daemon's reducer.
"""

from collections.abc import Callable

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import BackendId, ContentDigest, NodeId
from merlinstand.kernel.effects import Effect, LogEvent, SetTimer
from merlinstand.kernel.throttle import Throttle
from merlinstand.quarantine.commands import (
    AllowTrials,
    BeginTrial,
    EndTrial,
    QuarantineCommand,
    RecordCrashes,
)
from merlinstand.quarantine.in_flight import AnnouncedAttempts
from merlinstand.quarantine.incarnations import Incarnations, backend_of
from merlinstand.quarantine.lost_senders import LostSenders
from merlinstand.quarantine.messages import (
    BackendCrash,
    SuspectReport,
    UnansweredAttempts,
    decode_suspect_report,
)
from merlinstand.quarantine.replica import ReplicatedSuspects
from merlinstand.quarantine.rules import ANNOUNCEMENT_SETTLE_SECONDS, OUTLIVED_SECONDS


class ReportResponse(msgspec.Struct, frozen=True):
    """The leader's response to a daemon's report."""

    acknowledged: int | None = None
    """Sequence number of the report, if everything in it is committed; None otherwise."""
    effects: tuple[Effect, ...] = ()


class BackendLiveness(msgspec.Struct, frozen=True):
    """Callbacks on the liveness of backends."""

    heartbeat_age_seconds: Callable[[BackendId, float], float | None] = lambda _backend_id, _now: (
        None
    )
    """Returns the seconds since a backend's last heartbeat at a local time; None if unknown."""
    service_of: Callable[[BackendId], str] = lambda _backend_id: ""
    """Returns the service of a backend that is registered and not draining; empty for any other."""
    on_restart: Callable[[BackendId], None] = lambda _backend_id: None
    """Called when a backend has restarted under its id."""


BATCH_SECONDS = 0.05
"""Minimum time between two log entries on crashes, see `Throttle`. When a backend crashes, all
daemons with calls to it report within milliseconds of each other."""
BATCH_TIMER = "directory.suspects"
"""Timer on which the owner calls `propose_pending`."""
SETTLE_TIMER = "directory.announced"
"""Timer on which the owner calls `propose_lost_attempts`."""
TIMER_MARGIN_SECONDS = 0.005
"""Added to the delay of `SETTLE_TIMER`, because a rounding error could make the timer fire just
before the reports are settled."""
PENDING_ATTEMPTS_LIMIT = 256
"""Maximum attempts in one log entry, 10 KB; further attempts are accepted when they are reported
again. When a whole zone stops responding, each daemon cancels all of its attempts in the zone."""


class QuarantineLeader:
    """Processes the reports on suspected requests that one leader receives."""

    def __init__(
        self,
        suspects: ReplicatedSuspects,
        propose: Callable[[QuarantineCommand, float], list[Effect] | None],
        liveness: BackendLiveness | None = None,
        lost_senders: LostSenders | None = None,
    ) -> None:
        """Start without pending reports.

        Args:
            suspects: The committed state.
            propose: Proposes a command at a local time; returns None if that isn't possible now.
            liveness: Callbacks on the liveness of backends.
            lost_senders: Tells whether daemons died recently.
        """
        self._suspects = suspects
        self._propose = propose
        self._liveness = liveness or BackendLiveness()
        self.lost_senders = lost_senders or LostSenders(lambda _now: ())
        self._incarnations = Incarnations()
        self._announced_attempts = AnnouncedAttempts()
        self._pending_crashes: dict[BackendId, dict[ContentDigest, None]] = {}
        """Reported and not proposed yet."""
        self._pending_served: dict[ContentDigest, None] = {}
        self._pending_unanswered: dict[BackendId, dict[ContentDigest, None]] = {}
        self._pending_announcements: dict[str, None] = {}
        self._throttle = Throttle(BATCH_TIMER, BATCH_SECONDS)

    def begin(self) -> None:
        """Start a leadership without pending reports; daemons repeat what isn't committed."""
        self._pending_crashes.clear()
        self._pending_served.clear()
        self._pending_unanswered.clear()
        self._pending_announcements.clear()
        self._announced_attempts.reset()
        self._throttle.reset()

    # Reports

    def handle_report(
        self, sender: NodeId, data: bytes | None, group_time: float, now: float
    ) -> ReportResponse:
        """Process a daemon's report; call only while this process may act as leader.

        Args:
            sender: The reporting daemon.
            data: Encoded report, if there is one.
            group_time: Present group time in seconds, by which crashes are recorded.
            now: Local time.
        """
        if not data:
            return ReportResponse()
        try:
            report = self._incarnations.qualify(decode_suspect_report(data))
        except DECODE_ERRORS as error:
            fields = {"daemon": sender, "detail": str(error)}
            return ReportResponse(effects=(LogEvent("suspects.malformed", fields, "warning"),))
        self._announced_attempts.update(report.run_id, report.in_flight, now)
        effects = self._add_report(sender, report, group_time, now)
        acknowledged = None if effects else report.sequence
        timers = [e for crash in report.crashes for e in self._await_reports(crash.backend_id, now)]
        trial = self._permit_trial(report, group_time, now)
        return ReportResponse(acknowledged, (*effects, *timers, *trial))

    def _add_report(
        self, sender: NodeId, report: SuspectReport, group_time: float, now: float
    ) -> list[Effect]:
        """Propose the uncommitted changes in a report, at once or in the next batch.

        Returns:
            Effects; empty exactly if everything in the report is committed.
        """
        suspects = self._suspects
        crashes = self._new_crashes(report, group_time, now)
        suspected = {content for crash in crashes for content in crash.contents}
        served = tuple(c for c in report.served if suspects.is_suspect(c) or c in suspected)
        unanswered = self._new_attempts(report, group_time)
        if not crashes and not served and not unanswered:
            return []
        fields = {
            "daemon": sender,
            "crashed": ",".join(crash.backend_id for crash in crashes),
            "contents": sum(len(crash.contents) for crash in crashes),
            "served": len(served),
            "unanswered": sum(len(attempts.contents) for attempts in unanswered),
        }
        log = LogEvent("suspects.reported", fields)
        had_pending = self._has_pending
        for crash in crashes:
            self._add_pending_crash(crash, now)
        self._pending_served.update(dict.fromkeys(served))
        self._add_pending_attempts(unanswered)
        if had_pending:
            return [log]
        return [log, *self._throttle.run_or_schedule(self.propose_pending, now)]

    def _new_crashes(
        self, report: SuspectReport, group_time: float, now: float
    ) -> tuple[BackendCrash, ...]:
        """Return the uncommitted crashes with all requests known to have been in flight."""
        late = tuple(
            BackendCrash(attempts.backend_id, attempts.contents)
            for attempts in report.unanswered
            if self._suspects.has_just_crashed(attempts.backend_id, group_time)
        )
        crashes = [
            self._with_known_attempts(crash, group_time, now) for crash in (*report.crashes, *late)
        ]
        return tuple(crash for crash in crashes if self._should_record(crash, now))

    def _should_record(self, crash: BackendCrash, now: float) -> bool:
        """Whether to record a crash, because requests were in flight at it or because a dead daemon
        may have had some in flight.
        """
        if not self._suspects.is_new(crash):
            return False
        if crash.contents:
            return True
        is_first = crash.backend_id not in self._pending_crashes
        is_serving = bool(self._liveness.service_of(backend_of(crash.backend_id)))
        return is_first and is_serving and self.lost_senders.may_have_died(now)

    def _with_known_attempts(
        self, crash: BackendCrash, group_time: float, now: float
    ) -> BackendCrash:
        """Add the attempts reported before the crash, except those that the backend outlived.

        Attempts reported long before the crash are evaluated only once, when the crash becomes
        known; a daemon that detects the crash later must not add them again.
        """
        backend_id = crash.backend_id
        unanswered = self._suspects.unanswered
        in_flight: tuple[ContentDigest, ...] = ()
        if backend_id not in self._suspects.crashes:
            heartbeat_age = self._liveness.heartbeat_age_seconds(backend_of(backend_id), now)
            heartbeat_at = None if heartbeat_age is None else group_time - heartbeat_age
            in_flight = unanswered.in_flight(backend_id, heartbeat_at, group_time)
        already_evaluated = unanswered.reported_until(backend_id, group_time - OUTLIVED_SECONDS)
        reported = (content for content in crash.contents if content not in already_evaluated)
        pending = self._pending_unanswered.get(backend_id, {})
        return BackendCrash(backend_id, tuple(dict.fromkeys((*reported, *pending, *in_flight))))

    def _new_attempts(
        self, report: SuspectReport, group_time: float
    ) -> tuple[UnansweredAttempts, ...]:
        table = self._suspects.unanswered
        crashed = {crash.backend_id for crash in report.crashes}
        new = []
        for attempts in report.unanswered:
            has_just_crashed = self._suspects.has_just_crashed(attempts.backend_id, group_time)
            if has_just_crashed or attempts.backend_id in crashed:
                continue
            held = self._pending_unanswered.get(attempts.backend_id, {})
            contents = tuple(
                content
                for content in attempts.contents
                if content not in held
                and not table.is_recent(attempts.backend_id, content, group_time)
            )
            if contents:
                new.append(UnansweredAttempts(attempts.backend_id, contents))
        return tuple(new)

    # Pending proposals

    @property
    def _has_pending(self) -> bool:
        return bool(self._pending_crashes or self._pending_served or self._pending_unanswered)

    def _add_pending_crash(self, crash: BackendCrash, now: float) -> None:
        held = self._pending_crashes.setdefault(crash.backend_id, {})
        held.update(dict.fromkeys(crash.contents))
        is_first = crash.backend_id not in self._suspects.crashes
        if is_first and self.lost_senders.may_have_died(now):
            service = self._liveness.service_of(backend_of(crash.backend_id))
            self._pending_announcements.update(dict.fromkeys(filter(None, (service,))))

    def _add_pending_attempts(self, unanswered: tuple[UnansweredAttempts, ...]) -> None:
        room = PENDING_ATTEMPTS_LIMIT - sum(len(held) for held in self._pending_unanswered.values())
        for attempts in unanswered:
            accepted = attempts.contents[: max(0, room)]
            room -= len(accepted)
            if accepted:
                held = self._pending_unanswered.setdefault(attempts.backend_id, {})
                held.update(dict.fromkeys(accepted))

    def propose_pending(self, now: float) -> list[Effect]:
        """Propose the pending reports; also called when `BATCH_TIMER` fires."""
        if not self._has_pending:
            return []
        crashes = tuple(BackendCrash(b, tuple(c)) for b, c in self._pending_crashes.items())
        unanswered = tuple(
            UnansweredAttempts(b, tuple(c))
            for b, c in self._pending_unanswered.items()
            if b not in self._pending_crashes
        )
        services = tuple(self._pending_announcements)
        command = RecordCrashes(crashes, tuple(self._pending_served), unanswered, services)
        self._pending_crashes.clear()
        self._pending_served.clear()
        self._pending_unanswered.clear()
        self._pending_announcements.clear()
        self._throttle.record_run(now)
        return self._propose(command, now) or []

    # Crashed backends

    def record_replacement(
        self, backend_id: BackendId, group_time: float, now: float
    ) -> list[Effect]:
        """Record that a backend crashed, because another one has registered at its address.

        Ignored if the replaced backend was draining.
        """
        return self._record_crash(self._incarnations.current(backend_id), group_time, now)

    def record_start(
        self, backend_id: BackendId, started_ms: int, group_time: float, now: float
    ) -> list[Effect]:
        """Record the start time in a backend's heartbeat.

        A new start time shows that the previous incarnation has ended, which counts as a crash
        unless the backend was draining.

        Must be called before the heartbeat counts as received, because the heartbeat doesn't show
        that the previous incarnation was alive.
        """
        ended = self._incarnations.record(backend_id, started_ms)
        if ended is None:
            return []
        self._liveness.on_restart(backend_id)
        return self._record_crash(ended, group_time, now)

    def learn_start(self, backend_id: BackendId, started_ms: int) -> None:
        """Record the start time in a backend's heartbeat on a replica that isn't the leader."""
        self._incarnations.record(backend_id, started_ms)

    def _record_crash(self, incarnation: BackendId, group_time: float, now: float) -> list[Effect]:
        """Propose a crash at once, so that it counts before the successor gets requests."""
        if not self._liveness.service_of(backend_of(incarnation)):
            # The backend was draining or not registered, so its end was expected.
            return []
        timers = self._await_reports(incarnation, now)
        crash = self._with_known_attempts(BackendCrash(incarnation, ()), group_time, now)
        if not self._should_record(crash, now):
            return timers
        self._add_pending_crash(crash, now)
        return [*timers, *self.propose_pending(now)]

    def _await_reports(self, incarnation: BackendId, now: float) -> list[Effect]:
        """Start the time in which live daemons report again, after a crash of a backend.

        Announced attempts of daemons that don't report again are then proposed as lost.
        """
        is_first = self._announced_attempts.record_crash(incarnation, now)
        return (
            [SetTimer(SETTLE_TIMER, ANNOUNCEMENT_SETTLE_SECONDS + TIMER_MARGIN_SECONDS)]
            if is_first
            else []
        )

    def propose_lost_attempts(self, group_time: float, now: float) -> list[Effect]:
        """Propose as suspects the attempts that dead daemons had announced at crashed backends."""
        lost = self._announced_attempts.pop_lost_attempts(now)
        if not lost:
            return []
        effects: list[Effect] = []
        for backend_id, contents in lost.items():
            crash = self._with_known_attempts(BackendCrash(backend_id, contents), group_time, now)
            if self._should_record(crash, now):
                fields = {"backend": backend_id, "contents": ",".join(contents)}
                effects.append(LogEvent("suspects.attempts_lost", fields))
                self._add_pending_crash(crash, now)
        return effects + self.propose_pending(now)

    # Trials

    def _permit_trial(self, report: SuspectReport, group_time: float, now: float) -> list[Effect]:
        for content in report.trial_requests:
            if self._suspects.may_try(content, group_time):
                return self._propose(BeginTrial(content, report.run_id), now) or []
        return []

    def tick(self, group_time: float, now: float) -> list[Effect]:
        """End expired trials and quarantines, and propose the attempts lost with dead daemons."""
        suspects = self._suspects
        effects = self.propose_lost_attempts(group_time, now)
        if suspects.trial is not None and suspects.is_trial_expired(group_time):
            effects.extend(self._propose(EndTrial(suspects.trial.trial.number), now) or [])
        due = suspects.due_for_trial(group_time)
        if due:
            effects.extend(self._propose(AllowTrials(due), now) or [])
        return effects
