"""A daemon's side of suspects: what is held against a request, and what the daemon has to tell.

What this daemon saw itself counts at once, also while no leader can be reached; what all daemons
saw counts as soon as the control group has agreed on it. All that sends requests to servers asks
`standing` first.
"""

from collections.abc import Iterable

import msgspec

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.blame import ENDS_TO_BLAME, Standing, standing_after
from merlinstand.quarantine.messages import (
    MAXIMUM_REPORT_ENTRIES,
    ServerCrash,
    SuspectReport,
    SuspectsView,
    Trial,
    encode_suspect_report,
)
from merlinstand.quarantine.replica import TRIAL_PAUSE_SECONDS

TELL_SECONDS = 0.1
"""What was not answered is told again after this time."""
TELL_PAUSE_SECONDS = 0.02
"""News that follow each other sooner are told together: when many servers end, each of some
hundred calls that break is news."""
UNTOLD_LIMIT = 512
"""Ends, and cleared requests, that wait to be agreed; older ones are dropped while no leader can be
reached for long."""


VOUCH_SECONDS = 10.0
"""A request that was served whole so short a time ago did not end a server now. Where many callers
ask the same, some of them are in flight whenever servers end, and three servers lost at once would
have all of them refused; short enough that what new servers can't bear is found."""
RECENT_LIMIT = 2_048
"""Requests remembered that were served lately, of which a gateway has some 80 a second; 0.3 MB."""


class _Untold(msgspec.Struct):
    """An end that isn't agreed yet."""

    mark: int
    contents: dict[ContentDigest, None]


