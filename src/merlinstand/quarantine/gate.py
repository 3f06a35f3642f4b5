"""Whether a request may go to a server, by what is held against it: one gate for all tries.

First tries, second ones, hedges, streams, items of batch jobs, moved runs and scoring calls pass it
each time they are sent.
"""

import enum
from collections.abc import Callable

from merlinstand.common.ids import ContentDigest
from merlinstand.kernel.effects import CancelTimer, Effect, LogEvent, SetTimer
from merlinstand.quarantine.blame import Standing
from merlinstand.quarantine.follower import SuspectTable

WAIT_SECONDS = 0.5
"""A doubtful request waits so long for leave to be tried. The control leader answers after a round
of its group and a sync, 5 to 50 ms; this is ten times that, and a fraction of what callers wait."""
QUARANTINED_REASON = "quarantined"
SPARED_REASON = "last server spared"
SPARED_RETRY_SECONDS = 1.0
"""Told to callers whose request is not sent to the last server: servers are back after seconds."""
QUARANTINED_RETRY_SECONDS = 60.0
"""Told to callers whose request is sent to no server: sooner it is refused again for sure."""


class Admission(enum.Enum):
    """What may be done with a request now."""

    ALLOWED = "allowed"
    """Nothing is held against it."""
    ISOLATED = "isolated"
    """It may be sent, apart from other suspects and to one server at a time."""
    NOT_LAST_SERVER = "not_last_server"
    """The same, but not to the last server of its service."""
    WAIT = "wait"
    """It may be sent once the control leader gives leave."""
    REJECTED = "rejected"
    """It must not be sent."""


class QuarantineGate:
    """Requests of one forwarder at the gate."""

    def __init__(self, suspects: SuspectTable, timer_prefix: str) -> None:
        """Begin with none waiting.

        Args:
            suspects: What is held against requests.
            timer_prefix: Of the timers that end waits; a request's key follows.
        """
        self._suspects = suspects
        self._prefix = timer_prefix
        self._waiting: dict[str, ContentDigest] = {}

    def admit(self, content_of: Callable[[], ContentDigest], now: float) -> Admission:
        """Tell what may be done with a request now.

        Args:
            content_of: Gives its content; asked only while anything is held against any request.
            now: Local time.
        """
        if self._suspects.is_empty:
            return Admission.ALLOWED
        content = content_of()
        match self._suspects.standing(content):
            case None:
                return Admission.ALLOWED
            case Standing.SUSPECT:
                return Admission.ISOLATED
            case Standing.REPEAT_SUSPECT:
                return Admission.NOT_LAST_SERVER
            case Standing.QUARANTINED:
                return Admission.REJECTED
            case Standing.UNPROVEN:
                if self._suspects.has_permit(content):
                    return Admission.NOT_LAST_SERVER
                seconds = self._suspects.trial_wait_seconds(content, now)
                return Admission.REJECTED if seconds > 0.0 else Admission.WAIT

    def note_sent(self, content_of: Callable[[], ContentDigest]) -> None:
        """A request that was admitted apart is sent: a leave for it is used up."""
        if self._suspects.has_permit(content_of()):
            self._suspects.use_permit()

    def wait(self, key: str, content: ContentDigest) -> list[Effect]:
        """Let a request wait for leave; nothing if it has waited already."""
        if key in self._waiting:
            return []
        self._waiting[key] = content
        self._suspects.request_trial(content)
        return [SetTimer(f"{self._prefix}{key}", WAIT_SECONDS)]

    def end(self, key: str) -> list[Effect]:
        """A request waits no more."""
        content = self._waiting.pop(key, None)
        if content is None:
            return []
        if content not in self._waiting.values():
            self._suspects.withdraw(content)
        return [CancelTimer(f"{self._prefix}{key}")]

    @property
    def waiting(self) -> tuple[str, ...]:
        """Keys of the requests that wait."""
        return tuple(self._waiting)

    def retry_after_seconds(self, content: ContentDigest, now: float) -> float:
        """When a request that was refused may come again."""
        if self._suspects.standing(content) is Standing.UNPROVEN:
            return max(WAIT_SECONDS, self._suspects.trial_wait_seconds(content, now))
        return QUARANTINED_RETRY_SECONDS


def refusal_log(request_id: str, content: ContentDigest) -> LogEvent:
    """Tell of a request that was sent to no server, or to none any more."""
    return LogEvent("request.quarantined", {"request": request_id, "content": content})
