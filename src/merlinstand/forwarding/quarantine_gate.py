"""Checks the quarantine state of a request before each of its attempts.

First attempts, retries, hedges, streams, items of batch jobs, moved runs and scoring calls all pass
this check. Requests that are suspected of crashing backends may need a trial: one attempt, with a
permit of the control leader. The gate keeps the requests that wait for such a permit.
`quarantine.follower` knows the state of each request; `decisions.admission` defines the rules.
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
    """Quarantine checks and permit waits of one forwarder."""

    def __init__(self, suspects: SuspectTable, timer_prefix: str) -> None:
        """Start with no request waiting.

        Args:
            suspects: Quarantine state of requests.
            timer_prefix: Prefix of the names of the wait timers; the request's key follows.
        """
        self._suspects = suspects
        self._timer_prefix = timer_prefix
        self._waiting: dict[str, ContentDigest] = {}

    def admit(self, content_of: Callable[[], ContentDigest], now: float) -> Admission:
        """Return whether a request may be sent now, and with which restrictions.

        Args:
            content_of: Returns the request's content digest; called only while any request is
                suspect.
            now: Local time.
        """
        if self._suspects.is_empty:
            return Admission.ALLOWED
        content = content_of()
        status = self._suspects.status(content)
        if status is not SuspectStatus.UNPROVEN:
            return admit(status, False, 0.0)
        has_permit = self._suspects.has_permit(content)
        return admit(status, has_permit, self._suspects.trial_wait_seconds(content, now))

    def record_send(self, content_of: Callable[[], ContentDigest]) -> None:
        """Use up the trial permit for a suspect request, if there is one, when it is sent."""
        if self._suspects.has_permit(content_of()):
            self._suspects.use_permit()

    def begin_wait(self, key: str, content: ContentDigest) -> list[Effect]:
        """Make a request wait for a trial permit; no effect if it waits already."""
        if key in self._waiting:
            return []
        self._waiting[key] = content
        self._suspects.request_trial(content)
        return [SetTimer(f"{self._timer_prefix}{key}", TRIAL_PERMIT_WAIT_SECONDS)]

    def end_wait(self, key: str) -> list[Effect]:
        """End a request's wait; stop asking for the permit if no other request waits for it."""
        content = self._waiting.pop(key, None)
        if content is None:
            return []
        if content not in self._waiting.values():
            self._suspects.withdraw_trial_request(content)
        return [CancelTimer(f"{self._timer_prefix}{key}")]

    @property
    def waiting_keys(self) -> tuple[str, ...]:
        """Keys of the waiting requests."""
        return tuple(self._waiting)

    def retry_after_seconds(self, content: ContentDigest, now: float) -> float:
        """Return the Retry-After of a rejected request in seconds."""
        return quarantine_retry_after_seconds(
            self._suspects.status(content) is SuspectStatus.UNPROVEN,
            self._suspects.trial_wait_seconds(content, now),
            TRIAL_PERMIT_WAIT_SECONDS,
        )


def quarantine_log_event(request_id: str, content: ContentDigest) -> LogEvent:
    """Return the log event of a request that is rejected because of its quarantine."""
    return LogEvent("request.quarantined", {"request": request_id, "content": content})
