"""Servers that ended, and the requests held against them: replicated by the control group.

It outlives gateways, keepers and leaders: a request that ends servers comes again at any of them.
"""

import msgspec

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.blame import Standing, judge
from merlinstand.quarantine.commands import (
    AllowTrials,
    BeginTrial,
    EndTrial,
    NoteCrashes,
    QuarantineCommand,
)
from merlinstand.quarantine.messages import ServerCrash, SuspectsView, Suspicion, Trial

ENDS_LIMIT = 512
"""Ends remembered, the oldest are forgotten first: more than half of a day's at 3,400 servers, 1 MB
at most."""
CONTENTS_LIMIT = 64
"""Requests remembered of one end: the slots of a large engine twice."""
MANY_ENDS = 16
"""Servers that end within `MANY_SECONDS` before more of them are passed over: a rack or a zone was
lost, and what its servers worked on is no more to blame than anything else. One request ends three
before it is held back, some of them at once may end a few each; of a lost zone of the target size,
370 servers with thousands of requests, all daemons would be told otherwise."""
MANY_SECONDS = 1.0
PASSED_OVER_LIMIT = 4_096
"""As many as the directory remembers of removed servers."""
MEMORY_SECONDS = 600.0
"""An end that nobody is held back for is forgotten after this time."""
QUARANTINE_SECONDS = 600.0
"""A request that ended servers may be tried again so long after the last of them: servers are
replaced by repaired ones meanwhile, and if not, one server in ten minutes is lost."""
UNSURE_QUARANTINE_SECONDS = 15.0
"""The same for a request that was never alone at a server which ended. It may only have run beside
several guilty ones; those are found meanwhile, as others are cleared."""
TRIAL_PAUSE_SECONDS = 3.0
"""A doubtful request is tried so long after the last server that ended under it at the earliest:
those that ran beside it are served and cleared meanwhile, mostly within a second, which leaves
nothing to try; and the servers that ended are back."""
TRIAL_SECONDS = 5.0
"""A trial whose outcome nobody tells is over after this time: a server begins a request or turns it
away within two seconds, and half of it is left for the news."""


class StoredEnd(msgspec.Struct):
    """One server that ended."""

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

    ends: dict[BackendId, StoredEnd] = {}
    passed_over: tuple[BackendId, ...] = ()
    allowed: tuple[ContentDigest, ...] = ()
    trial: StoredTrial | None = None
    trials: int = 0
    revision: int = 0


