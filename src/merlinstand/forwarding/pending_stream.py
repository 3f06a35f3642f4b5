"""A stream on its way, and its try: the state that `stream_forwarder` keeps of each."""

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.common.event_stream import EventSplitter
from merlinstand.common.ids import CallId
from merlinstand.decisions.retry import FailureAction, decide_after_failure
from merlinstand.forwarding.pending_tries import PendingTries
from merlinstand.forwarding.send_control import TryEnd
from merlinstand.forwarding.server_picker import Target


class PendingStream(PendingTries):
    """A stream on its way."""

    call_id: CallId | None = None
    target: Target | None = None
    """Server of the present try, or of the last one."""
    is_started: bool = False
    """Whether the caller has the head of the answer."""
    is_failure: bool = False
    """Whether the answer is no stream but a server's failure, passed on as it comes."""
    end: TryEnd = TryEnd.ANSWERED
    """How the present try counts once its answer is whole."""
    last_event_id: int = 0
    is_pausing: bool = False
    """Whether it waits for a server that turned it away."""
    cutter: EventSplitter = msgspec.field(default_factory=EventSplitter)

    @property
    def backend(self) -> Backend | None:
        """Server of the present try, or of the last one."""
        return self.target.backend if self.target is not None else None

    def judge_try(self, is_server_probed: bool) -> FailureAction:
        """Judge its last try, which has ended before the stream was whole.

        Args:
            is_server_probed: Whether the try's server is asked for a sign of life, and the stream
                may be sent on at all.
        """
        route = self.request.route
        if self.is_failure or not self.has_tries_left():
            return FailureAction.GIVE_UP
        return decide_after_failure(route.is_resumable, self.may_have_run, is_server_probed, True)
