"""Servers that crashed, and the requests in flight there: replicated by the control group.

Owns the crashes that count, the trial under way and the requests whose quarantine is over; derives
by `blame` what is held against each request, and by `rules` what holds for how long. Runs on every
control replica, so deterministic: times are group time. It outlives gateways, keepers and leaders:
a request that crashes servers comes again at any of them.
"""

import msgspec

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.blame import SuspectStatus, judge
from merlinstand.quarantine.commands import (
    AllowTrials,
    BeginTrial,
    EndTrial,
    QuarantineCommand,
    RecordCrashes,
)
from merlinstand.quarantine.messages import BackendCrash, SuspectsView, Suspicion, Trial
from merlinstand.quarantine.rules import (
    SURVIVED_SECONDS,
    is_forgotten,
    is_mass_outage,
    is_quarantine_over,
    is_trial_late,
    may_begin_trial,
)
from merlinstand.quarantine.unanswered import StoredTries, UnansweredTable

CRASHES_LIMIT = 512
"""Crashes remembered, the oldest are forgotten first: more than half of a day's at 3,400 servers,
1 MB at most."""
CONTENTS_LIMIT = 64
"""Requests remembered of one crash: the slots of a large engine twice."""
PASSED_OVER_LIMIT = 4_096
"""Servers remembered whose crash is passed over: as many as the directory remembers of removed
servers."""


class StoredCrash(msgspec.Struct):
    """One server that crashed."""

    at: float
    """Group time in seconds."""
    blamed: dict[ContentDigest, bool]
    """Requests in flight there; False for those that were cleared."""

    def contents(self) -> list[ContentDigest]:
        """Requests that are not cleared of it."""
        return [content for content, is_blamed in self.blamed.items() if is_blamed]


class StoredTrial(msgspec.Struct, frozen=True):
    """A trial and when it began, in group time."""

    trial: Trial
    at: float


class StoredSuspects(msgspec.Struct, frozen=True):
    """What a snapshot holds."""

    crashes: dict[BackendId, StoredCrash] = msgspec.field(default_factory=dict, name="ends")
    passed_over: tuple[BackendId, ...] = ()
    allowed: tuple[ContentDigest, ...] = ()
    trial: StoredTrial | None = None
    trials: int = 0
    revision: int = 0
    unanswered: StoredTries = {}
    announced_services: dict[str, int] = {}