class Suspects:
    """What is held against requests; part of the replicated directory, so deterministic."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self.ends: dict[BackendId, StoredEnd] = {}
        """Oldest first."""
        self.passed_over: dict[BackendId, None] = {}
        """Servers that ended among many others; oldest first."""
        self.allowed: dict[ContentDigest, None] = {}
        """Requests whose quarantine is over until they end another server."""
        self.trial: StoredTrial | None = None
        self.trials = 0
        """Trials so far; numbers them."""
        self.revision = 0
        """Log position of the newest change."""
        self._standings: dict[ContentDigest, Standing] = {}

    def apply(self, command: QuarantineCommand, index: int, group_time: float) -> None:
        """Apply a committed command.

        Args:
            command: What was agreed.
            index: Its log position.
            group_time: Group time of its proposal in seconds.
        """
        match command:
            case NoteCrashes():
                self.note(command.ends, command.served, index, group_time)
            case BeginTrial():
                self.begin_trial(command.content, command.asker, index, group_time)
            case EndTrial():
                self.end_trial(command.number, index)
            case AllowTrials():
                self.allow_trials(command.contents, index)

    @property
    def standings(self) -> dict[ContentDigest, Standing]:
        """What is held against each request."""
        return self._standings

    def view(self) -> SuspectsView:
        """Give what all daemons are told."""
        ended: dict[ContentDigest, list[BackendId]] = {content: [] for content in self._standings}
        for backend_id, end in self.ends.items():
            for content in self._suspected(end):
                ended[content].append(backend_id)
        suspicions = {
            content: Suspicion(standing, tuple(ended[content]))
            for content, standing in self._standings.items()
        }
        return SuspectsView(suspicions, self.trial.trial if self.trial is not None else None)

    def _suspected(self, end: StoredEnd) -> list[ContentDigest]:
        """Requests that an end is held against: those known to end servers, if there are any.

        One whose quarantine is over stays known; nothing is held against what was beside it.
        """
        contents = end.contents()
        known = [c for c in contents if self._is_known(c)]
        return known or [c for c in contents if c in self._standings]

    def _is_known(self, content: ContentDigest) -> bool:
        return content in self.allowed or self._standings.get(content) is Standing.QUARANTINED

    def is_news(self, end: ServerCrash) -> bool:
        """Whether an end, or a request in flight at it, is to be noted."""
        if end.backend_id in self.passed_over:
            return False
        held = self.ends.get(end.backend_id)
        if held is None:
            return True
        is_full = len(held.blamed) >= CONTENTS_LIMIT
        return not is_full and any(content not in held.blamed for content in end.contents)

    def is_held_against(self, content: ContentDigest) -> bool:
        """Whether anything is held against a request."""
        return content in self._standings

    def note(
        self,
        ends: tuple[ServerCrash, ...],
        served: tuple[ContentDigest, ...],
        index: int,
        group_time: float,
    ) -> None:
        """Take in ends of servers, and requests that were served whole after all.

        Args:
            ends: Of any daemon; what is known already changes nothing.
            served: Cleared of all ends so far.
            index: Log position.
            group_time: When this was proposed, in seconds.
        """
        for end in ends:
            if self.is_news(end) and not self._is_one_of_many(end, group_time):
                self._note_end(end, group_time)
        for content in served:
            self._clear(content)
        self._forget(group_time)
        self._changed(index)

    def _is_one_of_many(self, end: ServerCrash, group_time: float) -> bool:
        """Whether an end is passed over: so many servers ended lately that no request did it."""
        if end.backend_id in self.ends:
            return False
        lately = sum(group_time - held.at < MANY_SECONDS for held in self.ends.values())
        if lately < MANY_ENDS:
            return False
        self.passed_over[end.backend_id] = None
        while len(self.passed_over) > PASSED_OVER_LIMIT:
            del self.passed_over[next(iter(self.passed_over))]
        return True

    def _note_end(self, end: ServerCrash, group_time: float) -> None:
        held = self.ends.setdefault(end.backend_id, StoredEnd(group_time, {}))
        for content in end.contents:
            if len(held.blamed) < CONTENTS_LIMIT:
                held.blamed.setdefault(content, True)
                self.allowed.pop(content, None)
        trial = self.trial.trial if self.trial is not None else None
        if trial is not None and trial.content in end.contents:
            # It was tried alone among those in doubt: the others there are not to blame.
            held.blamed = {content: content == trial.content for content in held.blamed}
            self.trial = None

    def _clear(self, content: ContentDigest) -> None:
        for end in self.ends.values():
            if content in end.blamed:
                end.blamed[content] = False
        self.allowed.pop(content, None)
        if self.trial is not None and self.trial.trial.content == content:
            self.trial = None

    def _forget(self, group_time: float) -> None:
        """Forget old ends, but for those that a request is still held back for."""
        is_held_back = (Standing.UNPROVEN, Standing.QUARANTINED)
        held_back = {c for c, standing in self._standings.items() if standing in is_held_back}
        for backend_id, end in list(self.ends.items()):
            is_needed = any(content in held_back for content in end.contents())
            if group_time - end.at > MEMORY_SECONDS and not is_needed:
                del self.ends[backend_id]
        while len(self.ends) > ENDS_LIMIT:
            del self.ends[next(iter(self.ends))]

    def may_try(self, content: ContentDigest, group_time: float) -> bool:
        """Whether leave may be given to try a request now."""
        is_free = self.trial is None or self.is_trial_late(group_time)
        if not is_free or self._standings.get(content) is not Standing.UNPROVEN:
            return False
        last = max((end.at for end in self.ends.values() if end.blamed.get(content)), default=0.0)
        return group_time - last >= TRIAL_PAUSE_SECONDS

    def begin_trial(
        self, content: ContentDigest, asker: str, index: int, group_time: float
    ) -> None:
        """Give leave to try a doubtful request, unless a trial is under way."""
        if self.may_try(content, group_time):
            self.trials += 1
            self.trial = StoredTrial(Trial(self.trials, content, asker), group_time)
            self.revision = index

    def end_trial(self, number: int, index: int) -> None:
        """A trial's outcome was not told in time."""
        if self.trial is not None and self.trial.trial.number == number:
            self.trial = None
            self.revision = index

    def is_trial_late(self, group_time: float) -> bool:
        """Whether the trial under way has had its time."""
        return self.trial is not None and group_time - self.trial.at > TRIAL_SECONDS

    def allow_trials(self, contents: tuple[ContentDigest, ...], index: int) -> None:
        """The quarantine of some requests is over: they may be tried."""
        self.allowed.update(dict.fromkeys(contents))
        self._changed(index)

    def due_for_trial(self, group_time: float) -> tuple[ContentDigest, ...]:
        """Give the requests whose quarantine is over and was not ended yet."""
        last: dict[ContentDigest, float] = {}
        sure: set[ContentDigest] = set()
        for end in self.ends.values():
            blamed = end.contents()
            if len(blamed) == 1:
                sure.update(blamed)
            for content in blamed:
                if self._standings.get(content) is Standing.QUARANTINED:
                    last[content] = max(end.at, last.get(content, end.at))
        return tuple(
            content
            for content, at in last.items()
            if group_time - at
            > (QUARANTINE_SECONDS if content in sure else UNSURE_QUARANTINE_SECONDS)
        )

    def _changed(self, index: int) -> None:
        self._standings = judge([end.contents() for end in self.ends.values()])
        for content in list(self.allowed):
            if self._standings.get(content) is Standing.QUARANTINED:
                self._standings[content] = Standing.UNPROVEN
            else:
                del self.allowed[content]
        self.revision = index

    def stored(self) -> StoredSuspects:
        """Give what a snapshot holds."""
        ends = {b: StoredEnd(end.at, dict(end.blamed)) for b, end in self.ends.items()}
        passed_over = tuple(self.passed_over)
        allowed = tuple(self.allowed)
        return StoredSuspects(ends, passed_over, allowed, self.trial, self.trials, self.revision)

    def restore(self, stored: StoredSuspects) -> None:
        """Replace everything by what a snapshot held."""
        self.ends = {b: StoredEnd(end.at, dict(end.blamed)) for b, end in stored.ends.items()}
        self.passed_over = dict.fromkeys(stored.passed_over)
        self.allowed = dict.fromkeys(stored.allowed)
        self.trial = stored.trial
        self.trials = stored.trials
        self._changed(stored.revision)
