"""State that `stream_forwarder` keeps of each pending stream and its attempt."""

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.common.event_stream import EventSplitter
from merlinstand.common.ids import CallId
from merlinstand.decisions.retry import FailureAction, decide_after_failure
from merlinstand.forwarding.pending_tries import PendingAttempts
from merlinstand.forwarding.send_control import AttemptEnd
from merlinstand.forwarding.server_picker import Target


class PendingStream(PendingAttempts):
    """A pending stream."""

    call_id: CallId | None = None
    target: Target | None = None
    """Backend of the current attempt, or of the last one."""
    awaits_head: bool = False
    """Whether the current attempt has no response headers yet."""
    is_started: bool = False
    """Whether the response headers have been sent to the caller."""
    is_error_response: bool = False
    """Whether the response is an error of the backend, which is passed on unparsed, instead of an
    event stream."""
    attempt_end: AttemptEnd = AttemptEnd.RESPONDED
    """How the current attempt is recorded once its response is complete."""
    last_event_id: int = 0
    is_pausing: bool = False
    """Whether the stream waits before it is sent again to backends that refused it."""
    splitter: EventSplitter = msgspec.field(default_factory=EventSplitter)

    @property
    def backend(self) -> Backend | None:
        """Backend of the current attempt, or of the last one."""
        return self.target.backend if self.target is not None else None

    @property
    def can_resume(self) -> bool:
        """Whether another attempt may continue the stream if the current one ends."""
        return self.request.route.is_resumable and self.has_attempts_left()

    def next_action(self, is_backend_probed: bool) -> FailureAction:
        """Decide how to continue after an attempt that ended before the stream was complete.

        Args:
            is_backend_probed: Whether a crash check of the attempt's backend is running, and the
                stream may be sent again at all.
        """
        route = self.request.route
        if self.is_error_response or not self.has_attempts_left():
            return FailureAction.GIVE_UP
        return decide_after_failure(route.is_resumable, self.may_have_run, is_backend_probed, True)