class SuspectTable:
    """What one daemon knows of suspects."""

    def __init__(self) -> None:
        """Begin with nothing known."""
        self.revision = -1
        self._view = SuspectsView()
        self._ended: frozenset[BackendId] = frozenset()
        self._doubtful_since: dict[ContentDigest, float] = {}
        """When this daemon heard that a request is in doubt."""
        self._asker = ""
        self._untold: dict[BackendId, _Untold] = {}
        self._served: dict[ContentDigest, int] = {}
        """Marks of cleared requests that aren't agreed yet."""
        self._recent: dict[ContentDigest, float] = {}
        """When requests were last served whole here, oldest first."""
        self._wishes: dict[ContentDigest, None] = {}
        self._mark = 0
        self._told_mark = 0
        self._told_at = float("-inf")
        self._are_wishes_told = True
        self._used_trial = 0

    def begin(self, asker: str) -> None:
        """The daemon starts.

        Args:
            asker: Names this run of it: leave given to an earlier one is not this one's.
        """
        self._asker = asker

    # What is held against requests

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held against any request: then nobody needs to ask."""
        return not self._view.suspicions and not self._untold

    def standing(self, content: ContentDigest) -> Standing | None:
        """Tell what is held against a request; None if nothing is."""
        if content in self._served:
            return None
        agreed = self._view.suspicions.get(content)
        own = {b for b, untold in self._untold.items() if content in untold.contents}
        if agreed is None:
            return self._standing_after(len(own)) if own else None
        if not own or agreed.standing in (Standing.UNPROVEN, Standing.QUARANTINED):
            return agreed.standing
        return self._standing_after(len(own.union(agreed.ends)))

    def _standing_after(self, ends: int) -> Standing:
        """What is held against a request by ends that aren't all agreed."""
        # Nobody can give leave to try a doubtful one before the control group knows of it.
        return Standing.QUARANTINED if ends >= ENDS_TO_BLAME else standing_after(ends)

    def has_crashed(self, backend_id: BackendId) -> bool:
        """Whether a server is known to have ended: no incarnation comes back."""
        return backend_id in self._ended or backend_id in self._untold

    @property
    def trial(self) -> Trial | None:
        """The trial that is under way, whoever has leave for it."""
        return self._view.trial

    def has_permit(self, content: ContentDigest) -> bool:
        """Whether a doubtful request may be sent from here now, once."""
        trial = self._view.trial
        if trial is None or trial.number <= self._used_trial:
            return False
        return trial.content == content and trial.asker == self._asker

    def trial_wait_seconds(self, content: ContentDigest, now: float) -> float:
        """How long until leave to try a doubtful request may be wished for; 0 if it may now."""
        since = self._doubtful_since.get(content, now)
        left = since + TRIAL_PAUSE_SECONDS - now
        if self._view.trial is not None and not self.has_permit(content):
            return max(left, TELL_SECONDS)
        return max(0.0, left)

    def use_permit(self) -> None:
        """The request of the trial is sent."""
        if self._view.trial is not None:
            self._used_trial = self._view.trial.number

    def return_permit(self, content: ContentDigest) -> None:
        """The request of the trial has reached no server, or none that began it."""
        trial = self._view.trial
        if trial is not None and (trial.content, trial.asker) == (content, self._asker):
            self._used_trial = min(self._used_trial, trial.number - 1)

    # What there is to tell

    def note_crash(
        self, backend_id: BackendId, contents: Iterable[ContentDigest], now: float
    ) -> tuple[ContentDigest, ...]:
        """A server ended while these requests were in flight there; gives those suspected."""
        suspected = tuple(content for content in contents if not self._vouches(content, now))
        if not suspected:
            return ()
        self._mark += 1
        untold = self._untold.setdefault(backend_id, _Untold(self._mark, {}))
        untold.mark = self._mark
        for content in suspected:
            untold.contents[content] = None
            # It was cleared of earlier ends only.
            self._served.pop(content, None)
        while len(self._untold) > UNTOLD_LIMIT:
            del self._untold[next(iter(self._untold))]
        return suspected

    def _vouches(self, content: ContentDigest, now: float) -> bool:
        served_at = self._recent.get(content)
        return served_at is not None and now - served_at <= VOUCH_SECONDS

    def note_served(self, content: ContentDigest, now: float) -> None:
        """A server answered a request whole: whatever ended, not under this one."""
        self._recent.pop(content, None)
        self._recent[content] = now
        if len(self._recent) > RECENT_LIMIT:
            del self._recent[next(iter(self._recent))]
        if not self.is_empty and self.standing(content) is not None:
            self._clear(content)

    def _clear(self, content: ContentDigest) -> None:
        self._mark += 1
        self._served[content] = self._mark
        for untold in self._untold.values():
            untold.contents.pop(content, None)
        while len(self._served) > UNTOLD_LIMIT:
            del self._served[next(iter(self._served))]

    def request_trial(self, content: ContentDigest) -> None:
        """A doubtful request waits here to be tried."""
        if content not in self._wishes:
            self._wishes[content] = None
            self._are_wishes_told = False

    def withdraw(self, content: ContentDigest) -> None:
        """Nothing waits for a trial of this request any more."""
        self._wishes.pop(content, None)

    def is_report_due(self, now: float) -> bool:
        """Whether there are news that are worth a pull of their own."""
        if not self._are_wishes_told:
            return True
        if self._mark > self._told_mark:
            return now - self._told_at >= TELL_PAUSE_SECONDS
        is_open = bool(self._untold or self._served or self._wishes)
        return is_open and now - self._told_at >= TELL_SECONDS

    def next_report(self, now: float) -> bytes | None:
        """Give the news for a pull that leaves now, encoded; None if there are none."""
        if not (self._untold or self._served or self._wishes):
            self._told_mark = self._mark
            return None
        ends = list(self._untold.items())[:MAXIMUM_REPORT_ENTRIES]
        served = list(self._served.items())[:MAXIMUM_REPORT_ENTRIES]
        self._told_at = now
        self._told_mark = self._mark
        self._are_wishes_told = True
        left = [untold.mark for _id, untold in list(self._untold.items())[MAXIMUM_REPORT_ENTRIES:]]
        left += list(self._served.values())[MAXIMUM_REPORT_ENTRIES:]
        news = SuspectReport(
            asker=self._asker,
            # Only what is told along is agreed with it.
            mark=min(left, default=self._mark + 1) - 1,
            ends=tuple(ServerCrash(b, tuple(untold.contents)) for b, untold in ends),
            served=tuple(content for content, _mark in served),
            wishes=tuple(self._wishes)[:MAXIMUM_REPORT_ENTRIES],
        )
        return encode_suspect_report(news)

    def acknowledge(self, mark: int) -> None:
        """News up to a mark are agreed."""
        self._untold = {b: u for b, u in self._untold.items() if u.mark > mark}
        self._served = {c: m for c, m in self._served.items() if m > mark}

    def take(self, view: SuspectsView, revision: int, now: float) -> bool:
        """Take in what was agreed; an older view never replaces a newer one."""
        if revision <= self.revision:
            return False
        self.revision = revision
        self._view = view
        self._ended = frozenset(b for held in view.suspicions.values() for b in held.ends)
        for content in view.suspicions:
            # Another daemon saw a server end under it, which this one saw served.
            if content not in self._served and self._vouches(content, now):
                self._clear(content)
        before = self._doubtful_since
        self._doubtful_since = {
            content: before.get(content, now)
            for content, suspicion in view.suspicions.items()
            if suspicion.standing is Standing.UNPROVEN
        }
        return True
