"""The control leader's side of suspects: takes daemons' reports in, permits trials.

Owns reports that wait to be agreed together; `replica` holds what the group agreed on. What was in
flight at a server that crashed is what daemons report of it, and what any of them had told before,
also those that died since. Part of the control daemon's reducer.
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
from merlinstand.quarantine.in_flight import AnnouncedTries
from merlinstand.quarantine.incarnations import Incarnations, server_of
from merlinstand.quarantine.lost_senders import LostSenders
from merlinstand.quarantine.messages import (
    BackendCrash,
    SuspectReport,
    UnansweredAttempts,
    decode_suspect_report,
)
from merlinstand.quarantine.replica import ReplicatedSuspects
from merlinstand.quarantine.rules import SETTLE_SECONDS, SURVIVED_SECONDS


class ReportAnswer(msgspec.Struct, frozen=True):
    """What a daemon is answered about its report."""

    acknowledged: int | None = None
    """Sequence number of its newest report, if all that it holds is agreed; None otherwise."""
    effects: tuple[Effect, ...] = ()


class BackendLiveness(msgspec.Struct, frozen=True):
    """What the control leader knows of servers besides."""

    heartbeat_age_seconds: Callable[[BackendId, float], float | None] = lambda _backend_id, _now: (
        None
    )
    """How long ago a server's last heartbeat came at a local time; None if that isn't known."""
    service_of: Callable[[BackendId], str] = lambda _backend_id: ""
    """Service of a server that is registered and doesn't leave; empty for any other."""
    on_restart: Callable[[BackendId], None] = lambda _backend_id: None
    """A server has started again under its id."""


BATCH_SECONDS = 0.05
"""Shortest time between two entries of the log about crashes: see `Throttle`. When servers crash,
each daemon that worked with them reports within the same moment."""
BATCH_TIMER = "directory.suspects"
"""The owner calls `agree` when it fires."""
SETTLE_TIMER = "directory.announced"
"""The owner calls `note_left` when it fires."""
TIMER_MARGIN_SECONDS = 0.005
"""A timer may fire early by a rounding error, when nothing is settled yet. Chosen, not measured."""
WAITING_TRIES_LIMIT = 256
"""Tries in one entry of the log, 10 KB; the rest is taken when it is reported again: when a whole
zone falls silent, each daemon gives up all that it had there. Chosen, not measured."""


