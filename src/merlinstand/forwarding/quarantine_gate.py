"""Requests under which servers have crashed, before each of their tries.

Owned by whoever sends requests: first tries, second ones, hedges, streams, items of batch jobs,
moved runs and scoring calls all pass here. Holds the requests that wait for the control leader's
permit to be tried. Relies on `quarantine.follower` for what is held against a request, and on
`decisions.admission` for what follows from that.
"""

from collections.abc import Callable

from merlinstand.common.ids import ContentDigest
from merlinstand.decisions.admission import Admission, admit
from merlinstand.decisions.rejection import quarantine_retry_after_seconds
from merlinstand.decisions.waiting import TRIAL_PERMIT_WAIT_SECONDS
from merlinstand.kernel.effects import CancelTimer, Effect, LogEvent, SetTimer
from merlinstand.quarantine.blame import SuspectStatus
from merlinstand.quarantine.follower import SuspectTable


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
        """Return what may be done with a request now.

        Args:
            content_of: Gives its content; asked only while anything is held against any request.
            now: Local time.
        """
        if self._suspects.is_empty:
            return Admission.ALLOWED
        content = content_of()
        standing = self._suspects.status(content)
        if standing is not SuspectStatus.UNPROVEN:
            return admit(standing, False, 0.0)
        has_permit = self._suspects.has_permit(content)
        return admit(standing, has_permit, self._suspects.trial_wait_seconds(content, now))

    def record_sent(self, content_of: Callable[[], ContentDigest]) -> None:
        """A suspect is sent: a permit for it is used up."""
        if self._suspects.has_permit(content_of()):
            self._suspects.use_permit()

    def begin_wait(self, key: str, content: ContentDigest) -> list[Effect]:
        """Let a request wait for a permit; nothing if it has waited already."""
        if key in self._waiting:
            return []
        self._waiting[key] = content
        self._suspects.request_trial(content)
        return [SetTimer(f"{self._prefix}{key}", TRIAL_PERMIT_WAIT_SECONDS)]

    def end_wait(self, key: str) -> list[Effect]:
        """A request waits no more."""
        content = self._waiting.pop(key, None)
        if content is None:
            return []
        if content not in self._waiting.values():
            self._suspects.withdraw_trial_request(content)
        return [CancelTimer(f"{self._prefix}{key}")]

    @property
    def waiting(self) -> tuple[str, ...]:
        """Keys of the requests that wait."""
        return tuple(self._waiting)

    def retry_after_seconds(self, content: ContentDigest, now: float) -> float:
        """When a request that was refused may come again."""
        return quarantine_retry_after_seconds(
            self._suspects.status(content) is SuspectStatus.UNPROVEN,
            self._suspects.trial_wait_seconds(content, now),
            TRIAL_PERMIT_WAIT_SECONDS,
        )


def refusal_log(request_id: str, content: ContentDigest) -> LogEvent:
    """Give the log line of a request that was sent to no server, or to none any more."""
    return LogEvent("request.quarantined", {"request": request_id, "content": content})
