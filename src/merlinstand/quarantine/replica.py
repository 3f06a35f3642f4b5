"""Crashed backends and the requests in flight there, replicated by the control group.

Holds the crashes that count, the trial in progress and the requests whose quarantine is over.
`blame` derives the status of each request from the crashes; `rules` says how long a crash counts.
Runs on every control replica and is therefore deterministic: times are group time in seconds. The
state survives the loss of gateways, keepers and leaders, because a request that crashes backends
may be sent again through any gateway or keeper.
"""

import msgspec

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.blame import SuspectStatus, classify_requests
from merlinstand.quarantine.commands import (
    AllowTrials,
    BeginTrial,
    EndTrial,
    QuarantineCommand,
    RecordCrashes,
)
from merlinstand.quarantine.messages import BackendCrash, SuspectsView, Suspicion, Trial
from merlinstand.quarantine.rules import (
    OUTLIVED_SECONDS,
    is_crash_expired,
    is_mass_outage,
    is_quarantine_over,
    is_trial_expired,
    may_begin_trial,
)
from merlinstand.quarantine.unanswered import StoredAttempts, UnansweredTable

CRASHES_LIMIT = 512
"""Maximum crashes stored, 1 MB at most; the oldest are dropped first. More than half of the crashes
expected in a day with 3,400 backends."""
CONTENTS_LIMIT = 64
"""Maximum requests stored for one crash: twice the slots of a large engine."""
IGNORED_CRASHES_LIMIT = 4_096
"""Maximum backends stored whose crash is ignored; equals the number of removed backends that the
directory stores."""


class StoredCrash(msgspec.Struct):
    """One crashed backend."""

    at: float
    """Group time in seconds."""
    blamed: dict[ContentDigest, bool]
    """Requests in flight at the backend; True while the request is a suspect, False once it was
    cleared."""

    def suspects(self) -> list[ContentDigest]:
        """Return the requests that are not cleared of this crash."""
        return [content for content, is_blamed in self.blamed.items() if is_blamed]


class StoredTrial(msgspec.Struct, frozen=True):
    """A trial and the group time at which it began."""

    trial: Trial
    at: float


class StoredSuspects(msgspec.Struct, frozen=True):
    """The snapshot."""

    crashes: dict[BackendId, StoredCrash] = msgspec.field(default_factory=dict, name="ends")
    ignored_crashes: tuple[BackendId, ...] = msgspec.field(default=(), name="passed_over")
    released: tuple[ContentDigest, ...] = msgspec.field(default=(), name="allowed")
    trial: StoredTrial | None = None
    trials: int = 0
    revision: int = 0
    unanswered: StoredAttempts = {}
    announced_services: dict[str, int] = {}