class ReplicatedSuspects:
    """What is held against requests; part of the replicated directory, so deterministic."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self.crashes: dict[BackendId, StoredCrash] = {}
        """Oldest first."""
        self.passed_over: dict[BackendId, None] = {}
        """Servers that crashed among many others; oldest first."""
        self.allowed: dict[ContentDigest, None] = {}
        """Requests whose quarantine is over until they crash another server."""
        self.trial: StoredTrial | None = None
        self.trials = 0
        """Trials so far; numbers them."""
        self.revision = 0
        """Log position of the newest change."""
        self.unanswered = UnansweredTable()
        self.announced_services: dict[str, int] = {}
        """Log position at which daemons were last asked to tell of each try of a service as they
        send it; bounded by the services of all documents."""
        self._standings: dict[ContentDigest, SuspectStatus] = {}

    def apply(self, command: QuarantineCommand, index: int, group_time: float) -> None:
        """Apply a committed command.

        Args:
            command: What was agreed.
            index: Its log position.
            group_time: Group time of its proposal in seconds.
        """
        match command:
            case RecordCrashes():
                self._note_tries(command, index, group_time)
                # Tries alone change nothing that daemons are sent.
                if command.crashes or command.served or command.announced_services:
                    self.note(command.crashes, command.served, index, group_time)
            case BeginTrial():
                self.begin_trial(command.content, command.run_id, index, group_time)
            case EndTrial():
                self.end_trial(command.number, index)
            case AllowTrials():
                self.allow_trials(command.contents, index)

    @property
    def statuses(self) -> dict[ContentDigest, SuspectStatus]:
        """What is held against each request."""
        return self._standings

    def view(self) -> SuspectsView:
        """Give what all daemons are sent."""
        crashed: dict[ContentDigest, list[BackendId]] = {c: [] for c in self._standings}
        for backend_id, crash in self.crashes.items():
            for content in self._suspected(crash):
                crashed[content].append(backend_id)
        suspicions = {
            content: Suspicion(standing, tuple(crashed[content]))
            for content, standing in self._standings.items()
        }
        trial = self.trial.trial if self.trial is not None else None
        return SuspectsView(suspicions, trial, dict(self.announced_services))

    def _suspected(self, crash: StoredCrash) -> list[ContentDigest]:
        """Requests that a crash is held against: those known to crash servers, if there are any.

        One whose quarantine is over stays known; nothing is held against what was beside it.
        """
        contents = crash.contents()
        known = [c for c in contents if self._is_known(c)]
        return known or [c for c in contents if c in self._standings]

    def _is_known(self, content: ContentDigest) -> bool:
        return content in self.allowed or self._standings.get(content) is SuspectStatus.QUARANTINED

    def is_unknown(self, crash: BackendCrash) -> bool:
        """Whether a crash, or a request in flight at it, is to be noted."""
        if crash.backend_id in self.passed_over:
            return False
        held = self.crashes.get(crash.backend_id)
        if held is None:
            return True
        is_full = len(held.blamed) >= CONTENTS_LIMIT
        return not is_full and any(content not in held.blamed for content in crash.contents)

    def has_just_crashed(self, backend_id: BackendId, group_time: float) -> bool:
        """Whether a crash was noted so lately that what is told of its server was there then."""
        crash = self.crashes.get(backend_id)
        return crash is not None and group_time - crash.at <= SURVIVED_SECONDS

    def is_held_against(self, content: ContentDigest) -> bool:
        """Whether anything is held against a request."""
        return content in self._standings

    def _note_tries(self, command: RecordCrashes, index: int, group_time: float) -> None:
        """Take in tries without an answer, and from which services' tries on all are announced."""
        self.unanswered.note(command.unanswered, group_time)
        self.announced_services.update(dict.fromkeys(command.announced_services, index))

    def note(
        self,
        crashes: tuple[BackendCrash, ...],
        served: tuple[ContentDigest, ...],
        index: int,
        group_time: float,
    ) -> None:
        """Take in crashes of servers, and requests that were served whole after all.

        Args:
            crashes: Of any daemon; what is known already changes nothing.
            served: Cleared of all crashes so far.
            index: Log position.
            group_time: When this was proposed, in seconds.
        """
        for crash in crashes:
            if self.is_unknown(crash) and not self._is_passed_over(crash, group_time):
                self._note_crash(crash, group_time)
        for content in served:
            self._clear(content)
        self._forget(group_time)
        self._changed(index)

    def _is_passed_over(self, crash: BackendCrash, group_time: float) -> bool:
        """Whether a crash is held against nobody, being one of many; it is remembered as such."""
        if crash.backend_id in self.crashes:
            return False
        if not is_mass_outage((held.at for held in self.crashes.values()), group_time):
            return False
        self.passed_over[crash.backend_id] = None
        while len(self.passed_over) > PASSED_OVER_LIMIT:
            del self.passed_over[next(iter(self.passed_over))]
        return True

    def _note_crash(self, crash: BackendCrash, group_time: float) -> None:
        held = self.crashes.setdefault(crash.backend_id, StoredCrash(group_time, {}))
        for content in crash.contents:
            if len(held.blamed) < CONTENTS_LIMIT:
                held.blamed.setdefault(content, True)
                self.allowed.pop(content, None)
        trial = self.trial.trial if self.trial is not None else None
        if trial is not None and trial.content in crash.contents:
            # It alone of the unproven ones was sent there: the others are not to blame.
            held.blamed = {content: content == trial.content for content in held.blamed}
            self.trial = None

    def _clear(self, content: ContentDigest) -> None:
        for crash in self.crashes.values():
            if content in crash.blamed:
                crash.blamed[content] = False
        self.allowed.pop(content, None)
        if self.trial is not None and self.trial.trial.content == content:
            self.trial = None

    def _forget(self, group_time: float) -> None:
        """Forget old crashes, but for those that a request is still held back for."""
        holding_back = (SuspectStatus.UNPROVEN, SuspectStatus.QUARANTINED)
        held_back = {c for c, standing in self._standings.items() if standing in holding_back}
        for backend_id, crash in list(self.crashes.items()):
            holds_back = any(content in held_back for content in crash.contents())
            if is_forgotten(crash.at, holds_back, group_time):
                del self.crashes[backend_id]
        while len(self.crashes) > CRASHES_LIMIT:
            del self.crashes[next(iter(self.crashes))]

    def may_try(self, content: ContentDigest, group_time: float) -> bool:
        """Whether a request may be tried now; one trial at a time in the whole system."""
        if self.trial is not None and not self.is_trial_late(group_time):
            return False
        blamed_at = (crash.at for crash in self.crashes.values() if crash.blamed.get(content))
        last_crash_at = max(blamed_at, default=0.0)
        return may_begin_trial(self._standings.get(content), last_crash_at, group_time)

    def begin_trial(
        self, content: ContentDigest, asker: str, index: int, group_time: float
    ) -> None:
        """Permit to try an unproven request, unless a trial is under way."""
        if self.may_try(content, group_time):
            self.trials += 1
            self.trial = StoredTrial(Trial(self.trials, content, asker), group_time)
            self.revision = index

    def end_trial(self, number: int, index: int) -> None:
        """A trial's outcome was not reported in time."""
        if self.trial is not None and self.trial.trial.number == number:
            self.trial = None
            self.revision = index

    def is_trial_late(self, group_time: float) -> bool:
        """Whether the trial under way has had its time."""
        return self.trial is not None and is_trial_late(self.trial.at, group_time)

    def allow_trials(self, contents: tuple[ContentDigest, ...], index: int) -> None:
        """The quarantine of some requests is over: they may be tried."""
        self.allowed.update(dict.fromkeys(contents))
        self._changed(index)

    def due_for_trial(self, group_time: float) -> tuple[ContentDigest, ...]:
        """Give the quarantined requests that may be tried again."""
        last_crash_at: dict[ContentDigest, float] = {}
        were_alone: set[ContentDigest] = set()
        for crash in self.crashes.values():
            blamed = crash.contents()
            if len(blamed) == 1:
                were_alone.update(blamed)
            for content in blamed:
                if self._standings.get(content) is SuspectStatus.QUARANTINED:
                    last_crash_at[content] = max(crash.at, last_crash_at.get(content, crash.at))
        return tuple(
            content
            for content, at in last_crash_at.items()
            if is_quarantine_over(at, content in were_alone, group_time)
        )

    def _changed(self, index: int) -> None:
        self._standings = judge([crash.contents() for crash in self.crashes.values()])
        for content in list(self.allowed):
            if self._standings.get(content) is SuspectStatus.QUARANTINED:
                self._standings[content] = SuspectStatus.UNPROVEN
            else:
                del self.allowed[content]
        self.revision = index

    def stored(self) -> StoredSuspects:
        """Give what a snapshot holds."""
        crashes = {
            b: StoredCrash(crash.at, dict(crash.blamed)) for b, crash in self.crashes.items()
        }
        passed_over = tuple(self.passed_over)
        allowed = tuple(self.allowed)
        return StoredSuspects(
            crashes,
            passed_over,
            allowed,
            self.trial,
            self.trials,
            self.revision,
            self.unanswered.stored(),
            dict(self.announced_services),
        )

    def restore(self, stored: StoredSuspects) -> None:
        """Replace everything by what a snapshot held."""
        self.crashes = {
            b: StoredCrash(crash.at, dict(crash.blamed)) for b, crash in stored.crashes.items()
        }
        self.passed_over = dict.fromkeys(stored.passed_over)
        self.allowed = dict.fromkeys(stored.allowed)
        self.trial = stored.trial
        self.trials = stored.trials
        self.unanswered.restore(stored.unanswered)
        self.announced_services = dict(stored.announced_services)
        self._changed(stored.revision)