class QuarantineLeader:
    """All reports of suspects that one leader gets."""

    def __init__(
        self,
        suspects: ReplicatedSuspects,
        propose: Callable[[QuarantineCommand, float], list[Effect] | None],
        servers: BackendLiveness | None = None,
        lost_senders: LostSenders | None = None,
    ) -> None:
        """Begin without any.

        Args:
            suspects: What the group agreed on.
            propose: Proposes a command; None if that can't be done now.
            servers: What is known of servers' lives.
            senders: Whether daemons died lately.
        """
        self._suspects = suspects
        self._propose = propose
        self._servers = servers or BackendLiveness()
        self.lost_senders = lost_senders or LostSenders(lambda _now: ())
        self._incarnations = Incarnations()
        self._announced = AnnouncedTries()
        self._crashes: dict[BackendId, dict[ContentDigest, None]] = {}
        """Reported, and not proposed yet."""
        self._served: dict[ContentDigest, None] = {}
        self._unanswered: dict[BackendId, dict[ContentDigest, None]] = {}
        self._announced_services: dict[str, None] = {}
        self._throttle = Throttle(BATCH_TIMER, BATCH_SECONDS)

    def begin(self) -> None:
        """A leadership begins: daemons report again what isn't agreed."""
        self._crashes.clear()
        self._served.clear()
        self._unanswered.clear()
        self._announced_services.clear()
        self._announced.begin()
        self._throttle.reset()

    # Reports

    def handle_report(
        self, sender: NodeId, data: bytes | None, group_time: float, now: float
    ) -> ReportAnswer:
        """Take a daemon's report in; call it only while this process may act as leader.

        Args:
            sender: Who reports.
            data: Encoded report, if there is one.
            group_time: Present time by which crashes were noted, in seconds.
            now: Local time.
        """
        if not data:
            return ReportAnswer()
        try:
            report = self._incarnations.complete(decode_suspect_report(data))
        except DECODE_ERRORS as error:
            fields = {"daemon": sender, "detail": str(error)}
            return ReportAnswer(effects=(LogEvent("suspects.malformed", fields, "warning"),))
        self._announced.take(report.run_id, report.in_flight, now)
        effects = self._take(sender, report, group_time, now)
        acknowledged = None if effects else report.sequence
        settle = [e for crash in report.crashes for e in self._settle(crash.backend_id, now)]
        trial = self._permit_trial(report, group_time, now)
        return ReportAnswer(acknowledged, (*effects, *settle, *trial))

    def _take(
        self, sender: NodeId, report: SuspectReport, group_time: float, now: float
    ) -> list[Effect]:
        """Have what isn't agreed yet agreed, at once or soon; nothing if all is."""
        suspects = self._suspects
        crashes = self._new_crashes(report, group_time, now)
        suspected = {content for crash in crashes for content in crash.contents}
        served = tuple(c for c in report.served if suspects.is_held_against(c) or c in suspected)
        unanswered = self._new_tries(report, group_time)
        if not crashes and not served and not unanswered:
            return []
        fields = {
            "daemon": sender,
            "ended": ",".join(crash.backend_id for crash in crashes),
            "contents": sum(len(crash.contents) for crash in crashes),
            "served": len(served),
            "unanswered": sum(len(tries.contents) for tries in unanswered),
        }
        log = LogEvent("suspects.told", fields)
        is_waiting = self._is_waiting
        for crash in crashes:
            self._wait_for_crash(crash, now)
        self._served.update(dict.fromkeys(served))
        self._wait_for_tries(unanswered)
        if is_waiting:
            return [log]
        return [log, *self._throttle.run_or_schedule(self.propose_pending, now)]

    def _new_crashes(
        self, report: SuspectReport, group_time: float, now: float
    ) -> tuple[BackendCrash, ...]:
        """Crashes that aren't agreed yet, with all that is known to have been in flight there."""
        late = tuple(
            BackendCrash(tries.backend_id, tries.contents)
            for tries in report.unanswered
            if self._suspects.has_just_crashed(tries.backend_id, group_time)
        )
        crashes = [self._complete(crash, group_time, now) for crash in (*report.crashes, *late)]
        return tuple(crash for crash in crashes if self._is_news(crash, now))

    def _is_news(self, crash: BackendCrash, now: float) -> bool:
        """Whether a crash is to be agreed: something was there, or who knew of it may be dead."""
        if not self._suspects.is_unknown(crash):
            return False
        if crash.contents:
            return True
        is_first = crash.backend_id not in self._crashes
        is_serving = bool(self._servers.service_of(server_of(crash.backend_id)))
        return is_first and is_serving and self.lost_senders.may_have_died(now)

    def _complete(self, crash: BackendCrash, group_time: float, now: float) -> BackendCrash:
        """Add the tries that were told before the server crashed, without those it has outlived.

        What was told long before is judged once, when the crash becomes known: a daemon that finds
        the server gone later has nothing to add by it.
        """
        server = crash.backend_id
        unanswered = self._suspects.unanswered
        in_flight: tuple[ContentDigest, ...] = ()
        if server not in self._suspects.crashes:
            heard_seconds = self._servers.heartbeat_age_seconds(server_of(server), now)
            heard_at = None if heard_seconds is None else group_time - heard_seconds
            in_flight = unanswered.in_flight(server, heard_at, group_time)
        judged = unanswered.told_until(server, group_time - SURVIVED_SECONDS)
        reported = (content for content in crash.contents if content not in judged)
        waiting = self._unanswered.get(server, {})
        return BackendCrash(server, tuple(dict.fromkeys((*reported, *waiting, *in_flight))))

    def _new_tries(
        self, report: SuspectReport, group_time: float
    ) -> tuple[UnansweredAttempts, ...]:
        table = self._suspects.unanswered
        ended = {crash.backend_id for crash in report.crashes}
        new = []
        for tries in report.unanswered:
            has_just_crashed = self._suspects.has_just_crashed(tries.backend_id, group_time)
            if has_just_crashed or tries.backend_id in ended:
                continue
            held = self._unanswered.get(tries.backend_id, {})
            contents = tuple(
                content
                for content in tries.contents
                if content not in held and not table.is_known(tries.backend_id, content, group_time)
            )
            if contents:
                new.append(UnansweredAttempts(tries.backend_id, contents))
        return tuple(new)

    # What waits to be agreed

    @property
    def _is_waiting(self) -> bool:
        return bool(self._crashes or self._served or self._unanswered)

    def _wait_for_crash(self, crash: BackendCrash, now: float) -> None:
        held = self._crashes.setdefault(crash.backend_id, {})
        held.update(dict.fromkeys(crash.contents))
        is_first = crash.backend_id not in self._suspects.crashes
        if is_first and self.lost_senders.may_have_died(now):
            service = self._servers.service_of(server_of(crash.backend_id))
            self._announced_services.update(dict.fromkeys(filter(None, (service,))))

    def _wait_for_tries(self, unanswered: tuple[UnansweredAttempts, ...]) -> None:
        room = WAITING_TRIES_LIMIT - sum(len(held) for held in self._unanswered.values())
        for tries in unanswered:
            taken = tries.contents[: max(0, room)]
            room -= len(taken)
            if taken:
                held = self._unanswered.setdefault(tries.backend_id, {})
                held.update(dict.fromkeys(taken))

    def propose_pending(self, now: float) -> list[Effect]:
        """Propose what was reported; called also when `TOGETHER_TIMER` fires."""
        if not self._is_waiting:
            return []
        crashes = tuple(BackendCrash(b, tuple(c)) for b, c in self._crashes.items())
        unanswered = tuple(
            UnansweredAttempts(b, tuple(c))
            for b, c in self._unanswered.items()
            if b not in self._crashes
        )
        services = tuple(self._announced_services)
        command = RecordCrashes(crashes, tuple(self._served), unanswered, services)
        self._crashes.clear()
        self._served.clear()
        self._unanswered.clear()
        self._announced_services.clear()
        self._throttle.record_run(now)
        return self._propose(command, now) or []

    # Servers that are gone

    def record_replacement(
        self, backend_id: BackendId, group_time: float, now: float
    ) -> list[Effect]:
        """Another server registers at the address of one that nobody said would leave."""
        return self._note_end(self._incarnations.name(backend_id), group_time, now)

    def record_start(
        self, backend_id: BackendId, born_ms: int, group_time: float, now: float
    ) -> list[Effect]:
        """A server says when it started: an earlier start of it has ended.

        Call it before the heartbeat counts as heard: it is none of the server that has ended.
        """
        ended = self._incarnations.note(backend_id, born_ms)
        if ended is None:
            return []
        self._servers.on_restart(backend_id)
        return self._note_end(ended, group_time, now)

    def learn_start(self, backend_id: BackendId, born_ms: int) -> None:
        """A server says when it started, to a replica that doesn't lead."""
        self._incarnations.note(backend_id, born_ms)

    def _note_end(self, incarnation: BackendId, group_time: float, now: float) -> list[Effect]:
        """Have a crash agreed at once, so that it counts before the successor gets requests."""
        if not self._servers.service_of(server_of(incarnation)):
            # It left, and ended by itself.
            return []
        settle = self._settle(incarnation, now)
        crash = self._complete(BackendCrash(incarnation, ()), group_time, now)
        if not self._is_news(crash, now):
            return settle
        self._wait_for_crash(crash, now)
        return [*settle, *self.propose_pending(now)]

    def _settle(self, incarnation: BackendId, now: float) -> list[Effect]:
        """Wait for whether all daemons live that announced tries at a server that has crashed."""
        is_first = self._announced.note_crash(incarnation, now)
        return [SetTimer(SETTLE_TIMER, SETTLE_SECONDS + TIMER_MARGIN_SECONDS)] if is_first else []

    def propose_lost_attempts(self, group_time: float, now: float) -> list[Effect]:
        """Have agreed what daemons that died had announced at servers that crashed since."""
        left = self._announced.take_left(now)
        if not left:
            return []
        effects: list[Effect] = []
        for backend_id, contents in left.items():
            crash = self._complete(BackendCrash(backend_id, contents), group_time, now)
            if self._is_news(crash, now):
                fields = {"backend": backend_id, "contents": ",".join(contents)}
                effects.append(LogEvent("suspects.left", fields))
                self._wait_for_crash(crash, now)
        return effects + self.propose_pending(now)

    # Trials

    def _permit_trial(self, report: SuspectReport, group_time: float, now: float) -> list[Effect]:
        for content in report.trial_requests:
            if self._suspects.may_try(content, group_time):
                return self._propose(BeginTrial(content, report.run_id), now) or []
        return []

    def tick(self, group_time: float, now: float) -> list[Effect]:
        """Do what is due: end trials and quarantines, hold what dead daemons left against it."""
        suspects = self._suspects
        effects = self.propose_lost_attempts(group_time, now)
        if suspects.trial is not None and suspects.is_trial_late(group_time):
            effects.extend(self._propose(EndTrial(suspects.trial.trial.number), now) or [])
        due = suspects.due_for_trial(group_time)
        if due:
            effects.extend(self._propose(AllowTrials(due), now) or [])
        return effects