class ReplicatedSuspects:
    """The suspected requests; part of the replicated directory and therefore deterministic."""

    def __init__(self) -> None:
        self.crashes: dict[BackendId, StoredCrash] = {}
        """Oldest first."""
        self.ignored_crashes: dict[BackendId, None] = {}
        """Backends that crashed in a mass outage; oldest first."""
        self.released: dict[ContentDigest, None] = {}
        """Requests whose quarantine is over until they crash another backend."""
        self.trial: StoredTrial | None = None
        self.trials = 0
        """Number of trials so far, which is also the number of the newest trial."""
        self.revision = 0
        """Log position of the newest change."""
        self.unanswered = UnansweredTable()
        self.announced_services: dict[str, int] = {}
        """Log position at which daemons were last asked to announce each attempt of a service when
        it is sent; bounded by the services of all documents."""
        self._statuses: dict[ContentDigest, SuspectStatus] = {}

    def apply(self, command: QuarantineCommand, index: int, group_time: float) -> None:
        """Apply a committed command.

        Args:
            command: The command.
            index: Its log position.
            group_time: Group time of its proposal in seconds.
        """
        match command:
            case RecordCrashes():
                self._record_attempts(command, index, group_time)
                # Attempts alone don't change the view that is sent to daemons.
                if command.crashes or command.served or command.announced_services:
                    self.record(command.crashes, command.served, index, group_time)
            case BeginTrial():
                self.begin_trial(command.content, command.run_id, index, group_time)
            case EndTrial():
                self.end_trial(command.number, index)
            case AllowTrials():
                self.allow_trials(command.contents, index)

    @property
    def statuses(self) -> dict[ContentDigest, SuspectStatus]:
        """Status of each suspected request."""
        return self._statuses

    def view(self) -> SuspectsView:
        """Return the state that is sent to all daemons."""
        crashed: dict[ContentDigest, list[BackendId]] = {c: [] for c in self._statuses}
        for backend_id, crash in self.crashes.items():
            for content in self._suspected(crash):
                crashed[content].append(backend_id)
        suspicions = {
            content: Suspicion(status, tuple(crashed[content]))
            for content, status in self._statuses.items()
        }
        trial = self.trial.trial if self.trial is not None else None
        return SuspectsView(suspicions, trial, dict(self.announced_services))

    def _suspected(self, crash: StoredCrash) -> list[ContentDigest]:
        """Return the requests that a crash counts against: its known culprits, if there are any.

        A culprit remains known after its quarantine, so that its crashes still don't count against
        the requests that were in flight beside it.
        """
        contents = crash.suspects()
        culprits = [c for c in contents if self._is_known_culprit(c)]
        return culprits or [c for c in contents if c in self._statuses]

    def _is_known_culprit(self, content: ContentDigest) -> bool:
        return content in self.released or self._statuses.get(content) is SuspectStatus.QUARANTINED

    def is_new(self, crash: BackendCrash) -> bool:
        """Whether a crash, or any request in flight at it, is not recorded yet."""
        if crash.backend_id in self.ignored_crashes:
            return False
        held = self.crashes.get(crash.backend_id)
        if held is None:
            return True
        is_full = len(held.blamed) >= CONTENTS_LIMIT
        return not is_full and any(content not in held.blamed for content in crash.contents)

    def has_just_crashed(self, backend_id: BackendId, group_time: float) -> bool:
        """Whether a backend crashed so recently that attempts reported now were in flight then."""
        crash = self.crashes.get(backend_id)
        return crash is not None and group_time - crash.at <= OUTLIVED_SECONDS

    def is_suspect(self, content: ContentDigest) -> bool:
        """Whether a request is suspected."""
        return content in self._statuses

    def _record_attempts(self, command: RecordCrashes, index: int, group_time: float) -> None:
        """Record unanswered attempts, and the services whose attempts are announced from now on."""
        self.unanswered.record(command.unanswered, group_time)
        self.announced_services.update(dict.fromkeys(command.announced_services, index))

    def record(
        self,
        crashes: tuple[BackendCrash, ...],
        served: tuple[ContentDigest, ...],
        index: int,
        group_time: float,
    ) -> None:
        """Record crashed backends, and suspects that were served since.

        Args:
            crashes: Crashes reported by any daemon; those already recorded change nothing.
            served: Requests to clear of all crashes so far.
            index: Log position.
            group_time: Group time of the proposal in seconds.
        """
        for crash in crashes:
            if self.is_new(crash) and not self._is_ignored(crash, group_time):
                self._record_crash(crash, group_time)
        for content in served:
            self._clear(content)
        self._drop_expired(group_time)
        self._update_statuses(index)

    def _is_ignored(self, crash: BackendCrash, group_time: float) -> bool:
        """Whether a crash is part of a mass outage and blames no request; records it as ignored."""
        if crash.backend_id in self.crashes:
            return False
        if not is_mass_outage((held.at for held in self.crashes.values()), group_time):
            return False
        self.ignored_crashes[crash.backend_id] = None
        while len(self.ignored_crashes) > IGNORED_CRASHES_LIMIT:
            del self.ignored_crashes[next(iter(self.ignored_crashes))]
        return True

    def _record_crash(self, crash: BackendCrash, group_time: float) -> None:
        held = self.crashes.setdefault(crash.backend_id, StoredCrash(group_time, {}))
        for content in crash.contents:
            if len(held.blamed) < CONTENTS_LIMIT:
                held.blamed.setdefault(content, True)
                self.released.pop(content, None)
        trial = self.trial.trial if self.trial is not None else None
        if trial is not None and trial.content in crash.contents:
            # The trial's request was the only unproven request at the backend, so the others are
            # not to blame.
            held.blamed = {content: content == trial.content for content in held.blamed}
            self.trial = None

    def _clear(self, content: ContentDigest) -> None:
        for crash in self.crashes.values():
            if content in crash.blamed:
                crash.blamed[content] = False
        self.released.pop(content, None)
        if self.trial is not None and self.trial.trial.content == content:
            self.trial = None

    def _drop_expired(self, group_time: float) -> None:
        """Drop old crashes except those for which a request is still held back."""
        holding_back = (SuspectStatus.UNPROVEN, SuspectStatus.QUARANTINED)
        held_back = {c for c, status in self._statuses.items() if status in holding_back}
        for backend_id, crash in list(self.crashes.items()):
            holds_back = any(content in held_back for content in crash.suspects())
            if is_crash_expired(crash.at, holds_back, group_time):
                del self.crashes[backend_id]
        while len(self.crashes) > CRASHES_LIMIT:
            del self.crashes[next(iter(self.crashes))]

    def may_try(self, content: ContentDigest, group_time: float) -> bool:
        """Whether a trial of a request may begin now; there is at most one in the whole system."""
        if self.trial is not None and not self.is_trial_expired(group_time):
            return False
        blamed_at = (crash.at for crash in self.crashes.values() if crash.blamed.get(content))
        last_crash_at = max(blamed_at, default=0.0)
        return may_begin_trial(self._statuses.get(content), last_crash_at, group_time)

    def begin_trial(
        self, content: ContentDigest, run_id: str, index: int, group_time: float
    ) -> None:
        """Permit an unproven request to be sent once, unless a trial is in progress."""
        if self.may_try(content, group_time):
            self.trials += 1
            self.trial = StoredTrial(Trial(self.trials, content, run_id), group_time)
            self.revision = index

    def end_trial(self, number: int, index: int) -> None:
        """End a trial whose outcome was not reported in time."""
        if self.trial is not None and self.trial.trial.number == number:
            self.trial = None
            self.revision = index

    def is_trial_expired(self, group_time: float) -> bool:
        """Whether the trial in progress has timed out."""
        return self.trial is not None and is_trial_expired(self.trial.at, group_time)

    def allow_trials(self, contents: tuple[ContentDigest, ...], index: int) -> None:
        """End the quarantine of some requests, so that they may be retried in a trial."""
        self.released.update(dict.fromkeys(contents))
        self._update_statuses(index)

    def due_for_trial(self, group_time: float) -> tuple[ContentDigest, ...]:
        """Return the quarantined requests that may be retried."""
        last_crash_at: dict[ContentDigest, float] = {}
        were_alone: set[ContentDigest] = set()
        for crash in self.crashes.values():
            blamed = crash.suspects()
            if len(blamed) == 1:
                were_alone.update(blamed)
            for content in blamed:
                if self._statuses.get(content) is SuspectStatus.QUARANTINED:
                    last_crash_at[content] = max(crash.at, last_crash_at.get(content, crash.at))
        return tuple(
            content
            for content, at in last_crash_at.items()
            if is_quarantine_over(at, content in were_alone, group_time)
        )

    def _update_statuses(self, index: int) -> None:
        self._statuses = classify_requests([crash.suspects() for crash in self.crashes.values()])
        for content in list(self.released):
            if self._statuses.get(content) is SuspectStatus.QUARANTINED:
                self._statuses[content] = SuspectStatus.UNPROVEN
            else:
                del self.released[content]
        self.revision = index

    def stored(self) -> StoredSuspects:
        """Return the snapshot."""
        crashes = {
            b: StoredCrash(crash.at, dict(crash.blamed)) for b, crash in self.crashes.items()
        }
        ignored_crashes = tuple(self.ignored_crashes)
        released = tuple(self.released)
        return StoredSuspects(
            crashes,
            ignored_crashes,
            released,
            self.trial,
            self.trials,
            self.revision,
            self.unanswered.stored(),
            dict(self.announced_services),
        )

    def restore(self, stored: StoredSuspects) -> None:
        """Replace the state by that of a snapshot."""
        self.crashes = {
            b: StoredCrash(crash.at, dict(crash.blamed)) for b, crash in stored.crashes.items()
        }
        self.ignored_crashes = dict.fromkeys(stored.ignored_crashes)
        self.released = dict.fromkeys(stored.released)
        self.trial = stored.trial
        self.trials = stored.trials
        self.unanswered.restore(stored.unanswered)
        self.announced_services = dict(stored.announced_services)
        self._update_statuses(stored.revision)
